#include "crash_world.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace mulberry;
using namespace mulberry_test;
using namespace std::chrono_literals;

namespace
{

/// Time within which a VM that reaches the store or the other VMs has to learn
/// of a crash.
constexpr duration detection_bound = 3s;

} // namespace

// Guards against counting crashes per VM: three VMs see one crash each, and one
// crash alone is below the threshold.
TEST_CASE("crashes seen by different VMs are counted together",
          "[crash_keeper]")
{
    crash_world world(7);
    for (int number = 0; number < 3; ++number)
    {
        world.crash(static_cast<std::size_t>(number), number, {"bad"});
        world.pass(700ms);
    }
    CHECK(world.is_refused_by_all("bad"));
}

TEST_CASE("all VMs of a large fleet quarantine a request within the bound",
          "[crash_keeper]")
{
    crash_world world(195);
    for (int number = 0; number < 3; ++number)
    {
        world.crash(static_cast<std::size_t>(number) * 60, number, {"bad"});
        world.pass(100ms);
    }
    world.pass(detection_bound);
    CHECK(world.is_refused_by_all("bad"));
}

// Guards against a restarted VM sending a quarantined request again because its
// in-memory state is lost.
TEST_CASE("a restarted VM learns of crashes from the store", "[crash_keeper]")
{
    crash_world world(4);
    world.crash(0, 0, {"bad"});
    world.pass(1s);
    world.crash(1, 1, {"bad"});
    world.pass(1s);
    world.restart(2);
    world.crash(3, 2, {"bad"});
    world.pass(detection_bound);
    CHECK(world.is_refused_by_all("bad"));
    for (std::size_t vm = 0; vm < 4; ++vm)
        world.restart(vm);
    CHECK(world.is_refused_by_all("bad"));
}

// Guards against a restarted VM sending a quarantined request again because the
// rows of other requests come first in the store.
TEST_CASE("a restarted VM learns of a quarantine behind many other rows",
          "[crash_keeper]")
{
    constexpr time_point start{1h};
    crash_limits limits;
    limits.max_entries = 50;
    crash_replicator restarted(limits, 1);
    auto const read_row = [&](std::string const& request, int worker)
    {
        time_point const at = start + worker * 300ms;
        restarted.on_row(
            {request_digest(request),
             {worker_id("w" + std::to_string(worker)), worker_start(1)},
             at - 1s,
             at},
            start + 1min);
    };
    for (int number = 0; number < 60; ++number)
        read_row("r" + std::to_string(number), 10 + number);
    for (int number = 0; number < 3; ++number)
        read_row("the last in the store", number);
    CHECK(restarted.record().quarantined_until(
        request_digest("the last in the store"), start + 1min));
}

// Guards against losing crashes when the VMs that saw them restart: both VMs
// that saw the first two crashes restart before the third.
TEST_CASE("crashes outlive the VMs that saw them", "[crash_keeper]")
{
    crash_world world(4);
    world.crash(0, 0, {"bad"});
    world.pass(500ms);
    world.restart(0);
    world.crash(1, 1, {"bad"});
    world.pass(500ms);
    world.restart(1);
    world.crash(2, 2, {"bad"});
    world.pass(detection_bound);
    CHECK(world.is_refused_by_all("bad"));
}

// Guards against a VM that reaches the store but no other VM continuing to send
// the request, or not sharing the crashes that it saw.
TEST_CASE("a VM partitioned from the others shares crashes through the store",
          "[crash_keeper]")
{
    crash_world world(4);
    world.isolate(3);
    SECTION("the others see all crashes")
    {
        for (int number = 0; number < 3; ++number)
        {
            world.crash(static_cast<std::size_t>(number), number, {"bad"});
            world.pass(300ms);
        }
    }
    SECTION("the partitioned VM sees all crashes")
    {
        for (int number = 0; number < 3; ++number)
        {
            world.crash(3, number, {"bad"});
            world.pass(300ms);
        }
    }
    SECTION("both")
    {
        world.crash(3, 0, {"bad"});
        world.pass(300ms);
        world.crash(0, 1, {"bad"});
        // The third crash is written just after the partitioned VM has read the
        // rows.
        world.pass(1300ms);
        world.crash(1, 2, {"bad"});
    }
    world.pass(detection_bound);
    CHECK(world.is_refused_by_all("bad"));
}

TEST_CASE("VMs share crashes while the store is unavailable", "[crash_keeper]")
{
    crash_world world(5);
    world.set_store_unavailable(true);
    for (int number = 0; number < 3; ++number)
    {
        world.crash(static_cast<std::size_t>(number), number, {"bad"});
        world.pass(400ms);
    }
    CHECK(world.is_refused_by_all("bad"));
    // Writes that failed are retried when the store is available again.
    world.set_store_unavailable(false);
    world.pass(2s);
    for (std::size_t vm = 0; vm < 5; ++vm)
        world.restart(vm);
    CHECK(world.is_refused_by_all("bad"));
}

TEST_CASE("crashes seen by a VM without the store reach the others and the "
          "store",
          "[crash_keeper]")
{
    crash_world world(4);
    world.cut_from_store(0);
    for (int number = 0; number < 3; ++number)
    {
        world.crash(0, number, {"bad"});
        world.pass(400ms);
    }
    CHECK(world.is_refused_by_all("bad"));
    // One of the other VMs writes the rows that the first VM cannot write.
    world.pass(10s);
    CHECK(world.rows() == 3);
    world.restart(1);
    CHECK(world.is_refused(1, "bad"));
}

// Guards against quarantining harmless requests that were in progress at the
// same workers as a poison request, over several crashes.
TEST_CASE("harmless requests beside a poison request are not refused",
          "[crash_keeper]")
{
    crash_world world(7);
    for (int number = 0; number < 3; ++number)
    {
        std::vector<std::string> beside{"bad", "polled"};
        for (int each = 0; each < 10; ++each)
            beside.push_back("r" + std::to_string(number * 10 + each));
        world.crash(static_cast<std::size_t>(number), number, beside);
        world.pass(300ms);
        // The poll is repeated and answered, each time at another VM.
        world.answer(static_cast<std::size_t>(number + 3), "polled");
        world.pass(300ms);
    }
    CHECK(world.is_refused_by_all("bad"));
    CHECK_FALSE(world.is_refused_by_any("polled"));
    for (int each = 0; each < 30; ++each)
        CHECK_FALSE(world.is_refused_by_any("r" + std::to_string(each)));
}

// Guards against quarantining identical reads that run on all workers of a
// failure domain when that domain goes down.
TEST_CASE("identical reads are not refused when a failure domain goes down",
          "[crash_keeper]")
{
    crash_world world(7);
    for (int number = 0; number < 14; ++number)
        world.crash(static_cast<std::size_t>(number) % 7, number,
                    {"read", "r" + std::to_string(number)});
    world.pass(detection_bound);
    CHECK_FALSE(world.is_refused_by_any("read"));
    // A second and a third domain go down.
    for (int const first : {100, 200})
    {
        world.answer(2, "read");
        world.pass(1s);
        for (int number = 0; number < 14; ++number)
            world.crash(static_cast<std::size_t>(number) % 7, first + number,
                        {"read"});
        world.pass(detection_bound);
        CHECK_FALSE(world.is_refused_by_any("read"));
    }
}

// Guards against a request staying quarantined at VMs that did not see its
// answer.
TEST_CASE("an answer ends the quarantine at every VM", "[crash_keeper]")
{
    crash_world world(5);
    for (int number = 0; number < 2; ++number)
    {
        world.crash(static_cast<std::size_t>(number), number, {"read"});
        world.pass(2s);
    }
    // The request was sent before the third crash and is answered after it.
    world.crash(2, 2, {"read"});
    world.pass(500ms);
    CHECK(world.is_refused_by_all("read"));
    world.answer(3, "read");
    world.pass(500ms);
    CHECK_FALSE(world.is_refused_by_any("read"));
    world.pass(10s);
    CHECK(world.rows() == 0);
    for (std::size_t vm = 0; vm < 5; ++vm)
        world.restart(vm);
    CHECK_FALSE(world.is_refused_by_any("read"));
}

// Guards against counting crashes of a request at VMs that were not told of
// the answers in between, since each answer came after a single crash.
TEST_CASE("a request that is answered after each crash is not refused",
          "[crash_keeper]")
{
    crash_world world(4);
    for (int number = 0; number < 6; ++number)
    {
        world.crash(0, number, {"read"});
        world.pass(100ms);
        world.answer(1, "read");
        world.pass(400ms);
        CHECK_FALSE(world.is_refused_by_any("read"));
    }
    world.pass(5s);
    for (std::size_t vm = 0; vm < 4; ++vm)
        world.restart(vm);
    CHECK_FALSE(world.is_refused_by_any("read"));
    // Three crashes without an answer count as before.
    for (int number = 10; number < 13; ++number)
    {
        world.crash(0, number, {"read"});
        world.pass(500ms);
    }
    CHECK(world.is_refused_by_all("read"));
}

// Guards against rows of a request that was answered while they were written:
// a VM that starts later would refuse the request.
TEST_CASE("rows whose request is answered during their write are dropped",
          "[crash_keeper]")
{
    crash_world world(3);
    for (int number = 0; number < 3; ++number)
    {
        world.crash(0, number, {"read"});
        if (number < 2)
            world.pass(500ms);
    }
    world.answer(0, "read");
    world.pass(1s);
    CHECK(world.rows() == 0);
}

// Guards against rows that outlive the answers after their crashes: VMs that
// start again would refuse requests that other VMs see answered all the time.
TEST_CASE("rows of requests that were answered are gone soon", "[crash_keeper]")
{
    auto const until_answer = GENERATE(5ms, 20ms, 60ms, 150ms);
    CAPTURE(until_answer.count());
    crash_world world(2);
    for (int number = 0; number < 3; ++number)
    {
        world.crash(0, number, {"read"});
        world.pass(until_answer);
        world.answer(1, "read");
        world.pass(200ms);
    }
    world.pass(detection_bound);
    // An answer at a VM that knows of no crash yet clears none.
    CHECK(world.rows() < crash_limits().crashes);
    for (std::size_t vm = 0; vm < 2; ++vm)
        world.restart(vm);
    CHECK_FALSE(world.is_refused_by_any("read"));
}

TEST_CASE("requests that are in progress at no crash cause no messages",
          "[crash_keeper]")
{
    crash_world world(7);
    for (int number = 0; number < 100; ++number)
        world.answer(static_cast<std::size_t>(number) % 7, "read");
    world.pass(5s);
    CHECK(world.messages() == 0);
    CHECK(world.writes() == 0);
}

TEST_CASE("a single crash of a request is not written to the store",
          "[crash_keeper]")
{
    crash_world world(7);
    world.crash(0, 0, {"r1", "r2", "r3"});
    world.pass(5s);
    CHECK(world.messages() == 6);
    CHECK(world.writes() == 0);
}

TEST_CASE("crashes expire at all VMs and in the store", "[crash_keeper]")
{
    crash_world world(3, {3, 20s, 100});
    for (int number = 0; number < 3; ++number)
    {
        world.crash(static_cast<std::size_t>(number), number, {"bad"});
        world.pass(300ms);
    }
    CHECK(world.is_refused_by_all("bad"));
    CHECK(world.rows() == 3);
    world.pass(20s);
    CHECK_FALSE(world.is_refused_by_any("bad"));
    world.pass(90s);
    CHECK(world.rows() == 0);
    for (std::size_t vm = 0; vm < 3; ++vm)
        CHECK(world.record(vm).empty());
}

namespace
{

std::string const deadly = "part-dead";
std::string const common = "part-c0de";

/// A worker crashes with requests of one VM in progress, which all have the
/// common part.
void crash_with_common(crash_world& world, std::size_t vm, int worker,
                       std::vector<std::string> parts = {deadly})
{
    parts.push_back(common);
    world.crash(vm, worker, parts);
}

} // namespace

// Guards against quarantining a part that all requests share: it is in progress
// at each crash, also of VMs that get no answer themselves.
TEST_CASE("a common part is not quarantined beside a deadly one",
          "[crash_keeper]")
{
    crash_world world(7);
    for (int number = 0; number < 12; ++number)
    {
        // Only one VM gets complete answers.
        world.answer_part(6, common);
        world.pass(150ms);
        crash_with_common(world, static_cast<std::size_t>(number) % 6, number);
        world.pass(150ms);
        CHECK_FALSE(world.is_refused_by_any(common));
    }
    CHECK(world.is_refused_by_all(deadly));
}

TEST_CASE("a deadly part is known at all VMs right after its third crash",
          "[crash_keeper]")
{
    std::size_t const vms = GENERATE(2U, 7U, 195U);
    crash_world world(vms);
    world.answer_part(0, common);
    for (int number = 0; number < 3; ++number)
    {
        CHECK_FALSE(world.is_refused_by_any(deadly));
        crash_with_common(world, static_cast<std::size_t>(number) % vms,
                          number);
        world.pass(250ms);
    }
    CHECK(world.is_refused_by_all(deadly));
    CHECK_FALSE(world.is_refused_by_any(common));
    CHECK(world.questions() <= 3);
}

// Guards against VMs that start again, or that reach only the store, and do not
// know of the part.
TEST_CASE("VMs that start again or reach only the store know a deadly part",
          "[crash_keeper]")
{
    crash_world world(5);
    world.isolate(4);
    world.answer_part(0, common);
    for (int number = 0; number < 3; ++number)
    {
        crash_with_common(world, 0, number);
        world.pass(250ms);
    }
    world.pass(detection_bound);
    CHECK(world.is_refused_by_all(deadly));
    for (std::size_t vm = 0; vm < 5; ++vm)
        world.restart(vm);
    CHECK(world.is_refused_by_all(deadly));
    CHECK_FALSE(world.is_refused_by_any(common));
}

// Guards against rows of a common part: a VM that starts would read them and
// refuse all requests.
TEST_CASE("a part that is not confirmed has no rows", "[crash_keeper]")
{
    crash_world world(4);
    for (int number = 0; number < 8; ++number)
    {
        world.answer_part(3, common);
        world.crash(0, number, {common});
        world.pass(1s);
    }
    world.pass(12s);
    CHECK(world.rows() == 0);
    world.restart(1);
    CHECK_FALSE(world.is_refused_by_any(common));
}

TEST_CASE("workers that crash together count once against a part",
          "[crash_keeper]")
{
    crash_world world(4);
    for (int number = 0; number < 15; ++number)
        world.crash(static_cast<std::size_t>(number) % 4, number,
                    {"part-rare", common});
    world.pass(detection_bound);
    CHECK_FALSE(world.is_refused_by_any("part-rare"));
    CHECK_FALSE(world.is_refused_by_any(common));
}

TEST_CASE("a part that was answered before is quarantined after more crashes",
          "[crash_keeper]")
{
    crash_world world(3);
    world.answer_part(2, deadly);
    world.pass(100ms);
    for (int number = 0; number < 6; ++number)
    {
        CHECK_FALSE(world.is_refused_by_any(deadly));
        world.crash(0, number, {deadly});
        world.pass(300ms);
    }
    CHECK(world.is_refused_by_all(deadly));
}

TEST_CASE("an answer ends the quarantine of a part at all VMs",
          "[crash_keeper]")
{
    crash_world world(4);
    for (int number = 0; number < 3; ++number)
    {
        world.crash(0, number, {deadly});
        world.pass(300ms);
    }
    REQUIRE(world.is_refused_by_all(deadly));
    world.pass(3s);
    world.answer_part(2, deadly);
    world.pass(1s);
    CHECK_FALSE(world.is_refused_by_any(deadly));
    world.pass(20s);
    CHECK(world.rows() == 0);
    world.restart(1);
    CHECK_FALSE(world.is_refused_by_any(deadly));
}

TEST_CASE("the quarantine of a part ends after its retention", "[crash_keeper]")
{
    crash_limits limits;
    limits.part_retention = 20s;
    crash_world world(3, limits);
    for (int number = 0; number < 3; ++number)
    {
        world.crash(0, number, {deadly});
        world.pass(300ms);
    }
    CHECK(world.is_refused_by_all(deadly));
    world.pass(20s);
    CHECK_FALSE(world.is_refused_by_any(deadly));
}

// Guards against forgetting a deadly part when workers crash under ever new
// ones.
TEST_CASE("a confirmed part outlives many others", "[crash_keeper]")
{
    crash_limits limits;
    limits.max_entries = 50;
    crash_world world(2, limits);
    for (int number = 0; number < 3; ++number)
    {
        world.crash(0, number, {deadly});
        world.pass(300ms);
    }
    for (int number = 3; number < 200; ++number)
        world.crash(0, number, {"part-" + std::to_string(number)});
    world.pass(100ms);
    CHECK(world.record(0).suspect_count() <= 50);
    CHECK(world.is_refused_by_all(deadly));
}
