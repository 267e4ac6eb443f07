// The limit of weight loads that all VMs share.
#include "scheduler_world.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <list>

using namespace mulberry;
using namespace mulberry::test;
using namespace std::chrono_literals;

namespace
{

constexpr auto window = 5s;
constexpr std::size_t workers_per_vm = 40;

/// VMs of one service, each with workers that hold no model.
class empty_fleet
{
public:
    explicit empty_fleet(std::size_t vms) : members_(vms)
    {
        for (std::size_t vm = 0; vm < vms; ++vm)
        {
            scheduler_world& world = worlds_.emplace_back(workers_per_vm);
            for (auto& [id, worker] : world.workers)
                worker.restart();
            restart(world);
        }
    }

    void run(duration time)
    {
        for (scheduler_world& world : worlds_)
            world.run(time);
    }

    void restart_all()
    {
        for (scheduler_world& world : worlds_)
            restart(world);
    }

    /// All know that so many VMs are left.
    void set_members(std::size_t vms)
    {
        for (scheduler_world& world : worlds_)
            world.scheduler.set_members(vms);
    }

    void remove_vm()
    {
        count(worlds_.back());
        worlds_.pop_back();
    }

    std::size_t loads() { return load_times().size(); }

    /// The most loads that began within a window.
    std::size_t most_loads()
    {
        std::vector<time_point> const times = load_times();
        std::size_t most = 0;
        for (auto first = times.begin(); first != times.end(); ++first)
        {
            auto const last =
                std::lower_bound(first, times.end(), *first + window);
            most = std::max(most, std::size_t(last - first));
        }
        return most;
    }

    std::size_t limit() const
    {
        double const per_second =
            worlds_.front().config.engine->weight_loads_per_second;
        return std::size_t(per_second * 5 * 1.1 + 3);
    }

    scheduler_world& vm(std::size_t number)
    {
        return *std::next(worlds_.begin(), static_cast<long>(number));
    }

private:
    void restart(scheduler_world& world) const
    {
        world.replace_owner({});
        world.scheduler.set_members(members_);
    }

    void count(scheduler_world const& world)
    {
        for (auto const& [id, worker] : world.workers)
            if (auto const at = worker.model_load_started())
                counted_.push_back(*at);
    }

    std::vector<time_point> load_times()
    {
        std::vector<time_point> const before = counted_;
        for (scheduler_world const& world : worlds_)
            count(world);
        std::vector<time_point> times = std::exchange(counted_, before);
        std::sort(times.begin(), times.end());
        return times;
    }

    std::size_t members_;
    std::list<scheduler_world> worlds_;
    std::vector<time_point> counted_;
};

} // namespace

// Guards against VMs that start together and load as much as if their
// predecessors had loaded nothing.
TEST_CASE("weight loads keep their limit when all VMs restart",
          "[weight_loads]")
{
    empty_fleet fleet(4);
    fleet.run(window + 1s);
    REQUIRE(fleet.loads() > 0);
    for (int restarts = 0; restarts < 3; ++restarts)
    {
        fleet.restart_all();
        fleet.run(2s);
    }
    CHECK(fleet.most_loads() <= fleet.limit());
    std::size_t const before = fleet.loads();
    fleet.run(window);
    CHECK(fleet.loads() > before);
    CHECK(fleet.most_loads() <= fleet.limit());
}

// A VM that is not known any more may have used its share just before.
TEST_CASE("weight loads keep their limit when VMs are lost", "[weight_loads]")
{
    empty_fleet fleet(4);
    fleet.run(window + 2s);
    std::size_t const before = fleet.loads();
    REQUIRE(before > 0);
    fleet.remove_vm();
    fleet.remove_vm();
    fleet.set_members(2);
    fleet.run(2s);
    CHECK(fleet.most_loads() <= fleet.limit());
}

// Guards against a worker that holds no model until another event occurs.
TEST_CASE("the scheduler is due when the next weights may be loaded",
          "[weight_loads]")
{
    empty_fleet fleet(4);
    scheduler_world& vm = fleet.vm(0);
    vm.run(window + 1s);
    std::size_t const before = fleet.loads();
    REQUIRE(before > 0);
    REQUIRE(before < workers_per_vm);
    time_point const due = vm.scheduler.next_due();
    CHECK(due <= vm.now + window);
    vm.now = std::min<time_point>(due, vm.now + window);
    vm.run(0s);
    CHECK(fleet.loads() > before);
}
