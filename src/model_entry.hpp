/// The entry VM's handling of model requests: chooses the worker and the VM
/// that owns it, retries a request that certainly did not run, resumes broken
/// streams and delivers exactly one final answer to the caller. No I/O, clock
/// or threads.
#ifndef MULBERRY_MODEL_ENTRY_HPP
#define MULBERRY_MODEL_ENTRY_HPP

#include "action.hpp"
#include "answer_counter.hpp"
#include "answer_relay.hpp"
#include "attempt_event.hpp"
#include "cluster_view.hpp"
#include "latency_meter.hpp"
#include "model_request.hpp"
#include "retry_budget.hpp"
#include "routing_policy.hpp"
#include "safeguards.hpp"
#include "time_point.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace mulberry
{

struct entry_settings
{
    vm_id vm;
    /// How long a request may wait until a worker has an owner, for example
    /// after a VM failure, before the request fails.
    duration unowned_wait = std::chrono::seconds(8);
    /// Idle timeout of a stream resumed directly at the engine.
    duration progress_timeout = std::chrono::seconds(2);
    duration retry_base = std::chrono::milliseconds(50);
    duration retry_cap = std::chrono::seconds(1);
    int max_retries = 4;
    /// Maximum tries at VMs that do not own the worker. Such misroutes are
    /// cheap and happen while ownership moves, so they have their own limit.
    int max_misroutes = 8;
    /// From this misroute on, the workers that were tried are excluded. A
    /// handover that the table interrupts leaves its worker without an owner
    /// until the table answers again.
    int misroutes_before_exclusion = 3;
    int max_resumes = 4;
    std::uint64_t seed = 1;
};

/// Counts since the start of the VM.
struct entry_counts
{
    std::uint64_t accepted = 0;
    std::uint64_t answered = 0;
    std::uint64_t failed = 0;
    std::uint64_t retries = 0;
    /// Tries at VMs that did not own the worker.
    std::uint64_t misroutes = 0;
    std::uint64_t resumes = 0;
};

/// Interface to this VM's own dispatchers of the workers that it owns.
class local_owner
{
public:
    virtual ~local_owner() = default;
    /// Answers are returned through model_entry::on_local_*, possibly before
    /// this call returns.
    virtual void submit_locally(worker_id const& worker, model_request request,
                                time_point now, action_list& actions) = 0;
    virtual void withdraw_locally(worker_id const& worker,
                                  request_id const& request, time_point now,
                                  action_list& actions) = 0;
};

/// Thread safety: none; owned by the decision core.
class model_entry
{
public:
    /// The references outlive this object.
    model_entry(entry_settings settings, routing_policy& policy,
                cluster_view& view, local_owner& owner,
                safeguards const& checks, id_source& ids);

    /// Sets the counter that is notified when a request ends. Null disables
    /// counting; otherwise `counter` outlives this object.
    void set_counter(answer_counter* counter) { counter_ = counter; }

    /// Precondition: the adapter version is in the configuration in force.
    void submit(model_request request, time_point now, action_list& actions);
    /// Stops a request whose caller has disconnected; delivers nothing. No
    /// effect for an unknown request.
    void withdraw(request_id const& request, time_point now,
                  action_list& actions);

    /// Whether this object started the attempt (forwarded the request or
    /// resumed its stream) and the attempt is still open.
    bool knows(attempt_id attempt) const;
    /// Handle events of attempts; events of unknown attempts are ignored.
    void on_chunk(attempt_chunk const& event, time_point now,
                  action_list& actions);
    void on_end(attempt_end const& event, time_point now, action_list& actions);
    void on_failure(attempt_failure const& event, time_point now,
                    action_list& actions);

    /// Whether `try_id` is the id of a request's current try.
    bool knows_try(request_id const& try_id) const;
    /// Handle what this VM's own dispatcher delivers; `event.request` is the
    /// id of the try. Unknown tries are ignored.
    void on_local_event(deliver_event const& event, time_point now,
                        action_list& actions);
    void on_local_end(deliver_end const& event, time_point now,
                      action_list& actions);
    void on_local_error(deliver_error const& event, time_point now,
                        action_list& actions);

    /// Starts due retries and resumptions and enforces deadlines and idle
    /// timeouts.
    void tick(time_point now, action_list& actions);
    std::size_t in_progress() const { return requests_.size(); }
    entry_counts counts() const { return counts_; }
    /// Time from a request's arrival to the first event of its answer.
    latency_summary first_event_latency() const
    {
        return first_event_meter_.summary();
    }
    /// Time from a request's arrival to its complete answer.
    latency_summary answer_latency() const { return answer_meter_.summary(); }

private:
    /// The way by which the answer of the current try arrives.
    enum class attempt_path
    {
        /// No current try: the request waits to be routed.
        none,
        local,
        peer,
        /// Resumed directly at the engine after the way through its owner
        /// was lost.
        engine
    };

    struct pending_request
    {
        pending_request(model_request asked, answer_relay fresh,
                        time_point give_up_at)
            : request(std::move(asked)), relay(fresh),
              give_up_routing_at(give_up_at)
        {
        }

        model_request request;
        answer_relay relay;
        attempt_path path = attempt_path::none;
        worker_id worker;
        /// Id of the current try. Each try has its own id, so that a late
        /// answer to an earlier try is never mistaken for the current one's.
        request_id try_id;
        attempt_id attempt;
        int tries = 0;
        int retries = 0;
        int misroutes = 0;
        int resumes = 0;
        /// Whether an earlier try was sent and lost, and may still run.
        bool may_have_run = false;
        std::set<worker_id> excluded;
        /// When to route (attempt_path::none) or to resume
        /// (attempt_path::engine) next.
        time_point next_try_at{};
        time_point give_up_routing_at;
        /// Key of this request in wake_queue_.
        time_point wake_at{};
    };

    using request_map = std::unordered_map<request_id, pending_request>;

    void route(pending_request& pending, time_point now, action_list& actions);
    std::optional<worker_id> choose_worker(pending_request const& pending,
                                           std::set<worker_id> const& excluded,
                                           time_point now);
    /// Whether neither the worker that was tried last nor another one can serve
    /// the request's adapter before the table is reachable again.
    bool no_worker_can_load(pending_request const& pending, time_point now);
    void send(pending_request& pending, worker_view const& worker,
              time_point now, action_list& actions);
    void relay_event(pending_request& pending, deliver_event event,
                     time_point now, action_list& actions);
    void complete_answer(pending_request& pending, time_point now,
                         action_list& actions);
    /// Retries or fails a request whose current try certainly did not run.
    void on_not_run(pending_request& pending, error const& why, time_point now,
                    action_list& actions);
    /// Handles a lost connection while the engine may still be generating the
    /// answer: resumes the stream at the engine, up to max_resumes times.
    void on_connection_lost(pending_request& pending, time_point now,
                            action_list& actions);
    void resume_at_engine(pending_request& pending, time_point now,
                          action_list& actions);
    /// Handles an answer that the engine cannot continue: retries the request
    /// if nothing was delivered, otherwise fails it.
    void on_answer_lost(pending_request& pending, std::string const& why,
                        time_point now, action_list& actions);
    /// Cancels the current try, with `stop_at_engine` also at the engine.
    void stop_try(pending_request& pending, bool stop_at_engine, time_point now,
                  action_list& actions);
    /// Forgets the current try without cancelling it.
    void clear_try(pending_request& pending);
    /// Replaces the request's entry in wake_queue_.
    void schedule_wake(pending_request& pending, time_point at);
    /// Delivers the final error and removes the request.
    void fail(pending_request& pending, error const& why, action_list& actions);
    void remove(pending_request& pending);
    pending_request* find(request_id const& request);
    pending_request* find_by_try(request_id const& try_id);
    pending_request* find_by_attempt(attempt_id attempt);

    entry_settings settings_;
    routing_policy* policy_;
    cluster_view* view_;
    local_owner* owner_;
    safeguards const* checks_;
    id_source* ids_;
    answer_counter* counter_ = nullptr;
    retry_budget budget_;
    request_map requests_;
    std::unordered_map<request_id, request_id> requests_by_try_;
    std::unordered_map<attempt_id, request_id> requests_by_attempt_;
    /// Requests ordered by when tick() must look at them next.
    std::set<std::pair<time_point, request_id>> wake_queue_;
    entry_counts counts_;
    latency_meter first_event_meter_;
    latency_meter answer_meter_;
};

} // namespace mulberry

#endif
