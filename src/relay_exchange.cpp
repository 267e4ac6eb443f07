#include "relay_exchange.hpp"

#include <algorithm>
#include <utility>

namespace mulberry
{
namespace
{

using std::chrono::milliseconds;

constexpr int first_non_success_status = 300;
constexpr int first_server_error = 500;
/// A request is sent at most this often without a pause: when several workers
/// in turn reject it, this VM's view of the workers is stale and the caller may
/// do better at another VM.
constexpr int max_sends = 4;
/// Pause before a begun stream is tried again; it doubles with each try in
/// vain.
constexpr milliseconds min_retry_pause{100};
constexpr milliseconds max_retry_pause{1000};
/// Limit on a buffered (not streamed) answer; the largest that the services
/// give are some kilobytes.
constexpr std::size_t max_buffered_bytes = 8UL * 1024 * 1024;
/// A resumable stream with a longer gap is resumed at another worker: callers
/// give up after two seconds without an event.
constexpr milliseconds max_stream_gap{900};
/// Retry-After for a request that was not run and may succeed elsewhere.
constexpr milliseconds overload_retry_delay{60};
/// Limit on the bytes of a stream that its caller has not read; a caller that
/// lags further behind is disconnected.
constexpr std::size_t max_unsent_bytes = 1UL * 1024 * 1024;
/// Limit on the bytes of one event, which are held until it is complete.
constexpr std::size_t max_event_bytes = 1UL * 1024 * 1024;

/// Within a region, connecting takes milliseconds; a connection that is not
/// open after this time will not open.
constexpr milliseconds connect_timeout{300};
/// The peer may have dropped an idle pooled connection without notice. A
/// request that must not run twice is sent only on a connection that was used
/// recently.
constexpr milliseconds max_idle_if_retryable{3000};
constexpr milliseconds max_idle_if_not_retryable{1000};

/// True for statuses by which callers conclude that the request was not run and
/// never will be.
bool implies_not_run(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

/// Whether a request that is refused with `kind` may find a worker later.
bool may_pass(error_kind kind)
{
    return kind == error_kind::overloaded ||
           kind == error_kind::back_end_unavailable;
}

} // namespace

/// Forwards the events of one send; ignores them once the send has ended.
class relay_exchange::attempt final : public exchange_observer
{
public:
    attempt(std::shared_ptr<relay_exchange> parent, std::uint64_t number)
        : exchange_(std::move(parent)), number_(number)
    {
    }
    void on_head(int status, http_headers headers) override
    {
        if (is_current())
            exchange_->on_head(status, std::move(headers));
        else if (exchange_->is_kept(number_))
            exchange_->on_kept_head(number_, status, std::move(headers));
    }
    void on_body(std::string_view bytes) override
    {
        if (is_current())
            exchange_->on_body(bytes);
        else if (exchange_->is_kept(number_))
            exchange_->on_kept_body(number_, bytes);
    }
    void on_end(bool framed) override
    {
        if (is_current())
            exchange_->on_end(framed);
        else if (exchange_->is_kept(number_))
            exchange_->on_kept_end(number_, framed);
    }
    void on_failure(call_stage at, std::string const& reason) override
    {
        if (is_current())
            exchange_->on_failure(at, reason);
        else if (exchange_->is_kept(number_))
            exchange_->on_kept_failure(number_, at);
    }

private:
    bool is_current() const { return exchange_->send_.number == number_; }

    std::shared_ptr<relay_exchange> exchange_;
    std::uint64_t number_;
};

bool relay_exchange::begins_resumable_stream() const
{
    return terms_.matched->repeats == repeat_rule::stream &&
           terms_.matched->resumable;
}

request_id const& relay_exchange::stream() const
{
    return request_.resumes ? *request_.resumes : request_.id;
}

relay_exchange::relay_exchange(exchange_host& host, exchange_terms terms,
                               relay_request request,
                               std::shared_ptr<http_answer> answer)
    : host_(host), terms_(std::move(terms)), request_(std::move(request)),
      answer_(std::move(answer)), held_bytes_(host.answers())
{
}

request_identity const& relay_exchange::identity() const
{
    if (!identity_)
        identity_ = identity_of(request_);
    return *identity_;
}

void relay_exchange::start()
{
    schedule_wake();
    host_.wait_for_worker(*this, excluded_workers_);
}

void relay_exchange::schedule_wake()
{
    host_.wake_at(*this,
                  std::min({terms_.give_up_at, silent_at(), next_try_at_}));
}

time_point relay_exchange::silent_at() const
{
    if (!is_retryable())
        return never;
    if (stage_ == stage::sent && runs_ <= terms_.matched->worker_limit)
        return std::max(send_.sent_at, listens_since_) +
               host_.first_byte_timeout(*this);
    if (stage_ == stage::streaming)
        return std::max(send_.last_byte_at, listens_since_) + max_stream_gap;
    return never;
}

bool relay_exchange::is_retryable() const
{
    route const& matched = *terms_.matched;
    return matched.repeats == repeat_rule::idempotent ||
           (matched.repeats == repeat_rule::stream && matched.resumable);
}

void relay_exchange::on_placed(place_request const& placed)
{
    backend_entry const& worker = placed.entry;
    stage_ = stage::sent;
    send_ = {};
    send_.number = ++last_number_;
    send_.ticket = terms_.ticket;
    send_.worker = worker;
    send_.sent_at = host_.now();
    waits_.end(send_.sent_at);
    send_.placement_reason = placed.reason;
    body_.clear();
    events_.begin_answer();
    update_held_bytes();
    ++sends_;
    ++runs_;
    send_.is_retry = std::exchange(retry_reserved_, false);
    if (send_.is_retry)
        host_.on_retry_sent(*this);
    forward_options terms;
    terms.worker = worker.id;
    terms.version = placed.version;
    if (placed.prefix_source)
        terms.copy_prompt_from = placed.prefix_source->address + ":" +
                                 std::to_string(placed.prefix_source->port);
    terms.time_left =
        std::max<duration>(terms_.give_up_at - send_.sent_at, milliseconds(1));
    terms.team = terms_.team;
    if (terms_.engine)
        terms.priority = terms_.priority;
    terms.resume_after = request_.last_event;
    if (stream_begun_ && events_.last_id())
        terms.resume_after = events_.last_id();
    exchange_options options;
    options.connect_timeout = connect_timeout;
    options.max_idle =
        is_retryable() ? max_idle_if_retryable : max_idle_if_not_retryable;
    options.mark =
        answer_mark{host_.codec().request_id_field(), request_.id.str()};
    send_.call = host_.start_send(
        *this, {host_.codec().encode_head(request_, terms), body()}, options,
        std::make_shared<attempt>(shared_from_this(), send_.number));
    send_.place = send_.call->place();
    if (sends_ > 1)
        host_.log_request_event(*this, "sent again", placed.reason);
    schedule_wake();
}

/// The body is as old as the exchange, which the returned pointer keeps.
std::shared_ptr<std::string const> relay_exchange::body()
{
    if (request_.body.empty())
        return nullptr;
    return {shared_from_this(), &request_.body};
}

void relay_exchange::on_postponed()
{
    postponed_ = true;
    if (stage_ == stage::waiting)
        host_.wait_for_worker(*this, excluded_workers_);
}

void relay_exchange::on_unsuitable(worker_id const& worker)
{
    if (stage_ != stage::waiting)
        return;
    excluded_workers_.insert(worker);
    host_.wait_for_worker(*this, excluded_workers_);
}

void relay_exchange::on_refused(error const& why)
{
    if (wait_for_silent_worker(why.text()) ||
        (may_pass(why.kind()) && try_later(why.text())))
        return;
    refuse(why);
}

void relay_exchange::on_stopped(error const& why)
{
    if (stage_ == stage::over)
        return;
    if (stage_ == stage::waiting)
        host_.stop_waiting(*this);
    else
        end_send(send_outcome::abandoned);
    end_kept_sends(send_outcome::abandoned);
    refuse(why);
}

void relay_exchange::refuse(error const& why)
{
    if (stream_begun_)
    {
        host_.log_request_event(*this, "stream cut", why.text());
        answer_->abort();
        return end(relay_outcome::failed);
    }
    // An answer must not claim that a request did not run if an earlier send
    // may have run.
    if (runs_ > 0)
        return respond_with_error(error(error_kind::outcome_unknown,
                                        "no worker is left to try again"),
                                  relay_outcome::failed, why.text());
    respond_with_error(why, relay_outcome::refused, why.text());
}

void relay_exchange::on_due()
{
    if (stage_ == stage::over)
        return;
    time_point const now = host_.now();
    if (now < terms_.give_up_at)
    {
        if (now >= next_try_at_)
            return try_again();
        bool const silent = now >= silent_at();
        if (silent && try_reserve_retry())
        {
            keep_silent_send();
            return resubmit("the worker is silent");
        }
        // The retry budget may have room later.
        if (silent && stream_begun_ && may_run_again())
            listens_since_ = now;
        // If the request must not be sent again, wait until the deadline.
        return now >= silent_at() ? host_.wake_at(*this, terms_.give_up_at)
                                  : schedule_wake();
    }
    if (stage_ == stage::waiting)
    {
        host_.stop_waiting(*this);
        if (runs_ == 0 && !stream_begun_)
            return respond_with_error(
                error(error_kind::overloaded, "no worker was free in time",
                      ran::no, overload_retry_delay),
                relay_outcome::refused, "deadline while waiting");
    }
    else
        end_send(send_outcome::silent);
    end_kept_sends(send_outcome::silent);
    if (stream_begun_)
    {
        host_.log_request_event(*this, "stream cut", "deadline");
        answer_->abort();
        return end(relay_outcome::failed);
    }
    respond_with_error(
        error(error_kind::deadline_passed, "the worker gave no answer"),
        relay_outcome::failed, "deadline");
}

void relay_exchange::on_withdrawn()
{
    if (stage_ == stage::sent)
        retry_or_fail(send_outcome::abandoned, "its version was replaced");
}

void relay_exchange::on_caller_gone()
{
    if (stage_ == stage::over)
        return;
    if (stage_ == stage::waiting)
        host_.stop_waiting(*this);
    else
        end_send(send_outcome::abandoned);
    end_kept_sends(send_outcome::abandoned);
    end(relay_outcome::caller_gone);
}

void relay_exchange::on_head(int status, http_headers headers)
{
    send_.reply = host_.codec().decode_reply(status, headers, request_);
    if (send_.reply.mismatched)
    {
        // This connection delivered the late answer to another request. Whether
        // this request ran is unknown.
        send_.call->cancel();
        return retry_or_fail(send_outcome::broken,
                             "an answer to another request");
    }
    send_.last_byte_at = host_.now();
    runs_ -= send_.reply.not_run;
    note_statements();
    // The worker whose head the caller gets determines the stream's version.
    if (!stream_begun_ && send_.reply.event_stream && takes_over(send_.reply))
        end_kept_sends(send_outcome::silent);
    send_.headers = host_.codec().answer_headers(headers);
    stage_ = stage::buffering;
    if (!send_.reply.not_run)
    {
        host_.on_first_byte(*this);
        if (send_.last_byte_at - terms_.arrived_at >
            terms_.matched->latency_objective / 2)
            host_.log_request_event(*this, "slow", send_.placement_reason);
    }
    if (status < first_non_success_status && send_.reply.event_stream)
    {
        if (!is_answer_acceptable())
        {
            send_.call->cancel();
            return retry_or_fail(send_outcome::broken,
                                 "the answer has no proof");
        }
        return begin_stream();
    }
    host_.wake_at(*this, terms_.give_up_at);
}

void relay_exchange::note_statements()
{
    if (send_.reply.leaving && !send_.reply.other_worker)
        host_.on_worker_leaving(*this);
    if (send_.reply.backoff)
        host_.on_backoff_requested(*this,
                                   send_.last_byte_at + *send_.reply.backoff);
    if (!send_.reply.limit.malformed && !send_.reply.other_worker)
        host_.on_limit_stated(*this, send_.reply.limit.per_second);
    if (!send_.reply.tolerance.malformed && !send_.reply.other_worker)
        host_.on_tolerance_stated(terms_.service, send_.worker.id,
                                  send_.sent_at,
                                  send_.reply.tolerance.per_second);
}

bool relay_exchange::is_answer_acceptable() const
{
    return send_.reply.status >= first_non_success_status ||
           (send_.reply.sealed && !send_.reply.encoded);
}

bool relay_exchange::takes_over(worker_reply const& reply) const
{
    if (reply.mismatched || reply.not_run)
        return false;
    if (reply.status >= first_non_success_status)
        return !stream_begun_ && reply.status < first_server_error &&
               !implies_not_run(reply.status);
    return reply.sealed && !reply.encoded &&
           (!stream_begun_ || reply.event_stream);
}

void relay_exchange::begin_stream()
{
    stage_ = stage::streaming;
    send_.streams = true;
    if (!std::exchange(stream_begun_, true))
    {
        answer_->start_stream(send_.reply.status, send_.headers);
        stream_version_ = host_.on_stream_begun(*this);
    }
    events_.begin_answer();
    schedule_wake();
}

std::shared_ptr<answer_gate> relay_exchange::hold_events()
{
    auto gate = std::make_shared<answer_gate>(answer_);
    answer_ = gate;
    return gate;
}

void relay_exchange::on_body(std::string_view bytes)
{
    if (stage_ == stage::streaming)
        return pass_on(events_.feed(bytes));
    if (body_.size() + bytes.size() > host_.answers().limit(max_buffered_bytes))
    {
        send_.call->cancel();
        return retry_or_fail(send_outcome::broken, "the answer is too large");
    }
    body_.append(bytes);
    update_held_bytes();
}

void relay_exchange::pass_on(std::string events)
{
    time_point const at = host_.now();
    host_.on_stream_bytes(at - std::exchange(send_.last_byte_at, at));
    if (!events.empty() && events_.answer_has_events())
    {
        end_kept_sends(send_outcome::abandoned);
        retry_pause_ = {};
    }
    if (!events.empty())
        answer_->write(std::move(events));
    update_held_bytes();
    if (events_.incomplete_bytes() > max_incomplete_bytes())
        return retry_or_fail(send_outcome::broken, "an event is too large");
    if (answer_->unsent_bytes() > host_.answers().limit(max_unsent_bytes))
    {
        host_.on_slow_caller();
        host_.log_request_event(*this, "stream cut",
                                "the caller does not read");
        end_send(send_outcome::abandoned);
        answer_->abort();
        end(relay_outcome::caller_gone);
    }
}

std::size_t relay_exchange::max_incomplete_bytes() const
{
    return host_.answers().limit(max_event_bytes);
}

void relay_exchange::update_held_bytes()
{
    std::size_t bytes = body_.size() + events_.incomplete_bytes();
    for (worker_send const& each : kept_sends_)
        bytes += each.events.incomplete_bytes();
    held_bytes_.set(bytes);
}

void relay_exchange::on_end(bool framed)
{
    if (stage_ == stage::streaming)
        return finish_stream(framed);
    send_.is_framed = framed;
    if (send_.reply.not_run)
        return finish_rejected();
    finish_answer();
}

/// Failure: a worker that ends closes its connection like one that has finished
/// its answer, or frames what it has sent, and a caller gets the first half of
/// an event as the end of a complete stream. So a stream is complete only at
/// the end of an event.
void relay_exchange::finish_stream(bool framed)
{
    bool const proven = framed || events_.answer_has_events();
    if (!proven || events_.is_within_event())
    {
        if (!framed)
            host_.on_connection_lost(*this);
        return retry_or_fail(send_outcome::broken,
                             !proven  ? "it ended without an event"
                             : framed ? "its framing ended within an event"
                                      : "its connection ended within an event");
    }
    send_.is_framed = framed;
    end_send(send_outcome::served);
    answer_->write(events_.take_rest());
    answer_->finish();
    end(relay_outcome::served);
}

send_outcome relay_exchange::outcome_of_rejection() const
{
    return send_.reply.other_worker  ? send_outcome::unreachable
           : send_.reply.lacks_model ? send_outcome::not_held
                                     : send_outcome::full;
}

/// The worker states that it did not run the request, so another worker may get
/// the request.
void relay_exchange::finish_rejected()
{
    excluded_workers_.insert(send_.worker.id);
    end_send(outcome_of_rejection());
    if (has_sends_left() && reserve_retry())
        return resubmit("rejected by the worker");
    stage_ = stage::waiting;
    on_refused(error(error_kind::overloaded, "workers rejected it", ran::no,
                     host_.retry_after(*this, overload_retry_delay)));
}

void relay_exchange::finish_answer()
{
    if (!is_answer_acceptable())
        return retry_or_fail(send_outcome::broken, "the answer has no proof");
    // Failure: a worker runs the request but answers with a status that callers
    // take for "not run"; the callers send the request again and it runs twice.
    if (implies_not_run(send_.reply.status))
        return retry_or_fail(send_outcome::failed,
                             "the worker does not state that it did not run");
    bool const failed = send_.reply.status >= first_server_error;
    if ((stream_begun_ || !kept_sends_.empty()) && !takes_over(send_.reply))
        return retry_or_fail(send_outcome::failed, "the worker failed");
    end_kept_sends(send_outcome::silent);
    if (failed && try_reserve_retry())
    {
        end_send(send_outcome::failed);
        return resubmit("the worker failed");
    }
    end_send(failed ? send_outcome::failed : send_outcome::served);
    if (failed)
        host_.log_request_event(*this, "worker failed",
                                "its own answer is passed on");
    held_bytes_.set(0);
    answer_->respond(
        {send_.reply.status, std::move(send_.headers), body_.take()});
    end(failed ? relay_outcome::worker_failed : relay_outcome::served);
}

void relay_exchange::on_failure(call_stage at, std::string const& reason)
{
    if (at == call_stage::not_sent)
    {
        // Nothing reached the worker, so neither a run nor a send is counted.
        --runs_;
        --sends_;
        retry_reserved_ = std::exchange(send_.is_retry, false);
        if (retry_reserved_)
            host_.on_retry_not_sent(*this);
        excluded_workers_.insert(send_.worker.id);
        end_send(send_outcome::unreachable);
        return resubmit(reason);
    }
    if (send_.reply.not_run)
        return finish_rejected();
    host_.on_connection_lost(*this);
    retry_or_fail(send_outcome::broken, reason);
}

bool relay_exchange::may_run_again() const
{
    bool const can_resume =
        !stream_begun_ || (events_.can_resume() && stream_version_);
    return is_retryable() && can_resume && runs_ < terms_.matched->worker_limit;
}

bool relay_exchange::has_sends_left() const
{
    return sends_ - sends_before_pause_ < max_sends;
}

bool relay_exchange::try_reserve_retry()
{
    return may_run_again() && has_sends_left() && reserve_retry();
}

bool relay_exchange::reserve_retry()
{
    retry_reserved_ = host_.try_reserve_retry(*this);
    return retry_reserved_;
}

void relay_exchange::retry_or_fail(send_outcome outcome,
                                   std::string_view reason)
{
    end_send(outcome);
    if (try_reserve_retry())
        return resubmit(reason);
    if (wait_for_silent_worker(reason) || try_later(reason))
        return;
    if (stream_begun_)
    {
        host_.log_request_event(*this, "stream cut", reason);
        answer_->abort();
        return end(relay_outcome::failed);
    }
    respond_with_error(error(error_kind::outcome_unknown, std::string(reason)),
                       relay_outcome::failed, reason);
}

void relay_exchange::end_send(send_outcome outcome)
{
    send_.number = 0;
    if (send_.call)
        send_.call->cancel();
    send_.call.reset();
    host_.on_send_ended(*this, outcome);
}

void relay_exchange::resubmit(std::string_view reason)
{
    if (send_.sent_at != time_point() && !stream_begun_)
        waits_.add(wait_cause::retry, host_.now() - send_.sent_at);
    excluded_workers_.insert(send_.worker.id);
    queue_again(reason);
}

void relay_exchange::queue_again(std::string_view reason)
{
    host_.log_request_event(*this, "tries again", reason);
    stage_ = stage::waiting;
    schedule_wake();
    host_.wait_for_worker(*this, excluded_workers_);
}

/// Failure: for a moment all workers are full, or the retries are used up, and
/// a caller loses the stream that it has read half of.
bool relay_exchange::try_later(std::string_view reason)
{
    if (!stream_begun_ || !may_run_again())
        return false;
    time_point const now = host_.now();
    waits_.end(now);
    if (std::exchange(retry_reserved_, false))
        host_.release_retry(*this);
    excluded_workers_.clear();
    sends_before_pause_ = sends_;
    stage_ = stage::waiting;
    next_try_at_ = now + std::clamp<duration>(retry_pause_, min_retry_pause,
                                              max_retry_pause);
    retry_pause_ = 2 * (next_try_at_ - now);
    host_.log_request_event(*this, "tries later", reason);
    schedule_wake();
    return true;
}

void relay_exchange::try_again()
{
    next_try_at_ = never;
    if (reserve_retry())
        return queue_again("its pause is over");
    try_later("the retry budget is used up");
}

void relay_exchange::respond_with_error(error problem, relay_outcome outcome,
                                        std::string_view reason)
{
    host_.log_request_event(
        *this, outcome == relay_outcome::refused ? "rejected" : "failed",
        reason);
    answer_->respond(host_.codec().error_response(request_, problem));
    end(outcome);
}

void relay_exchange::end(relay_outcome outcome)
{
    end_kept_sends(send_outcome::abandoned);
    stage_ = stage::over;
    send_.number = 0;
    if (std::exchange(retry_reserved_, false))
        host_.release_retry(*this);
    host_.wake_at(*this, never);
    host_.on_finished(*this, outcome);
}

} // namespace mulberry
