/// This VM's part of the limit on repeated sends that all VMs share.
#ifndef MULBERRY_RETRY_ALLOWANCE_HPP
#define MULBERRY_RETRY_ALLOWANCE_HPP

#include "time_point.hpp"

#include <cstddef>
#include <deque>

namespace mulberry
{

struct retry_limits
{
    /// Repeated sends allowed for each request of the window.
    double ratio = 0.2;
    /// And besides, over all VMs.
    double slack = 0;
    duration window = std::chrono::seconds(10);
    friend bool operator==(retry_limits const&, retry_limits const&) = default;
};

/// Load it answers: workers fail a large share of requests while callers
/// repeat, so that every VM wants to send everything twice, and the repeats
/// alone saturate the workers. Each VM spends the ratio of its own requests
/// and an even share of the slack: the sum keeps the limit without a message
/// between VMs, also when they are partitioned or restart, since a restarted
/// VM counts from nothing and is allowed less. Thread safety: none.
class retry_allowance
{
public:
    explicit retry_allowance(retry_limits limits) : limits_(limits) {}

    void count_request(time_point now);
    /// Takes one repeated send if there is one. `vms` share the slack.
    bool try_take(std::size_t vms, time_point now);
    double remaining(std::size_t vms, time_point now);

private:
    struct slice
    {
        time_point ends{};
        double requests = 0;
        double retries = 0;
    };

    slice& current_slice(time_point now);
    void expire(time_point now);

    retry_limits limits_;
    std::deque<slice> slices_;
};

} // namespace mulberry

#endif
