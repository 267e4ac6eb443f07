#include "scheduler_world.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;
using namespace mulberry::test;
using namespace std::chrono_literals;

TEST_CASE("a request waits for the load of its adapter and is then placed",
          "[scheduler]")
{
    scheduler_world world(2);
    ticket_id const first = world.submit_request("a1");
    ticket_id const second = world.submit_request("a1");
    world.run(200ms);
    CHECK_FALSE(world.placed(first));
    world.run(100ms);
    CHECK(world.placed(first));
    CHECK(world.placed(second));
    // One load serves both.
    CHECK(world.workers.at(world.worker_of(first)).loads_of("a1") == 1);
}

TEST_CASE("a request for a resident adapter is placed at once", "[scheduler]")
{
    scheduler_world world(2);
    ticket_id const first = world.submit_request("a1");
    world.run(300ms);
    world.end(first);
    ticket_id const second = world.submit_request("a1");
    world.run(0ms);
    CHECK(world.placed(second));
    CHECK(world.worker_of(second) == world.worker_of(first));
}

// Guards against a load that is ordered before an unload took effect: the
// worker would hold one adapter too many and crash with all its requests.
TEST_CASE("a worker never holds more adapters than it has slots", "[scheduler]")
{
    scheduler_world world(1, 3);
    std::vector<ticket_id> tickets;
    for (int number = 0; number < 12; ++number)
    {
        tickets.push_back(
            world.submit_request("a" + std::to_string(number), 0, 20s));
        world.run(300ms);
        if (world.placed(tickets.back()))
            world.end(tickets.back());
    }
    CHECK(world.workers.at(scheduler_world::name(0)).max_held() <= 3);
    for (ticket_id const ticket : tickets)
        CHECK(world.placed(ticket));
}

// Guards against executing an order twice when the answer is lost although the
// worker executes the order. The order is sent again with the same sequence
// number until the worker answers, so that the adapter is loaded once.
TEST_CASE("an order without an answer is resent and takes effect once",
          "[scheduler]")
{
    scheduler_world world(1);
    scripted_worker& worker = world.workers.at(scheduler_world::name(0));
    worker.lose_answers(true);
    ticket_id const ticket = world.submit_request("a1");
    world.run(200ms);
    worker.lose_answers(false);
    world.run(300ms);
    CHECK(world.placed(ticket));
    CHECK(worker.loads_of("a1") == 1);
    CHECK(worker.sequence() == 1);
}

// Guards against reusing a slot too early: an unload is delayed by a request
// that this VM does not know of.
TEST_CASE("a slot is free only when its unload is done", "[scheduler]")
{
    scheduler_world world(1, 1);
    scripted_worker& worker = world.workers.at(scheduler_world::name(0));
    ticket_id const first = world.submit_request("a1");
    world.run(300ms);
    world.end(first);
    worker.mark_in_use("a1");
    ticket_id const second = world.submit_request("a2");
    world.run(600ms);
    CHECK(world.placed(second));
    CHECK(worker.max_held() == 1);
}

TEST_CASE("the more urgent request is placed first", "[scheduler]")
{
    scheduler_world world(1, 4, 1);
    ticket_id const running = world.submit_request("a1");
    world.run(300ms);
    ticket_id const late = world.submit_request("a1", 2);
    ticket_id const urgent = world.submit_request("a1", 0);
    world.run(10ms);
    CHECK_FALSE(world.placed(urgent));
    world.end(running);
    world.run(10ms);
    CHECK(world.placed(urgent));
    CHECK_FALSE(world.placed(late));
}

// Guards against a burst of far more requests than the batch holds: requests
// that cannot be served in time must not wait until their deadlines, but are
// rejected at once with a Retry-After.
TEST_CASE("a request that cannot be served in time is rejected at once",
          "[scheduler]")
{
    scheduler_world world(1, 4, 2);
    ticket_id const first = world.submit_request("a1");
    world.run(300ms);
    CHECK(world.placed(first));
    std::vector<ticket_id> burst;
    for (int number = 0; number < 60; ++number)
        burst.push_back(world.submit_request("a1", 0, 2s));
    world.run(5ms);
    int refused = 0;
    for (ticket_id const ticket : burst)
        refused += world.refused(ticket);
    CHECK(refused > 40);
    CHECK(refused < 60);
    // The oldest request waits, the newest is rejected.
    CHECK_FALSE(world.refused(burst[1]));
    REQUIRE(world.refused(burst.back()));
    CHECK(world.refusal(burst.back()).kind == error_kind::overloaded);
    CHECK(world.refusal(burst.back()).retry_after >= 100ms);
}

TEST_CASE("nothing is rejected while there is capacity", "[scheduler]")
{
    scheduler_world world(2, 4, 8);
    std::vector<ticket_id> tickets;
    for (int number = 0; number < 8; ++number)
        tickets.push_back(
            world.submit_request("a" + std::to_string(number % 4)));
    world.run(600ms);
    for (ticket_id const ticket : tickets)
        CHECK(world.placed(ticket));
}

// Guards against load imbalance in a burst of rare adapters whose home has too
// few slots, all used by long requests. The first few wait for a slot there;
// the rest would be seconds late, and are loaded at the idle worker at once.
TEST_CASE("requests wait for a short queue at a home and avoid a long one",
          "[scheduler]")
{
    scheduler_world world(2, 4, 32);
    std::vector<std::string> at_home;
    std::vector<ticket_id> running;
    worker_id home;
    for (int number = 0; at_home.size() < 10; ++number)
    {
        std::string const adapter = "b" + std::to_string(number);
        ticket_id const probe = world.submit_request(adapter);
        world.run(400ms);
        REQUIRE(world.placed(probe));
        if (home.empty())
            home = world.worker_of(probe);
        if (world.worker_of(probe) == home)
            at_home.push_back(adapter);
        world.end(probe);
        world.run(20ms);
    }
    for (int number = 0; number < 4; ++number)
        running.push_back(world.submit_request(at_home[std::size_t(number)]));
    world.run(400ms);
    for (ticket_id const ticket : running)
        REQUIRE(world.worker_of(ticket) == home);
    std::vector<ticket_id> burst;
    for (std::size_t number = 4; number < 8; ++number)
        burst.push_back(world.submit_request(at_home[number]));
    world.run(400ms);
    std::size_t elsewhere = 0;
    for (ticket_id const ticket : burst)
        elsewhere += world.placed(ticket) && world.worker_of(ticket) != home;
    CHECK(elsewhere >= 1);
    CHECK_FALSE(world.placed(burst.front()));
    world.end(running.front());
    world.run(400ms);
    REQUIRE(world.placed(burst.front()));
    CHECK(world.worker_of(burst.front()) == home);
}

// Guards against long waits when more requests of other VMs ask for one adapter
// than the batch holds. Only requests that will soon have a batch slot wait;
// the rest are refused at once, so that their VMs load a second copy elsewhere.
TEST_CASE("other VMs' requests are refused at once when the batch is full",
          "[scheduler]")
{
    scheduler_world world(1, 4, 8);
    ticket_id const first = world.submit_request("a1");
    world.run(400ms);
    REQUIRE(world.placed(first));
    std::vector<ticket_id> peer_requests;
    for (int number = 0; number < 20; ++number)
        peer_requests.push_back(world.submit_peer_request("a1", 0));
    world.run(5ms);
    std::size_t refused = 0;
    for (ticket_id const ticket : peer_requests)
        refused += world.refused(ticket) && world.refusal(ticket).load == 1;
    CHECK(world.scheduler.counts().granted == 7);
    CHECK(refused >= 8);
    // The rest wait and are granted when slots become free.
    std::size_t const waiting = world.scheduler.counts().waiting;
    CHECK(waiting == peer_requests.size() - refused - 7);
    REQUIRE(waiting > 0);
    world.end(first);
    world.run(5ms);
    CHECK(world.scheduler.counts().granted == 8);
}

// Guards against avoiding a failing worker for ever after it has recovered. The
// failure share decays while the worker gets no requests.
TEST_CASE("a worker that was avoided for failures is used again", "[scheduler]")
{
    scheduler_world world(4);
    ticket_id const first = world.submit_request("a1");
    world.run(300ms);
    worker_id const home = world.worker_of(first);
    world.end(first, send_outcome::failed);
    for (int number = 0; number < 40; ++number)
    {
        ticket_id const ticket = world.submit_request("a1");
        world.run(300ms);
        if (!world.placed(ticket))
            continue;
        bool const at_home = world.worker_of(ticket) == home;
        world.end(ticket,
                  at_home ? send_outcome::failed : send_outcome::served);
        if (!at_home)
            break;
    }
    ticket_id const during = world.submit_request("a1");
    world.run(300ms);
    REQUIRE(world.placed(during));
    CHECK(world.worker_of(during) != home);
    world.end(during);
    world.run(10s);
    // A request for the base model goes to the least loaded worker, which may
    // be the home.
    std::set<worker_id> used;
    for (int number = 0; number < 8; ++number)
    {
        ticket_id const ticket = world.submit_request("");
        world.run(5ms);
        REQUIRE(world.placed(ticket));
        used.insert(world.worker_of(ticket));
    }
    CHECK(used.count(home) == 1);
}

// Guards against avoiding workers for random differences while all workers fail
// nearly half of their requests. Their adapters would be fetched again
// elsewhere and saturate the weight store long after the fault.
TEST_CASE("adapters keep their homes when all workers fail alike",
          "[scheduler]")
{
    scheduler_world world(4);
    std::map<std::string, worker_id> homes;
    for (int number = 0; number < 8; ++number)
    {
        std::string const adapter = "a" + std::to_string(number);
        ticket_id const ticket = world.submit_request(adapter);
        world.run(300ms);
        homes[adapter] = world.worker_of(ticket);
        world.end(ticket);
    }
    unsigned draw = 7;
    for (int round = 0; round < 400; ++round)
    {
        draw = draw * 1664525U + 1013904223U;
        std::string const adapter = "a" + std::to_string(round % 8);
        ticket_id const ticket = world.submit_request(adapter);
        world.run(10ms);
        REQUIRE(world.placed(ticket));
        bool const fails = (draw >> 16) % 100 < 45;
        CHECK(world.worker_of(ticket) == homes[adapter]);
        world.end(ticket, fails ? send_outcome::failed : send_outcome::served);
    }
}

// Guards against a hot key: a large share of all requests asks for one adapter,
// whose home prefills prompts one after the other while other workers are idle.
TEST_CASE("a hot adapter gets a second copy at another worker", "[scheduler]")
{
    scheduler_world world(3, 4, 32);
    std::vector<ticket_id> tickets;
    for (int round = 0; round < 60; ++round)
    {
        tickets.push_back(world.submit_request("hot", 0, 20s));
        world.run(30ms);
    }
    std::set<worker_id> used;
    for (ticket_id const ticket : tickets)
        if (world.placed(ticket))
            used.insert(world.worker_of(ticket));
    CHECK(used.size() >= 2);
}

TEST_CASE("a rare adapter stays at its home beside a hot one", "[scheduler]")
{
    scheduler_world world(3, 4, 32);
    ticket_id const hot = world.submit_request("hot");
    world.run(300ms);
    worker_id const hot_home = world.worker_of(hot);
    // A rare adapter with the same home.
    std::string rare;
    for (int number = 0; rare.empty() && number < 50; ++number)
    {
        std::string const name = "r" + std::to_string(number);
        ticket_id const ticket = world.submit_request(name);
        world.run(300ms);
        if (world.worker_of(ticket) == hot_home)
            rare = name;
        world.end(ticket);
    }
    REQUIRE_FALSE(rare.empty());
    for (int number = 0; number < 10; ++number)
        world.submit_request("hot", 0, 60s);
    world.run(5ms);
    ticket_id const again = world.submit_request(rare);
    world.run(5ms);
    REQUIRE(world.placed(again));
    CHECK(world.worker_of(again) == hot_home);
}

TEST_CASE("a draining worker gets no more requests", "[scheduler]")
{
    scheduler_world world(2);
    ticket_id const first = world.submit_request("a1");
    world.run(300ms);
    worker_id const home = world.worker_of(first);
    world.draining.insert(home);
    world.list_all();
    ticket_id const second = world.submit_request("a1");
    world.run(400ms);
    REQUIRE(world.placed(second));
    CHECK(world.worker_of(second) != home);
}

// Guards against requests that wait for a load at a worker that is gone.
TEST_CASE("requests move away from a worker that disappears during their load",
          "[scheduler]")
{
    scheduler_world world(2);
    ticket_id const ticket = world.submit_request("a1");
    world.run(50ms);
    worker_id loading;
    for (auto const& [id, worker] : world.workers)
        if (worker.held() > 0)
            loading = id;
    REQUIRE_FALSE(loading.empty());
    std::vector<backend_entry> left;
    for (std::size_t number = 0; number < 2; ++number)
        if (scheduler_world::name(number) != loading)
            left.push_back(world.entry(number));
    world.scheduler.set_backends(left);
    world.run(400ms);
    REQUIRE(world.placed(ticket));
    CHECK(world.worker_of(ticket) != loading);
}

// Guards against orders to a worker whose ownership this VM has lost.
TEST_CASE("no order is sent to a worker that this VM does not own",
          "[scheduler]")
{
    scheduler_world world(1);
    world.scheduler.set_owned_workers({});
    ticket_id const ticket = world.submit_request("a1");
    world.run(300ms);
    CHECK(world.workers.at(scheduler_world::name(0)).sequence() == 0);
    REQUIRE(world.refused(ticket));
    CHECK(world.refusal(ticket).retry_after <= 100ms);
}

// Guards against requests that the owner does not know of: it unloads the
// adapter that they use, and the worker takes no other order until they end.
TEST_CASE("a worker is not used without a grant that its owner refused",
          "[scheduler]")
{
    scheduler_world world(1);
    worker_id const worker = scheduler_world::name(0);
    world.listed_adapters[worker][adapter_id("a1")] = adapter_version(1);
    world.list_all();
    world.scheduler.set_owned_workers({});
    world.scheduler.set_owners({{worker, vm_id("vm-b")}});
    ticket_id const asked = world.submit_request("a1");
    world.run(1ms);
    REQUIRE(world.grant_requests().size() == 1);
    world.scheduler.on_grant_answer(asked, grant_outcome::refused, {},
                                    world.now);
    world.run(100ms);
    CHECK_FALSE(world.placed(asked));
    world.run(500ms);
    CHECK(world.grant_requests().size() == 2);
}

// Guards against orders after the VM's lease has expired because it is cut off
// from the store. Resident adapters are still used, since no other VM owns the
// worker yet.
TEST_CASE("without a lease resident adapters are used and no orders are sent",
          "[scheduler]")
{
    scheduler_world world(1);
    ticket_id const before = world.submit_request("a1");
    world.run(300ms);
    world.end(before);
    world.run(50ms);
    std::uint64_t const sequence =
        world.workers.at(scheduler_world::name(0)).sequence();
    world.owned_workers[scheduler_world::name(0)] = {fencing_number(1), never};
    world.scheduler.set_owned_workers(world.owned_workers);
    ticket_id const there = world.submit_request("a1");
    ticket_id const absent = world.submit_request("a2");
    world.run(300ms);
    CHECK(world.placed(there));
    CHECK(world.refused(absent));
    CHECK(world.workers.at(scheduler_world::name(0)).sequence() == sequence);
    world.owned_workers[scheduler_world::name(0)] = {fencing_number(1),
                                                     world.now};
    world.scheduler.set_owned_workers(world.owned_workers);
    ticket_id const again = world.submit_request("a2");
    world.run(300ms);
    CHECK(world.placed(again));
}

TEST_CASE("no order is sent before ownership takes effect", "[scheduler]")
{
    scheduler_world world(1);
    world.owned_workers[scheduler_world::name(0)] = {fencing_number(2),
                                                     world.now + 3s};
    world.scheduler.set_owned_workers(world.owned_workers);
    ticket_id const early = world.submit_request("a1");
    world.run(1s);
    CHECK_FALSE(world.placed(early));
    CHECK(world.workers.at(scheduler_world::name(0)).sequence() == 0);
    world.run(2500ms);
    ticket_id const ticket = world.submit_request("a1");
    world.run(600ms);
    CHECK(world.placed(ticket));
}

namespace
{

/// A single worker that another VM owns.
struct other_owner_world : scheduler_world
{
    other_owner_world() : scheduler_world(1)
    {
        scheduler.set_owned_workers({});
        scheduler.set_owners({{scheduler_world::name(0), vm_id("vm-2")}});
    }
};

} // namespace

TEST_CASE("the owner of the home is asked, and its grant places the request",
          "[scheduler]")
{
    other_owner_world world;
    ticket_id const ticket = world.submit_request("a1");
    world.run(5ms);
    REQUIRE(world.grant_requests().size() == 1);
    CHECK(world.grant_requests().front().owner == vm_id("vm-2"));
    CHECK_FALSE(world.placed(ticket));
    world.scheduler.on_grant_answer(ticket, grant_outcome::granted,
                                    {scheduler_world::name(0), {}}, world.now);
    world.run(0ms);
    CHECK(world.placed(ticket));
}

// Guards against sending a request to a draining worker because its owner has
// not learned of the drain yet and granted the request.
TEST_CASE("a grant for a worker that drains is not used", "[scheduler]")
{
    other_owner_world world;
    ticket_id const ticket = world.submit_request("a1");
    world.run(5ms);
    REQUIRE(world.grant_requests().size() == 1);
    world.draining.insert(scheduler_world::name(0));
    world.list_all();
    CHECK_FALSE(world.scheduler.on_grant_answer(ticket, grant_outcome::granted,
                                                {scheduler_world::name(0), {}},
                                                world.now));
    world.run(5ms);
    CHECK_FALSE(world.placed(ticket));
    CHECK(world.refused(ticket));
}

// Guards against long waits for a frozen owner, which accepts grant requests
// but never answers. A slow load differs in that the owner starts its answer at
// once.
TEST_CASE("an owner that starts to answer has a longer timeout", "[scheduler]")
{
    other_owner_world world;
    ticket_id const silent = world.submit_request("a1");
    ticket_id const answering = world.submit_request("a2");
    world.run(5ms);
    world.scheduler.on_grant_answer_started(answering, world.now);
    CHECK(world.scheduler.grant_deadline(silent) <
          world.scheduler.grant_deadline(answering));
    CHECK(world.scheduler.grant_deadline(answering) >= world.now + 1s);
}

// Guards against many requests that each wait for the whole timeout of a dead
// peer. One grant request at a time probes the peer until it answers.
TEST_CASE("a peer that did not answer gets one grant request at a time",
          "[scheduler]")
{
    other_owner_world world;
    ticket_id const first = world.submit_request("a1");
    world.run(5ms);
    world.scheduler.on_grant_answer(first, grant_outcome::silent, {},
                                    world.now);
    world.run(3s);
    std::size_t const before = world.grant_requests().size();
    for (int number = 0; number < 10; ++number)
        world.submit_request("b" + std::to_string(number));
    world.run(5ms);
    CHECK(world.grant_requests().size() == before + 1);
}

// Guards against taking an owner for silent when a caller disconnects before
// the owner started to answer and the grant request is dropped.
TEST_CASE("a dropped grant request does not count against the owner",
          "[scheduler]")
{
    other_owner_world world;
    ticket_id const first = world.submit_request("a1");
    world.run(5ms);
    REQUIRE(world.grant_requests().size() == 1);
    world.scheduler.withdraw(first, world.now);
    world.run(10s);
    ticket_id const second = world.submit_request("a2");
    world.run(5ms);
    CHECK(world.grant_requests().size() == 2);
    CHECK_FALSE(world.refused(second));
}

TEST_CASE("another VM's request is granted once its adapter is resident",
          "[scheduler]")
{
    scheduler_world world(1);
    ticket_id const ticket = world.submit_peer_request("a1", 0);
    world.run(300ms);
    CHECK(world.scheduler.counts().granted == 1);
    // The granted request occupies a batch slot until it ends.
    CHECK(world.scheduler.counts().sent == 1);
    world.end(ticket);
    CHECK(world.scheduler.counts().sent == 0);
}

// Guards against grants for an unreachable worker whose owner sends no requests
// of its own and learns of the outage from other VMs only. After two failures
// the owner grants one request at a time as a probe.
TEST_CASE(
    "a worker that other VMs cannot reach is granted for one probe at a time",
    "[scheduler]")
{
    scheduler_world world(1);
    ticket_id const first = world.submit_peer_request("a1", 0);
    world.run(400ms);
    CHECK(world.scheduler.counts().granted == 1);
    world.end(first, send_outcome::unreachable);
    ticket_id const second = world.submit_peer_request("a1", 0);
    world.run(5ms);
    CHECK(world.scheduler.counts().granted == 2);
    world.end(second, send_outcome::unreachable);
    ticket_id const third = world.submit_peer_request("a1", 0);
    world.run(5ms);
    CHECK(world.refused(third));
    world.run(1s);
    ticket_id const probe = world.submit_peer_request("a1", 0);
    ticket_id const beside = world.submit_peer_request("a1", 0);
    world.run(5ms);
    CHECK(world.scheduler.counts().granted == 3);
    CHECK(world.refused(beside));
    world.end(probe);
    world.submit_peer_request("a1", 0);
    world.submit_peer_request("a1", 0);
    world.run(5ms);
    CHECK(world.scheduler.counts().granted == 5);
}

// Guards against granting the worker at which the request has already failed.
TEST_CASE("an excluded worker is not granted", "[scheduler]")
{
    scheduler_world world(2);
    ticket_id const first = world.submit_request("a1");
    world.run(400ms);
    worker_id const home = world.worker_of(first);
    world.end(first);
    std::size_t const other = home == scheduler_world::name(0) ? 1 : 0;
    ticket_id const ticket = world.submit_peer_request("a1", other, {home});
    world.run(400ms);
    REQUIRE(world.granted(ticket));
    CHECK(world.granted_worker(ticket) == scheduler_world::name(other));
}

// Guards against long waits for loads at a worker that became unreachable and
// leaves orders unanswered. Other VMs' requests are refused within half a
// second instead of half of their remaining time, so that they go to another
// worker.
TEST_CASE("requests do not wait for a worker that leaves orders unanswered",
          "[scheduler]")
{
    scheduler_world world(1);
    world.run(10ms);
    world.workers.at(scheduler_world::name(0)).lose_answers(true);
    ticket_id const ticket = world.submit_peer_request("a1", 0);
    world.run(600ms);
    CHECK(world.refused(ticket));
    world.workers.at(scheduler_world::name(0)).lose_answers(false);
    world.run(400ms);
    ticket_id const later = world.submit_peer_request("a2", 0);
    world.run(400ms);
    CHECK(world.granted(later));
}

// Guards against fetching a copy into the owner's failure domain because of the
// requests of other VMs, which all ask the owner of the adapter's home. The
// owner's own callers request the adapter rarely and are sent to the home.
TEST_CASE("requests of other VMs cause no copy in the owner's failure domain",
          "[scheduler]")
{
    scheduler_world world(2);
    // The home is in another failure domain than this VM.
    std::vector<backend_entry> entries{world.entry(0), world.entry(1)};
    ticket_id const first = world.submit_request("a1");
    world.run(300ms);
    worker_id const home = world.worker_of(first);
    world.end(first);
    for (backend_entry& entry : entries)
        entry.domain = domain_id(entry.id == home ? "b" : "a");
    world.scheduler.set_backends(entries);
    for (std::uint64_t number = 1; number <= 30; ++number)
    {
        work_item item;
        item.ticket = ticket_id(1000 + number);
        item.target = model_target{base_model_id("base"), adapter_id("a1")};
        item.arrived_at = world.now;
        item.give_up_at = world.now + 5s;
        item.requested_worker = home;
        world.scheduler.submit(item, world.now);
        world.run(20ms);
        world.scheduler.ended(item.ticket, send_outcome::served, world.now);
    }
    // The home loses the adapter, which is loaded there again, not elsewhere.
    world.scheduler.set_owned_workers({});
    world.owned_workers[home] = {fencing_number(2), world.now};
    world.workers[home] = scripted_worker();
    world.scheduler.set_owned_workers(world.owned_workers);
    world.run(50ms);
    ticket_id const again = world.submit_request("a1");
    world.run(400ms);
    REQUIRE(world.placed(again));
    CHECK(world.worker_of(again) == home);
}

TEST_CASE("a withdrawn request releases the slot that it waited for",
          "[scheduler]")
{
    scheduler_world world(1, 1);
    ticket_id const first = world.submit_request("a1");
    world.run(20ms);
    world.scheduler.withdraw(first, world.now);
    ticket_id const second = world.submit_request("a2");
    world.run(700ms);
    CHECK_FALSE(world.placed(first));
    CHECK(world.placed(second));
}

// Guards against keeping the state of a worker that crashed and restarted under
// the same id. Requests would be sent for adapters that are gone, and every
// order would conflict, since the worker's order count restarts at zero.
TEST_CASE(
    "a restarted worker starts without the state of its earlier incarnation",
    "[scheduler]")
{
    scheduler_world world(1);
    worker_id const id = scheduler_world::name(0);
    world.start_times[id] = worker_start(1000);
    world.list_all();
    ticket_id const before = world.submit_request("a1");
    world.run(300ms);
    REQUIRE(world.placed(before));
    world.workers[id] = scripted_worker();
    world.start_times[id] = worker_start(2000);
    world.list_all();
    // The end of an earlier incarnation's request does not affect this one.
    world.end(before, send_outcome::unreachable);
    ticket_id const after = world.submit_request("a1");
    world.run(20ms);
    CHECK_FALSE(world.placed(after));
    world.run(400ms);
    CHECK(world.placed(after));
    CHECK(world.workers.at(id).loads_of("a1") == 1);
}

// Guards against a late answer to an order of the previous incarnation that is
// taken for the outcome of a current order.
TEST_CASE("an outcome of an order to an earlier incarnation is ignored",
          "[scheduler]")
{
    scheduler_world world(1);
    worker_id const id = scheduler_world::name(0);
    world.start_times[id] = worker_start(1000);
    world.list_all();
    world.submit_request("a1");
    std::optional<worker_order> old;
    for (placement_action const& action : world.scheduler.run(world.now))
        if (auto const* order = std::get_if<issue_order>(&action))
            old = order->order;
    REQUIRE(old);
    world.workers[id] = scripted_worker();
    world.start_times[id] = worker_start(2000);
    world.list_all();
    CHECK_FALSE(world.scheduler.on_order(*old, order_outcome::already_applied,
                                         world.now));
    ticket_id const after = world.submit_request("a1");
    world.run(400ms);
    CHECK(world.placed(after));
    CHECK(world.workers.at(id).loads_of("a1") == 1);
}

// Guards against returning to the previous incarnation: a worker's report
// announces the new one first, and the stale registry entry is read after that.
TEST_CASE("a report of a later incarnation resets the worker, a stale registry "
          "entry is ignored",
          "[scheduler]")
{
    scheduler_world world(1);
    worker_id const id = scheduler_world::name(0);
    world.start_times[id] = worker_start(1000);
    world.list_all();
    ticket_id const before = world.submit_request("a1");
    world.run(300ms);
    REQUIRE(world.placed(before));
    world.workers[id] = scripted_worker();
    worker_report report = world.workers.at(id).report();
    report.started = worker_start(2000);
    world.scheduler.on_report(id, report, world.now);
    world.list_all();
    ticket_id const after = world.submit_request("a1");
    world.run(20ms);
    CHECK_FALSE(world.placed(after));
    world.run(700ms);
    CHECK(world.placed(after));
}

// Guards against a worker that restarts twice before its registry entry shows a
// restart.
TEST_CASE(
    "weights are not loaded after a second restart before the entry is current",
    "[scheduler]")
{
    scheduler_world world(1);
    worker_id const worker = scheduler_world::name(0);
    world.start_times[worker] = worker_start(1);
    world.list_all();
    world.declarations_age = 10s;
    world.scheduler.on_release({base_model_id("base"), {}}, adapter_version(2),
                               world.now);
    worker_report begun;
    auto const model_loads = [&](duration span)
    {
        std::size_t loads = 0;
        for (time_point const until = world.now + span; world.now < until;
             world.now += 5ms)
        {
            world.scheduler.set_registry_timestamps(
                {world.now - world.declarations_age, world.now});
            for (placement_action const& each : world.scheduler.run(world.now))
                if (auto const* order = std::get_if<issue_order>(&each))
                    loads += order->order.adapter.empty();
                else if (std::holds_alternative<request_report>(each))
                    world.scheduler.on_report(worker, begun, world.now);
        }
        return loads;
    };
    for (std::uint64_t const start : {2U, 3U})
    {
        begun.started = worker_start(start);
        world.scheduler.on_report(worker, begun, world.now);
        CHECK(model_loads(1s) == 0);
    }
}

// Guards against orders by the capacity that a worker had in the configuration
// with which this VM started.
TEST_CASE("a configuration changes the adapter slots of known workers",
          "[scheduler]")
{
    scheduler_world world(1, 1);
    service_config config = world.config;
    config.engine->adapter_slots = 2;
    world.scheduler.configure(config);
    for (char const* const adapter : {"a1", "a2"})
    {
        world.submit_request(adapter);
        world.run(300ms);
    }
    CHECK(world.workers.at(scheduler_world::name(0)).max_held() == 2);
}

// Guards against reading the slots of an engine that the service no longer is.
TEST_CASE("a request that waits for a load is placed when its service becomes "
          "a plain one",
          "[scheduler]")
{
    scheduler_world world(1);
    ticket_id const waiting = world.submit_request("a1");
    world.run(50ms);
    REQUIRE_FALSE(world.placed(waiting));
    service_config config = world.config;
    config.engine.reset();
    world.scheduler.configure(config);
    world.run(0ms);
    CHECK(world.placed(waiting));
}
