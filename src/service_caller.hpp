/// Calls of plain services. Calls that must not be repeated run at most once.
///
/// Table row claim/SERVICE/KEY (both percent-encoded):
///   {"token", "vm", "life", "request", "fingerprint", "state", "answer"}
///   state: claimed, answered, not_run, unknown
/// "life" is the incarnation of the VM. "answer" holds the status, the content
/// type and either the body or the key of the object that holds the body.
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
    /// Answers up to this size are stored in the row, larger ones in the
    /// object store.
    std::size_t inline_answer_bytes = std::size_t{16} * 1024;
    /// Maximum number of claims held at once. Each holds memory until its
    /// outcome is written, which takes long while the table is unreachable.
    std::size_t max_unwritten_claims = 10000;
    /// Maximum number of tries of one request at workers.
    int max_tries = 3;
    /// A repeatable call without an answer for this long is also sent to
    /// another worker (a hedged request), since its connection may be dead
    /// without an error.
    duration hedge_delay = std::chrono::milliseconds(1500);
    /// Maximum time for which an answer is held back until its outcome is
    /// recorded, so that a retry through another VM finds the record. After
    /// that the answer is delivered even if the table is unreachable.
    duration max_record_wait = std::chrono::milliseconds(50);
    /// How long after its deadline the answer of a call that must not be
    /// repeated is still awaited, so that a retry of the caller gets that
    /// answer.
    duration late_answer_wait = std::chrono::seconds(30);
    std::uint64_t seed = 1;
};

struct service_counts
{
    /// Requests answered by a worker.
    std::uint64_t answered = 0;
    /// Requests answered with a stored answer.
    std::uint64_t replayed = 0;
    /// Requests that failed and certainly did not run.
    std::uint64_t refused = 0;
    /// Requests that failed and ran or may have run.
    std::uint64_t unknown = 0;
    /// Outcomes of claims that are not yet written to the table.
    std::uint64_t unwritten = 0;
};

/// Makes the calls of plain services for one VM: claims, tries at workers,
/// replay of stored answers.
///
/// Thread safety: none; owned by the decision core.
class service_caller
{
public:
    /// `incarnation_ended` returns whether the incarnation of a VM that holds
    /// a claim has certainly ended. It is called only while an event is
    /// handled.
    service_caller(
        service_settings settings, safeguards const& checks, id_source& ids,
        std::function<bool(vm_id const&, incarnation)> incarnation_ended);
    ~service_caller();

    void configure(std::shared_ptr<declaration const> configuration);
    /// Must be called when this VM is registered; calls that need a claim are
    /// refused until then.
    void set_incarnation(incarnation vm_incarnation);
    /// Starts a request. Exactly one deliver_service_answer or deliver_error
    /// action follows by the deadline for each request that is not withdrawn.
    /// `ran` in an error refers to this request only; an earlier request under
    /// the same key may have had another outcome.
    ///
    /// Preconditions: the id of the request is new, and its deadline is not
    /// `never`.
    void submit(service_request request, time_point now, action_list& actions);
    /// The caller disconnected. A call that must not be repeated continues if
    /// it was sent, so that its result is stored for a retry of the caller.
    void withdraw(request_id const& request, time_point now,
                  action_list& actions);
    /// Returns whether a reply to this operation is expected here.
    bool knows(operation_id operation) const;
    /// Returns whether this attempt was started here and has not ended.
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
    /// Returns the number of requests without a final answer, withdrawn calls
    /// that are still running, and claims whose outcome is not written.
    std::size_t in_progress() const;
    service_counts counts() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace mulberry

#endif
