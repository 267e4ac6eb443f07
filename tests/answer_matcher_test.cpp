#include "answer_matcher.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <cstddef>
#include <string>
#include <vector>

using namespace mulberry;

namespace
{

char const* const field = "Number";
constexpr std::array<int, 2> statuses = {200, 503};
/// Calls on a connection, in each order, with each copy between them.
constexpr int max_calls = 5;
/// Requests before a connection that remembers no more is closed, at the most.
constexpr int many_requests = 10'000;

answer_mark request(std::string name)
{
    return {field, std::move(name)};
}

/// As of an order to a worker that names orders in its answers.
answer_mark order(std::string name)
{
    return {field, std::move(name), true, statuses.front()};
}

struct sent_answer
{
    int status = 0;
    std::string name;

    http_headers headers() const
    {
        http_headers fields;
        fields.add(field, name);
        return fields;
    }
    friend bool operator==(sent_answer const&, sent_answer const&) = default;
};

/// A connection, and all answers that a worker has sent on it.
struct connection_state
{
    answer_matcher matcher;
    std::vector<sent_answer> answers;
};

/// Answers the call that is under way. Returns the state behind it, or nullopt
/// if the connection carries no more calls.
std::optional<connection_state> answer_call(connection_state state,
                                            sent_answer const& own)
{
    REQUIRE(state.matcher.match(own.status, own.headers()) ==
            answer_owner::this_call);
    state.answers.push_back(own);
    return state.matcher.end() ? std::optional(state) : std::nullopt;
}

/// Plays each continuation: each call that the connection can carry, behind no
/// copy or one of each earlier answer, with each status. Returns the number of
/// copies that were sent.
std::size_t play_all(connection_state const& state, int calls_left)
{
    if (calls_left == 0)
        return 0;
    std::size_t copies = 0;
    for (answer_mark const& call :
         {request("1"), request("2"), request("3"), order("4"), order("5")})
    {
        if (!state.matcher.can_carry(call))
            continue;
        connection_state waiting = state;
        waiting.matcher.begin(call);
        std::vector<connection_state> ways{waiting};
        for (sent_answer const& earlier : state.answers)
        {
            connection_state behind_copy = waiting;
            REQUIRE(
                behind_copy.matcher.match(earlier.status, earlier.headers()) ==
                answer_owner::earlier_call);
            ways.push_back(behind_copy);
            ++copies;
        }
        for (connection_state const& way : ways)
            for (int const status : statuses)
                if (auto const next = answer_call(way, {status, call.value}))
                    copies += play_all(*next, calls_left - 1);
    }
    return copies;
}

} // namespace

// Guards against believing an answer that may be a copy, in any order of calls,
// repeats, refusals and copies.
TEST_CASE("no copy is taken for an answer that names its call",
          "[answer_matcher]")
{
    CHECK(play_all({}, max_calls) > 0);
}

// Guards against forgetting a refused request behind many others, so that a
// copy of its refusal is taken for the answer to its repeat.
TEST_CASE("a connection carries no request twice, however many lie between",
          "[answer_matcher]")
{
    answer_matcher matcher;
    int carried = 0;
    bool keeps = true;
    while (keeps && carried < many_requests)
    {
        std::string const name = std::to_string(carried++);
        REQUIRE(matcher.can_carry(request(name)));
        matcher.begin(request(name));
        sent_answer const own{statuses.back(), name};
        REQUIRE(matcher.match(own.status, own.headers()) ==
                answer_owner::this_call);
        keeps = matcher.end();
        for (int earlier = 0; earlier < carried; ++earlier)
            REQUIRE_FALSE(matcher.can_carry(request(std::to_string(earlier))));
    }
    CHECK_FALSE(keeps);
}

TEST_CASE("a call whose answers need no name may follow itself",
          "[answer_matcher]")
{
    answer_matcher matcher;
    for (int count = 0; count < 3; ++count)
    {
        REQUIRE(matcher.can_carry(std::nullopt));
        matcher.begin(std::nullopt);
        CHECK(matcher.match(200, {}) == answer_owner::this_call);
        CHECK(matcher.end());
    }
}
