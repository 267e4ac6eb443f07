#include "ownership_runner.hpp"

#include "boot_clock.hpp"
#include "memory_row_store.hpp"
#include "vm_row.hpp"
#include "worker_row.hpp"

#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

using namespace mulberry;
using namespace mulberry_test;
using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::seconds generous_wait{20};
constexpr std::chrono::milliseconds gap{300};
worker_id const worker("w");

backend_entry listed_worker()
{
    backend_entry entry;
    entry.id = worker;
    entry.domain = domain_id("zone");
    return entry;
}

/// A VM's ownership against a store in this process. Each start is another
/// process of the VM.
class runner_world
{
public:
    explicit runner_world(std::string named = "vm-a") : name_(std::move(named))
    {
    }

    void start()
    {
        grant_.reset();
        vm_ = std::make_unique<vm_process>(*this, ++starts_);
        vm_->mirror.start();
        vm_->runner.start();
        REQUIRE(until([this] { return vm_->runner.registered(); }));
    }
    /// The workers are known before the rows are.
    void start_informed()
    {
        grant_.reset();
        start_wait_ = generous_wait;
        vm_ = std::make_unique<vm_process>(*this, ++starts_);
        vm_->runner.start();
        list();
        vm_->mirror.start();
        REQUIRE(until([this] { return vm_->runner.registered(); }));
    }
    /// What it was about to do is dropped, as with a process.
    void kill()
    {
        store.close();
        vm_.reset();
    }
    void list() { vm_->runner.set_workers({listed_worker()}); }
    /// How long after the worker was gained orders may be given.
    duration gained_with()
    {
        REQUIRE(until([this] { return grant_.has_value(); }));
        return grant_->orders_from - gained_at_;
    }
    void pass(duration span)
    {
        time_point const end = boot_clock::now() + span;
        until([end] { return boot_clock::now() >= end; });
    }
    /// Another VM writes the worker's row, as an owner that hands it over does.
    void hand_over_to(incarnation_id const& owner, std::uint64_t fence)
    {
        worker_row row;
        row.token = "other";
        row.owner = owner;
        row.fence = fencing_number(fence);
        store.put(row_set::own, row_kind::own, worker_key(worker),
                  to_text(row));
    }
    void write_member(std::string const& vm, member_state state)
    {
        vm_row row;
        row.token = "other";
        row.incarnation_number = row.process_first_incarnation = incarnation(1);
        row.address = "127.0.0.1:1";
        row.domain = domain_id("zone");
        row.state = state;
        row.ready = true;
        store.put(row_set::own, row_kind::own, vm_key(vm_id(vm)), to_text(row));
    }

    memory_row_store store;

private:
    struct vm_process
    {
        asio::io_context io{1};
        event_log log{"test", 1000,
                      [](log_level, std::string_view, std::string_view,
                         std::string const&) {}};
        backend_pool pool;
        row_mirror mirror;
        ownership_runner runner;

        vm_process(runner_world& world, std::uint64_t seed)
            : pool(io),
              mirror(io, world.store, pool, {}, log,
                     {[](row_set, std::vector<stored_row> const&) {}}),
              runner(io, world.store, mirror,
                     options(world.name_, seed, world.start_wait_), log,
                     {[&world](std::map<worker_id, order_grant> const& grants)
                      { world.on_grants(grants); },
                      [](std::vector<member_view> const&) {},
                      [](std::map<worker_id, vm_id> const&) {}})
        {
        }
    };

    static ownership_run_options options(std::string const& name,
                                         std::uint64_t seed, duration wait)
    {
        ownership_run_options options;
        options.start_wait = wait;
        options.keeper.vm = vm_id(name);
        options.keeper.domain = domain_id("zone");
        options.keeper.address = "127.0.0.1:9";
        options.keeper.lease = 5 * gap;
        options.keeper.lease_margin = gap;
        options.keeper.heartbeat = gap / 3;
        options.keeper.order_gap = gap;
        options.keeper.seed = seed;
        options.order_gap = gap;
        return options;
    }

    void on_grants(std::map<worker_id, order_grant> const& grants)
    {
        auto const found = grants.find(worker);
        if (found == grants.end() || grant_)
            return;
        grant_ = found->second;
        gained_at_ = boot_clock::now();
    }

    bool until(std::function<bool()> const& holds)
    {
        auto const limit = std::chrono::steady_clock::now() + generous_wait;
        while (!holds() && std::chrono::steady_clock::now() < limit)
            vm_->io.run_one_for(5ms);
        return holds();
    }

    std::string name_;
    std::unique_ptr<vm_process> vm_;
    std::uint64_t starts_ = 0;
    duration start_wait_{};
    std::optional<order_grant> grant_;
    time_point gained_at_{};
};

} // namespace

// A VM has had its worker for long, is killed and starts again. Nobody else
// ordered the worker meanwhile, so that its orders go on at once.
TEST_CASE("a VM that restarts orders its workers at once", "[ownership_runner]")
{
    runner_world world;
    world.start();
    world.list();
    CHECK(world.gained_with() <= 0ms);
    world.pass(4 * gap);
    world.kill();
    world.start();
    world.list();
    CHECK(world.gained_with() <= 0ms);
}

// A VM restarts. Another VM, which has not heard of that yet, hands it a worker
// as the life before. The worker's row names the VM that takes it, but the
// other VM gave its last order a moment ago: no order goes out before the gap.
TEST_CASE("a worker that was handed to a life before waits for the gap",
          "[ownership_runner]")
{
    runner_world world;
    world.start();
    world.pass(4 * gap);
    world.kill();
    world.start();
    world.hand_over_to({vm_id("vm-a"), incarnation(1)}, 5);
    world.list();
    CHECK(world.gained_with() > gap / 2);
}

// The same, but the VM was killed right after it was given the worker, and
// starts again within the gap.
TEST_CASE("a worker that was given just before a restart waits for the gap",
          "[ownership_runner]")
{
    runner_world world;
    world.start();
    world.pass(4 * gap);
    world.hand_over_to({vm_id("vm-a"), incarnation(1)}, 5);
    world.kill();
    world.start();
    world.list();
    CHECK(world.gained_with() > gap / 2);
}

// All VMs start at once, and the table takes so many writes a second. A VM that
// has read the rows registers with a single one; without them it asks for its
// own row first, and its workers have no owner for that long.
TEST_CASE("a VM that restarts registers with one write", "[ownership_runner]")
{
    runner_world world;
    world.start();
    world.list();
    world.gained_with();
    world.kill();
    std::size_t const before = world.store.transactions();
    world.start_informed();
    CHECK(world.store.transactions() == before + 1);
}

// A worker's owner lapsed. Where it had the worker for long, it stopped giving
// orders a gap before its lease was over; where it was given the worker a
// moment before, the VM that gave it may just have ordered.
TEST_CASE("a worker of a VM that lapsed waits if it was given lately",
          "[ownership_runner]")
{
    runner_world world;
    bool const lately = GENERATE(false, true);
    CAPTURE(lately);
    world.write_member("vm-b", member_state::live);
    world.hand_over_to({vm_id("vm-b"), incarnation(1)}, 5);
    world.start();
    world.pass(4 * gap);
    if (lately)
        world.hand_over_to({vm_id("vm-b"), incarnation(1)}, 6);
    world.write_member("vm-b", member_state::expired);
    world.list();
    if (lately)
        CHECK(world.gained_with() > gap / 2);
    else
        CHECK(world.gained_with() <= 0ms);
}
