// Queue by objective under overload: order of requests and adapter loads,
// rejection by forecast, and the switch that turns it off.
#include "objective_load.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <random>

using namespace mulberry;
using namespace mulberry::test;
using namespace std::chrono_literals;

namespace
{

std::string_view const queue_reason = "the queue is too long for its deadline";

/// One worker with a batch slot and the adapter `a0`.
struct single_slot : scheduler_world
{
    explicit single_slot(std::size_t batch_slots = 1)
        : scheduler_world(1, 4, batch_slots)
    {
        scheduler.schedule_by_objective(true);
        ticket_id const first = submit_request("a0");
        run(400ms);
        end(first);
        run(20ms);
    }
};

} // namespace

// Guards against a queue in order of arrival, where each request waits for
// those that are late already.
TEST_CASE("a late request goes after those that can be in time",
          "[objective_queue]")
{
    single_slot world;
    ticket_id const running = world.submit(item_of(0, never), "a0");
    world.run(step);
    REQUIRE(world.placed(running));
    ticket_id const late = world.submit(item_of(0, world.now + 50ms), "a0");
    ticket_id const less_urgent =
        world.submit(item_of(2, world.now + 50ms), "a0");
    world.run(100ms);
    ticket_id const in_time = world.submit(item_of(2, world.now + 1s), "a0");
    world.run(step);
    CHECK(world.scheduler.counts().demoted_late == 2);

    world.end(running);
    world.run(step);
    CHECK(world.placed(in_time));
    CHECK_FALSE(world.placed(late));

    // Among the late ones, rank and arrival decide, as before.
    world.end(in_time);
    world.run(step);
    CHECK(world.placed(late));
    CHECK_FALSE(world.placed(less_urgent));
    world.end(late);
    world.run(step);
    CHECK(world.placed(less_urgent));
}

// Guards against a request that is in time by the clock, goes first, and begins
// late because its prompt is long.
TEST_CASE("the prefill of the prompt counts towards the objective",
          "[objective_queue]")
{
    single_slot world;
    ticket_id const running = world.submit(item_of(0, never), "a0");
    world.run(step);
    work_item long_prompt = item_of(0, world.now + 300ms);
    long_prompt.prompt_tokens = 20'000;
    ticket_id const late = world.submit(std::move(long_prompt), "a0");
    ticket_id const in_time = world.submit(item_of(2, world.now + 300ms), "a0");
    world.run(step);
    world.end(running);
    world.run(step);
    CHECK(world.placed(in_time));
    CHECK_FALSE(world.placed(late));
}

TEST_CASE("a late request is served when nothing else waits",
          "[objective_queue]")
{
    single_slot world;
    ticket_id const late = world.submit(item_of(2, world.now - 1s), "a0");
    world.run(step);
    CHECK(world.placed(late));
}

// Guards against any order of events that lets a late request take the slot of
// one that could be in time. All requests may use every slot.
TEST_CASE("no late request starts while one in time waits", "[objective_queue]")
{
    std::size_t late_starts = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        INFO("seed " << seed);
        load_run load(seed, 1, 4, 8, 1);
        load.world.scheduler.schedule_by_objective(true);
        for (int burst = 0; burst < 3; ++burst)
        {
            load.offer(2.6 * load.startable_rate, 1s);
            load.offer(0.5 * load.startable_rate, 1s);
        }
        load.drain();
        scheduler_world const& world = load.world;
        std::size_t violations = 0;
        for (record const& each : load.records)
        {
            if (!world.placed(each.ticket))
                continue;
            time_point const at = world.placed_at(each.ticket);
            if (at <= each.objective_at)
                continue;
            ++late_starts;
            violations += static_cast<std::size_t>(std::count_if(
                load.records.begin(), load.records.end(),
                [&](record const& other)
                {
                    return other.arrived_at < at && at <= other.objective_at &&
                           world.placed(other.ticket) &&
                           world.placed_at(other.ticket) > at;
                }));
        }
        CHECK(violations == 0);
    }
    CHECK(late_starts > 0);
}

namespace
{

/// One worker with `slots` adapter slots, of which four load now, the most at a
/// time; records further loads in the order in which they are issued.
struct load_queue : scheduler_world
{
    explicit load_queue(std::size_t slots = 12) : scheduler_world(1, slots, 32)
    {
        scheduler.schedule_by_objective(true);
        for (int each = 0; each < 4; ++each)
            submit(item_of(0, never), "busy" + std::to_string(each));
        run(step);
        workers.at(name(0)).delay_orders(
            [this](worker_order const& order) -> std::optional<duration>
            {
                std::string const adapter = order.adapter.str();
                if (order.kind == order_kind::load &&
                    adapter.starts_with("n") &&
                    std::find(issued.begin(), issued.end(), adapter) ==
                        issued.end())
                    issued.push_back(adapter);
                return std::nullopt;
            });
    }

    std::vector<std::string> issued;
};

using names = std::vector<std::string>;

} // namespace

// Guards against loads in order of age, where an adapter that is needed soon
// waits for one that is needed later or was needed before.
TEST_CASE("loads for requests in time come first, the earliest objective first",
          "[objective_queue]")
{
    load_queue world;
    world.submit(item_of(0, world.now - 1s), "n-late");
    world.submit(item_of(0, world.now + 3s), "n-third");
    world.submit(item_of(2, world.now + 2s), "n-second");
    world.submit(item_of(1, world.now + 1s), "n-first");
    world.submit(item_of(0, never), "n-none");
    world.run(1500ms);
    REQUIRE(world.issued.size() == 5);
    names const first(world.issued.begin(), world.issued.begin() + 3);
    CHECK(first == names{"n-first", "n-second", "n-third"});
}

// Guards against a load whose requests have all become late and that still goes
// first.
TEST_CASE("a load falls back when its requests are late", "[objective_queue]")
{
    load_queue world;
    world.submit(item_of(0, world.now + 100ms), "n-late");
    world.submit(item_of(2, world.now + 2s), "n-in-time");
    world.run(1s);
    CHECK(world.issued == names{"n-in-time", "n-late"});
}

// Guards against a count of the waiting requests that depends on their order in
// the queue: rank decides there, not the objective.
TEST_CASE("each further request counts as 100 ms earlier", "[objective_queue]")
{
    bool const earliest_last = GENERATE(false, true);
    INFO("earliest objective last in the queue: " << earliest_last);
    load_queue world;
    time_point const now = world.now;
    world.submit(item_of(0, now + 1850ms), "n-single");
    for (int each = 0; each < 3; ++each)
    {
        bool const earliest = each == (earliest_last ? 2 : 0);
        world.submit(item_of(1, now + (earliest ? 2000ms : 2500ms)), "n-many");
    }
    world.run(1s);
    CHECK(world.issued == names{"n-many", "n-single"});
}

namespace
{

constexpr std::size_t late_loads = 12;
/// Loads of adapters a second that two workers can do: each loads four at a
/// time, in 250 ms.
constexpr double loadable_rate = 2 * 4 / 0.25;

/// Submits requests in time, each for an adapter of its own, at `rate`, and
/// after `before` late requests for `late_loads` others. Precondition: `before`
/// is a multiple of the step.
std::unique_ptr<load_run> run_loads(std::uint64_t seed, double rate,
                                    duration before)
{
    auto load = std::make_unique<load_run>(seed, 2, 24, 64, 1);
    load->world.scheduler.schedule_by_objective(true);
    std::mt19937_64 random(seed);
    // One arrival at a random time of each interval: the number of loads that
    // are needed within a span does not exceed the rate by chance.
    std::uniform_real_distribution<double> within(0, 1 / rate);
    double next = within(random);
    std::size_t arrivals = 0;
    for (time_point const from = load->world.now;
         load->world.now < from + before + time_limit;)
    {
        if (load->world.now == from + before)
            for (std::size_t each = 0; each < late_loads; ++each)
                load->submit(2, "late" + std::to_string(each), duration(-1ms));
        double const elapsed =
            std::chrono::duration<double>(load->world.now - from).count();
        for (; next <= elapsed;
             next = double(++arrivals) / rate + within(random))
            load->submit(0, "fresh" + std::to_string(load->records.size()));
        load->tick();
    }
    load->drain();
    return load;
}

bool is_issued(load_run const& load, record const& which)
{
    return std::any_of(load.world.workers.begin(), load.world.workers.end(),
                       [&](auto const& each)
                       { return each.second.loads_of(which.adapter) > 0; });
}

} // namespace

// Guards against a load of late requests that waits for ever while others are
// needed within objectives. Loads for requests in time take 0.75 of the rate
// that is possible; in half of the time limit, after which requests are
// rejected whatever they wait for, the late ones take 0.15 of it.
TEST_CASE("no load starves behind those that are needed in time",
          "[objective_queue]")
{
    duration const before = GENERATE(0s, 2s);
    INFO("seconds of load before: " << before / 1s);
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        INFO("seed " << seed);
        auto const load = run_loads(seed, 0.75 * loadable_rate, before);
        auto const starved = std::count_if(
            load->records.begin(), load->records.end(),
            [&](record const& each) {
                return each.adapter.starts_with("l") && !is_issued(*load, each);
            });
        CHECK(starved == 0);
    }
}

// Guards against requests that are held until their callers give up when more
// loads are needed than can be done.
TEST_CASE("a request whose load cannot be issued is rejected",
          "[objective_queue]")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        INFO("seed " << seed);
        auto const load = run_loads(seed, 1.5 * loadable_rate, 1s);
        std::size_t held = 0;
        for (record const& each : load->records)
            held +=
                !is_issued(*load, each) && !load->world.refused(each.ticket);
        CHECK(held == 0);
    }
}

namespace
{

/// The forecast by the page: `ahead` requests at the rate of the starts in the
/// last second.
duration forecast(scheduler_world const& world, std::size_t ahead)
{
    auto const& order = world.placement_order();
    auto const starts =
        std::count_if(order.begin(), order.end(),
                      [&](ticket_id ticket)
                      { return world.placed_at(ticket) > world.now - 1s; });
    REQUIRE(starts >= 4);
    return duration(1s) * static_cast<duration::rep>(ahead) / starts;
}

/// Has all batch slots in use and `held` waiting requests for more than a
/// second, and had a start each `gap` in the last second.
struct busy_world : single_slot
{
    busy_world(std::size_t batch_slots, duration gap, std::size_t held)
        : single_slot(batch_slots)
    {
        std::vector<ticket_id> running;
        auto const start = [&]
        { running.push_back(submit(item_of(0, never), "a0", 60s)); };
        for (std::size_t each = 0; each < batch_slots + held; ++each)
            start();
        run(1100ms);
        for (std::size_t next = 0; next < std::size_t(duration(1s) / gap);
             ++next)
        {
            start();
            end(running.at(next));
            run(gap);
        }
    }
};

} // namespace

// Guards against a late request that is held for half of its time although it
// cannot begin, and against a Retry-After at which it would be late again. The
// forecast is above, and then below, the one by batch slots.
TEST_CASE("a late request that cannot begin in time is rejected at once",
          "[objective_queue]")
{
    bool const many_slots = GENERATE(true, false);
    std::size_t const held = 5;
    busy_world world(many_slots ? 8 : 1, many_slots ? 200ms : 125ms, held);
    duration const expected = forecast(world, held + 1);
    INFO("slots " << (many_slots ? 8 : 1) << ", forecast in us "
                  << expected.count());
    ticket_id const late =
        world.submit(item_of(0, world.now - 1ms), "a0", 2 * expected - 50ms);
    world.run(duration(0));
    REQUIRE(world.refused(late));
    CHECK(world.refusal(late).retry_after == expected);
    CHECK(world.refusal(late).reason == queue_reason);
    CHECK(world.refusal(late).kind == error_kind::overloaded);
    CHECK(world.scheduler.counts().rejected_late == 1);
}

// Guards against the rejection of requests whose forecast leaves them time, and
// of those that can still be in time.
TEST_CASE("a request with time beyond the forecast is not rejected",
          "[objective_queue]")
{
    std::size_t const held = 5;
    busy_world world(8, 200ms, held);
    duration const expected = forecast(world, held + 1);
    // Half of it is above the forecast behind the one that can be in time.
    ticket_id const late =
        world.submit(item_of(2, world.now - 1ms), "a0", 2 * expected + 600ms);
    ticket_id const in_time =
        world.submit(item_of(0, world.now + 1s), "a0", 2 * expected - 500ms);
    world.run(duration(0));
    CHECK_FALSE(world.refused(in_time));
    CHECK_FALSE(world.refused(late));
}

// Guards against a forecast that takes few arrivals for a low rate of starts.
TEST_CASE("nothing is rejected by forecast at 0.7 of what workers can start",
          "[objective_queue]")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        INFO("seed " << seed);
        load_run load(seed, 2, 8, 8, 6);
        load.world.scheduler.schedule_by_objective(true);
        load.offer(0.7 * load.startable_rate, 6s);
        load.drain();
        CHECK(load.world.scheduler.counts().rejected_late == 0);
        CHECK(load.world.scheduler.counts().refused == 0);
    }
}

namespace
{

std::unique_ptr<load_run> run_overload(std::uint64_t seed, bool by_objective)
{
    auto load = std::make_unique<load_run>(seed, 2, 8, 8, 6);
    load->world.scheduler.schedule_by_objective(by_objective);
    load->offer(2.6 * load->startable_rate, 6s);
    load->drain();
    return load;
}

/// Share of the requests that the workers can start during the load that
/// start during it, within their objectives.
double share_in_time(load_run const& load)
{
    time_point const begin = load.records.front().arrived_at;
    auto const in_time = std::count_if(
        load.records.begin(), load.records.end(),
        [&](record const& each)
        {
            return load.world.placed(each.ticket) &&
                   load.world.placed_at(each.ticket) <=
                       std::min(each.objective_at, begin + duration(6s));
        });
    return double(in_time) / (6 * load.startable_rate);
}

} // namespace

// Guards against seconds in which every request begins late because all wait
// for those before them.
TEST_CASE("at 2.6 times the rate of the workers most starts are in time",
          "[objective_queue]")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        INFO("seed " << seed);
        auto const load = run_overload(seed, true);
        CHECK(share_in_time(*load) >= 0.9);
        CHECK(3 * load->started_late() < load->started_in_time());

        // Shows that the load is one that the queue by age does not handle.
        auto const by_age = run_overload(seed, false);
        CHECK(share_in_time(*by_age) < 0.9);
    }
}

// Guards against traces of the queue by objective in decisions without it.
TEST_CASE("without the switch decisions are those of a scheduler without it",
          "[objective_queue]")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        INFO("seed " << seed);
        load_run untouched(seed, 2, 4, 8, 6);
        load_run off(seed, 2, 4, 8, 6);
        off.world.scheduler.schedule_by_objective(true);
        off.world.scheduler.schedule_by_objective(false);
        for (load_run* const each : {&untouched, &off})
        {
            each->offer(2.6 * each->startable_rate, 3s);
            each->drain();
        }
        CHECK(untouched.world.scheduler.counts().demoted_late == 0);
        CHECK(untouched.world.scheduler.counts().rejected_late == 0);
        CHECK(untouched.world.scheduler.counts() ==
              off.world.scheduler.counts());
        CHECK(untouched.world.placement_order() == off.world.placement_order());
        REQUIRE(untouched.records.size() == off.records.size());
        std::size_t different = 0;
        for (record const& each : untouched.records)
            different +=
                untouched.world.placed(each.ticket)
                    ? untouched.world.placed_at(each.ticket) !=
                              off.world.placed_at(each.ticket) ||
                          untouched.world.worker_of(each.ticket) !=
                              off.world.worker_of(each.ticket)
                : untouched.world.refused(each.ticket)
                    ? untouched.world.refusal(each.ticket).retry_after !=
                          off.world.refusal(each.ticket).retry_after
                    : off.world.refused(each.ticket);
        CHECK(different == 0);
    }
}

// Guards against objectives that still decide after a new configuration has
// turned the switch off: late requests would stay behind all later ones.
TEST_CASE("requests that wait when the switch is turned off go by age again",
          "[objective_queue]")
{
    single_slot world;
    ticket_id const running = world.submit(item_of(0, never), "a0");
    world.run(step);
    ticket_id const late = world.submit(item_of(0, world.now), "a0");
    world.run(100ms);
    ticket_id const in_time = world.submit(item_of(0, world.now + 1s), "a0");
    world.run(step);
    REQUIRE(world.scheduler.counts().demoted_late == 1);
    world.scheduler.schedule_by_objective(false);
    world.end(running);
    world.run(step);
    CHECK(world.placed(late));
    CHECK_FALSE(world.placed(in_time));
}

// Guards against deadlines of loads that outlast the switch.
TEST_CASE("loads that wait when the switch is turned off go by age again",
          "[objective_queue]")
{
    load_queue world;
    world.submit(item_of(0, world.now + 3s), "n-old");
    world.run(50ms);
    world.submit(item_of(0, world.now + 1s), "n-new");
    world.run(step);
    world.scheduler.schedule_by_objective(false);
    world.run(1s);
    CHECK(world.issued == names{"n-old", "n-new"});
}
