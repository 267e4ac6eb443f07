#include "json_text.hpp"
#include "peer_codec.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

time_point const start{std::chrono::hours(24)};

template <class Message>
Message encode_and_parse(Message const& message)
{
    auto const text = to_text(peer_message_json(message));
    auto const back = parse_peer_message(*from_text(text));
    REQUIRE(back);
    REQUIRE(std::holds_alternative<Message>(*back));
    return std::get<Message>(*back);
}

} // namespace

TEST_CASE("an ownership hint is unchanged after encoding and parsing",
          "[peer_codec]")
{
    ownership_hint hint;
    hint.life = incarnation(3);
    hint.configuration = config_version(9);
    hint.takes_work = false;
    hint.loads = load_counts{incarnation(3), 17, 2, 1};
    worker_view worker;
    worker.id = worker_id("loglm-01");
    worker.usable = true;
    worker.running = 4;
    worker.queued = 5;
    worker.can_evict = false;
    resident_view resident;
    resident.adapter = *parse_adapter_ref("shift-notes-0001@2");
    resident.state = resident_state::evicting;
    resident.in_flight = 2;
    resident.pinned_by_previous_owner = true;
    worker.residents.push_back(resident);
    hint.workers.push_back(worker);

    ownership_hint const back = encode_and_parse(hint);
    CHECK(back.life == hint.life);
    CHECK(back.configuration == hint.configuration);
    CHECK(back.takes_work == hint.takes_work);
    CHECK(back.loads == hint.loads);
    REQUIRE(back.workers.size() == 1);
    CHECK(back.workers[0].id == worker.id);
    CHECK(back.workers[0].running == 4);
    CHECK_FALSE(back.workers[0].can_evict);
    CHECK(back.workers[0].residents == worker.residents);
}

TEST_CASE("questions and answers keep their numbers and durations",
          "[peer_codec]")
{
    auto const outage = encode_and_parse(
        outage_answer{7, incarnation(2), true, 1500ms, config_version(4)});
    CHECK(outage.number == 7);
    CHECK(outage.promised);
    CHECK(outage.holds_for == duration(1500ms));
    auto const confirm =
        encode_and_parse(confirm_answer{8, incarnation(2), false, 0ms});
    CHECK(confirm.number == 8);
    CHECK_FALSE(confirm.promised);
    CHECK(encode_and_parse(confirm_question{9, config_version(4)}).base ==
          config_version(4));
    CHECK(encode_and_parse(outage_question{10, config_version(5)}).number ==
          10);
}

TEST_CASE("a value that is not a peer message is rejected", "[peer_codec]")
{
    CHECK_FALSE(parse_peer_message(Json::Value()));
    CHECK_FALSE(parse_peer_message(*from_text(R"({"type":"greeting"})")));
    CHECK_FALSE(parse_peer_message(*from_text("[1]")));
}

TEST_CASE("a forwarded request's deadline is converted to the receiver's clock",
          "[peer_codec]")
{
    model_request request;
    request.id = request_id("entry-1-ab-7.1");
    request.adapter = *parse_adapter_ref("shift-notes-0001@2");
    request.arrived = start;
    request.deadline = start + 5s;
    request.priority = 8;
    request.prefix_key = 0xfedcba9876543210U;
    request.body = std::make_shared<std::string const>(R"({"prompt":"x"})");
    time_point const receiver_now = start + std::chrono::hours(7);

    auto const back =
        parse_forwarded(forwarded_text(request, start + 1s), receiver_now);
    REQUIRE(back);
    CHECK(back->deadline == receiver_now + 4s);
    CHECK(back->arrived == receiver_now - 1s);
    CHECK(back->prefix_key == request.prefix_key);
    CHECK(back->priority == 8);
    CHECK(*back->body == *request.body);
    CHECK_FALSE(parse_forwarded("{}", receiver_now));
    CHECK_FALSE(parse_forwarded("not JSON", receiver_now));
}

TEST_CASE("an unknown word for `ran` is read as unknown, never as no",
          "[peer_codec]")
{
    auto const read =
        parse_error(*from_text(R"({"kind":"overloaded","ran":"perhaps"})"));
    REQUIRE(read);
    CHECK(read->request_ran() == ran::unknown);
    error const sent(error_kind::overloaded, "full", ran::no, 2s);
    CHECK(*parse_error(error_json(sent, "r")) == sent);
}
