#include "answer_matcher.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <cstddef>
#include <set>
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

/// As of an order, whose answer may name it.
answer_mark order(std::string name, int possible_status)
{
    return {field, std::move(name), true, {possible_status}};
}

/// As of an order that is asked again while it is carried out.
answer_mark poll(std::string name)
{
    return {field, std::move(name), true, {statuses.front()}, statuses.back()};
}

struct sent_answer
{
    int status = 0;
    std::string name;

    http_headers headers() const
    {
        http_headers fields;
        if (!name.empty())
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

/// Sends a copy of an earlier answer. Returns whether the call goes on.
bool send_copy(answer_matcher& matcher, answer_mark const& call,
               sent_answer const& earlier)
{
    auto const owner = matcher.match(earlier.status, earlier.headers());
    if (owner == answer_owner::this_call)
    {
        REQUIRE(earlier.name.empty());
        REQUIRE(earlier.status == call.harmless_status);
        REQUIRE_FALSE(matcher.end());
        return false;
    }
    bool const may_be_own = call.is_optional && earlier.name.empty();
    REQUIRE(owner == (may_be_own ? answer_owner::undecided
                                 : answer_owner::earlier_call));
    return true;
}

/// The answer to a call, with its name or without one.
std::vector<sent_answer> own_answers(answer_mark const& call)
{
    std::vector<sent_answer> answers;
    for (int const status : statuses)
    {
        answers.push_back({status, call.value});
        if (call.is_optional)
            answers.push_back({status, {}});
    }
    return answers;
}

/// Whether the answer may also be a copy of the last one.
bool is_like_last(connection_state const& state, sent_answer const& own)
{
    return own.name.empty() && !state.answers.empty() &&
           state.answers.back() == own;
}

/// An unlikely answer that may be a copy ends the connection.
void check_undecided(answer_matcher matcher, answer_mark const& call,
                     sent_answer const& own)
{
    REQUIRE_FALSE(call.possible_statuses.contains(own.status));
    auto const owner = matcher.match(own.status, own.headers());
    bool const is_harmless = own.status == call.harmless_status;
    REQUIRE(owner ==
            (is_harmless ? answer_owner::this_call : answer_owner::undecided));
    if (is_harmless)
        REQUIRE_FALSE(matcher.end());
}

/// Plays each continuation: each call that the connection can carry, behind no
/// copy, one or two of each earlier answer, or of the last one if it has no
/// name, with each answer. Returns the number of copies that were sent.
std::size_t play_all(connection_state const& state, int calls_left)
{
    if (calls_left == 0)
        return 0;
    std::size_t copies = 0;
    for (answer_mark const& call :
         {request("1"), request("2"), order("3", statuses.front()),
          order("4", statuses.back()), poll("5")})
    {
        if (!state.matcher.can_carry(call))
            continue;
        connection_state waiting = state;
        waiting.matcher.begin(call);
        std::vector<connection_state> ways{waiting};
        for (sent_answer const& earlier : state.answers)
        {
            if (earlier.name.empty() && &earlier != &state.answers.back())
                continue;
            connection_state behind_copy = waiting;
            ++copies;
            if (!send_copy(behind_copy.matcher, call, earlier))
                continue;
            ways.push_back(behind_copy);
            REQUIRE(send_copy(behind_copy.matcher, call, earlier));
        }
        for (connection_state const& way : ways)
            for (sent_answer const& own : own_answers(call))
                if (is_like_last(state, own))
                    check_undecided(way.matcher, call, own);
                else if (auto const next = answer_call(way, own))
                    copies += play_all(*next, calls_left - 1);
    }
    return copies;
}

} // namespace

// Guards against believing an answer that may be a copy, and against losing an
// own answer, in any order of calls, repeats, refusals and copies.
TEST_CASE("copies and own answers are told apart, with and without names",
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

// Guards against taking a late copy of an answer without a name, to an order or
// a report request, for the answer to a later one.
TEST_CASE("an unnamed answer is not forgotten behind another call",
          "[.][unnamed_copies]")
{
    bool const is_report = GENERATE(false, true);
    bool const is_behind_request = GENERATE(false, true);
    CAPTURE(is_report, is_behind_request);
    sent_answer const earlier{is_report ? 200 : 409, ""};
    answer_mark const first =
        is_report ? order("", statuses.front()) : order("1", statuses.front());
    answer_mark const other =
        is_behind_request ? request("2") : order("3", statuses.front());
    sent_answer const own{is_report ? 202 : 200,
                          is_behind_request ? other.value : ""};
    answer_mark const last =
        is_report ? order("", statuses.front()) : order("4", statuses.front());
    answer_matcher matcher;
    matcher.begin(first);
    REQUIRE(matcher.match(earlier.status, earlier.headers()) ==
            answer_owner::this_call);
    REQUIRE(matcher.end());
    matcher.begin(other);
    REQUIRE(matcher.match(own.status, own.headers()) ==
            answer_owner::this_call);
    bool const is_kept = matcher.end();
    if (!is_kept || !matcher.can_carry(last))
        return;
    matcher.begin(last);
    CHECK(matcher.match(earlier.status, earlier.headers()) !=
          answer_owner::this_call);
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
