/// The entry VM's side of a model request: which worker, through which VM,
/// another try when it is certain that nothing ran, and the caller's one final
/// answer. Pure: no I/O, clock or threads.
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
    /// How long a request may wait for a worker to have an owner, as after a
    /// VM failure, before it is given up.
    duration unowned_wait = std::chrono::seconds(8);
    /// Silence on a stream resumed straight at the engine.
    duration progress_timeout = std::chrono::seconds(2);
    duration retry_base = std::chrono::milliseconds(50);
    duration retry_cap = std::chrono::seconds(1);
    int max_retries = 4;
    /// Tries at VMs that turned out not to own the worker; they cost little
    /// and happen while ownership moves.
    int max_misroutes = 8;
    int max_resumes = 4;
    std::uint64_t seed = 1;
};

struct entry_counts
{
    std::uint64_t accepted = 0;
    std::uint64_t answered = 0;
    std::uint64_t failed = 0;
    std::uint64_t retries = 0;
    std::uint64_t resumes = 0;
};

/// Hands a request to this VM's own dispatcher of a worker.
class local_owner
{
public:
    virtual ~local_owner() = default;
    /// Answers come back through model_entry::on_local_*.
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

    /// Told of every request that ends; may be null. Outlives this object.
    void set_counter(answer_counter* counter) { counter_ = counter; }

    /// Precondition: the adapter version is in the configuration in force.
    void submit(model_request request, time_point now, action_list& actions);
    /// The caller went away: its request is stopped, nothing is delivered.
    void withdraw(request_id const& request, time_point now,
                  action_list& actions);

    /// Events of attempts that this entry made (forwarded or resumed).
    bool knows(attempt_id attempt) const;
    void on_chunk(attempt_chunk const& event, time_point now,
                  action_list& actions);
    void on_end(attempt_end const& event, time_point now, action_list& actions);
    void on_failure(attempt_failure const& event, time_point now,
                    action_list& actions);

    /// What this VM's own dispatcher delivers, by the id it was given.
    bool knows_try(request_id const& try_id) const;
    void on_local_event(deliver_event const& event, time_point now,
                        action_list& actions);
    void on_local_end(deliver_end const& event, time_point now,
                      action_list& actions);
    void on_local_error(deliver_error const& event, time_point now,
                        action_list& actions);

    /// Retries that are due, deadlines, silences.
    void tick(time_point now, action_list& actions);
    std::size_t in_progress() const { return requests_.size(); }
    entry_counts counts() const { return counts_; }
    /// From a request's arrival to its first event, and to its whole answer.
    latency_summary first_event_latency() const
    {
        return first_event_meter_.summary();
    }
    latency_summary answer_latency() const { return answer_meter_.summary(); }

private:
    enum class attempt_path
    {
        /// Not at any worker: waiting to be routed.
        none,
        local,
        peer,
        /// Resumed straight at the engine after its owner was lost.
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
        /// The id of the current try; each try has its own, so that a late
        /// copy of an earlier one can never be taken for it.
        request_id try_id;
        attempt_id attempt;
        int tries = 0;
        int retries = 0;
        int misroutes = 0;
        int resumes = 0;
        /// An earlier try was sent and lost; it may run yet.
        bool may_have_run = false;
        std::set<worker_id> excluded;
        /// When to route (path none) or to resume (path engine) next.
        time_point next_try_at{};
        time_point give_up_routing_at;
        /// Its place in wake_queue_.
        time_point wake_at{};
    };

    using request_map = std::unordered_map<request_id, pending_request>;

    void route(pending_request& pending, time_point now, action_list& actions);
    std::optional<worker_id> choose_worker(pending_request const& pending,
                                           time_point now);
    void send(pending_request& pending, worker_view const& worker,
              time_point now, action_list& actions);
    void relay_event(pending_request& pending, deliver_event event,
                     time_point now, action_list& actions);
    void complete_answer(pending_request& pending, time_point now,
                         action_list& actions);
    /// It is certain that nothing ran.
    void on_not_run(pending_request& pending, error const& why, time_point now,
                    action_list& actions);
    /// The way to the answer is lost; the engine may still be making it.
    void on_connection_lost(pending_request& pending, time_point now,
                            action_list& actions);
    void resume_at_engine(pending_request& pending, time_point now,
                          action_list& actions);
    /// The engine cannot go on with the answer.
    void on_answer_lost(pending_request& pending, std::string const& why,
                        time_point now, action_list& actions);
    void stop_try(pending_request& pending, bool stop_at_engine, time_point now,
                  action_list& actions);
    void clear_try(pending_request& pending);
    void schedule_wake(pending_request& pending, time_point at);
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
    /// Requests by the next moment at which time alone changes something.
    std::set<std::pair<time_point, request_id>> wake_queue_;
    entry_counts counts_;
    latency_meter first_event_meter_;
    latency_meter answer_meter_;
};

} // namespace mulberry

#endif
