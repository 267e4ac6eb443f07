// Tests of the checker for runs of real processes: a correct record is
// accepted, and each violation added to that record is reported.
#include "process_record.hpp"
#include "token_text.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>

using namespace mulberry_test;

namespace
{

constexpr char const* adapter = "note-1@2";
constexpr char const* prompt = "shift notes of pit 7";
constexpr std::size_t tokens = 3;

std::string stream_event(std::size_t offset, std::string const& model,
                         std::string const& text)
{
    return fmt::format("data: {{\"id\":\"r-1\",\"model\":\"{}\",\"offset\":{},"
                       "\"choices\":[{{\"index\":0,\"text\":\"{}\"}}]}}\n\n",
                       model, offset, text);
}

std::string own_text(std::size_t offset)
{
    return mulberry::standins::token_text(adapter, prompt).token(offset);
}

received_answer answer(int status, std::string const& id,
                       std::string const& type, std::string const& body)
{
    received_answer seen;
    seen.status = status;
    seen.headers.add("X-Request-Id", id);
    seen.headers.add("Content-Type", type);
    seen.body = body;
    seen.ended = true;
    return seen;
}

std::string whole_stream()
{
    std::string body;
    for (std::size_t offset = 0; offset < tokens; ++offset)
        body += stream_event(offset, adapter, own_text(offset));
    return body + "data: [DONE]\n\n";
}

recorded<model_call> model_record(received_answer const& seen)
{
    model_call call;
    call.vm = "entry-1";
    call.adapter = adapter;
    call.prompt = prompt;
    call.tokens = tokens;
    call.streamed = true;
    return {call, seen};
}

recorded<plain_service_call> service_record(received_answer const& seen)
{
    plain_service_call call;
    call.vm = "entry-1";
    call.key = "permit-1";
    return {call, seen};
}

Json::Value engine_event(char const* kind, char const* name, int in_flight)
{
    Json::Value event;
    event["kind"] = kind;
    event["request"] = "r-1.2";
    event["name"] = name;
    event["in_flight"] = in_flight;
    return event;
}

Json::Value service_event(char const* request)
{
    Json::Value event;
    event["request"] = request;
    event["key"] = "permit-1";
    return event;
}

received_answer error_answer(std::string const& id, std::string const& kind,
                             std::string const& ran)
{
    return answer(503, id, "application/json",
                  fmt::format("{{\"error\":{{\"kind\":\"{}\",\"message\":\"\","
                              "\"ran\":\"{}\",\"request_id\":\"{}\"}}}}",
                              kind, ran, id));
}

process_record good_run()
{
    process_record run;
    run.model_calls.push_back(
        model_record(answer(200, "r-1", "text/event-stream", whole_stream())));
    run.engine_events.push_back(engine_event("started", "note-1@2#4", 1));
    run.engine_events.push_back(engine_event("unloaded", "note-1@2#4", 0));
    run.service_calls.push_back(
        service_record(error_answer("s-1", "back_end_unavailable", "no")));
    run.service_calls.push_back(
        service_record(answer(200, "s-2", "application/json", "{\"ran\":1}")));
    run.service_events.push_back(service_event("s-2.1"));
    run.versions["entry-1"] = {1, 1, 2};
    return run;
}

std::string& body_of(process_record& run)
{
    return run.model_calls.front().seen.body;
}

bool finds(process_record const& run, std::string const& check)
{
    auto const found = findings(run);
    INFO(to_string(found));
    return std::any_of(found.begin(), found.end(),
                       [&](finding const& each)
                       { return each.check == check; });
}

} // namespace

TEST_CASE("the process checker accepts a correct run", "[checker]")
{
    CHECK(to_string(findings(good_run())) == no_findings);
}

TEST_CASE("the process checker reports a wrong adapter or version", "[checker]")
{
    // The caller receives an answer, but the engine ran version 1 instead of
    // the requested version 2.
    process_record at_engine = good_run();
    at_engine.engine_events[0] = engine_event("started", "note-1@1#4", 1);
    CHECK(finds(at_engine, "wrong_adapter"));

    process_record in_answer = good_run();
    body_of(in_answer) = stream_event(0, "note-2@2", own_text(0)) +
                         whole_stream().substr(whole_stream().find("\n\n") + 2);
    CHECK(finds(in_answer, "wrong_adapter"));
}

TEST_CASE("the process checker reports an eviction with requests in flight",
          "[checker]")
{
    process_record run = good_run();
    run.engine_events[1] = engine_event("unloaded", "note-1@2#4", 1);
    CHECK(finds(run, "evicted_in_flight"));
}

TEST_CASE("the process checker reports an answer to another request",
          "[checker]")
{
    process_record other_text = good_run();
    body_of(other_text) =
        stream_event(0, adapter, "w0:000000 ") +
        whole_stream().substr(whole_stream().find("\n\n") + 2);
    CHECK(finds(other_text, "foreign_answer"));

    process_record shared = good_run();
    shared.model_calls.push_back(shared.model_calls.front());
    CHECK(finds(shared, "foreign_answer"));
}

TEST_CASE("the process checker reports gaps, repetitions and truncated answers",
          "[checker]")
{
    process_record gap = good_run();
    body_of(gap) = stream_event(0, adapter, own_text(0)) +
                   stream_event(2, adapter, own_text(2)) + "data: [DONE]\n\n";
    CHECK(finds(gap, "answer_not_whole"));

    process_record twice = good_run();
    body_of(twice) = stream_event(0, adapter, own_text(0)) + whole_stream();
    CHECK(finds(twice, "answer_not_whole"));

    process_record cut = good_run();
    body_of(cut) = stream_event(0, adapter, own_text(0)) + "data: [DONE]\n\n";
    CHECK(finds(cut, "answer_not_whole"));
}

TEST_CASE("the process checker reports a request without a final answer",
          "[checker]")
{
    // The connection to a VM that was not killed is lost, as if a drain had
    // interrupted the request.
    process_record run = good_run();
    run.model_calls.front().seen.ended = false;
    run.model_calls.front().seen.failed = true;
    body_of(run) = stream_event(0, adapter, own_text(0));
    CHECK(finds(run, "final_answers"));

    run.killed.insert("entry-1");
    CHECK_FALSE(finds(run, "final_answers"));
}

TEST_CASE("the process checker reports an error that is not in the list",
          "[checker]")
{
    process_record run = good_run();
    run.model_calls.push_back(
        model_record(answer(500, "r-9", "text/plain", "oops")));
    CHECK(finds(run, "no_listed_error"));
}

TEST_CASE("the process checker reports an incorrect ran", "[checker]")
{
    process_record at_engine = good_run();
    at_engine.model_calls.front().seen =
        error_answer("r-1", "overloaded", "no");
    CHECK(finds(at_engine, "untrue_ran"));

    process_record at_service = good_run();
    at_service.service_events[0] = service_event("s-1.1");
    CHECK(finds(at_service, "untrue_ran"));

    process_record never = good_run();
    never.service_events.clear();
    CHECK(finds(never, "untrue_ran"));
}

TEST_CASE("the process checker reports a call that ran twice", "[checker]")
{
    // The second run belongs to a caller that lost the connection to the VM
    // and with it the answer.
    process_record run = good_run();
    run.service_events.push_back(service_event("s-3.1"));
    CHECK(finds(run, "ran_twice"));
}

TEST_CASE("the process checker reports a request accepted while leaving",
          "[checker]")
{
    process_record run = good_run();
    run.model_calls.front().sent_while_leaving = true;
    CHECK(finds(run, "work_while_leaving"));
}

TEST_CASE("the process checker reports a configuration version that decreases",
          "[checker]")
{
    process_record run = good_run();
    run.versions["entry-1"] = {1, 2, 1};
    CHECK(finds(run, "configuration_went_back"));
}
