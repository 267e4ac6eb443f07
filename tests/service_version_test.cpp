// Versions of an adapter that requests may start on while newer ones are
// declared.
#include "scheduler_world.hpp"

#include <catch2/catch.hpp>

namespace mulberry::test
{
namespace
{

using namespace std::chrono_literals;

model_target const target{base_model_id("base"), adapter_id("a1")};

/// A single worker whose copy of the first version is in use and therefore not
/// replaced.
struct superseded_copy_in_use
{
    superseded_copy_in_use()
    {
        world.submit_request("a1", 0, 60s);
        world.run(300ms);
    }

    void declare(std::uint64_t version)
    {
        world.scheduler.on_release(target, adapter_version(version), world.now);
    }

    bool placed_now()
    {
        ticket_id const asked = world.submit_request("a1", 0, 10s);
        world.run(5ms);
        return world.placed(asked);
    }

    scheduler_world world{1};
};

} // namespace

// Guards against an interruption when a new version is declared while a copy of
// the old one is in use. Requests use the old copy until the new one is loaded
// elsewhere or the grace period is over.
TEST_CASE("a new version is loaded while the old copy serves requests",
          "[scheduler]")
{
    scheduler_world world(2);
    model_target const target{base_model_id("base"), adapter_id("a1")};
    ticket_id const old = world.submit_request("a1");
    world.run(300ms);
    worker_id const old_home = world.worker_of(old);
    world.scheduler.on_release(target, adapter_version(2), world.now);
    ticket_id const during = world.submit_request("a1");
    world.run(5ms);
    REQUIRE(world.placed(during));
    CHECK(world.worker_of(during) == old_home);
    world.run(300ms);
    ticket_id const after = world.submit_request("a1");
    world.run(5ms);
    REQUIRE(world.placed(after));
    CHECK(world.worker_of(after) != old_home);
}

TEST_CASE("no request starts on an old version after the grace period",
          "[scheduler]")
{
    scheduler_world world(1);
    model_target const target{base_model_id("base"), adapter_id("a1")};
    ticket_id const old = world.submit_request("a1", 0, 60s);
    world.run(300ms);
    world.scheduler.on_release(target, adapter_version(2), world.now);
    world.run(3s);
    ticket_id const late = world.submit_request("a1", 0, 10s);
    world.run(100ms);
    CHECK_FALSE(world.placed(late));
    // The old copy is evicted as soon as no request uses it.
    world.end(old);
    world.run(400ms);
    CHECK(world.placed(late));
    CHECK(world.workers.at(scheduler_world::name(0)).loads_of("a1") == 2);
}

// Guards against a wrong assumption about the worker's copy, after orders that
// were lost or answered "already loaded" for the old copy. The load and the
// request name the version, so that the worker does not use the old one.
TEST_CASE("loads and requests name the declared version", "[scheduler]")
{
    scheduler_world world(1);
    model_target const target{base_model_id("base"), adapter_id("a1")};
    ticket_id const before = world.submit_request("a1");
    world.run(300ms);
    CHECK(world.version_of(before) == adapter_version());
    world.end(before);
    world.scheduler.on_release(target, adapter_version(2), world.now);
    world.run(600ms);
    ticket_id const soon = world.submit_request("a1");
    world.run(600ms);
    REQUIRE(world.placed(soon));
    CHECK(world.workers.at(scheduler_world::name(0)).ordered_version("a1") ==
          adapter_version(2));
    world.end(soon);
    world.run(2s);
    ticket_id const late = world.submit_request("a1");
    world.run(100ms);
    REQUIRE(world.placed(late));
    CHECK(world.version_of(late) == adapter_version(2));
}

// Guards against rejecting all requests for the base model after a version of
// its weights is declared. Workers load the new weights only with their next
// load of the model; requests that named the version were rejected by every
// worker with older weights (675 rejections with status 421 in 27 s on 75 VMs,
// none before the declaration).
TEST_CASE(
    "a declared version of the weights does not block requests for the model",
    "[scheduler]")
{
    scheduler_world world(1);
    ticket_id const before = world.submit_request("");
    world.run(100ms);
    REQUIRE(world.placed(before));
    world.end(before);
    world.scheduler.on_release({base_model_id("base"), {}}, adapter_version(2),
                               world.now);
    world.run(3s);
    ticket_id const after = world.submit_request("");
    world.run(100ms);
    REQUIRE(world.placed(after));
    CHECK(world.version_of(after) == adapter_version());
}

// Guards against sending a request to an old copy near the end of the grace
// period of two seconds at a worker with a prefill backlog of seconds. The
// request would start on the old version long after the grace period.
TEST_CASE("a request that would start after the grace period is not sent to an "
          "old copy",
          "[scheduler]")
{
    scheduler_world world(1);
    model_target const target{base_model_id("base"), adapter_id("a1")};
    ticket_id const first = world.submit_request("a1", 0, 60s);
    world.run(300ms);
    REQUIRE(world.placed(first));
    world.scheduler.on_release(target, adapter_version(2), world.now);
    world.run(1s);
    world.begins_at_once = false;
    ticket_id const heavy = world.submit_request("a1", 0, 60s, 20'000);
    world.run(5ms);
    REQUIRE(world.placed(heavy));
    ticket_id const late = world.submit_request("a1", 0, 60s);
    world.run(5ms);
    CHECK_FALSE(world.placed(late));
}

// Guards against a further version that restarts the grace period of superseded
// copies.
TEST_CASE(
    "a superseded copy is not used again when the next version is declared",
    "[scheduler]")
{
    superseded_copy_in_use old;
    old.declare(2);
    REQUIRE(old.placed_now());
    old.world.run(4s);
    REQUIRE_FALSE(old.placed_now());
    old.declare(3);
    CHECK_FALSE(old.placed_now());
}

// Guards against a grace period that never ends while versions follow each
// other.
TEST_CASE("versions in quick succession do not prolong the use of an old one",
          "[scheduler]")
{
    superseded_copy_in_use old;
    for (std::uint64_t version = 2; version < 8; ++version)
    {
        old.declare(version);
        old.world.run(500ms);
    }
    CHECK_FALSE(old.placed_now());
}

// Guards against a request that runs on any copy that its worker has, when the
// assumed version of that copy is wrong.
TEST_CASE(
    "a request names the current version while a newer one is not loaded yet",
    "[scheduler]")
{
    scheduler_world world(1);
    ticket_id const first = world.submit_request("a1");
    world.run(300ms);
    world.end(first);
    world.scheduler.on_release(target, adapter_version(2), world.now);
    world.run(100ms);
    ticket_id const second = world.submit_request("a1", 0, 60s);
    world.run(3s);
    REQUIRE(world.placed(second));
    world.scheduler.on_release(target, adapter_version(3), world.now);
    ticket_id const third = world.submit_request("a1");
    world.run(5ms);
    REQUIRE(world.placed(third));
    CHECK(world.version_of(third) == adapter_version(2));
}

// Guards against a copy that is wrongly assumed to be the newest.
TEST_CASE("a request to the newest copy names its version at once",
          "[scheduler]")
{
    scheduler_world world(1);
    world.scheduler.on_release(target, adapter_version(2), world.now);
    ticket_id const asked = world.submit_request("a1");
    world.run(300ms);
    REQUIRE(world.placed(asked));
    CHECK(world.version_of(asked) == adapter_version(2));
}

TEST_CASE("a grant states the version of the copy", "[scheduler]")
{
    scheduler_world world(1);
    world.scheduler.on_release(target, adapter_version(2), world.now);
    ticket_id const asked = world.submit_peer_request("a1", 0);
    world.run(300ms);
    REQUIRE(world.granted(asked));
    CHECK(world.granted_version(asked) == adapter_version(2));
}

// Guards against a grant by a VM that learns of versions later than this one.
TEST_CASE("a grant for a superseded copy is not used", "[scheduler]")
{
    scheduler_world world(1);
    world.owned_workers.clear();
    world.scheduler.set_owned_workers({});
    world.scheduler.set_owners({{scheduler_world::name(0), vm_id("vm-2")}});
    world.scheduler.on_release(target, adapter_version(2), world.now);
    world.scheduler.on_release(target, adapter_version(3), world.now + 1s);
    world.run(2500ms);
    auto const used = [&world](std::uint64_t version)
    {
        ticket_id const asked = world.submit_request("a1");
        world.run(5ms);
        return world.scheduler.on_grant_answer(
            asked, grant_outcome::granted,
            {scheduler_world::name(0), adapter_version(version)}, world.now);
    };
    CHECK_FALSE(used(1));
    CHECK(used(2));
    CHECK(used(3));
}

// Guards against using a prompt cache of a newer version for an older version.
TEST_CASE("a granted older copy does not use a newer version's prompt cache",
          "[scheduler]")
{
    for (std::uint64_t key = 1; key < 9; ++key)
    {
        scheduler_world world(2);
        worker_id const theirs = scheduler_world::name(0);
        worker_id const ours = scheduler_world::name(1);
        world.owned_workers.erase(theirs);
        world.scheduler.set_owned_workers(world.owned_workers);
        world.scheduler.set_owners({{theirs, vm_id("vm-2")}});
        world.scheduler.on_release(target, adapter_version(2), world.now);
        world.run(3s);
        world.scheduler.on_release(target, adapter_version(3), world.now);
        work_item at_ours;
        at_ours.excluded = {theirs};
        ticket_id const newer = world.submit(at_ours, "a1");
        world.run(400ms);
        REQUIRE(world.placed(newer));
        work_item at_theirs;
        at_theirs.prompt_tokens = 2000;
        at_theirs.prefix = {key, 1900};
        at_theirs.excluded = {ours};
        ticket_id const older = world.submit(at_theirs, "a1");
        world.run(5ms);
        REQUIRE(world.scheduler.on_grant_answer(older, grant_outcome::granted,
                                                {theirs, adapter_version(2)},
                                                world.now));
        world.run(0ms);
        REQUIRE(world.version_of(older) == adapter_version(2));
        CHECK(world.prefix_source(older).id.empty());
    }
}

/// A stream that was sent to the first version and has not started.
struct unstarted_stream
{
    explicit unstarted_stream(bool streams = true)
    {
        old.world.begins_at_once = false;
        work_item item;
        item.streams = streams;
        ticket = old.world.submit(item, "a1", 60s);
        old.world.run(5ms);
        REQUIRE(old.world.placed(ticket));
    }
    superseded_copy_in_use old;
    ticket_id ticket;
};

// Guards against a request that starts long after it was sent.
TEST_CASE(
    "a stream that has not started is withdrawn from a superseded version",
    "[scheduler]")
{
    unstarted_stream late;
    scheduler_world& world = late.old.world;
    late.old.declare(2);
    world.run(7s);
    CHECK_FALSE(world.withdrawn(late.ticket));
    CHECK(world.scheduler.next_due() <= world.now + 500ms);
    world.run(500ms);
    CHECK(world.withdrawn(late.ticket));
}

// Guards against a deadline that each further version extends.
TEST_CASE("a further version gives a stream no more time to start",
          "[scheduler]")
{
    unstarted_stream late;
    late.old.declare(2);
    late.old.world.run(4s);
    late.old.declare(3);
    late.old.world.run(3500ms);
    CHECK(late.old.world.withdrawn(late.ticket));
}

// Guards against a silent worker that begins a stream on an old version.
TEST_CASE("a stream that is kept under another ticket is withdrawn too",
          "[scheduler][silence]")
{
    unstarted_stream late;
    ticket_id const kept(1U << 20U);
    late.old.world.scheduler.move_sent(late.ticket, kept);
    late.old.declare(2);
    late.old.world.run(7500ms);
    CHECK(late.old.world.withdrawn(kept));
}

TEST_CASE("only streams that have not started are withdrawn", "[scheduler]")
{
    bool const streams = GENERATE(true, false);
    unstarted_stream late(streams);
    scheduler_world& world = late.old.world;
    if (streams)
        world.scheduler.first_byte(late.ticket, world.now);
    late.old.declare(2);
    world.run(10s);
    CHECK_FALSE(world.withdrawn(late.ticket));
}

TEST_CASE("a stream on the newest version is not withdrawn", "[scheduler]")
{
    scheduler_world world(1);
    world.scheduler.on_release(target, adapter_version(2), world.now);
    world.begins_at_once = false;
    work_item item;
    item.streams = true;
    ticket_id const sent = world.submit(item, "a1", 60s);
    world.run(300ms);
    REQUIRE(world.placed(sent));
    world.run(10s);
    CHECK_FALSE(world.withdrawn(sent));
}

} // namespace mulberry::test
