/// One request of a caller, from its arrival to the last byte of its answer.
#ifndef MULBERRY_RELAY_EXCHANGE_HPP
#define MULBERRY_RELAY_EXCHANGE_HPP

#include "backend_pool.hpp"
#include "event_splitter.hpp"
#include "http_server.hpp"
#include "relay_codec.hpp"
#include "service_scheduler.hpp"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace mulberry
{

class relay_exchange;

/// How a request ended, for metrics and the log.
enum class relay_outcome
{
    served,
    /// The worker's own answer says failure.
    worker_failed,
    refused,
    failed,
    caller_gone
};

/// What an exchange needs of the relay.
class exchange_host
{
public:
    virtual ~exchange_host() = default;
    virtual time_point now() const = 0;
    virtual relay_codec const& codec() const = 0;
    virtual backend_pool& pool() = 0;
    /// Waits for a worker that is not excluded.
    virtual void wait_for_worker(relay_exchange& exchange,
                                 std::set<worker_id> const& excluded) = 0;
    virtual void stop_waiting(relay_exchange& exchange) = 0;
    virtual void on_first_byte(relay_exchange& exchange) = 0;
    /// More of a stream came, that long after what came before it.
    virtual void on_stream_bytes(duration gap) = 0;
    /// The send to the worker is over.
    virtual void on_send_ended(relay_exchange& exchange,
                               send_outcome outcome) = 0;
    /// The worker said that it leaves.
    virtual void on_worker_leaving(relay_exchange const& exchange) = 0;
    /// The worker turned the request away, and wants none from this VM until
    /// then.
    virtual void on_backoff_requested(relay_exchange const& exchange,
                                      time_point until) = 0;
    /// The connection closed before the worker's answer was whole.
    virtual void on_connection_lost(relay_exchange const& exchange) = 0;
    virtual duration
    first_byte_timeout(relay_exchange const& exchange) const = 0;
    /// When its caller is to come back: when some worker of its service takes
    /// requests of this VM again, after `least` at the earliest.
    virtual duration retry_after(relay_exchange const& exchange,
                                 duration min_delay) = 0;
    /// Takes one repeated send of the service, if the limit allows.
    virtual bool try_take_retry(relay_exchange const& exchange) = 0;
    /// Calls back on_due() at that moment; `never` for not at all.
    virtual void wake_at(relay_exchange& exchange, time_point when) = 0;
    virtual void log_request_event(relay_exchange const& exchange,
                                   std::string_view event,
                                   std::string_view reason) = 0;
    /// Nothing more will happen; the exchange may be destroyed after return.
    virtual void on_finished(relay_exchange& exchange,
                             relay_outcome outcome) = 0;
};

/// What was decided on a request's arrival. Immutable.
struct exchange_terms
{
    ticket_id ticket;
    service_id service;
    /// Kept alive by `config`.
    route const* matched = nullptr;
    std::shared_ptr<routing_config const> config;
    time_point arrived_at{};
    time_point give_up_at = never;
    bool engine = false;
    /// As in send_terms.
    std::optional<team_id> team;
    /// 0 is the most urgent.
    int priority = 0;
};

/// A request is sent again only where it did not run, by the worker's own word
/// or because nothing reached it, or where it may run twice. Everything else
/// ends at once with an answer that does not promise that it did not run.
/// Thread safety: none; used on the relay's thread.
class relay_exchange : public std::enable_shared_from_this<relay_exchange>
{
public:
    /// `host` outlives this object.
    relay_exchange(exchange_host& host, exchange_terms terms,
                   relay_request request, std::shared_ptr<http_answer> answer);

    void start();
    void on_placed(place_request const& placed);
    void on_refused(error const& why);
    void on_due();
    /// It may not begin at its worker any more.
    void on_withdrawn();
    void on_caller_gone();

    exchange_terms const& terms() const { return terms_; }
    relay_request const& request() const { return request_; }
    /// Computed when it is first asked for.
    request_identity const& identity() const;
    worker_id const& worker() const { return worker_.id; }
    /// The worker's entry as of the last send.
    backend_entry const& worker_entry() const { return worker_; }
    int sends() const { return sends_; }
    int status() const { return reply_.status; }
    /// Whether no worker may have begun to run it.
    bool never_ran() const { return runs_ == 0; }
    /// Whether the worker of the last send ran the request to the end of an
    /// answer. One that ends with its connection may have been cut short.
    bool answer_complete() const { return answer_framed_ && !reply_.not_run; }
    time_point sent_at() const { return sent_at_; }
    /// How long it waited before it was last sent; 0 if it never was.
    duration queueing_delay() const
    {
        return sent_at_ == time_point() ? duration(0)
                                        : sent_at_ - terms_.arrived_at;
    }

private:
    class attempt;
    enum class stage
    {
        waiting,
        sent,
        /// The worker's answer has begun; nothing is passed on yet.
        buffering,
        streaming,
        over
    };

    void on_head(int status, http_headers headers);
    void on_body(std::string_view bytes);
    void on_end(bool framed);
    void on_failure(call_stage at, std::string const& reason);

    bool is_retryable() const;
    bool try_reserve_retry();
    void begin_stream();
    void forward_stream(std::string_view bytes);
    void finish_stream();
    void finish_rejected();
    void finish_answer();
    void end_send(send_outcome outcome);
    /// Sends again where that is allowed; else ends with an error that fits.
    void retry_or_fail(send_outcome outcome, std::string_view reason);
    void resubmit(std::string_view reason);
    void respond_with_error(error problem, relay_outcome outcome,
                            std::string_view reason);
    void end(relay_outcome outcome);
    void schedule_wake();
    bool is_answer_acceptable() const;

    exchange_host& host_;
    exchange_terms const terms_;
    relay_request request_;
    mutable std::optional<request_identity> identity_;
    std::shared_ptr<http_answer> answer_;
    stage stage_ = stage::waiting;
    backend_entry worker_;
    std::shared_ptr<backend_exchange> running_;
    std::uint64_t attempt_number_ = 0;
    std::set<worker_id> excluded_;
    /// Sends that reached a worker, rejected ones among them.
    int sends_ = 0;
    /// Sends that may have run.
    int runs_ = 0;
    time_point sent_at_{};
    std::string placement_reason_;
    time_point last_byte_at_{};
    worker_reply reply_;
    bool answer_framed_ = false;
    http_headers headers_;
    std::string body_;
    event_splitter events_;
    bool stream_begun_ = false;
};

} // namespace mulberry

#endif
