/// Implements worker_dispatcher: admission, queueing, sending, and handling of
/// each request's end. The public calls are documented in worker_dispatcher.
#ifndef MULBERRY_DISPATCH_CORE_HPP
#define MULBERRY_DISPATCH_CORE_HPP

#include "action.hpp"
#include "adapter_loader.hpp"
#include "attempt_event.hpp"
#include "cluster_view.hpp"
#include "dispatch_meter.hpp"
#include "dispatcher_limits.hpp"
#include "load_budget.hpp"
#include "request_queue.hpp"
#include "routing_policy.hpp"
#include "safeguards.hpp"
#include "stream_table.hpp"

#include <optional>
#include <set>
#include <utility>

namespace mulberry
{

/// The implementation behind worker_dispatcher. Thread safety: none.
class dispatch_core
{
public:
    /// Precondition: `policy`, `budget`, `checks` and `ids` outlive this
    /// object.
    dispatch_core(worker_declaration worker, ownership_grant const& grant,
                  dispatcher_limits const& limits, routing_policy& policy,
                  load_budget& budget, safeguards const& checks, id_source& ids,
                  time_point now)
        : worker_(std::move(worker)), limits_(limits), policy_(&policy),
          checks_(&checks), meter_(worker_.batch_slots, now),
          streams_(worker_.id, grant.fence, limits, checks, ids),
          loader_(worker_, grant, limits, policy, budget, checks, ids, meter_,
                  now)
    {
    }

    void submit(model_request request, time_point now, action_list& actions);
    void withdraw(request_id const& id, time_point now, action_list& actions);
    void on_chunk(attempt_chunk const& event, time_point now,
                  action_list& actions);
    void on_end(attempt_end const& event, time_point now, action_list& actions);
    void on_failure(attempt_failure const& event, time_point now,
                    action_list& actions);
    void on_order(order_result const& event, time_point now,
                  action_list& actions);
    void on_intent(order_id order, bool recorded, time_point now,
                   action_list& actions);
    void on_report(engine_report const& report, time_point now,
                   action_list& actions);
    void suspects_stopped(time_point stopped_at);
    void stop_admitting(time_point now, action_list& actions);
    void set_may_evict(bool may) { loader_.set_may_evict(may); }
    std::size_t in_progress() const { return queue_.size() + streams_.size(); }
    std::size_t orders_in_progress() const { return loader_.orders(); }
    bool has_abandoned_requests(time_point now) const
    {
        return loader_.slots().has_abandoned_requests(now);
    }
    void tick(time_point now, action_list& actions);
    void set_cluster(cluster_view const* cluster) { cluster_ = cluster; }
    worker_view view(time_point now) const;
    std::size_t loads_wanted() const { return loader_.loads_wanted(queue_); }
    dispatch_counts counts(time_point now) const;
    usage_by_application take_usage(time_point now);
    bool knows(attempt_id attempt) const { return streams_.contains(attempt); }
    bool knows(order_id order) const { return loader_.knows(order); }
    bool knows(request_id const& id) const
    {
        return queue_.contains(id) || streams_.contains(id);
    }

private:
    /// Adds the slot time since the last call to the totals. Must be called
    /// before an event changes the queue or the streams.
    void account(time_point now);
    /// Sends queued requests and starts loads and evictions as far as
    /// possible. Called after every event.
    void dispatch_waiting(time_point now, action_list& actions);
    void send_ready(time_point now, action_list& actions);
    /// Starts or ends the stall times of queued requests whose adapter stopped
    /// or started being ready.
    void update_stalls(time_point now);
    std::size_t free_batch_slots() const;
    worker_view view_without_residents(time_point now) const;

    /// The error to refuse a new request with; none if it is admitted.
    std::optional<error> admission_error(model_request const& request,
                                         time_point now) const;
    /// How long a new request would wait in the queue; none before a service
    /// time was measured.
    std::optional<duration> expected_wait(model_request const& request) const;
    /// The Retry-After for a request with `ahead` requests before it.
    duration retry_after(std::size_t ahead) const;
    /// Displaces a request of lower priority if the queue is full; returns
    /// whether there is room for `request`.
    bool make_queue_room(model_request const& request, time_point now,
                         action_list& actions);
    void enqueue(queued_request item, time_point now);
    /// Update slots, stall times and usage after a request left the queue or
    /// the engine.
    void on_left_queue(queued_request& item, time_point now);
    void on_left_engine(ended_stream const& ended, time_point now);

    /// Answers with an error and counts the request as failed.
    void answer(request_id const& id, error what, action_list& actions);
    void answer_waiting(request_id const& id, error const& what, time_point now,
                        action_list& actions);
    void answer_waiting_for(adapter_ref const& adapter, time_point now,
                            action_list& actions);
    /// Answers queued requests whose adapter has no slot while evictions are
    /// not allowed.
    void answer_unloadable(time_point now, action_list& actions);
    void answer_all_waiting(error const& what, time_point now,
                            action_list& actions);
    /// Ends the request's stall, if any, and adds the stall time to the totals.
    void close_stall(queued_request& item, time_point now);
    void on_load_changes(load_changes const& changes, time_point now,
                         action_list& actions);

    void on_stream_ended(ended_stream ended, time_point now,
                         action_list& actions);
    void on_stream_not_run(ended_stream ended, time_point now,
                           action_list& actions);
    /// Queues the request again, to be sent after `delay` at the earliest.
    void requeue(ended_stream ended, duration delay, time_point now,
                 action_list& actions);
    void on_unreachable(ended_stream const& ended, time_point now,
                        action_list& actions);
    bool backing_off(time_point now) const { return now < backoff_until_; }

    worker_declaration worker_;
    dispatcher_limits limits_;
    routing_policy* policy_;
    safeguards const* checks_;
    cluster_view const* cluster_ = nullptr;
    dispatch_meter meter_;
    request_queue queue_;
    stream_table streams_;
    adapter_loader loader_;
    /// The adapters that queued requests need and that were not ready when
    /// update_stalls() last ran.
    std::set<adapter_ref> stalled_adapters_;
    /// Requests in the last report that this owner did not send; they take
    /// batch slots.
    std::size_t foreign_requests_ = 0;
    int consecutive_connect_failures_ = 0;
    time_point backoff_until_ = time_point::min();
    bool stopped_ = false;
};

} // namespace mulberry

#endif
