/// Calls of plain services; those that may not be repeated run at most once.
///
/// Row claim/SERVICE/KEY (the key percent-encoded):
///   {"token", "vm", "life", "request", "fingerprint", "state", "answer"}
///   state: claimed, answered, not_run, unknown
/// "answer" holds the status, content type and body, or the object that holds
/// the body.
#ifndef MULBERRY_SERVICE_CALLER_HPP
#define MULBERRY_SERVICE_CALLER_HPP

#include "action.hpp"
#include "attempt_event.hpp"
#include "declaration.hpp"
#include "ids.hpp"
#include "retry_budget.hpp"
#include "safeguards.hpp"
#include "table.hpp"
#include "time_point.hpp"

#include <functional>
#include <memory>

namespace mulberry
{

struct service_settings
{
    vm_id vm;
    duration table_timeout = std::chrono::milliseconds(1000);
    /// Answers up to this many bytes are kept in the row, larger ones in the
    /// object store.
    std::size_t inline_answer_bytes = std::size_t{16} * 1024;
    /// Calls that may not be repeated held at once, at most: each may be left
    /// with an end that the table does not take.
    std::size_t max_unwritten_claims = 10000;
    /// Tries at workers of one request, at most.
    int max_tries = 3;
    /// A repeatable call without an answer for this long is also tried at
    /// another worker: its connection may have gone silent for good.
    duration hedge_delay = std::chrono::milliseconds(1500);
    /// How long an answer may be held back until its record stands, so that a
    /// retry through another VM finds it. It is given after that also while
    /// the table is away.
    duration max_record_wait = std::chrono::milliseconds(50);
    /// How long after its deadline the answer of a call that may not be
    /// repeated is still waited for, so that the caller's next try learns it.
    duration late_answer_wait = std::chrono::seconds(30);
    std::uint64_t seed = 1;
};

struct service_counts
{
    std::uint64_t answered = 0;
    std::uint64_t replayed = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
    /// Ends of claims that the table has not taken yet.
    std::uint64_t unwritten = 0;
};

/// Thread safety: none; owned by the decision core.
class service_caller
{
public:
    /// `life_is_over` tells whether the life of a VM that holds a claim has
    /// ended for certain; asked while handling an event only.
    service_caller(
        service_settings settings, safeguards const& checks, id_source& ids,
        std::function<bool(vm_id const&, incarnation)> incarnation_ended);
    ~service_caller();

    void configure(std::shared_ptr<declaration const> configuration);
    /// Set once this VM is registered; claims need it.
    void set_incarnation(incarnation vm_incarnation);
    /// Answers follow as deliver_service_answer or deliver_error, exactly one
    /// for each request that is not withdrawn, by its deadline. What an error
    /// says in `ran` is said of this request; an earlier one under the same
    /// key may have had another outcome. Preconditions: the id is new and the
    /// deadline is not `never`.
    void submit(service_request request, time_point now, action_list& actions);
    /// The caller went away. A call that may not be repeated goes on if it was
    /// sent, so that its result is kept for the caller's next try.
    void withdraw(request_id const& request, time_point now,
                  action_list& actions);
    bool knows(operation_id operation) const;
    bool knows(attempt_id attempt) const;
    void on_table(table_reply const& reply, time_point now,
                  action_list& actions);
    void on_object(object_reply const& reply, time_point now,
                   action_list& actions);
    void on_answer(service_attempt_answer const& event, time_point now,
                   action_list& actions);
    void on_failure(attempt_failure const& event, time_point now,
                    action_list& actions);
    void tick(time_point now, action_list& actions);
    /// Requests without a final answer, and claims whose end is unwritten.
    std::size_t in_progress() const;
    service_counts counts() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace mulberry

#endif
