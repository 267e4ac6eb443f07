/// This VM's share of the retry budget of all VMs.
#ifndef MULBERRY_RETRY_ALLOWANCE_HPP
#define MULBERRY_RETRY_ALLOWANCE_HPP

#include "time_point.hpp"

#include <cstddef>
#include <deque>

namespace mulberry
{

struct retry_limits
{
    /// Retries allowed per request in the window.
    double ratio = 0.2;
    /// Additional retries allowed per window, for all VMs together.
    double slack = 0;
    duration window = std::chrono::seconds(10);
    friend bool operator==(retry_limits const&, retry_limits const&) = default;
};

/// Requests and retries of this process in the current window. Value.
struct retry_usage
{
    int requests = 0;
    /// Sent or reserved.
    int retries = 0;
    /// Number of VMs that share the slack.
    std::size_t vms = 1;
    /// Number of retries that the window may have.
    double allowed = 0;
    friend bool operator==(retry_usage const&, retry_usage const&) = default;
};

/// Prevents retry storms: when workers fail many requests and callers repeat
/// them as well, every VM would send every request twice, and the retries alone
/// would saturate the workers. Each VM may retry a fraction of its own
/// requests, and has an equal share of the slack. The sum over all VMs stays
/// within the limit without messages between VMs, also if VMs are partitioned.
///
/// A process does not know the retries of the process before it on the same VM,
/// which count in the same window. While it is younger than a window it
/// therefore uses only what its predecessor left unused at most, and the slack
/// only in proportion to its age. So the limit holds however often VMs restart.
/// Thread safety: none. No clock; the times passed must not decrease.
class retry_allowance
{
public:
    /// `started_at`: when this process started.
    retry_allowance(retry_limits limits, time_point started_at)
        : limits_(limits), started_at_(started_at)
    {
    }

    /// Sets the number of VMs that are known now. The slack is shared by the
    /// largest number of the last minutes: a VM that is not known any more may
    /// be frozen or cut off from the store, and keeps its share.
    void set_vms(std::size_t vms, time_point now);
    /// This process is the first of its VM, so there are no retries that it
    /// does not know of.
    void set_first_process() { started_at_ = time_point(); }
    void count_request(time_point now);
    /// Reserves one retry and returns true if the budget allows it. A reserved
    /// retry counts until it is sent, and for a window from then on: it may
    /// wait for a worker, and arrives only then.
    bool try_reserve(time_point now);
    /// A reserved retry is sent now. Precondition: one is reserved.
    void on_sent(time_point now);
    /// A retry that counted as sent at `sent_at` reached no worker; it is
    /// reserved again.
    void on_not_sent(time_point sent_at, time_point now);
    /// A reserved retry will not be sent. Precondition: one is reserved.
    void release() { --reserved_; }
    /// Number of retries that are still allowed; may be negative.
    double remaining(time_point now);
    retry_usage usage(time_point now);

private:
    /// Counts of one part of the window.
    struct slice
    {
        time_point ends{};
        int requests = 0;
        int retries = 0;
    };

    slice& current_slice(time_point now);
    void update_sharing_vms(time_point now);
    void expire(time_point now);

    retry_limits limits_;
    time_point started_at_;
    std::deque<slice> slices_;
    int reserved_ = 0;
    std::size_t known_vms_ = 1;
    std::size_t sharing_vms_ = 1;
    /// When fewer VMs share the slack, and how many: the most that were known
    /// since sharing_vms_ were.
    time_point fewer_at_ = never;
    std::size_t fewer_vms_ = 1;
};

} // namespace mulberry

#endif
