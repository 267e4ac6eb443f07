#include "scheduler_world.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;
using namespace mulberry::test;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t long_prompt = 2'000;
constexpr std::uint32_t shared_part = 1'900;

/// Two workers of this VM hold an adapter. Requests whose prompts begin with
/// the same text go to one of them, the home of that beginning, while it is
/// free, and to the other when the home is busy.
struct two_readers : scheduler_world
{
    two_readers() : scheduler_world(2)
    {
        load_at(0);
        load_at(1);
        begins_at_once = false;
        ticket_id const ticket = ask_alike();
        home = worker_of(ticket);
        other = home == name(0) ? name(1) : name(0);
        end(ticket);
    }

    /// The adapter is loaded there, as requests that may go nowhere else have
    /// it.
    void load_at(std::size_t worker)
    {
        std::set<worker_id> const leaving = draining;
        for (std::size_t each = 0; each < workers.size(); ++each)
            if (each != worker)
                draining.insert(name(each));
        list_all();
        ticket_id const ticket = ask("a1");
        run(400ms);
        REQUIRE(placed(ticket));
        scheduler.first_byte(ticket, now);
        end(ticket);
        draining = leaving;
        list_all();
    }

    ticket_id ask_alike()
    {
        work_item item;
        item.prompt_tokens = long_prompt;
        item.prefix = {7, shared_part};
        ticket_id const ticket = submit(item, "a1");
        run(5ms);
        REQUIRE(placed(ticket));
        return ticket;
    }

    /// From where the second of two such requests at a time, which goes to the
    /// other worker, copies its prompt; empty for nowhere.
    worker_id copied_from()
    {
        run(1s);
        ticket_id const first = ask_alike();
        ticket_id const second = ask_alike();
        REQUIRE(worker_of(first) == home);
        REQUIRE(worker_of(second) == other);
        end(first);
        end(second);
        return prefix_source(second).id;
    }

    /// The worker starts again, empty, and is given the adapter again.
    void restart(worker_id const& worker, weights_version loaded)
    {
        lives[worker] = worker_start(++last_start_);
        weights[worker] = loaded;
        workers[worker] = scripted_worker();
        list_all();
        load_at(worker == name(0) ? 0 : 1);
    }

    worker_id home;
    worker_id other;

private:
    std::uint64_t last_start_ = 1;
};

} // namespace

// A caller gets an answer made from a prompt that one version of the weights
// read, and continued by another. A version of the weights is named; a worker
// starts again and loads it, while the others keep the one before. A request
// that goes to it names another holder of the adapter to copy its prompt from.
TEST_CASE("a prompt is not copied from a worker with other weights",
          "[.][prompt_copy]")
{
    two_readers world;
    for (worker_id const& each : {world.home, world.other})
        world.lives[each] = worker_start(1);
    world.list_all();
    REQUIRE(world.copied_from() == world.home);
    SECTION("the one that reads the prompt has started again")
    {
        world.restart(world.other, weights_version(2));
    }
    SECTION("the one that keeps it has")
    {
        world.restart(world.home, weights_version(2));
    }
    CHECK(world.copied_from().empty());
}
