// Placement decisions under load: prefill backlogs, grants, lost owners and
// shared prompt prefixes.
#include "scheduler_world.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;
using namespace mulberry::test;
using namespace std::chrono_literals;

namespace
{

/// Takes two seconds of prefill at the initially assumed rate.
constexpr std::uint32_t long_prompt = 20'000;
constexpr std::uint32_t short_prompt = 500;

work_item item_of(std::uint32_t tokens)
{
    work_item item;
    item.prompt_tokens = tokens;
    return item;
}

/// Two workers of this VM that both have the adapter `a1`.
struct two_holders : scheduler_world
{
    two_holders() : scheduler_world(2)
    {
        for (std::size_t const other : {0, 1})
        {
            draining = {name(other)};
            list_all();
            ticket_id const ticket = submit_request("a1");
            run(400ms);
            end(ticket);
        }
        draining.clear();
        list_all();
        begins_at_once = false;
    }
};

/// Two workers: this VM owns the first, another VM the second.
struct shared_world : scheduler_world
{
    shared_world() : scheduler_world(2)
    {
        scheduler.set_owned_workers({{name(0), owned_workers.at(name(0))}});
        scheduler.set_owners({{name(1), vm_id("vm-2")}});
    }
};

/// Returns an adapter whose home among `workers` workers is `worker`.
std::string adapter_at_home(std::size_t worker, std::size_t workers)
{
    for (int number = 0;; ++number)
    {
        std::string const adapter = "h" + std::to_string(number);
        scheduler_world world(workers);
        ticket_id const ticket = world.submit_request(adapter);
        world.run(300ms);
        if (world.worker_of(ticket) == scheduler_world::name(worker))
            return adapter;
    }
}

} // namespace

// Guards against head-of-line blocking: by request count both workers look the
// same, but a short prompt behind a long one starts two seconds late.
TEST_CASE("a short prompt is not sent behind a long one", "[load]")
{
    scheduler_world world(2);
    ticket_id const one = world.submit_request("", 0, 5s);
    world.run(5ms);
    world.end(one);
    world.begins_at_once = false;
    ticket_id const heavy = world.submit(item_of(long_prompt), "");
    world.run(5ms);
    ticket_id const quick = world.submit(item_of(short_prompt), "");
    ticket_id const third = world.submit(item_of(short_prompt), "");
    world.run(5ms);
    REQUIRE(world.placed(third));
    CHECK(world.worker_of(quick) != world.worker_of(heavy));
    CHECK(world.worker_of(third) != world.worker_of(heavy));
}

// Guards against head-of-line blocking at the only holder of an adapter, which
// has a prefill backlog of seconds. A fetch at an idle worker takes a quarter
// of a second.
TEST_CASE("an adapter is fetched elsewhere if its holder would start too late",
          "[load]")
{
    scheduler_world world(2);
    ticket_id const first = world.submit_request("a1");
    world.run(300ms);
    worker_id const holder = world.worker_of(first);
    world.begins_at_once = false;
    world.submit(item_of(long_prompt), "a1");
    world.run(5ms);
    work_item item = item_of(short_prompt);
    item.objective_at = world.now + 600ms;
    ticket_id const quick = world.submit(item, "a1");
    world.run(400ms);
    REQUIRE(world.placed(quick));
    CHECK(world.worker_of(quick) != holder);
}

// Guards against preferring this VM's own worker although it has a prefill
// backlog of seconds and another VM's worker has no known backlog.
TEST_CASE(
    "another VM's worker is asked instead of waiting behind a long own backlog",
    "[load]")
{
    shared_world world;
    world.begins_at_once = false;
    std::string const adapter = adapter_at_home(0, 2);
    ticket_id const here = world.submit(item_of(long_prompt), adapter);
    world.run(300ms);
    REQUIRE(world.placed(here));
    world.submit(item_of(short_prompt), adapter);
    world.run(5ms);
    REQUIRE(world.grant_requests().size() == 1);
    CHECK(world.grant_requests().front().worker == scheduler_world::name(1));
}

// Guards against a request that is passed from owner to owner: from stale data,
// each owner may assume that another worker starts the request sooner. Only the
// first owner may refuse for that reason.
TEST_CASE("only the first owner may refuse in favour of another worker",
          "[load]")
{
    scheduler_world world(3);
    world.scheduler.set_owned_workers({});
    world.scheduler.set_owners({{scheduler_world::name(0), vm_id("vm-2")},
                                {scheduler_world::name(1), vm_id("vm-3")},
                                {scheduler_world::name(2), vm_id("vm-4")}});
    ticket_id const ticket = world.submit_request("a1");
    world.run(5ms);
    REQUIRE(world.grant_requests().size() == 1);
    CHECK(world.grant_requests().front().begins_elsewhere_at != never);
    world.scheduler.on_grant_answer(ticket, grant_outcome::refused, {},
                                    world.now);
    world.run(5ms);
    REQUIRE(world.grant_requests().size() == 2);
    CHECK(world.grant_requests().back().owner !=
          world.grant_requests().front().owner);
    CHECK(world.grant_requests().back().begins_elsewhere_at == never);
}

TEST_CASE("an owner refuses a request that would start sooner elsewhere",
          "[load]")
{
    scheduler_world world(1);
    ticket_id const first = world.submit_request("a1");
    world.run(300ms);
    REQUIRE(world.placed(first));
    world.begins_at_once = false;
    world.submit(item_of(long_prompt), "a1");
    world.run(5ms);
    work_item item = item_of(short_prompt);
    item.requested_worker = scheduler_world::name(0);
    item.begins_elsewhere_at = world.now + 50ms;
    ticket_id const other = world.submit(item, "a1");
    item.begins_elsewhere_at = never;
    ticket_id const nowhere = world.submit(item, "a1");
    world.run(5ms);
    CHECK(world.refused(other));
    CHECK(world.granted(nowhere));
}

// Guards against asking one owner for each of its full workers in turn. That
// would use up the limit of refusals before other owners are asked.
TEST_CASE("an owner that refused is not asked for its other workers", "[load]")
{
    scheduler_world world(4);
    world.scheduler.set_owned_workers({});
    world.scheduler.set_owners({{scheduler_world::name(0), vm_id("vm-2")},
                                {scheduler_world::name(1), vm_id("vm-2")},
                                {scheduler_world::name(2), vm_id("vm-2")},
                                {scheduler_world::name(3), vm_id("vm-3")}});
    ticket_id const ticket = world.submit_request("a1");
    for (std::size_t asked = 1; asked <= 2; ++asked)
    {
        world.run(5ms);
        REQUIRE(world.grant_requests().size() == asked);
        world.scheduler.on_grant_answer(ticket, grant_outcome::refused, {},
                                        world.now);
    }
    CHECK(world.grant_requests().front().owner !=
          world.grant_requests().back().owner);
    world.run(100ms);
    CHECK(world.grant_requests().size() == 2);
}

// Guards against a refusal because the requested worker fails although the
// owner has another worker.
TEST_CASE("an owner grants another of its workers if the requested one fails",
          "[load]")
{
    scheduler_world world(2);
    world.run(50ms);
    ticket_id const before = world.submit_request("a1");
    world.run(300ms);
    REQUIRE(world.placed(before));
    worker_id const home = world.worker_of(before);
    world.end(before, send_outcome::unreachable);
    std::size_t const number = home == scheduler_world::name(0) ? 0 : 1;
    ticket_id const asked = world.submit_peer_request("a2", number);
    world.run(400ms);
    REQUIRE(world.granted(asked));
    CHECK(world.granted_worker(asked) != home);
}

// Guards against rejections for seconds at a VM that owns no worker, for
// example after replacing another VM, while all owners are busy only for a
// moment.
TEST_CASE("grants refused by busy owners are requested again", "[load]")
{
    scheduler_world world(2);
    world.scheduler.set_owned_workers({});
    world.scheduler.set_owners({{scheduler_world::name(0), vm_id("vm-2")},
                                {scheduler_world::name(1), vm_id("vm-3")}});
    ticket_id const ticket = world.submit_request("a1");
    for (std::size_t asked = 1; asked <= 2; ++asked)
    {
        world.run(5ms);
        REQUIRE(world.grant_requests().size() == asked);
        world.scheduler.on_grant_answer(ticket, grant_outcome::refused, {},
                                        world.now);
    }
    world.run(5ms);
    CHECK_FALSE(world.refused(ticket));
    world.run(600ms);
    CHECK(world.grant_requests().size() == 3);
}

// Guards against an idle worker after the permanent loss of its owner: no other
// VM may own the worker for many seconds, but listed adapters can be used.
TEST_CASE("a worker whose owner is gone is used for its resident adapters",
          "[load]")
{
    scheduler_world world(1);
    world.scheduler.set_owned_workers({});
    world.scheduler.set_owners({});
    backend_entry entry = world.entry(0);
    entry.models.front().adapters.emplace(adapter_id("a1"), adapter_version(1));
    world.scheduler.set_backends({entry});
    ticket_id const ticket = world.submit_request("a1");
    world.run(5ms);
    CHECK(world.placed(ticket));
}

// Guards against a worker that stays unused after an outage of a second: its
// adapters were loaded elsewhere, so that no request tries the worker again.
// Its owner probes the worker with a report request.
TEST_CASE("an avoided worker is probed with a report request and used again",
          "[load]")
{
    scheduler_world world(2);
    std::string const adapter = adapter_at_home(0, 2);
    ticket_id const first = world.submit_request(adapter);
    world.run(300ms);
    REQUIRE(world.worker_of(first) == scheduler_world::name(0));
    world.reports = false;
    world.end(first, send_outcome::unreachable);
    ticket_id const meanwhile =
        world.submit_request(adapter_at_home(0, 2) + "x");
    world.run(2s);
    CHECK(world.worker_of(meanwhile) == scheduler_world::name(1));
    world.reports = true;
    world.run(3s);
    std::set<worker_id> used;
    for (int number = 0; number < 12; ++number)
    {
        ticket_id const ticket =
            world.submit_request("n" + std::to_string(number));
        world.run(300ms);
        used.insert(world.worker_of(ticket));
        world.end(ticket);
    }
    CHECK(used.size() == 2);
}

// Guards against slow reloads when more adapters are in use than there are
// slots: a worker that has kept a copy on disk loads an adapter in a tenth of
// the time, also if that worker is not the home.
TEST_CASE("an adapter is reloaded at the worker that kept a copy on disk",
          "[load]")
{
    scheduler_world world(2, 1);
    std::string const adapter = adapter_at_home(0, 2);
    world.draining.insert(scheduler_world::name(0));
    world.list_all();
    ticket_id const away = world.submit_request(adapter);
    world.run(400ms);
    REQUIRE(world.worker_of(away) == scheduler_world::name(1));
    world.end(away);
    world.draining.clear();
    world.list_all();
    ticket_id const other = world.submit_request("b1");
    world.run(800ms);
    REQUIRE(world.placed(other));
    world.end(other);
    ticket_id const again = world.submit_request(adapter);
    world.run(400ms);
    REQUIRE(world.placed(again));
    CHECK(world.worker_of(again) == scheduler_world::name(1));
}

// Guards against repeated prefill of a long prefix that many requests share.
// They go to one of the two holders of the adapter; a request that starts
// sooner at the other holder copies the prefix from the first.
TEST_CASE("prompts with the same prefix go to the same holder", "[load]")
{
    two_holders world;
    auto const ask_with = [&](std::uint64_t key)
    {
        work_item item = item_of(2'000);
        item.prefix = {key, 1'900};
        ticket_id const ticket = world.submit(item, "a1");
        world.run(5ms);
        return ticket;
    };
    ticket_id const first = ask_with(7);
    REQUIRE(world.placed(first));
    CHECK(world.prefix_source(first).id.empty());
    ticket_id const second = ask_with(7);
    REQUIRE(world.placed(second));
    // The holder of the prefix is busy with the first request by now.
    if (world.worker_of(second) != world.worker_of(first))
        CHECK(world.prefix_source(second).id == world.worker_of(first));
    world.end(first);
    world.end(second);
    std::set<worker_id> homes;
    for (std::uint64_t key = 100; key < 120; ++key)
    {
        world.run(1s);
        ticket_id const ticket = ask_with(key);
        REQUIRE(world.placed(ticket));
        backend_entry const source = world.prefix_source(ticket);
        homes.insert(source.id.empty() ? world.worker_of(ticket) : source.id);
        world.end(ticket);
    }
    CHECK(homes.size() == 2);
}

// Guards against rejections when all VMs restart at once and no worker has an
// owner for a moment. Requests wait for owners, but not so long that their
// callers have no time left for a retry.
TEST_CASE("requests wait briefly for workers to have owners again",
          "[service_load]")
{
    scheduler_world world(2);
    world.owned_workers.clear();
    world.scheduler.set_owned_workers({});
    ticket_id const early = world.submit_request("a1");
    world.run(200ms);
    CHECK_FALSE(world.refused(early));
    world.own_all();
    world.run(500ms);
    CHECK(world.placed(early));

    scheduler_world without(2);
    without.owned_workers.clear();
    without.scheduler.set_owned_workers({});
    ticket_id const lost = without.submit_request("a1");
    without.run(200ms);
    CHECK_FALSE(without.refused(lost));
    without.run(100ms);
    CHECK(without.refused(lost));
}
