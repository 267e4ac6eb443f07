#include "load_budget.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <deque>
#include <string>
#include <vector>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

constexpr duration time_step = 50ms;
constexpr duration load_time = 400ms;

store_declaration a_store()
{
    return {9, 4};
}

vm_id vm_numbered(std::size_t number)
{
    return vm_id("vm-" + std::to_string(number));
}

/// A group of VMs, each with its load budget, on a simulated clock.
class simulated_vms
{
public:
    simulated_vms(std::string_view name, std::size_t count) : running_(count)
    {
        for (std::size_t i = 0; i < count; ++i)
        {
            budgets_.push_back(make_load_budget(name));
            budgets_.back()->configure(a_store());
            budgets_.back()->set_members(count, time_point{});
        }
    }

    void set_waiting(std::size_t vm, std::size_t waiting)
    {
        budgets_[vm]->set_waiting(waiting, now_);
    }

    void exchange(std::size_t from, std::size_t to)
    {
        budgets_[to]->update_peer_counts(vm_numbered(from),
                                         budgets_[from]->counts(), now_);
    }

    void exchange_all()
    {
        for (std::size_t from = 0; from < budgets_.size(); ++from)
            for (std::size_t to = 0; to < budgets_.size(); ++to)
                if (from != to)
                    exchange(from, to);
    }

    /// Starts as many loads as the VM's budget allows; returns their number.
    std::size_t start(std::size_t vm)
    {
        std::size_t started = 0;
        while (budgets_[vm]->try_start(now_))
        {
            running_[vm].push_back(now_ + load_time);
            ++started;
        }
        return started;
    }

    void advance(duration time)
    {
        now_ += time;
        for (std::size_t i = 0; i < budgets_.size(); ++i)
            while (!running_[i].empty() && running_[i].front() <= now_)
            {
                running_[i].pop_front();
                budgets_[i]->finished(now_);
            }
    }

    load_budget& at(std::size_t vm) { return *budgets_[vm]; }
    time_point now() const { return now_; }

private:
    time_point now_{};
    std::vector<std::unique_ptr<load_budget>> budgets_;
    std::vector<std::deque<time_point>> running_;
};

std::vector<bool> random_demand(std::size_t count)
{
    std::vector<bool> has_demand(count);
    for (std::size_t i = 0; i < count; ++i)
        has_demand[i] = *rc::gen::inRange(0, 2) == 1;
    return has_demand;
}

/// Permits that a VM can have saved before its first load.
constexpr double max_saved_permits = 2;
constexpr int steps = 200;
double const window_seconds =
    std::chrono::duration<double>(time_step).count() * steps;

} // namespace

TEST_CASE("even_split never exceeds the load rate", "[load_budget]")
{
    CHECK(rc::check(
        []
        {
            auto const count = *rc::gen::inRange<std::size_t>(1, 9);
            simulated_vms vms("even_split", count);
            auto const has_demand = random_demand(count);
            std::size_t started = 0;
            for (int i = 0; i < steps; ++i)
            {
                for (std::size_t vm = 0; vm < count; ++vm)
                    if (has_demand[vm])
                        started += vms.start(vm);
                vms.advance(time_step);
            }
            RC_ASSERT(static_cast<double>(started) <=
                      a_store().loads_per_second * window_seconds +
                          max_saved_permits * static_cast<double>(count));
        }));
}

TEST_CASE("exchanged_counts never exceeds the load rate while all reports "
          "arrive in time",
          "[load_budget]")
{
    CHECK(rc::check(
        []
        {
            auto const count = *rc::gen::inRange<std::size_t>(1, 9);
            simulated_vms vms("exchanged_counts", count);
            std::size_t started = 0;
            std::vector<bool> has_demand(count);
            for (int i = 0; i < steps; ++i)
            {
                if (i % 20 == 0)
                    has_demand = random_demand(count);
                for (std::size_t vm = 0; vm < count; ++vm)
                    vms.set_waiting(vm, has_demand[vm] ? 3 : 0);
                vms.exchange_all();
                for (std::size_t vm = 0; vm < count; ++vm)
                    if (has_demand[vm])
                        started += vms.start(vm);
                vms.advance(time_step);
            }
            RC_ASSERT(static_cast<double>(started) <=
                      a_store().loads_per_second * window_seconds +
                          max_saved_permits * static_cast<double>(count));
        }));
}

TEST_CASE("exchanged_counts stays below twice the load rate when reports are "
          "lost",
          "[load_budget]")
{
    // Reports between the VMs are lost at random while the VMs' demand changes,
    // so that some VMs use the share of a peer that uses the share as well.
    CHECK(rc::check(
        []
        {
            auto const count = *rc::gen::inRange<std::size_t>(2, 9);
            simulated_vms vms("exchanged_counts", count);
            std::size_t started = 0;
            for (int i = 0; i < steps; ++i)
            {
                auto const has_demand = random_demand(count);
                for (std::size_t vm = 0; vm < count; ++vm)
                    vms.set_waiting(vm, has_demand[vm] ? 3 : 0);
                for (int message = 0; message < 3; ++message)
                {
                    auto const from = *rc::gen::inRange<std::size_t>(0, count);
                    auto const to = *rc::gen::inRange<std::size_t>(0, count);
                    if (from != to)
                        vms.exchange(from, to);
                }
                for (std::size_t vm = 0; vm < count; ++vm)
                    started += vms.start(vm);
                vms.advance(time_step);
            }
            RC_ASSERT(static_cast<double>(started) <=
                      2 * a_store().loads_per_second * window_seconds +
                          max_saved_permits * static_cast<double>(count));
        }));
}

TEST_CASE("the only VM with demand gets the whole rate from exchanged_counts "
          "and only its share from even_split",
          "[load_budget]")
{
    auto const started = [](std::string_view name)
    {
        simulated_vms vms(name, 6);
        std::size_t sum = 0;
        for (int i = 0; i < steps; ++i)
        {
            vms.set_waiting(0, 5);
            vms.exchange_all();
            sum += vms.start(0);
            vms.advance(time_step);
        }
        return sum;
    };
    CHECK(started("exchanged_counts") > 75);
    CHECK(started("even_split") < 17);
}

TEST_CASE("a peer without recent reports keeps its share", "[load_budget]")
{
    // A VM reports no demand and is then partitioned from its peers. If the
    // peers kept counting the VM as idle, they would use its share while the VM
    // uses the share too.
    simulated_vms vms("exchanged_counts", 2);
    vms.exchange_all();
    vms.set_waiting(0, 5);
    std::size_t early = 0;
    std::size_t late = 0;
    for (int i = 0; i < steps; ++i)
    {
        (i < 40 ? early : late) += vms.start(0);
        vms.advance(time_step);
    }
    double const early_rate =
        static_cast<double>(early) / (window_seconds * 40 / steps);
    double const late_rate =
        static_cast<double>(late) / (window_seconds * (steps - 40) / steps);
    CHECK(early_rate > 7);
    CHECK(late_rate < 5.5);
}

TEST_CASE("an outdated report changes nothing", "[load_budget]")
{
    simulated_vms vms("exchanged_counts", 2);
    load_counts idle;
    idle.vm_incarnation = incarnation(2);
    idle.started = 5;
    load_counts older = idle;
    older.started = 4;
    older.waiting = 9;
    vms.at(0).set_waiting(1, vms.now());
    vms.at(0).update_peer_counts(vm_numbered(1), idle, vms.now());
    REQUIRE(vms.at(0).try_start(vms.now() + 1s));
    time_point const before = vms.at(0).next_permit(vms.now() + 1s);
    vms.at(0).update_peer_counts(vm_numbered(1), older, vms.now() + 1s);
    CHECK(vms.at(0).next_permit(vms.now() + 1s) == before);
    older.vm_incarnation = incarnation(1);
    older.started = 99;
    vms.at(0).update_peer_counts(vm_numbered(1), older, vms.now() + 1s);
    CHECK(vms.at(0).next_permit(vms.now() + 1s) == before);
}

TEST_CASE("a load may start at next_permit() and not before", "[load_budget]")
{
    for (std::string_view const name : {"even_split", "exchanged_counts"})
    {
        simulated_vms vms(name, 3);
        vms.advance(10s);
        REQUIRE(vms.start(0) == 1);
        vms.at(0).finished(vms.now());
        time_point const next = vms.at(0).next_permit(vms.now());
        CHECK(next > vms.now());
        CHECK_FALSE(vms.at(0).try_start(next - 1ms));
        CHECK(vms.at(0).try_start(next));
    }
}
