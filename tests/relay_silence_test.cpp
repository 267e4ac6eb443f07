// Silent workers, in virtual time: which of a request's sends is passed on.
#include "relay_callers.hpp"
#include "relay_exchange.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace mulberry;
using namespace mulberry_test;
using namespace std::chrono_literals;

namespace
{

constexpr auto first_byte = 400ms;

/// The worker states that it did not run what it answers with 503.
class status_codec final : public plain_codec
{
public:
    worker_reply decode_reply(int status, http_headers const& headers,
                              relay_request const&) const override
    {
        worker_reply reply;
        reply.status = status;
        reply.sealed = true;
        reply.not_run = status == 503;
        reply.event_stream = headers.find("Stream").has_value();
        return reply;
    }
};

struct caller_answer final : http_answer
{
    void respond(http_response response) override
    {
        ++responses;
        status = response.status;
        body = response.body;
    }
    void start_stream(int started, http_headers) override { status = started; }
    void write(std::string chunk) override { body += chunk; }
    void finish() override { finished = true; }
    void abort() override { aborted = true; }
    void on_closed(std::function<void()>) override {}
    std::size_t unsent_bytes() const override { return 0; }

    int status = 0;
    int responses = 0;
    std::string body;
    bool finished = false;
    bool aborted = false;
};

struct fake_call final : backend_exchange
{
    void cancel() override { cancelled = true; }
    std::shared_ptr<exchange_observer> observer;
    bool cancelled = false;
};

/// Counts what must be balanced when a request is over.
class fake_host final : public exchange_host
{
public:
    time_point now() const override { return at; }
    relay_codec const& codec() const override { return codec_; }
    std::shared_ptr<backend_exchange>
    start_send(relay_exchange const&, outgoing_request, exchange_options const&,
               std::shared_ptr<exchange_observer> observer) override
    {
        calls.push_back(std::make_shared<fake_call>());
        calls.back()->observer = std::move(observer);
        return calls.back();
    }
    void wait_for_worker(relay_exchange&, std::set<worker_id> const&) override
    {
        waits = true;
    }
    void stop_waiting(relay_exchange&) override { waits = false; }
    void on_first_byte(relay_exchange&) override {}
    std::optional<software_version> on_stream_begun(relay_exchange&) override
    {
        return software_version("v1");
    }
    void on_stream_bytes(duration) override {}
    answer_memory& answers() override { return answers_; }
    void on_slow_caller() override {}
    void on_worker_silent(relay_exchange const&) override {}
    ticket_id keep_send(relay_exchange const& exchange) override
    {
        ticket_id const kept(++last_ticket_);
        CHECK(sends.erase(exchange.terms().ticket) == 1);
        sends.insert(kept);
        return kept;
    }
    void restore_send(relay_exchange const& exchange, ticket_id kept) override
    {
        CHECK(sends.erase(kept) == 1);
        CHECK(sends.insert(exchange.terms().ticket).second);
    }
    void on_send_ended(relay_exchange& exchange, send_outcome) override
    {
        CHECK(sends.erase(exchange.send_ticket()) == 1);
    }
    void on_worker_leaving(relay_exchange const&) override {}
    void on_backoff_requested(relay_exchange const&, time_point) override {}
    void on_limit_stated(relay_exchange const&, std::optional<double>) override
    {
    }
    void on_tolerance_stated(service_id const&, worker_id const&, time_point,
                             std::optional<std::uint32_t>) override
    {
    }
    void on_connection_lost(relay_exchange const& exchange) override
    {
        lost.push_back(exchange.worker().str());
    }
    duration first_byte_timeout(relay_exchange const&) const override
    {
        return first_byte;
    }
    duration retry_after(relay_exchange const&, duration least) override
    {
        return least;
    }
    bool try_reserve_retry(relay_exchange const&) override
    {
        reserved += budget_left;
        return budget_left;
    }
    void on_retry_sent(relay_exchange const&) override { --reserved; }
    void on_retry_not_sent(relay_exchange const&) override { ++reserved; }
    void release_retry(relay_exchange const&) override { --reserved; }
    void wake_at(relay_exchange&, time_point when) override { due = when; }
    void log_request_event(relay_exchange const&, std::string_view,
                           std::string_view) override
    {
    }
    void on_finished(relay_exchange&, relay_outcome ended) override
    {
        outcome = ended;
    }

    time_point at{1h};
    time_point due = never;
    std::vector<std::shared_ptr<fake_call>> calls;
    /// Tickets of the sends that have not ended.
    std::set<ticket_id> sends;
    std::vector<std::string> lost;
    bool waits = false;
    /// Retries that are reserved and not sent.
    int reserved = 0;
    bool budget_left = true;
    std::optional<relay_outcome> outcome;

private:
    status_codec codec_;
    answer_memory answers_;
    std::uint64_t last_ticket_ = 100;
};

std::string event(int number)
{
    return "id: " + std::to_string(number) + "\ndata: x\n\n";
}

/// A request that may be repeated, at its first worker.
class silent_request
{
public:
    explicit silent_request(repeat_rule repeats, int worker_limit = 2)
    {
        matched_.repeats = repeats;
        matched_.resumable = true;
        matched_.worker_limit = worker_limit;
        exchange_terms terms;
        terms.ticket = ticket_id(1);
        terms.matched = &matched_;
        terms.arrived_at = host.at;
        terms.give_up_at = host.at + 5s;
        exchange = std::make_shared<relay_exchange>(host, terms,
                                                    relay_request(), answer);
        exchange->start();
        place("w1");
    }
    ~silent_request()
    {
        for (auto const& each : host.calls)
            each->observer.reset();
    }
    silent_request(silent_request const&) = delete;
    silent_request& operator=(silent_request const&) = delete;

    void place(std::string const& worker)
    {
        REQUIRE(host.waits);
        host.waits = false;
        place_request placed;
        placed.ticket = ticket_id(1);
        placed.worker = worker_id(worker);
        placed.entry.id = placed.worker;
        CHECK(host.sends.insert(placed.ticket).second);
        exchange->on_placed(placed);
    }
    void refuse(error_kind kind = error_kind::overloaded)
    {
        REQUIRE(host.waits);
        host.waits = false;
        exchange->on_refused(error(kind, "no worker", ran::no));
    }
    /// Nothing happens until the exchange's next time is due.
    void fall_silent()
    {
        REQUIRE(host.due != never);
        host.at = host.due;
        exchange->on_due();
    }
    void head(std::size_t call, int status, bool streams = false)
    {
        http_headers headers;
        if (streams)
            headers.add("Stream", "1");
        host.calls.at(call)->observer->on_head(status, std::move(headers));
    }
    void body(std::size_t call, std::string const& bytes)
    {
        host.calls.at(call)->observer->on_body(bytes);
    }
    void fail(std::size_t call, call_stage at)
    {
        host.calls.at(call)->observer->on_failure(at, "reset");
    }
    void end(std::size_t call) { host.calls.at(call)->observer->on_end(true); }
    void check_nothing_left(relay_outcome outcome)
    {
        CHECK(host.outcome == outcome);
        CHECK(host.sends.empty());
        CHECK(host.reserved == 0);
        CHECK_FALSE(host.waits);
    }
    bool may_repeat() const { return matched_.repeats != repeat_rule::once; }
    int worker_limit() const { return matched_.worker_limit; }
    bool cancelled(std::size_t call) const
    {
        return host.calls.at(call)->cancelled;
    }

    fake_host host;
    std::shared_ptr<caller_answer> answer = std::make_shared<caller_answer>();
    std::shared_ptr<relay_exchange> exchange;

private:
    route matched_;
};

/// A stream whose worker falls silent after its first event.
struct silent_stream : silent_request
{
    silent_stream() : silent_request(repeat_rule::stream)
    {
        head(0, 200, true);
        body(0, event(1) + "id: 2\nda");
        fall_silent();
        REQUIRE(host.waits);
        REQUIRE_FALSE(cancelled(0));
    }
};

/// A stream whose worker broke off after its first event, at most one more of
/// whose sends may run.
struct broken_stream : silent_request
{
    broken_stream() : silent_request(repeat_rule::stream)
    {
        head(0, 200, true);
        body(0, event(1) + "id: 2\nda");
        fail(0, call_stage::answering);
        REQUIRE(host.waits);
    }
    /// The next try is due and waits for a worker.
    void await_next_try()
    {
        REQUIRE_FALSE(host.outcome);
        REQUIRE_FALSE(host.waits);
        REQUIRE(host.due > host.at);
        REQUIRE(host.due <= host.at + 1s);
        fall_silent();
    }
    void check_goes_on(std::string const& worker)
    {
        place(worker);
        std::size_t const call = host.calls.size() - 1;
        head(call, 200, true);
        body(call, event(2));
        end(call);
        CHECK(answer->body == event(1) + event(2));
        CHECK(answer->finished);
        CHECK_FALSE(answer->aborted);
        check_nothing_left(relay_outcome::served);
    }
};

} // namespace

// Guards against half an event of one worker that goes on with another's.
TEST_CASE("a silent stream that goes on first is passed on whole",
          "[relay_silence]")
{
    silent_stream stream;
    bool const sent_again = GENERATE(true, false);
    if (sent_again)
        stream.place("w2");
    stream.body(0, "ta: x\n\n" + event(3));
    CHECK_FALSE(stream.host.waits);
    stream.end(0);
    CHECK(stream.answer->body == event(1) + event(2) + event(3));
    CHECK(stream.answer->finished);
    if (sent_again)
        CHECK(stream.cancelled(1));
    stream.check_nothing_left(relay_outcome::served);
}

// Guards against bytes of a worker whose stream another one has taken over.
TEST_CASE("the first event of a newer worker ends the silent send",
          "[relay_silence]")
{
    silent_stream stream;
    stream.place("w2");
    stream.head(1, 200, true);
    CHECK_FALSE(stream.cancelled(0));
    stream.body(1, "id: 2\n");
    CHECK_FALSE(stream.cancelled(0));
    stream.body(1, "data: x\n\n");
    CHECK(stream.cancelled(0));
    stream.body(0, "ta: x\n\n");
    stream.end(1);
    CHECK(stream.answer->body == event(1) + event(2));
    stream.check_nothing_left(relay_outcome::served);
}

// Guards against losing a silent worker's stream to a worker that sends no
// event of it.
TEST_CASE("a stream without an event leaves the silent worker's alone",
          "[relay_silence]")
{
    silent_stream stream;
    stream.place("w2");
    stream.head(1, 200, true);
    if (GENERATE(true, false))
        stream.body(1, GENERATE("id: 2\nda", ": comment\n"));
    int const end = GENERATE(0, 1, 2);
    if (end == 1)
        stream.fail(1, call_stage::answering);
    if (end == 2)
        stream.host.calls[1]->observer->on_end(false);
    CHECK_FALSE(stream.host.outcome);
    CHECK_FALSE(stream.cancelled(0));
    stream.body(0, "ta: x\n\n" + event(3));
    CHECK(stream.cancelled(1));
    stream.end(0);
    CHECK(stream.answer->body == event(1) + event(2) + event(3));
    CHECK(stream.answer->finished);
    stream.check_nothing_left(relay_outcome::served);
}

// Guards against mixing what two silent workers have sent of an event.
TEST_CASE("either of two silent streams goes on whole", "[relay_silence]")
{
    silent_request stream(repeat_rule::stream, 3);
    stream.head(0, 200, true);
    stream.body(0, event(1) + "id: 2\nda");
    stream.fall_silent();
    stream.place("w2");
    stream.head(1, 200, true);
    stream.body(1, "id: 2\ndat");
    stream.fall_silent();
    REQUIRE(stream.host.waits);
    if (GENERATE(true, false))
    {
        stream.place("w3");
        stream.head(2, 200, true);
        stream.body(2, "id: 2\nd");
    }
    if (GENERATE(true, false))
        stream.body(0, "ta: x\n\n");
    else
        stream.body(1, "a: x\n\n");
    bool const first = stream.cancelled(1);
    CHECK(stream.cancelled(0) != first);
    stream.end(first ? 0 : 1);
    CHECK(stream.answer->body == event(1) + event(2));
    CHECK(stream.answer->finished);
    stream.check_nothing_left(relay_outcome::served);
}

// Guards against events of one version behind a stream's beginning that is
// recorded under another one.
TEST_CASE("the head that begins a stream ends the silent send",
          "[relay_silence]")
{
    silent_request stream(repeat_rule::stream);
    stream.fall_silent();
    stream.place("w2");
    stream.head(1, 200, true);
    CHECK(stream.cancelled(0));
    stream.body(1, event(1));
    stream.end(1);
    CHECK(stream.answer->body == event(1));
    stream.check_nothing_left(relay_outcome::served);
}

// Guards against a stream that is cut since no other worker has room for it.
TEST_CASE("a rejection leaves a stream with its silent worker",
          "[relay_silence]")
{
    silent_stream stream;
    stream.place("w2");
    stream.head(1, 503);
    stream.end(1);
    REQUIRE(stream.host.waits);
    stream.host.waits = false;
    stream.exchange->on_refused(error(error_kind::overloaded, "no worker"));
    CHECK_FALSE(stream.answer->aborted);
    CHECK(stream.host.reserved == 0);
    stream.body(0, "ta: x\n\n");
    stream.end(0);
    CHECK(stream.answer->body == event(1) + event(2));
    stream.check_nothing_left(relay_outcome::served);
}

TEST_CASE("a stream whose silent worker breaks off goes on elsewhere",
          "[relay_silence]")
{
    silent_stream stream;
    stream.host.calls[0]->observer->on_failure(call_stage::answering, "reset");
    CHECK(stream.host.lost == std::vector<std::string>{"w1"});
    stream.place("w2");
    stream.head(1, 200, true);
    stream.body(1, event(2));
    stream.end(1);
    CHECK(stream.answer->body == event(1) + event(2));
    stream.check_nothing_left(relay_outcome::served);
}

// Guards against work for a caller that has left, and for one that was
// answered at its deadline.
TEST_CASE("all sends of a request end with it", "[relay_silence]")
{
    silent_stream stream;
    if (GENERATE(true, false))
        stream.place("w2");
    bool const leaves = GENERATE(true, false);
    if (leaves)
        stream.exchange->on_caller_gone();
    else
    {
        stream.host.at += 5s;
        stream.exchange->on_due();
        CHECK(stream.answer->aborted);
    }
    for (auto const& each : stream.host.calls)
        CHECK(each->cancelled);
    CHECK(stream.host.lost.empty());
    stream.check_nothing_left(leaves ? relay_outcome::caller_gone
                                     : relay_outcome::failed);
}

// Guards against a call that fails with its second worker though the first one
// answers.
TEST_CASE("a silent worker answers a call that another one fails",
          "[relay_silence]")
{
    silent_request call(repeat_rule::idempotent);
    call.fall_silent();
    call.place("w2");
    call.head(1, 500);
    call.end(1);
    CHECK_FALSE(call.host.outcome);
    call.head(0, 200);
    call.body(0, "answer");
    call.end(0);
    CHECK(call.answer->body == "answer");
    call.check_nothing_left(relay_outcome::served);
}

TEST_CASE("a late rejection by a silent worker leaves the other send alone",
          "[relay_silence]")
{
    silent_request call(repeat_rule::idempotent);
    call.fall_silent();
    call.place("w2");
    call.head(0, 503);
    CHECK(call.cancelled(0));
    call.head(1, 200);
    call.body(1, "answer");
    call.end(1);
    CHECK(call.answer->body == "answer");
    call.check_nothing_left(relay_outcome::served);
}

TEST_CASE("a call that must not run twice stays with its silent worker",
          "[relay_silence]")
{
    silent_request call(repeat_rule::once);
    CHECK(call.host.due == call.exchange->terms().give_up_at);
    call.host.at += 1200ms;
    call.exchange->on_due();
    CHECK_FALSE(call.host.waits);
    call.head(0, 200);
    call.end(0);
    CHECK(call.answer->status == 200);
    call.check_nothing_left(relay_outcome::served);
}

// Guards against answering with the error of a worker that was asked again.
TEST_CASE("no failure of a newer worker costs a silent worker's answer",
          "[relay_silence]")
{
    silent_request call(repeat_rule::idempotent);
    call.fall_silent();
    call.place("w2");
    SECTION("its error is complete")
    {
        int const status = GENERATE(500, 502, 503, 504, 408, 421, 429);
        call.head(1, status);
        call.body(1, "error");
        call.end(1);
    }
    SECTION("its error is incomplete")
    {
        call.head(1, 500);
        call.body(1, "err");
    }
    SECTION("its error breaks off")
    {
        call.head(1, 500);
        call.body(1, "err");
        call.fail(1, call_stage::answering);
    }
    SECTION("its head breaks off")
    {
        call.fail(1, GENERATE(call_stage::sent, call_stage::answering));
    }
    SECTION("its answer is incomplete")
    {
        call.head(1, 200);
        call.body(1, "ans");
    }
    SECTION("its answer breaks off")
    {
        call.head(1, 200);
        call.body(1, "ans");
        call.fail(1, call_stage::answering);
    }
    SECTION("it cannot be reached")
    {
        call.fail(1, call_stage::not_sent);
    }
    CHECK_FALSE(call.host.outcome);
    call.head(0, 200);
    call.body(0, "answer");
    call.end(0);
    CHECK(call.answer->status == 200);
    CHECK(call.answer->body == "answer");
    call.check_nothing_left(relay_outcome::served);
}

// Guards against work at a silent worker whose request has been answered.
TEST_CASE("the complete answer of a newer worker ends the silent send",
          "[relay_silence]")
{
    silent_request call(repeat_rule::idempotent);
    call.fall_silent();
    call.place("w2");
    int const status = GENERATE(200, 404);
    call.head(1, status);
    call.body(1, "other");
    call.end(1);
    CHECK(call.cancelled(0));
    call.body(0, "answer");
    CHECK(call.answer->status == status);
    CHECK(call.answer->body == "other");
    call.check_nothing_left(relay_outcome::served);
}

// Guards against cutting a stream when the worker that took it up fails.
TEST_CASE("no failure of a newer worker costs a silent worker's stream",
          "[relay_silence]")
{
    silent_stream stream;
    stream.place("w2");
    SECTION("its error is complete")
    {
        stream.head(1, GENERATE(500, 502, 503, 504, 408, 421, 429));
        stream.body(1, "error");
        stream.end(1);
    }
    SECTION("its error breaks off")
    {
        stream.head(1, 500);
        stream.body(1, "err");
        stream.fail(1, call_stage::answering);
    }
    SECTION("its head breaks off")
    {
        stream.fail(1, GENERATE(call_stage::sent, call_stage::answering));
    }
    SECTION("its answer is no stream")
    {
        stream.head(1, 200);
        stream.body(1, "answer");
        stream.end(1);
    }
    CHECK_FALSE(stream.answer->aborted);
    stream.body(0, "ta: x\n\n" + event(3));
    stream.end(0);
    CHECK(stream.answer->body == event(1) + event(2) + event(3));
    CHECK(stream.answer->finished);
    stream.check_nothing_left(relay_outcome::served);
}

// Guards against cutting a stream in the moment in which no worker is free.
TEST_CASE("a begun stream that a queue refuses is queued again",
          "[relay_silence]")
{
    broken_stream stream;
    auto const kind =
        GENERATE(error_kind::overloaded, error_kind::back_end_unavailable);
    for (int refusals = 0; refusals < 3; ++refusals)
    {
        stream.refuse(kind);
        CHECK(stream.host.reserved == 0);
        stream.await_next_try();
    }
    stream.check_goes_on("w2");
}

// Guards against cutting a stream since its workers are full for a moment.
TEST_CASE("a begun stream that workers reject is sent again later",
          "[relay_silence]")
{
    broken_stream stream;
    for (std::size_t call = 1; call <= 8; ++call)
    {
        stream.place("w" + std::to_string(call + 1));
        stream.head(call, 503);
        stream.end(call);
        if (!stream.host.waits)
            stream.await_next_try();
    }
    stream.check_goes_on("w2");
}

// Guards against cutting a stream in a burst that uses up the retries.
TEST_CASE("a begun stream waits until the retry budget has room",
          "[relay_silence]")
{
    silent_request stream(repeat_rule::stream);
    stream.head(0, 200, true);
    stream.body(0, event(1));
    stream.host.budget_left = false;
    stream.fail(0, call_stage::answering);
    for (int tries = 0; tries < 3; ++tries)
    {
        REQUIRE_FALSE(stream.answer->aborted);
        REQUIRE_FALSE(stream.host.waits);
        stream.fall_silent();
    }
    stream.host.budget_left = true;
    stream.fall_silent();
    stream.place("w2");
    stream.head(1, 200, true);
    stream.body(1, event(2));
    stream.end(1);
    CHECK(stream.answer->body == event(1) + event(2));
    stream.check_nothing_left(relay_outcome::served);
}

// Guards against cutting a stream since one worker does not resume it.
TEST_CASE("a begun stream that a worker answers plainly goes on elsewhere",
          "[relay_silence]")
{
    silent_request stream(repeat_rule::stream, 3);
    stream.head(0, 200, true);
    stream.body(0, event(1));
    stream.fail(0, call_stage::answering);
    stream.place("w2");
    stream.head(1, GENERATE(200, 400, 404, 500));
    stream.body(1, "plain");
    stream.end(1);
    REQUIRE_FALSE(stream.answer->aborted);
    stream.place("w3");
    stream.head(2, 200, true);
    stream.body(2, event(2));
    stream.end(2);
    CHECK(stream.answer->body == event(1) + event(2));
    stream.check_nothing_left(relay_outcome::served);
}

// Guards against streams that are tried for ever.
TEST_CASE("a begun stream is cut once nothing can go on with it",
          "[relay_silence]")
{
    broken_stream stream;
    SECTION("its time is over")
    {
        int tries = 0;
        while (stream.host.waits && ++tries < 100)
        {
            stream.refuse();
            stream.fall_silent();
        }
        CHECK(tries < 20);
        CHECK(stream.host.at == stream.exchange->terms().give_up_at);
    }
    SECTION("its sends that may run are used up")
    {
        stream.place("w2");
        stream.fail(1, call_stage::sent);
    }
    SECTION("a refusal is final")
    {
        stream.refuse(
            GENERATE(error_kind::quarantined, error_kind::unauthorized));
    }
    SECTION("the VM stops")
    {
        stream.refuse();
        stream.exchange->on_stopped(error(error_kind::draining, "leaving"));
    }
    CHECK(stream.answer->aborted);
    stream.check_nothing_left(relay_outcome::failed);
}

// Guards against work for a caller that left between two tries.
TEST_CASE("a begun stream is not tried again for a caller that left",
          "[relay_silence]")
{
    broken_stream stream;
    stream.refuse();
    stream.exchange->on_caller_gone();
    CHECK(stream.host.due == never);
    stream.check_nothing_left(relay_outcome::caller_gone);
}

// Guards against holding what can be refused at once.
TEST_CASE("a request whose answer has not begun is not held for a later try",
          "[relay_silence]")
{
    silent_request call(GENERATE(repeat_rule::once, repeat_rule::idempotent,
                                 repeat_rule::stream));
    bool const rejected = GENERATE(true, false);
    if (rejected)
    {
        call.head(0, 503);
        call.end(0);
    }
    else
        call.fail(0, call_stage::not_sent);
    call.refuse();
    CHECK(call.answer->status == 503);
    call.check_nothing_left(relay_outcome::refused);
}

// Guards against a stream left with a silent worker until its deadline since
// the retries were used up when it fell silent.
TEST_CASE("a silent stream is tried elsewhere once the retry budget has room",
          "[relay_silence]")
{
    silent_request stream(repeat_rule::stream);
    stream.head(0, 200, true);
    stream.body(0, event(1));
    stream.host.budget_left = false;
    stream.fall_silent();
    REQUIRE_FALSE(stream.host.waits);
    stream.host.budget_left = true;
    stream.fall_silent();
    stream.place("w2");
    stream.head(1, 200, true);
    stream.body(1, event(2));
    stream.end(1);
    CHECK(stream.answer->body == event(1) + event(2));
    stream.check_nothing_left(relay_outcome::served);
}

// Guards against an error for a request that its worker did not run, since the
// connection ends within the rejection's body.
TEST_CASE("a rejection that breaks off within its body is a rejection",
          "[relay_silence]")
{
    silent_request call(GENERATE(repeat_rule::once, repeat_rule::idempotent));
    call.head(0, 503);
    if (GENERATE(true, false))
        call.body(0, "rej");
    call.fail(0, call_stage::answering);
    call.place("w2");
    call.head(1, 200);
    call.body(1, "answer");
    call.end(1);
    CHECK(call.answer->status == 200);
    CHECK(call.exchange->sends() == 2);
    call.check_nothing_left(relay_outcome::served);
}

// Guards against counting a run at a worker whose rejection is not complete.
TEST_CASE("a rejection counts from its head on", "[relay_silence]")
{
    SECTION("a stop refuses the request")
    {
        silent_request call(repeat_rule::once);
        call.head(0, 503);
        call.exchange->on_stopped(
            error(error_kind::draining, "leaving", ran::no));
        CHECK(call.answer->body == "leaving");
        call.check_nothing_left(relay_outcome::refused);
    }
    SECTION("the silent worker goes on and breaks off")
    {
        silent_stream stream;
        stream.place("w2");
        stream.head(1, 503);
        stream.body(0, "ta: x\n\n");
        stream.fail(0, call_stage::answering);
        CHECK_FALSE(stream.answer->aborted);
        stream.place("w3");
        stream.head(2, 200, true);
        stream.body(2, event(3));
        stream.end(2);
        CHECK(stream.answer->body == event(1) + event(2) + event(3));
        stream.check_nothing_left(relay_outcome::served);
    }
}

// Guards against sends that go on after a stop, and a stream that looks
// complete.
TEST_CASE("a stop ends the sends of a silent stream", "[relay_silence]")
{
    silent_stream stream;
    if (GENERATE(true, false))
        stream.place("w2");
    stream.exchange->on_stopped(error(error_kind::draining, "leaving"));
    for (auto const& each : stream.host.calls)
        CHECK(each->cancelled);
    CHECK(stream.answer->aborted);
    CHECK_FALSE(stream.answer->finished);
    stream.check_nothing_left(relay_outcome::failed);
}

// Guards against a caller that loses its other sends with the one at a
// replaced version.
TEST_CASE("a silent send at a replaced version ends alone", "[relay_silence]")
{
    silent_request stream(repeat_rule::stream);
    stream.fall_silent();
    bool const sent_again = GENERATE(true, false);
    if (sent_again)
        stream.place("w2");
    stream.exchange->on_kept_send_withdrawn(ticket_id(101));
    CHECK(stream.cancelled(0));
    if (!sent_again)
        stream.place("w2");
    stream.head(1, 200, true);
    stream.body(1, event(1));
    stream.end(1);
    CHECK(stream.answer->body == event(1));
    stream.check_nothing_left(relay_outcome::served);
}

namespace
{

/// A request whose workers, queue and retry budget behave at random.
class random_request
{
public:
    random_request(std::uint64_t seed, repeat_rule repeats)
        : random_(seed), stream_(repeats == repeat_rule::stream),
          request_(repeats, 2 + int(seed % 3))
    {
    }
    /// Plays until the request is over.
    void play()
    {
        sent_.resize(1);
        for (steps_ = 0; !request_.host.outcome && steps_ < 2000; ++steps_)
            step();
    }
    void check()
    {
        auto const& answer = *request_.answer;
        REQUIRE(request_.host.outcome);
        request_.check_nothing_left(*request_.host.outcome);
        for (std::size_t call = 0; call < sent_.size(); ++call)
            CHECK((sent_[call].over || request_.cancelled(call)));
        CHECK(int(answer.finished) + int(answer.aborted) +
                  int(answer.responses) ==
              1);
        if (answer.responses > 0)
            check_response();
        else
            check_stream();
    }

private:
    struct worker_view
    {
        bool over = false;
        bool headed = false;
        bool streams = false;
        /// The worker may have run the request.
        bool ran = true;
        /// Of a stream: bytes of whole_stream() that were sent.
        std::size_t position = 0;
    };
    static std::string whole_stream() { return event(1) + event(2) + event(3); }
    int draw(int below) { return int(random_() % std::uint64_t(below)); }

    void step()
    {
        request_.host.budget_left = draw(4) != 0;
        if (request_.host.waits && draw(2) == 0)
            return decide();
        std::size_t const call = std::size_t(draw(int(sent_.size())));
        bool const open =
            !sent_[call].over && !request_.cancelled(call) && draw(3) != 0;
        if (!open)
            return request_.fall_silent();
        answer(call);
    }
    void decide()
    {
        if (draw(3) == 0)
            return request_.refuse();
        request_.place("w" + std::to_string(sent_.size() + 1));
        worker_view view;
        // A resumed stream begins behind what the caller has.
        view.position = request_.answer->body.size();
        sent_.push_back(view);
    }
    void answer(std::size_t call)
    {
        worker_view& view = sent_[call];
        if (!view.headed)
            return begin(call, view);
        if (draw(6) == 0)
            return break_off(call, view, call_stage::answering);
        if (!view.streams)
        {
            if (draw(2) == 0)
                return request_.body(call, "x");
            view.over = true;
            return request_.end(call);
        }
        std::string const left = whole_stream().substr(view.position);
        if (left.empty())
        {
            view.over = true;
            return request_.end(call);
        }
        std::string const bytes = left.substr(0, std::size_t(1 + draw(24)));
        view.position += bytes.size();
        request_.body(call, bytes);
    }
    void begin(std::size_t call, worker_view& view)
    {
        int const kind = draw(10);
        if (kind == 0)
        {
            view.ran = false;
            return break_off(call, view, call_stage::not_sent);
        }
        if (kind == 1)
            return break_off(call, view, call_stage::sent);
        view.headed = true;
        if (kind <= 3)
        {
            view.ran = false;
            return request_.head(call, 503);
        }
        if (kind == 4)
            return request_.head(call, draw(2) == 0 ? 500 : 429);
        if (kind == 5)
            return request_.head(call, draw(2) == 0 ? 200 : 404);
        view.streams = stream_;
        request_.head(call, 200, stream_);
    }
    void break_off(std::size_t call, worker_view& view, call_stage at)
    {
        view.over = true;
        request_.fail(call, at);
    }

    int runs() const
    {
        return int(std::count_if(sent_.begin(), sent_.end(),
                                 [](worker_view const& each)
                                 { return each.ran; }));
    }
    void check_response()
    {
        auto const& answer = *request_.answer;
        CHECK(answer.body.find("id:") == std::string::npos);
        if (request_.host.outcome == relay_outcome::refused)
            CHECK(runs() == 0);
        if (request_.host.outcome == relay_outcome::served)
            CHECK(answer.status < 500);
        CHECK((request_.may_repeat() || runs() <= 1));
    }
    void check_stream()
    {
        auto const& answer = *request_.answer;
        CHECK(whole_stream().starts_with(answer.body));
        if (answer.finished)
            CHECK(answer.body == whole_stream());
        else
            CHECK((request_.host.at >= request_.exchange->terms().give_up_at ||
                   runs() >= request_.worker_limit()));
    }

    std::mt19937_64 random_;
    bool stream_;
    silent_request request_;
    std::vector<worker_view> sent_;
    int steps_ = 0;
};

} // namespace

// Guards against a caller without an answer, with two, or with parts of
// several, in sequences of failures that no other test lists.
TEST_CASE("each caller gets one whole answer, a true refusal or an error",
          "[relay_silence]")
{
    auto const repeats = GENERATE(repeat_rule::once, repeat_rule::idempotent,
                                  repeat_rule::stream);
    for (std::uint64_t seed = 1; seed <= 2000; ++seed)
    {
        CAPTURE(seed);
        random_request request(seed, repeats);
        request.play();
        request.check();
    }
}
