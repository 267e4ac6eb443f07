#include "peer_rows.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;
using namespace std::chrono_literals;

TEST_CASE("a rows query round-trips through its encoding", "[peer_rows]")
{
    rows_query const query{
        {row_version(1), row_version(0), row_version(7)}, 300ms, true};
    std::string const call = encode_rows_query(query, "vm");
    CHECK(decode_rows_query(call.substr(call.find("\r\n\r\n") + 4)) == query);
}

TEST_CASE("a rows answer round-trips through its encoding", "[peer_rows]")
{
    rows_answer answer;
    answer[0] = {
        true,
        row_version(9),
        40ms,
        true,
        false,
        {{row_kind::configuration, "config", row_version(3), "{\"a\"}", false}}};
    answer[1] = {true, row_version(9),
                 0ms,  false,
                 true, {{row_kind::worker, "w", row_version(4), {}, true}}};
    CHECK(decode_rows_answer(encode_rows_answer(answer)) == answer);
}

// During a rolling update some VMs run the previous release, which does not
// send the fields for left-out rows and cannot handle answers that leave rows
// out.
TEST_CASE("an earlier release is sent every row", "[peer_rows]")
{
    auto const query = decode_rows_query(R"({"after":[1,2,3],"wait_ms":1})");
    REQUIRE(query);
    CHECK(query->large_rows);
    std::string const set =
        R"({"read":true,"version":1,"age_ms":0,"whole":false,"rows":[]})";
    auto const answer =
        decode_rows_answer("{\"sets\":[" + set + "," + set + "," + set + "]}");
    REQUIRE(answer);
    CHECK_FALSE(answer->at(0).incomplete);
}

TEST_CASE("malformed rows messages are rejected", "[peer_rows]")
{
    for (char const* text :
         {"", "[]", "{}", "{\"after\":[1,2],\"wait_ms\":1}",
          "{\"after\":[1,2,-3],\"wait_ms\":1}",
          "{\"after\":[1,2,3],\"wait_ms\":-1}", "{\"after\":[1,2,3]}"})
        CHECK_FALSE(decode_rows_query(text));
    std::string const good =
        R"({"read":true,"version":1,"age_ms":0,"whole":false,"rows":[]})";
    auto const with = [&](std::string const& last)
    { return "{\"sets\":[" + good + "," + good + "," + last + "]}"; };
    CHECK(decode_rows_answer(with(good)));
    for (char const* last :
         {"{}", "1",
          R"({"read":true,"version":1,"age_ms":-1,"whole":false,"rows":[]})",
          R"({"read":true,"version":1,"age_ms":0,"whole":false,"rows":[1]})",
          R"({"read":true,"version":1,"age_ms":0,"whole":false,
              "rows":[[9,"k",1,"v"]]})",
          R"({"read":true,"version":1,"age_ms":0,"whole":false,
              "rows":[[2,"k",1,7]]})"})
        CHECK_FALSE(decode_rows_answer(with(last)));
    CHECK_FALSE(decode_rows_answer("{\"sets\":[]}"));
}
