/// What each application used of a worker, for the quarterly targets.
#ifndef MULBERRY_APPLICATION_USAGE_HPP
#define MULBERRY_APPLICATION_USAGE_HPP

#include "ids.hpp"
#include "time_point.hpp"

#include <cstddef>
#include <cstdint>
#include <map>

namespace mulberry
{

/// Increments since they were last taken. Value.
struct application_usage
{
    std::uint64_t stalled = 0;
    /// Integral over time of its running requests.
    duration busy_slot_time{};
    /// Its part of the worker's open slot time, in proportion to its running
    /// and queued requests.
    duration open_slot_time{};
    friend bool operator==(application_usage const&,
                           application_usage const&) = default;
};

using usage_by_application = std::map<application_id, application_usage>;

/// Divides a worker's slot time among applications; each advance costs one
/// step an application present. Thread safety: none.
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
    /// Before a change: accounts for the time that the requests held.
    void advance(duration passed, std::size_t batch_slots);
    /// What was used since the last call. Forgets it, so that names which
    /// callers make up do not pile up.
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
