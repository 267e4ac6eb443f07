/// Test harness: callers with objectives in front of a simulated scheduler.
#ifndef MULBERRY_TESTS_OBJECTIVE_LOAD_HPP
#define MULBERRY_TESTS_OBJECTIVE_LOAD_HPP

#include "scheduler_world.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace mulberry::test
{

using namespace std::chrono_literals;

inline constexpr duration time_limit = 5s;
inline constexpr duration step = 5ms;
inline constexpr duration mean_run_time = 500ms;

/// Objectives of ranks 0, 1 and 2 of the deployment with teams, and how many of
/// ten requests have each rank.
inline constexpr std::array<duration, 3> objectives{500ms, 1000ms, 2000ms};
inline constexpr std::array<double, 3> rank_weights{2, 5, 3};

inline work_item item_of(int rank, time_point objective_at)
{
    work_item item;
    item.priority = rank;
    item.objective_at = objective_at;
    return item;
}

/// What became of one request.
struct record
{
    ticket_id ticket;
    time_point arrived_at{};
    time_point objective_at{};
    time_point give_up_at{};
    std::string adapter;
    bool over = false;
};

/// Callers with Poisson arrivals in front of a scheduler. Placed requests run
/// for 300 to 700 ms; callers give up at their time limits.
class load_run
{
public:
    /// `adapters` adapters are loaded before the load begins.
    load_run(std::uint64_t seed, std::size_t workers, std::size_t adapter_slots,
             std::size_t batch_slots, std::size_t adapters)
        : world(workers, adapter_slots, batch_slots),
          startable_rate(double(workers * batch_slots) /
                         std::chrono::duration<double>(mean_run_time).count()),
          random_(seed), adapters_(adapters)
    {
        for (std::size_t each = 0; each < adapters; ++each)
        {
            ticket_id const ticket = world.submit_request(name(each));
            world.run(400ms);
            REQUIRE(world.placed(ticket));
            world.end(ticket);
        }
        world.run(1s);
    }

    static std::string name(std::size_t adapter)
    {
        return "a" + std::to_string(adapter);
    }

    void submit(int rank, std::string const& adapter)
    {
        submit(rank, adapter, objectives.at(static_cast<std::size_t>(rank)));
    }
    void submit(int rank, std::string const& adapter, duration objective)
    {
        record made;
        made.arrived_at = world.now;
        made.objective_at = world.now + objective;
        made.give_up_at = world.now + time_limit;
        made.adapter = adapter;
        made.ticket =
            world.submit(item_of(rank, made.objective_at), adapter, time_limit);
        records.push_back(std::move(made));
    }

    /// Offers `rate` requests a second for `span`.
    void offer(double rate, duration span)
    {
        std::exponential_distribution<double> gap(rate);
        std::discrete_distribution<int> rank(rank_weights.begin(),
                                             rank_weights.end());
        std::uniform_int_distribution<std::size_t> adapter(0, adapters_ - 1);
        double next = gap(random_);
        double const seconds = std::chrono::duration<double>(span).count();
        for (time_point const from = world.now; world.now < from + span;)
        {
            double const elapsed =
                std::chrono::duration<double>(world.now - from).count();
            for (; next <= elapsed && next < seconds; next += gap(random_))
                submit(rank(random_), name(adapter(random_)));
            tick();
        }
    }

    void tick()
    {
        world.run(step);
        std::uniform_int_distribution<int> run_ms(300, 700);
        for (record& each : records)
        {
            if (each.over)
                continue;
            if (world.placed(each.ticket))
                ends_.emplace(world.now +
                                  std::chrono::milliseconds(run_ms(random_)),
                              each.ticket);
            else if (!world.refused(each.ticket) && world.now < each.give_up_at)
                continue;
            else
                world.scheduler.withdraw(each.ticket, world.now);
            each.over = true;
        }
        while (!ends_.empty() && ends_.begin()->first <= world.now)
        {
            world.end(ends_.begin()->second);
            ends_.erase(ends_.begin());
        }
    }

    /// Lets all requests end.
    void drain()
    {
        for (time_point const from = world.now;
             world.now < from + time_limit + 1s;)
            tick();
    }

    std::size_t started_in_time() const
    {
        return count(
            [&](record const& each)
            { return world.placed_at(each.ticket) <= each.objective_at; });
    }
    std::size_t started_late() const
    {
        return count(
            [&](record const& each)
            { return world.placed_at(each.ticket) > each.objective_at; });
    }

    scheduler_world world;
    std::vector<record> records;
    /// Requests a second that the workers can start.
    double const startable_rate;

private:
    template <typename Rule>
    std::size_t count(Rule rule) const
    {
        return static_cast<std::size_t>(
            std::count_if(records.begin(), records.end(),
                          [&](record const& each)
                          { return world.placed(each.ticket) && rule(each); }));
    }

    std::mt19937_64 random_;
    std::size_t adapters_;
    std::multimap<time_point, ticket_id> ends_;
};

} // namespace mulberry::test

#endif
