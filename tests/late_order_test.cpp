#include "scheduler_world.hpp"

#include <catch2/catch.hpp>

#include <random>
#include <utility>
#include <vector>

using namespace mulberry;
using namespace mulberry::test;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t slots = 4;
worker_id const id = scheduler_world::name(0);

/// A worker that starts again under its id, and its owner.
struct restarting_world : scheduler_world
{
    restarting_world() : scheduler_world(1, slots) { begin_incarnation(); }

    /// Another VM takes the worker over; requests that wait are lost.
    void replace_owner()
    {
        asked_.clear();
        scheduler_world::replace_owner(worker_start(first_incarnation));
    }

    scripted_worker& worker() { return workers.at(id); }

    /// The next incarnation is in the registry at once.
    void restart()
    {
        worker().restart();
        begin_incarnation();
    }

    /// Requests the adapters and ends the requests once they are placed.
    void use(std::string const& prefix, int count)
    {
        for (int number = 1; number <= count; ++number)
            asked_.push_back(submit_request(prefix + std::to_string(number)));
    }

    /// The callers of all requests that wait leave.
    void withdraw_requests()
    {
        for (ticket_id const ticket : std::exchange(asked_, {}))
            scheduler.withdraw(ticket, now);
    }

    void run_requests(duration span)
    {
        for (time_point const until = now + span; now < until;)
        {
            run(50ms);
            std::erase_if(asked_,
                          [this](ticket_id ticket)
                          {
                              if (!placed(ticket))
                                  return refused(ticket);
                              end(ticket);
                              return true;
                          });
        }
    }

private:
    void begin_incarnation()
    {
        start_times[id] = worker_start(++incarnation_);
        list_all();
    }

    static constexpr std::uint64_t first_incarnation = 1001;
    std::uint64_t incarnation_ = first_incarnation - 1;
    std::vector<ticket_id> asked_;
};

scripted_worker::delay_rule delay_loads(duration delay)
{
    return [delay](worker_order const& order) -> std::optional<duration>
    {
        if (order.kind == order_kind::load)
            return delay;
        return std::nullopt;
    };
}

} // namespace

// Guards against a worker that is overfilled by an unanswered load of its
// earlier incarnation, which is carried out when its number comes up again.
TEST_CASE("an unanswered load is harmless in the worker's next incarnation",
          "[late_orders]")
{
    duration const late = GENERATE(2s, 6s, 12s, 60s);
    restarting_world world;
    world.use("a", int(slots));
    world.run_requests(1s);
    REQUIRE(world.worker().held() == slots);
    world.worker().delay_orders(delay_loads(late));
    world.use("late", 1);
    world.run_requests(500ms);
    world.worker().delay_orders({});
    world.withdraw_requests();
    world.restart();
    world.use("b", int(slots));
    world.run_requests(duration(late) + duration(2s));
    CHECK(world.worker().max_held() <= slots);
    world.use("c", int(slots) - 1);
    world.run_requests(20s);
    for (int number = 1; number < int(slots); ++number)
        CHECK(world.worker().holds("c" + std::to_string(number)));
}

// Guards against the same for several orders in a row, of which each one makes
// the next one's number come up.
TEST_CASE("a worker that restarts often under late orders is not overfilled",
          "[late_orders]")
{
    std::vector<unsigned> seeds{52, 724, 1128};
    for (unsigned seed = 1; seed <= 40; ++seed)
        seeds.push_back(seed);
    for (unsigned const seed : seeds)
    {
        INFO("seed " << seed);
        std::mt19937 random(seed);
        auto const draw = [&random](int first, int last)
        { return std::uniform_int_distribution(first, last)(random); };
        restarting_world world;
        int const late_percent = draw(20, 80);
        world.worker().delay_orders(
            [&](worker_order const&) -> std::optional<duration>
            {
                if (draw(1, 100) > late_percent)
                    return std::nullopt;
                return duration(std::chrono::milliseconds(draw(2000, 12000)));
            });
        for (int round = 0; round < 12; ++round)
        {
            world.use("r" + std::to_string(draw(1, 6)) + "-", draw(1, 4));
            world.run_requests(std::chrono::milliseconds(draw(200, 2000)));
            if (draw(1, 3) == 1)
                world.restart();
        }
        world.run_requests(13s);
        CHECK(world.worker().max_held() <= slots);
        world.worker().delay_orders({});
        world.run_requests(20s);
        world.use("last", 1);
        world.run_requests(5s);
        CHECK(world.worker().holds("last1"));
    }
}

// Guards against the same by orders of an earlier owner, which the new owner
// does not know.
TEST_CASE("an earlier owner's late orders do not overfill a restarted worker",
          "[late_orders]")
{
    for (unsigned seed = 1; seed <= 60; ++seed)
    {
        INFO("seed " << seed);
        std::mt19937 random(seed);
        auto const draw = [&random](int first, int last)
        { return std::uniform_int_distribution(first, last)(random); };
        restarting_world world;
        world.use("a", int(slots));
        world.run_requests(1s);
        world.worker().delay_orders(
            delay_loads(std::chrono::milliseconds(draw(2000, 12000))));
        for (int round = draw(1, 3); round > 0; --round)
        {
            world.use("late" + std::to_string(round) + "-", 1);
            world.run_requests(300ms);
        }
        world.worker().delay_orders({});
        world.withdraw_requests();
        bool const restarts_first = draw(1, 2) == 1;
        if (restarts_first)
            world.restart();
        world.replace_owner();
        if (!restarts_first)
        {
            world.run_requests(std::chrono::milliseconds(draw(0, 1000)));
            world.restart();
        }
        world.use("b", int(slots));
        world.run_requests(14s);
        CHECK(world.worker().max_held() <= slots);
        world.run_requests(10s);
        world.use("c", int(slots) - 1);
        world.run_requests(5s);
        for (int number = 1; number < int(slots); ++number)
            CHECK(world.worker().holds("c" + std::to_string(number)));
    }
}
