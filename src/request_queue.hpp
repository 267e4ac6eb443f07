/// The queue of requests that wait at a worker.
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

/// A queued request with its counters of stalls and attempts.
struct queued_request
{
    model_request request;
    /// The order of arrival: rises with each request and is kept when the
    /// request is queued again. 0 before the request is first queued.
    std::uint64_t sequence = 0;
    /// The earliest time to send the request.
    time_point not_before = time_point::min();
    /// The time since which the request waits for its adapter; none while the
    /// adapter is ready.
    std::optional<time_point> stalled_since;
    bool stall_counted = false;
    /// How often the request was queued again, because the engine refused it
    /// or did not know it.
    int requeues = 0;
    /// Whether the request was sent again although an earlier attempt may
    /// still run.
    bool may_run_twice = false;
};

/// A queue ordered by sequence number, with indexes by priority, deadline and
/// adapter. Each change costs O(log n). Thread safety: none.
class request_queue
{
public:
    using sequences = std::set<std::uint64_t>;

    std::size_t size() const { return items_.size(); }
    bool contains(request_id const& id) const { return ids_.contains(id); }
    /// Adds a request and assigns a sequence number unless it has one. Returns
    /// the queued element. Precondition: !contains(item.request.id).
    queued_request& add(queued_request item);
    /// Removes and returns a request; none if it is not queued.
    std::optional<queued_request> extract(request_id const& id);
    /// The request to displace first: the latest one of the lowest priority;
    /// null if the queue is empty.
    queued_request const* lowest_priority() const;
    /// Removes and returns the request with the earliest deadline if that is
    /// not after `now`.
    std::optional<queued_request> extract_expired(time_point now);
    /// The number of requests that go before a new request of that priority.
    std::size_t ahead_of(int priority) const;
    std::size_t waiting_for(adapter_ref const& adapter) const;
    /// The arrival time of the first request that waits for an adapter;
    /// `never` if none does.
    time_point oldest_arrival(adapter_ref const& adapter) const;
    /// The requests waiting for an adapter, by sequence number.
    std::vector<request_id> ids_waiting_for(adapter_ref const& adapter) const;
    /// All requests, by sequence number.
    std::vector<request_id> all_ids() const;
    /// Calls `visit` for each request that waits for an adapter. `visit` must
    /// not change the request's sequence number, priority, deadline or adapter.
    void for_each(adapter_ref const& adapter,
                  std::function<void(queued_request&)> const& visit);
    /// The adapters that requests wait for, with the requests' sequence
    /// numbers.
    std::map<adapter_ref, sequences> const& adapters() const
    {
        return by_adapter_;
    }
    /// The requests for which `wanted` returns true, by sequence number.
    std::vector<waiting_request>
    select(std::function<bool(queued_request const&)> const& wanted) const;

private:
    std::uint64_t last_sequence_ = 0;
    std::map<std::uint64_t, queued_request> items_;
    std::unordered_map<request_id, std::uint64_t> ids_;
    /// By priority, then the latest sequence number first.
    std::set<std::pair<int, std::uint64_t>> by_priority_;
    std::set<std::pair<time_point, std::uint64_t>> by_deadline_;
    std::map<adapter_ref, sequences> by_adapter_;
    std::array<std::size_t, max_priority + 1> counts_{};
};

} // namespace mulberry

#endif
