#include "pooled_limiter.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

time_point const start{100s};
allotment_id const pits("pits");

std::map<allotment_id, allotment> limit(double per_second, double burst)
{
    return {{pits, {allotment_unit::tokens, per_second, burst, 1}}};
}

allotment_members members(std::vector<std::string> const& names)
{
    allotment_members made;
    made.count = names.size();
    made.joined = true;
    for (std::string const& name : names)
        made.candidates.push_back({vm_id(name), 1000});
    return made;
}

/// A single VM whose own pool is the only one. Queries are answered at once.
struct lone_vm
{
    pooled_limiter keeper{vm_id("a"), allotment_terms()};
    time_point now = start;
    std::map<ticket_id, std::optional<error>> settled;

    explicit lone_vm(double per_second, double burst)
    {
        keeper.set_members(members({"a"}), now);
        keeper.set_allotments(limit(per_second, burst), now);
        act();
    }
    void act()
    {
        for (auto actions = keeper.run(now); !actions.empty();
             actions = keeper.run(now))
            for (allotment_action const& action : actions)
                if (auto const* ask = std::get_if<query_pool>(&action))
                    keeper.on_reply(ask->number, keeper.answer(ask->query, now),
                                    now);
                else
                {
                    auto const& done = std::get<allotment_decision>(action);
                    settled[done.ticket] = done.refused;
                }
    }
    void pass(duration span)
    {
        for (time_point const end = now + span; now < end; now += 100ms)
            act();
    }
    bool fits(std::uint64_t ticket, double units)
    {
        keeper.request({ticket_id(ticket), pits, units, now + 5s}, now);
        act();
        return settled.count(ticket_id(ticket)) > 0 &&
               !settled[ticket_id(ticket)];
    }
};

std::vector<query_pool> pool_queries(pooled_limiter& keeper, time_point now)
{
    std::vector<query_pool> asked;
    for (allotment_action const& action : keeper.run(now))
        if (auto const* ask = std::get_if<query_pool>(&action))
            asked.push_back(*ask);
    return asked;
}

/// A VM with two other members, after it has delegated its shares to them and
/// received empty replies.
std::unique_ptr<pooled_limiter> asking_vm(double slack = 0)
{
    allotment_terms terms;
    terms.overshoot_units = slack;
    auto keeper = std::make_unique<pooled_limiter>(vm_id("a"), terms);
    keeper->set_members(members({"b", "c"}), start);
    keeper->set_allotments(limit(1000, 1000), start);
    for (query_pool const& ask : pool_queries(*keeper, start))
        keeper->on_reply(ask.number, allotment_reply(), start);
    return keeper;
}

/// The queries that request units, without those that only renew delegations.
std::vector<query_pool> unit_queries(pooled_limiter& keeper, time_point now)
{
    std::vector<query_pool> asked = pool_queries(keeper, now);
    std::erase_if(asked,
                  [](query_pool const& each) {
                      return each.query.teams.empty() ||
                             each.query.teams[0].min_units <= 0;
                  });
    return asked;
}

/// The query that is sent for a new request.
query_pool query_for(pooled_limiter& keeper, std::uint64_t ticket, double units,
                     time_point now)
{
    keeper.request({ticket_id(ticket), pits, units, now + 5s}, now);
    auto const asked = unit_queries(keeper, now);
    REQUIRE(asked.size() == 1);
    return asked[0];
}

std::optional<error> refusal(pooled_limiter& keeper, time_point now)
{
    for (allotment_action const& action : keeper.run(now))
        if (auto const* done = std::get_if<allotment_decision>(&action))
            return done->refused;
    return std::nullopt;
}

} // namespace

TEST_CASE("a team may use its rate and its burst, and no more",
          "[pooled_allotment]")
{
    lone_vm vm(1000, 2000);
    vm.pass(4s);
    CHECK(vm.fits(1, 2000));
    CHECK_FALSE(vm.fits(2, 1000));
    auto const why = vm.settled[ticket_id(2)];
    REQUIRE(why);
    CHECK(why->kind() == error_kind::over_allotment);
    CHECK(why->request_ran() == ran::no);
    REQUIRE(why->retry_after());
    CHECK(*why->retry_after() > 500ms);
    vm.pass(1100ms);
    CHECK(vm.fits(3, 1000));
}

TEST_CASE("requests of a team without a limit do not wait",
          "[pooled_allotment]")
{
    lone_vm vm(1000, 0);
    vm.keeper.set_allotments({}, vm.now);
    vm.act();
    CHECK(vm.fits(1, 1e9));
}

TEST_CASE("units of a request that did not run are used by the next request",
          "[pooled_allotment]")
{
    lone_vm vm(1000, 1000);
    vm.pass(3s);
    CHECK(vm.fits(1, 1200));
    CHECK_FALSE(vm.fits(2, 1000));
    vm.keeper.give_back(pits, 1200, vm.now);
    CHECK(vm.fits(3, 1000));
}

// Guards against a lowered limit that applies only after the units saved up
// before are used.
TEST_CASE("a lowered limit also applies to units saved up before",
          "[pooled_allotment]")
{
    lone_vm vm(1000, 10'000);
    vm.pass(15s);
    vm.keeper.set_allotments(limit(10, 100), vm.now);
    CHECK(vm.fits(1, 100));
    CHECK_FALSE(vm.fits(2, 100));
}

// Guards against a request that waits for a pool that does not answer, and
// against an isolated VM that admits requests unchecked.
TEST_CASE("if no pool answers, the next is queried and then the request is "
          "refused",
          "[pooled_allotment]")
{
    auto const keeper = asking_vm();
    query_pool const first = query_for(*keeper, 1, 100, start);
    keeper->on_reply(first.number, std::nullopt, start + 300ms);
    auto const second = pool_queries(*keeper, start + 300ms);
    REQUIRE(second.size() == 1);
    CHECK(second[0].pool != first.pool);
    keeper->on_reply(second[0].number, std::nullopt, start + 600ms);
    auto const why = refusal(*keeper, start + 600ms);
    REQUIRE(why);
    CHECK(why->kind() == error_kind::allotment_unknown);
    CHECK(why->request_ran() == ran::no);
}

// Guards against a team that saves up units at many VMs and uses all of them
// at once.
TEST_CASE("units that are not used soon expire", "[pooled_allotment]")
{
    auto const keeper = asking_vm();
    query_pool const first = query_for(*keeper, 1, 100, start);
    keeper->on_reply(first.number, allotment_reply{{pits, 500, 0ms, 0ms}},
                     start);
    CHECK_FALSE(refusal(*keeper, start));
    keeper->request({ticket_id(2), pits, 100, start + 5s}, start + 500ms);
    CHECK(unit_queries(*keeper, start + 500ms).empty());
    query_for(*keeper, 3, 100, start + 700ms);
}

// Guards against a share of an allotment that counts in two pools at once.
TEST_CASE("a share is delegated to another pool only after it has expired at "
          "the first",
          "[pooled_allotment]")
{
    pooled_limiter keeper(vm_id("a"), allotment_terms());
    keeper.set_members(members({"a", "b", "c"}), start);
    keeper.set_allotments(limit(1000, 1000), start);
    std::map<vm_id, time_point> until;
    vm_id lost;
    for (time_point now = start; now < start + 20s; now += 100ms)
    {
        for (query_pool const& ask : pool_queries(keeper, now))
        {
            if (lost.empty())
                lost = ask.pool;
            for (allotment_need const& each : ask.query.teams)
                if (each.share > 0)
                    until[ask.pool] = now + ask.query.delegated_for;
            bool const answers = ask.pool != lost || now < start + 5s;
            keeper.on_reply(
                ask.number,
                answers ? std::optional(allotment_reply()) : std::nullopt, now);
        }
        auto const in_use = std::count_if(until.begin(), until.end(),
                                          [now](auto const& each)
                                          { return each.second > now; });
        CHECK(in_use <= 2);
    }
    CHECK(until.size() == 3);
}

// Guards against exceeding the allotment while the other VMs do not count a new
// VM yet.
TEST_CASE("a new VM does not delegate its shares at once", "[pooled_allotment]")
{
    pooled_limiter keeper(vm_id("a"), allotment_terms());
    allotment_members joined = members({"a", "b"});
    joined.first_incarnation = true;
    keeper.set_members(joined, start);
    keeper.set_allotments(limit(1000, 1000), start);
    CHECK(pool_queries(keeper, start).empty());
    CHECK(pool_queries(keeper, start + 2s).empty());
    CHECK_FALSE(pool_queries(keeper, start + 3100ms).empty());
}

// Guards against refusing requests whose units come in a moment later.
TEST_CASE("a request waits for units that are about to come in",
          "[pooled_allotment]")
{
    lone_vm vm(1000, 0);
    vm.pass(2s);
    CHECK(vm.fits(1, 200));
    CHECK_FALSE(vm.fits(2, 100));
    CHECK(vm.settled.count(ticket_id(2)) == 0);
    vm.pass(200ms);
    CHECK(vm.settled.count(ticket_id(2)) == 1);
    CHECK_FALSE(vm.settled[ticket_id(2)]);
}

// Guards against a restarted fleet that refuses requests within the allotments
// until all VMs have been counted again.
TEST_CASE("a restarted VM delegates its shares at once", "[pooled_allotment]")
{
    pooled_limiter keeper(vm_id("a"), allotment_terms());
    keeper.set_allotments(limit(1000, 1000), start);
    keeper.request({ticket_id(1), pits, 10, start + 5s}, start);
    CHECK(pool_queries(keeper, start + 100ms).empty());
    keeper.set_members(members({"a", "b"}), start + 200ms);
    auto const asked = pool_queries(keeper, start + 200ms);
    CHECK(std::any_of(asked.begin(), asked.end(),
                      [](query_pool const& each)
                      { return each.query.teams.at(0).share > 0; }));
    CHECK(std::any_of(asked.begin(), asked.end(),
                      [](query_pool const& each)
                      { return each.query.teams.at(0).min_units > 0; }));
}

// Guards against a team that gets one request larger than its burst from each
// pool, beyond the allowed overshoot.
TEST_CASE("units that exceed the capacity and debt of a pool are requested "
          "from one pool only",
          "[pooled_allotment]")
{
    auto const keeper = asking_vm(GENERATE(0.0, 5000.0));
    query_pool const asked = query_for(*keeper, 1, 5000, start);
    keeper->on_reply(asked.number, allotment_reply{{pits, 0, 3s, 3s}}, start);
    auto const why = refusal(*keeper, start);
    REQUIRE(why);
    CHECK(why->kind() == error_kind::over_allotment);
}

TEST_CASE("a second pool is queried for units that it may be in debt for",
          "[pooled_allotment]")
{
    auto const keeper = asking_vm(10'000);
    query_pool const first = query_for(*keeper, 1, 5000, start);
    keeper->on_reply(first.number, allotment_reply{{pits, 0, 3s, 3s}}, start);
    auto const second = pool_queries(*keeper, start);
    REQUIRE(second.size() == 1);
    CHECK(second[0].pool != first.pool);
}

namespace
{

/// Runs the limiter; returns its queries and collects its decisions.
std::vector<query_pool>
run_early(pooled_limiter& keeper, time_point now,
          std::map<ticket_id, std::optional<error>>& decided)
{
    std::vector<query_pool> asked;
    for (allotment_action const& action : keeper.run(now))
        if (auto const* ask = std::get_if<query_pool>(&action))
            asked.push_back(*ask);
        else
            decided[std::get<allotment_decision>(action).ticket] =
                std::get<allotment_decision>(action).refused;
    return asked;
}

/// A member of three whose queries are answered by the test, with requests
/// that wait 75 ms at most. Its shares are delegated.
struct early_vm
{
    pooled_limiter keeper{vm_id("x"), allotment_terms()};
    std::map<ticket_id, std::optional<error>> decided;

    early_vm()
    {
        keeper.refuse_early(75ms);
        keeper.set_members(members({"a", "b", "c"}), start);
        keeper.set_allotments(limit(1000, 1000), start);
        for (query_pool const& each : run_early(keeper, start, decided))
            keeper.on_reply(each.number, allotment_reply{}, start);
    }
    query_pool ask(std::uint64_t ticket, time_point now)
    {
        keeper.request({ticket_id(ticket), pits, 100, now + 5s}, now);
        auto const asked = run_early(keeper, now, decided);
        REQUIRE(asked.size() == 1);
        return asked.front();
    }
};

} // namespace

// Guards against "the pool did not answer" after the longest wait, though each
// pool had answered that the allotment is used up.
TEST_CASE("a request that both pools refuse is refused as over its allotment",
          "[pooled_limiter]")
{
    early_vm vm;
    auto const first = vm.ask(1, start);
    vm.keeper.on_reply(first.number, allotment_reply{{pits, 0, 400ms, 900ms}},
                       start + 2ms);
    auto const second = run_early(vm.keeper, start + 2ms, vm.decided);
    REQUIRE(second.size() == 1);
    CHECK(second.front().pool != first.pool);
    vm.keeper.on_reply(second.front().number,
                       allotment_reply{{pits, 0, 400ms, 900ms}}, start + 4ms);
    CHECK(run_early(vm.keeper, start + 4ms, vm.decided).empty());
    REQUIRE(vm.decided.count(ticket_id(1)) == 1);
    auto const refused = vm.decided.at(ticket_id(1));
    REQUIRE(refused);
    CHECK(refused->kind() == error_kind::over_allotment);
    CHECK(*refused->retry_after() >= 900ms - 4ms);
}

// Guards against a pool that is lost or slow and holds up every request until
// its time-out.
TEST_CASE("a silent pool's units are asked of the other pool",
          "[pooled_limiter]")
{
    early_vm vm;
    auto const first = vm.ask(1, start);
    CHECK(run_early(vm.keeper, start + 37ms, vm.decided).empty());
    auto const second = run_early(vm.keeper, start + 38ms, vm.decided);
    REQUIRE(second.size() == 1);
    CHECK(second.front().pool != first.pool);
    vm.keeper.on_reply(second.front().number,
                       allotment_reply{{pits, 100, 0ms, 0ms}}, start + 62ms);
    run_early(vm.keeper, start + 62ms, vm.decided);
    REQUIRE(vm.decided.count(ticket_id(1)) == 1);
    CHECK_FALSE(vm.decided.at(ticket_id(1)));
    CHECK(vm.keeper.counts().second_queries == 1);
}

// Guards against a caller that waits for pools that are out of reach for longer
// than its objective allows.
TEST_CASE("a request whose pools are silent is told so at its bound",
          "[pooled_limiter]")
{
    early_vm vm;
    vm.ask(1, start);
    run_early(vm.keeper, start + 60ms, vm.decided);
    run_early(vm.keeper, start + 75ms, vm.decided);
    REQUIRE(vm.decided.count(ticket_id(1)) == 1);
    CHECK(vm.decided.at(ticket_id(1))->kind() == error_kind::allotment_unknown);
    CHECK(vm.keeper.counts().unanswered == 1);
}

// Guards against "the pool did not answer" while a pool gives units, only not
// enough of them in time.
TEST_CASE("a request that a pool cannot serve in time is over its allotment",
          "[pooled_limiter]")
{
    early_vm vm;
    auto const first = vm.ask(1, start);
    vm.keeper.request({ticket_id(2), pits, 900, start + 5s}, start);
    vm.keeper.on_reply(first.number, allotment_reply{{pits, 100, 0ms, 0ms}},
                       start + 2ms);
    run_early(vm.keeper, start + 2ms, vm.decided);
    CHECK_FALSE(vm.decided.at(ticket_id(1)));
    run_early(vm.keeper, start + 75ms, vm.decided);
    REQUIRE(vm.decided.count(ticket_id(2)) == 1);
    CHECK(vm.decided.at(ticket_id(2))->kind() == error_kind::over_allotment);
}

// Guards against a request that is refused, before its pools are asked once
// more, because another request arrives.
TEST_CASE("a request that waits for its pools is not refused by the next one",
          "[pooled_limiter]")
{
    early_vm vm;
    auto const first = vm.ask(1, start);
    allotment_reply const soon{{pits, 0, 100ms, 100ms}};
    vm.keeper.on_reply(first.number, soon, start + 2ms);
    auto const second = run_early(vm.keeper, start + 2ms, vm.decided);
    REQUIRE(second.size() == 1);
    vm.keeper.on_reply(second.front().number, soon, start + 4ms);
    run_early(vm.keeper, start + 4ms, vm.decided);
    vm.keeper.request({ticket_id(2), pits, 100, start + 5s}, start + 6ms);
    run_early(vm.keeper, start + 6ms, vm.decided);
    CHECK(vm.decided.empty());
    auto const again = run_early(vm.keeper, start + 29ms, vm.decided);
    REQUIRE(again.size() == 1);
    vm.keeper.on_reply(again.front().number,
                       allotment_reply{{pits, 200, 0ms, 0ms}}, start + 31ms);
    run_early(vm.keeper, start + 31ms, vm.decided);
    CHECK(vm.decided.size() == 2);
    CHECK_FALSE(vm.decided.at(ticket_id(1)));
}

// Guards against requests that wait behind a silent pool after the other pool
// has served the first of them.
TEST_CASE("later requests do not wait for a silent pool", "[pooled_limiter]")
{
    early_vm vm;
    vm.ask(1, start);
    auto const second = run_early(vm.keeper, start + 38ms, vm.decided);
    REQUIRE(second.size() == 1);
    vm.keeper.on_reply(second.front().number,
                       allotment_reply{{pits, 100, 0ms, 0ms}}, start + 42ms);
    run_early(vm.keeper, start + 42ms, vm.decided);
    CHECK_FALSE(vm.decided.at(ticket_id(1)));
    vm.keeper.request({ticket_id(2), pits, 100, start + 5s}, start + 43ms);
    auto const third = run_early(vm.keeper, start + 43ms, vm.decided);
    REQUIRE(third.size() == 1);
    CHECK(third.front().pool == second.front().pool);
}

// Guards against units that go to callers who return after their objective,
// while newcomers who could be served in time are refused.
TEST_CASE("a caller that returns late gets no units while its team is short",
          "[pooled_limiter]")
{
    early_vm vm;
    auto const first = vm.ask(1, start);
    allotment_reply const used_up{{pits, 0, 900ms, 900ms}};
    vm.keeper.on_reply(first.number, used_up, start + 2ms);
    auto const second = run_early(vm.keeper, start + 2ms, vm.decided);
    REQUIRE(second.size() == 1);
    vm.keeper.on_reply(second.front().number, used_up, start + 4ms);
    run_early(vm.keeper, start + 4ms, vm.decided);
    REQUIRE(vm.decided.count(ticket_id(1)) == 1);
    time_point const back = start + 1s;
    vm.keeper.request({ticket_id(2), pits, 100, back + 2s, back - 100ms}, back);
    auto const asks_for_units = [&]
    {
        auto const asked = run_early(vm.keeper, back, vm.decided);
        return std::any_of(asked.begin(), asked.end(),
                           [](query_pool const& each)
                           {
                               return !each.query.teams.empty() &&
                                      each.query.teams.front().min_units > 0;
                           });
    };
    CHECK_FALSE(asks_for_units());
    REQUIRE(vm.decided.count(ticket_id(2)) == 1);
    CHECK(vm.decided.at(ticket_id(2))->kind() == error_kind::over_allotment);
    // A newcomer is asked for, and so is the caller after the shortage.
    vm.keeper.request({ticket_id(3), pits, 100, back + 5s, back + 500ms}, back);
    CHECK(asks_for_units());
}

// Guards against callers who return during the load that they were refused for.
TEST_CASE("a caller that cannot be served in time returns after half its time",
          "[pooled_limiter]")
{
    early_vm vm;
    vm.keeper.request({ticket_id(1), pits, 100, start + 5s, start + 500ms},
                      start);
    allotment_reply const used_up{{pits, 0, 900ms, 900ms}};
    for (time_point at = start; vm.decided.empty() && at < start + 1s;
         at += 2ms)
        for (auto const& query : run_early(vm.keeper, at, vm.decided))
            vm.keeper.on_reply(query.number, used_up, at + 1ms);
    REQUIRE(vm.decided.count(ticket_id(1)) == 1);
    auto const retry = vm.decided.at(ticket_id(1))->retry_after();
    REQUIRE(retry);
    CHECK(*retry >= 2400ms);
    CHECK(*retry <= 3750ms);
}
