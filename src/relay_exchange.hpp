/// One request of a caller, from its arrival to the last byte of its answer.
#ifndef MULBERRY_RELAY_EXCHANGE_HPP
#define MULBERRY_RELAY_EXCHANGE_HPP

#include "answer_body.hpp"
#include "answer_gate.hpp"
#include "answer_memory.hpp"
#include "backend_pool.hpp"
#include "event_splitter.hpp"
#include "http_server.hpp"
#include "relay_codec.hpp"
#include "service_scheduler.hpp"
#include "worker_send.hpp"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace mulberry
{

class relay_exchange;

/// How a request ended, for metrics and the log.
enum class relay_outcome
{
    served,
    /// The worker answered with an error status, which was passed on.
    worker_failed,
    refused,
    failed,
    caller_gone
};

/// Services that the relay provides to its exchanges. Thread safety: none;
/// called on the relay's thread.
class exchange_host
{
public:
    virtual ~exchange_host() = default;
    virtual time_point now() const = 0;
    virtual relay_codec const& codec() const = 0;
    /// Sends the request to the exchange's worker, directly or by way of
    /// another VM. The observer is never called within this call.
    virtual std::shared_ptr<backend_exchange>
    start_send(relay_exchange const& exchange, outgoing_request request,
               exchange_options const& options,
               std::shared_ptr<exchange_observer> observer) = 0;
    /// Queues the request until a worker that is not excluded accepts it.
    virtual void wait_for_worker(relay_exchange& exchange,
                                 std::set<worker_id> const& excluded) = 0;
    /// Removes the request from the queue and cancels its grant request.
    virtual void stop_waiting(relay_exchange& exchange) = 0;
    /// The worker has begun to answer a request that it runs.
    virtual void on_first_byte(relay_exchange& exchange) = 0;
    /// The head of a stream's answer arrived. Returns the version of the
    /// software that runs the stream; nullopt if it is not certain, as the
    /// worker may have started again since it was listed. May hold the events
    /// back.
    virtual std::optional<software_version>
    on_stream_begun(relay_exchange& exchange) = 0;
    /// More bytes of a stream arrived; `gap` is the time since the previous
    /// bytes.
    virtual void on_stream_bytes(duration gap) = 0;
    /// Bounds what the exchanges hold of their answers.
    virtual answer_memory& answers() = 0;
    /// A stream was cut since its caller does not read it.
    virtual void on_slow_caller() = 0;
    /// The worker has sent nothing for long.
    virtual void on_worker_silent(relay_exchange const& exchange) = 0;
    /// The current send goes on beside further sends of the request. Returns
    /// the ticket that it is accounted for under from now on.
    virtual ticket_id keep_send(relay_exchange const& exchange) = 0;
    /// The send of keep_send() is the current send again. Precondition: the
    /// request waits for no worker and has no other current send.
    virtual void restore_send(relay_exchange const& exchange,
                              ticket_id kept) = 0;
    /// The send of exchange.send_ticket() has ended.
    virtual void on_send_ended(relay_exchange& exchange,
                               send_outcome outcome) = 0;
    /// The worker announced in its answer that it is about to leave.
    virtual void on_worker_leaving(relay_exchange const& exchange) = 0;
    /// The worker asked in its answer that this VM sends it no requests before
    /// `until`.
    virtual void on_backoff_requested(relay_exchange const& exchange,
                                      time_point until) = 0;
    /// The worker named a limit in its answer, or none.
    virtual void on_limit_stated(relay_exchange const& exchange,
                                 std::optional<double> per_second) = 0;
    /// The worker stated in its answer how many rejections in a second it
    /// tolerates; nullopt: any number.
    virtual void
    on_tolerance_stated(service_id const& service, worker_id const& worker,
                        time_point sent_at,
                        std::optional<std::uint32_t> per_second) = 0;
    /// The connection closed before the worker's answer was complete.
    virtual void on_connection_lost(relay_exchange const& exchange) = 0;
    /// How long to wait for the first byte of an answer from the exchange's
    /// worker.
    virtual duration
    first_byte_timeout(relay_exchange const& exchange) const = 0;
    /// Returns the Retry-After for the caller, with jitter: the time until some
    /// worker of the service ends its backoff towards this VM, at least
    /// `min_delay`.
    virtual duration retry_after(relay_exchange const& exchange,
                                 duration min_delay) = 0;
    /// Reserves one retry of the service's retry budget. Returns false if the
    /// budget is used up.
    virtual bool try_reserve_retry(relay_exchange const& exchange) = 0;
    /// The reserved retry is sent now.
    virtual void on_retry_sent(relay_exchange const& exchange) = 0;
    /// The retry that was sent last reached no worker and is reserved again.
    virtual void on_retry_not_sent(relay_exchange const& exchange) = 0;
    /// The reserved retry will not be sent.
    virtual void release_retry(relay_exchange const& exchange) = 0;
    /// Schedules a call of exchange.on_due() at `when`, in place of an earlier
    /// one; `never` cancels it.
    virtual void wake_at(relay_exchange& exchange, time_point when) = 0;
    /// Logs the event with the state of the request.
    virtual void log_request_event(relay_exchange const& exchange,
                                   std::string_view event,
                                   std::string_view reason) = 0;
    /// The exchange is over. It may be destroyed once this call has returned.
    virtual void on_finished(relay_exchange& exchange,
                             relay_outcome outcome) = 0;
};

/// What was decided when a request arrived. Immutable.
struct exchange_terms
{
    ticket_id ticket;
    service_id service;
    /// Owned by `config`.
    route const* matched = nullptr;
    std::shared_ptr<routing_config const> config;
    time_point arrived_at{};
    /// As in work_item.
    double team_weight = 1;
    time_point give_up_at = never;
    /// When the answer should begin.
    time_point objective_at = never;
    bool engine = false;
    /// As in forward_options.
    std::optional<team_id> team;
    /// 0 is the most urgent.
    int priority = 0;
};

/// Relays one request of a caller to a worker and the answer back. A request is
/// sent again only if it did not run (the worker says so, or nothing reached
/// the worker) or if running it twice is allowed. A stream that has begun and
/// may run again is tried until its time is over. Any other failure ends the
/// request at once with an error that does not claim that the request did not
/// run. Thread safety: none; used on the relay's thread.
class relay_exchange : public std::enable_shared_from_this<relay_exchange>
{
public:
    /// `host` outlives this object.
    relay_exchange(exchange_host& host, exchange_terms terms,
                   relay_request request, std::shared_ptr<http_answer> answer);

    /// Queues the request for a worker. Called once.
    void start();
    /// Sends the request to the chosen worker.
    void on_placed(place_request const& placed);
    /// The chosen worker's limit has no room: queues the request again.
    void on_postponed();
    /// The chosen worker must not run the request: queues it for another one.
    void on_unsuitable(worker_id const& worker);
    /// No worker will be chosen; ends the request with `why`, or with
    /// error_kind::outcome_unknown if an earlier send may have run.
    void on_refused(error const& why);
    /// As on_refused, and ends all sends first.
    void on_stopped(error const& why);
    /// Handles timeouts; called at the time given to exchange_host::wake_at.
    void on_due();
    /// The request's adapter version was superseded before its answer began:
    /// the send is ended, and the request is sent again if it is retryable.
    void on_withdrawn();
    /// The same for a send that is kept under `ticket`.
    void on_kept_send_withdrawn(ticket_id ticket);
    void on_caller_gone();
    /// The stream that the request takes up began at workers with this version
    /// of their software. Called before start().
    void keep_to_version(software_version const& software)
    {
        stream_version_ = software;
    }

    /// Passes no event on to the caller before the returned gate is open.
    /// Precondition: the stream has begun, and none was passed on.
    std::shared_ptr<answer_gate> hold_events();

    exchange_terms const& terms() const { return terms_; }
    relay_request const& request() const { return request_; }
    /// Computed on the first call.
    request_identity const& identity() const;
    worker_id const& worker() const { return send_.worker.id; }
    /// The ticket that the current send is accounted for under.
    ticket_id send_ticket() const { return send_.ticket; }
    /// The worker's registry entry as of the last send.
    backend_entry const& worker_entry() const { return send_.worker; }
    /// Sends that reached a worker, rejected ones included.
    int sends() const { return sends_; }
    /// Where the last send went out.
    connection_place place() const { return send_.place; }
    /// HTTP status of the current worker's answer.
    int status() const { return send_.reply.status; }
    /// The caller has the beginning of a stream.
    bool has_begun() const { return stream_begun_; }
    /// True if no worker can have begun to run the request.
    bool never_ran() const { return runs_ == 0; }
    /// True if the worker of the last send ran the request and completed its
    /// answer. An answer that is delimited only by the end of its connection
    /// does not count, since it may have been cut short.
    bool answer_complete() const
    {
        return send_.is_framed && !send_.reply.not_run;
    }
    bool is_over() const { return stage_ == stage::over; }
    /// Whether the answer is a stream that other workers and VMs may go on
    /// with.
    bool begins_resumable_stream() const;
    /// The caller's try that began the stream: this one, or the one that it
    /// resumes.
    request_id const& stream() const;
    /// The version of the workers' software that began the stream; nullopt if
    /// none has, or if it is not certain.
    std::optional<software_version> const& stream_version() const
    {
        return stream_version_;
    }
    /// The request was placed, and its worker's limit had no room for it.
    bool was_postponed() const { return postponed_; }
    /// What the request has waited for since it arrived.
    wait_breakdown& waits() { return waits_; }
    wait_breakdown const& waits() const { return waits_; }
    time_point sent_at() const { return send_.sent_at; }
    /// Time from the request's arrival to its last send; 0 if the request was
    /// never sent.
    duration queueing_delay() const
    {
        return send_.sent_at == time_point()
                   ? duration(0)
                   : send_.sent_at - terms_.arrived_at;
    }

private:
    class attempt;
    enum class stage
    {
        waiting,
        sent,
        /// The worker's answer has begun; nothing has been passed on yet.
        buffering,
        streaming,
        over
    };

    void on_head(int status, http_headers headers);
    void on_body(std::string_view bytes);
    void on_end(bool framed);
    void on_failure(call_stage at, std::string const& reason);

    std::shared_ptr<std::string const> body();
    /// True if the route allows running the request twice.
    bool is_retryable() const;
    /// Whether the request may run at one more worker.
    bool may_run_again() const;
    /// Whether it may be sent once more without a pause.
    bool has_sends_left() const;
    /// Reserves a retry if the request may be sent again after a send that may
    /// have run.
    bool try_reserve_retry();
    /// Reserves a retry of the service's budget for the next send.
    bool reserve_retry();
    void begin_stream();
    /// Writes the complete events that `events_` has returned to the caller.
    void pass_on(std::string events);
    void update_held_bytes();
    /// Limit on the bytes of an incomplete event.
    std::size_t max_incomplete_bytes() const;
    void finish_stream(bool framed);
    void finish_rejected();
    void finish_answer();
    void end_send(send_outcome outcome);
    void refuse(error const& why);
    /// Sends the request again if that is allowed; otherwise ends it with an
    /// error.
    void retry_or_fail(send_outcome outcome, std::string_view reason);
    void resubmit(std::string_view reason);
    void queue_again(std::string_view reason);
    /// Schedules another try of a begun stream and returns true if it may run
    /// again. Precondition: no send is open, and the request is not queued.
    bool try_later(std::string_view reason);
    void try_again();
    void respond_with_error(error problem, relay_outcome outcome,
                            std::string_view reason);
    void end(relay_outcome outcome);
    void schedule_wake();
    /// When the current send's worker counts as silent; `never` if the request
    /// must not be sent again.
    time_point silent_at() const;
    /// Notes what the answer's head says of the worker.
    void note_statements();
    /// What the send's answer without success says of its worker.
    send_outcome outcome_of_rejection() const;

    // The sends to silent workers; see relay_silence.cpp.
    void keep_silent_send();
    /// Whether the answer of `reply` can be passed on in place of what a silent
    /// worker may still send.
    bool takes_over(worker_reply const& reply) const;
    bool is_kept(std::uint64_t number) const;
    void on_kept_head(std::uint64_t number, int status, http_headers headers);
    void on_kept_body(std::uint64_t number, std::string_view bytes);
    void on_kept_end(std::uint64_t number, bool framed);
    void on_kept_failure(std::uint64_t number, call_stage at);
    /// Makes the kept send the current one, and ends all others.
    void go_on_with(std::uint64_t number);
    /// Makes the kept send the current one. Precondition: the current one has
    /// ended.
    void restore(std::uint64_t number);
    /// Goes on waiting for a silent worker if there is one.
    bool wait_for_silent_worker(std::string_view reason);
    worker_send& kept(std::uint64_t number);
    void end_kept_send(std::uint64_t number, send_outcome outcome);
    void end_kept_sends(send_outcome outcome);
    void end_wait();
    /// True for an error status, or if the answer carries the proof that it is
    /// the worker's and is not content-encoded.
    bool is_answer_acceptable() const;

    exchange_host& host_;
    exchange_terms const terms_;
    relay_request request_;
    mutable std::optional<request_identity> identity_;
    std::shared_ptr<http_answer> answer_;
    stage stage_ = stage::waiting;
    /// The current send, or the last one.
    worker_send send_;
    /// Sends to workers that were silent when the request was sent again or
    /// queued again. They end when another answer or its first event is passed
    /// on.
    std::vector<worker_send> kept_sends_;
    std::uint64_t last_number_ = 0;
    /// No send counts as silent for what was before.
    time_point listens_since_{};
    std::set<worker_id> excluded_workers_;
    /// Sends that reached a worker, rejected ones included.
    int sends_ = 0;
    /// Sends that may have run.
    int runs_ = 0;
    /// `sends_` at the last pause between tries.
    int sends_before_pause_ = 0;
    /// The next pause between two tries of a begun stream.
    duration retry_pause_{};
    /// When a begun stream that is not queued is tried again.
    time_point next_try_at_ = never;
    /// The next send is a retry that is reserved in the service's budget.
    bool retry_reserved_ = false;
    bool postponed_ = false;
    wait_breakdown waits_;
    answer_body body_;
    /// Of `body_` and the incomplete events of all sends.
    buffered_bytes held_bytes_;
    /// The stream of the current send.
    event_splitter events_;
    bool stream_begun_ = false;
    std::optional<software_version> stream_version_;
};

} // namespace mulberry

#endif
