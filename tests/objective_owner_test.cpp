// Queue by objective when the owner that holds queued grant requests is lost.
#include "objective_load.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace mulberry;
using namespace mulberry::test;
using namespace std::chrono_literals;

namespace
{

/// A VM that owns no worker, and two others that own one and two of three.
class owners_world
{
public:
    explicit owners_world(bool by_objective)
    {
        for (scheduler_world* const each : {&asker, &first, &second})
            each->scheduler.schedule_by_objective(by_objective);
        auto const grant = [&](std::size_t worker)
        {
            return std::pair(
                scheduler_world::name(worker),
                asker.owned_workers.at(scheduler_world::name(worker)));
        };
        first.scheduler.set_owned_workers({grant(0)});
        second.scheduler.set_owned_workers({grant(1), grant(2)});
        asker.scheduler.set_owned_workers({});
        asker.scheduler.set_owners({{scheduler_world::name(0), vm_id("vm-2")},
                                    {scheduler_world::name(1), vm_id("vm-3")},
                                    {scheduler_world::name(2), vm_id("vm-3")}});
    }

    /// The first owner answers nothing from now on.
    void lose_first() { lost_ = true; }
    /// Grant requests that wait at the first owner.
    std::vector<ticket_id> waiting_at_first() const
    {
        std::vector<ticket_id> waiting;
        for (auto const& [ticket, ask] : asked_)
            if (ask.owner == &first)
                waiting.push_back(ticket);
        return waiting;
    }

    void tick()
    {
        asker.run(step);
        for (; next_ask_ < asker.grant_requests().size(); ++next_ask_)
            pass_on(asker.grant_requests()[next_ask_]);
        for (scheduler_world* const each : {&first, &second})
            each->run(step);
        std::erase_if(asked_, [&](auto const& each)
                      { return answer(each.first, each.second); });
        while (!ends_.empty() && ends_.begin()->first <= asker.now)
        {
            auto const [ticket, ask] = ends_.begin()->second;
            asker.end(ticket);
            ask.owner->end(ask.ticket);
            ends_.erase(ends_.begin());
        }
    }

    scheduler_world asker{3, 4, 8};
    scheduler_world first{3, 4, 8};
    scheduler_world second{3, 4, 8};

private:
    struct ask
    {
        scheduler_world* owner;
        ticket_id ticket;
    };

    void pass_on(request_owner_grant const& request)
    {
        scheduler_world& owner =
            request.owner == vm_id("vm-2") ? first : second;
        work_item item = item_of(request.priority, request.objective_at);
        item.requested_worker = request.worker;
        item.excluded = request.excluded;
        item.begins_elsewhere_at = request.begins_elsewhere_at;
        asked_.insert_or_assign(
            request.ticket,
            ask{&owner,
                owner.submit(std::move(item), request.target.adapter.str(),
                             request.give_up_at - asker.now)});
        if (!is_lost(owner))
            asker.scheduler.on_grant_answer_started(request.ticket, asker.now);
    }

    /// Returns whether the owner has answered or has not for too long.
    bool answer(ticket_id ticket, ask const& asked)
    {
        grant_outcome outcome = grant_outcome::refused;
        granted_copy copy;
        if (is_lost(*asked.owner))
        {
            if (asker.now < asker.scheduler.grant_deadline(ticket))
                return false;
            outcome = grant_outcome::silent;
        }
        else if (asked.owner->granted(asked.ticket))
        {
            outcome = grant_outcome::granted;
            copy.worker = asked.owner->granted_worker(asked.ticket);
            ends_.emplace(asker.now + mean_run_time, std::pair(ticket, asked));
        }
        else if (!asked.owner->refused(asked.ticket))
            return false;
        asker.scheduler.on_grant_answer(ticket, outcome, copy, asker.now);
        return true;
    }

    bool is_lost(scheduler_world const& owner) const
    {
        return lost_ && &owner == &first;
    }

    bool lost_ = false;
    std::size_t next_ask_ = 0;
    std::map<ticket_id, ask> asked_;
    std::multimap<time_point, std::pair<ticket_id, ask>> ends_;
};

} // namespace

// Guards against requests that are lost with the queue of an owner, or wait for
// it until their callers give up. Twelve adapters fit the workers' slots.
TEST_CASE("requests queued at a lost owner go to others within their limits",
          "[objective_queue]")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        INFO("seed " << seed);
        owners_world world(true);
        std::mt19937_64 random(seed);
        std::vector<std::pair<ticket_id, time_point>> sent;
        for (int each = 0; each < 30; ++each)
        {
            time_point const now = world.asker.now;
            auto const rank = static_cast<int>(random() % 3);
            sent.emplace_back(
                world.asker.submit(
                    item_of(rank, now + objectives.at(std::size_t(rank))),
                    "a" + std::to_string(random() % 12), time_limit),
                now + time_limit);
            for (int ticks = 0; each % 4 == 3 && ticks < 5; ++ticks)
                world.tick();
        }
        auto const queued = world.waiting_at_first();
        REQUIRE_FALSE(queued.empty());
        world.lose_first();
        for (int ticks = 0; ticks < 1200; ++ticks)
            world.tick();
        for (auto const& [ticket, limit] : sent)
        {
            if (std::find(queued.begin(), queued.end(), ticket) == queued.end())
                continue;
            INFO("ticket " << ticket.value() << ", refused "
                           << world.asker.refused(ticket));
            REQUIRE(world.asker.placed(ticket));
            CHECK(world.asker.placed_at(ticket) < limit);
            CHECK(world.asker.worker_of(ticket) != scheduler_world::name(0));
        }
    }
}
