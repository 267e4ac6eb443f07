#include "peer_grant_request.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

std::string body_of(std::string const& call)
{
    return call.substr(call.find("\r\n\r\n") + 4);
}

} // namespace

TEST_CASE("a peer call round-trips through its encoding", "[peer_ask]")
{
    peer_call call;
    call.ask = peer_grant_request{service_id("llm"),
                                  worker_id("w1"),
                                  {base_model_id("base"), adapter_id("a1")},
                                  2,
                                  1500ms,
                                  request_id("r1"),
                                  {worker_id("w3"), worker_id("w4")},
                                  9190,
                                  {77, 6300},
                                  540ms,
                                  320ms,
                                  std::set{software_version("v1")},
                                  team_id("team1"),
                                  70,
                                  true};
    call.done = {{7, send_outcome::served}, {8, send_outcome::silent}};
    time_point const now{1h};
    call.crashes.seen = {{request_digest("d1"),
                          {worker_id("w1"), worker_start(7)},
                          now - 90ms,
                          now - 30ms}};
    call.crashes.answered = {request_digest("d2")};
    call.crashes.confirmed = {request_digest("part-1")};
    call.crashes.cleared = {{request_digest("d3"),
                             {worker_id("w2"), worker_start(1)},
                             now - 60ms,
                             now - 20ms}};
    call.asked_parts = {request_digest("part-2"), request_digest("part-3")};
    call.rejections = {{worker_id("w5"), 4, true}};
    auto const sent = [&](peer_call const& each) {
        return decode_peer_call(body_of(encode_peer_call(each, "vm", now)),
                                now);
    };
    CHECK(sent(call) == call);
    call.ask.reset();
    CHECK(sent(call) == call);
    CHECK(sent({}) == peer_call());
    // The receiver's clock has a different epoch.
    time_point const theirs{2h};
    auto const heard =
        decode_peer_call(body_of(encode_peer_call(call, "vm", now)), theirs);
    CHECK(heard->crashes.seen.front().at == theirs - 30ms);
}

TEST_CASE("a peer reply round-trips through its encoding", "[peer_ask]")
{
    time_point const now{1h};
    peer_reply const reply{true,
                           41,
                           worker_id("w2"),
                           adapter_version(3),
                           {{request_digest("part-1"), now - 70ms}}};
    CHECK(decode_peer_reply(encode_peer_reply(reply, now), now) == reply);
}

TEST_CASE("malformed peer calls and replies are rejected", "[peer_ask]")
{
    for (char const* text : {"",
                             "[]",
                             "{\"worker\":\"w\"}",
                             "{\"done\":1}",
                             "{\"done\":[1]}",
                             "{\"done\":[[1]]}",
                             "{\"done\":[[-1,0]]}",
                             "{\"done\":[[1,99]]}",
                             "{\"crashes\":1}",
                             "{\"crashes\":[[\"d\",\"w\",1,-1,0]]}",
                             "{\"crashes\":[[\"d\"]]}",
                             "{\"cleared\":[[\"d\"]]}",
                             "{\"rejected\":1}",
                             "{\"rejected\":[[\"w\"]]}",
                             "{\"rejected\":[[\"w\",-1,true]]}",
                             "{\"rejected\":[[\"w\",1,0]]}",
                             "{\"answered\":[1]}",
                             "{\"confirmed\":[1]}",
                             "{\"asked\":{}}",
                             "nonsense"})
        CHECK_FALSE(decode_peer_call(text, time_point()));
    for (char const* text :
         {"", "{}", "{\"granted\":1}", "{\"granted\":true}",
          "{\"granted\":true,\"worker\":1}", "{\"granted\":1,\"worker\":\"w\"}",
          "{\"granted\":true,\"worker\":\"w\","
          "\"parts\":[[\"part-1\"]]}"})
        CHECK_FALSE(decode_peer_reply(text, time_point{1h}));
}
