/// Limits on requests per second that workers name in their answers, for the
/// requests of all VMs together.
#ifndef MULBERRY_WORKER_LIMITS_HPP
#define MULBERRY_WORKER_LIMITS_HPP

#include "ids.hpp"
#include "team.hpp"
#include "time_point.hpp"

#include <map>
#include <optional>
#include <vector>

namespace mulberry
{

/// What a VM heard of a worker's limit. Value.
struct worker_limit_notice
{
    worker_id worker;
    /// Requests per second; nullopt: the worker no longer names a limit.
    std::optional<double> per_second;
    /// When the worker's answer reached the VM that had it.
    time_point heard_at{};
    friend bool operator==(worker_limit_notice const&,
                           worker_limit_notice const&) = default;
};

/// Stored by worker id: a restart of the worker does not end a limit, the first
/// answer without one does. Answers may overtake each other, so a limit is
/// lowered at once, but raised or ended only by an answer to a request that was
/// sent after the worker last named it.
///
/// Thread safety: none. Pure: no I/O, no clock.
class worker_limits
{
public:
    /// Handles an answer of the worker to a request of this VM; `per_second` is
    /// the limit that the answer names, nullopt if it names none. Returns
    /// whether the worker's limit changed.
    bool on_answer(worker_id const& worker, std::optional<double> per_second,
                   time_point sent_at, time_point now);
    /// Handles what another VM heard. Returns whether the worker's limit
    /// changed.
    bool on_notice(worker_limit_notice const& notice, time_point now);
    /// Removes limits of which nothing has been heard for ten minutes, and
    /// ended limits after ten seconds. Returns whether a limit was removed.
    bool forget_past(time_point now);

    bool empty() const { return notices_.empty(); }
    bool is_limited(worker_id const& worker) const
    {
        return limit_of(worker).has_value();
    }
    /// The last notice, also of a limit that ended; nullopt if there is none.
    std::optional<worker_limit_notice> notice_of(worker_id const& worker) const;
    /// Requests per second; nullopt if there is no limit.
    std::optional<double> limit_of(worker_id const& worker) const;
    /// The limits as allotments in requests; see allotment_key().
    std::map<allotment_id, allotment> allotments() const;
    /// Limits, and limits that ended within the last ten seconds.
    std::vector<worker_limit_notice> notices() const;

private:
    bool apply(worker_limit_notice notice);

    std::map<worker_id, worker_limit_notice> notices_;
};

/// The name under which a worker's limit is shared between VMs.
allotment_id allotment_key(worker_id const& worker);

} // namespace mulberry

#endif
