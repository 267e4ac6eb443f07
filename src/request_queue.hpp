/// The requests that wait at a worker.
#ifndef MULBERRY_REQUEST_QUEUE_HPP
#define MULBERRY_REQUEST_QUEUE_HPP

#include "model_request.hpp"
#include "routing_policy.hpp"
#include "time_point.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace mulberry
{

/// A request with what was counted and tried for it so far.
struct queued_request
{
    model_request request;
    /// Its place: rises with each request; kept when it is queued again.
    std::uint64_t sequence = 0;
    /// Not sent before this moment.
    time_point not_before = time_point::min();
    /// Since when it waits for its adapter; none while the adapter is ready.
    std::optional<time_point> stalled_since;
    bool stall_counted = false;
    /// How often it came back to the queue, refused or unknown to the engine.
    int requeues = 0;
    /// Whether it was started afresh although an earlier start may yet run.
    bool may_run_twice = false;
};

/// Ordered by place, with indexes by priority, deadline and adapter: each
/// change is O(log n). Thread safety: none.
class request_queue
{
public:
    using sequences = std::set<std::uint64_t>;

    std::size_t size() const { return items_.size(); }
    bool contains(request_id const& id) const { return ids_.contains(id); }
    /// Gives it a place unless it has one. Precondition: its id is not here.
    queued_request& add(queued_request item);
    std::optional<queued_request> extract(request_id const& id);
    /// The one to give way: of the least priority the latest.
    queued_request const* lowest_priority() const;
    /// Takes the first whose deadline has come.
    std::optional<queued_request> extract_expired(time_point now);
    /// How many go before a new one of that priority.
    std::size_t ahead_of(int priority) const;
    std::size_t waiting_for(adapter_ref const& adapter) const;
    /// The arrival of the first that waits for an adapter; `never` if none.
    time_point oldest_arrival(adapter_ref const& adapter) const;
    /// Those waiting for an adapter, in order of place.
    std::vector<request_id> ids_waiting_for(adapter_ref const& adapter) const;
    std::vector<request_id> all_ids() const;
    void for_each(adapter_ref const& adapter,
                  std::function<void(queued_request&)> const& visit);
    /// The adapters waited for.
    std::map<adapter_ref, sequences> const& adapters() const
    {
        return by_adapter_;
    }
    /// In order of place, those for which `wanted` holds.
    std::vector<waiting_request>
    select(std::function<bool(queued_request const&)> const& wanted) const;

private:
    std::uint64_t last_sequence_ = 0;
    std::map<std::uint64_t, queued_request> items_;
    std::unordered_map<request_id, std::uint64_t> ids_;
    /// By priority, then latest first.
    std::set<std::pair<int, std::uint64_t>> by_priority_;
    std::set<std::pair<time_point, std::uint64_t>> by_deadline_;
    std::map<adapter_ref, sequences> by_adapter_;
    std::array<std::size_t, most_priority + 1> counts_{};
};

} // namespace mulberry

#endif
