#include "peer_allotment.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

std::string body_of(std::string const& request)
{
    return request.substr(request.find("\r\n\r\n") + 4);
}

} // namespace

TEST_CASE("allotment queries and replies are decoded as they were encoded",
          "[peer_allotment]")
{
    allotment_query const query{vm_id("a"),
                                2000ms,
                                {{allotment_id("pits"), 0.0625, 0, 0},
                                 {allotment_id("mills"), 0, 716, 1500.5}}};
    CHECK(decode_allotment_query(body_of(encode_allotment_query(query, "h"))) ==
          query);
    allotment_reply const reply{{allotment_id("pits"), 716, 0ms, 0ms},
                                {allotment_id("mills"), 0, 120ms, 900ms}};
    CHECK(decode_allotment_reply(encode_allotment_reply(reply)) == reply);
}

// Guards against units that appear because of a malformed message.
TEST_CASE("malformed allotment messages are rejected", "[peer_allotment]")
{
    for (char const* text :
         {"", "[]", "{}", R"({"from":"a","left_ms":-1,"teams":[]})",
          R"({"from":"a","left_ms":1,"teams":[["t",2,0,0]]})",
          R"({"from":"a","left_ms":1,"teams":[["t",-1,0,0]]})",
          R"({"from":"a","left_ms":1,"teams":[["t",0,0]]})",
          R"({"from":"a","left_ms":1,"teams":[[1,0,0,0]]})",
          R"({"from":"a","left_ms":1,"teams":[["t",0,1e300,0]]})"})
    {
        CAPTURE(text);
        CHECK_FALSE(decode_allotment_query(text));
    }
    for (char const* text :
         {"", "{}", R"({"given":[["t",-5,0,0]]})", R"({"given":[["t",5,0]]})"})
    {
        CAPTURE(text);
        CHECK_FALSE(decode_allotment_reply(text));
    }
}
