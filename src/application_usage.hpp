/// Measures each application's use of a worker, for the quarterly targets.
#ifndef MULBERRY_APPLICATION_USAGE_HPP
#define MULBERRY_APPLICATION_USAGE_HPP

#include "ids.hpp"
#include "time_point.hpp"

#include <cstddef>
#include <cstdint>
#include <map>

namespace mulberry
{

/// One application's usage since the last usage_meter::take(). Value.
struct application_usage
{
    /// Requests that waited for their adapter; see dispatch_counts::stalled.
    std::uint64_t stalled = 0;
    /// The number of its running requests, integrated over time.
    duration busy_slot_time{};
    /// Its share of the worker's open slot time (see dispatch_counts), in
    /// proportion to its running and queued requests.
    duration open_slot_time{};
    friend bool operator==(application_usage const&,
                           application_usage const&) = default;
};

using usage_by_application = std::map<application_id, application_usage>;

/// Divides a worker's slot time among applications. Preconditions: each
/// left_queue() and ended() follows a queued() and started() of the same
/// application. Thread safety: none.
class usage_meter
{
public:
    void queued(application_id const& application)
    {
        ++active_[application].queued;
    }
    void left_queue(application_id const& application);
    void started(application_id const& application)
    {
        ++active_[application].running;
    }
    void ended(application_id const& application);
    void stalled(application_id const& application)
    {
        ++usage_[application].stalled;
    }
    /// Adds the time passed to the usage of each application with requests.
    /// Must be called before the number of queued or running requests changes.
    /// Costs O(number of applications with requests).
    void advance(duration passed, std::size_t batch_slots);
    /// Returns the usage since the last call and resets it, so that
    /// application names invented by callers do not accumulate.
    usage_by_application take();

private:
    struct activity
    {
        std::size_t running = 0;
        std::size_t queued = 0;
    };

    void erase_if_idle(application_id const& application);

    std::map<application_id, activity> active_;
    usage_by_application usage_;
};

} // namespace mulberry

#endif
