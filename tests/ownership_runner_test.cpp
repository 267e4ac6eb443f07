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

/// No test writes a row with a higher fencing number.
constexpr std::uint64_t highest_fence = 10;

/// A VM's ownership_runner with a store in this process. Each start() simulates
/// a new process of the VM.
class runner_simulation
{
public:
    explicit runner_simulation(std::string named = "vm-a")
        : name_(std::move(named))
    {
        // No row has a fencing number above its version.
        store.skip_versions(highest_fence);
    }

    void start()
    {
        grant_.reset();
        vm_ = std::make_unique<vm_process>(*this, ++starts_);
        vm_->mirror.start();
        vm_->runner.start();
        REQUIRE(until([this] { return vm_->runner.registered(); }));
    }
    /// Starts with the workers known before the rows are read.
    void start_with_workers()
    {
        grant_.reset();
        start_wait_ = generous_wait;
        vm_ = std::make_unique<vm_process>(*this, ++starts_);
        vm_->runner.start();
        list();
        vm_->mirror.start();
        REQUIRE(until([this] { return vm_->runner.registered(); }));
    }
    /// Ends the simulated process; its pending work is dropped.
    void kill()
    {
        store.close();
        vm_.reset();
    }
    void list()
    {
        backend_entry entry = listed_worker();
        entry.started = worker_started;
        vm_->runner.set_workers({entry});
    }
    /// The worker's incarnation when its first owner took it.
    worker_start first_incarnation()
    {
        REQUIRE(until([this] { return grant_.has_value(); }));
        return grant_->first_incarnation;
    }
    /// How long after the worker was acquired orders may be issued.
    duration order_delay()
    {
        REQUIRE(until([this] { return grant_.has_value(); }));
        return grant_->orders_from - gained_at_;
    }
    void pass(duration span)
    {
        time_point const end = boot_clock::now() + span;
        until([end] { return boot_clock::now() >= end; });
    }
    /// Writes the worker's row as another VM does that hands the worker over.
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
    worker_start worker_started;

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

        vm_process(runner_simulation& world, std::uint64_t seed)
            : pool(io),
              mirror(io, world.store, pool, {}, log,
                     {[](row_set, std::vector<stored_row> const&) {}}),
              runner(io, world.store, mirror,
                     options(world.name_, seed, world.start_wait_), log,
                     {[&world](std::map<worker_id, owned_worker> const& grants)
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

    void on_grants(std::map<worker_id, owned_worker> const& grants)
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
    std::optional<owned_worker> grant_;
    time_point gained_at_{};
};

} // namespace

// A VM that has owned its worker for long is killed and restarts. No other VM
// issued orders to the worker meanwhile, so the VM may issue orders at once.
TEST_CASE("a restarted VM may issue orders to its workers at once",
          "[ownership_runner]")
{
    runner_simulation world;
    world.start();
    world.list();
    CHECK(world.order_delay() <= 0ms);
    world.pass(4 * gap);
    world.kill();
    world.start();
    world.list();
    CHECK(world.order_delay() <= 0ms);
}

// Guards against an owner that does not know that earlier owners sent orders to
// another incarnation of its worker.
TEST_CASE("an owner learns of the worker's earlier incarnation",
          "[ownership_runner]")
{
    runner_simulation world;
    world.worker_started = worker_start(1001);
    world.start();
    world.list();
    CHECK(world.first_incarnation() == worker_start(1001));
    world.kill();
    world.worker_started = worker_start(1002);
    world.start();
    world.list();
    CHECK(world.first_incarnation() == worker_start(1001));
}

// A VM restarts. Another VM, which has not learned of the restart yet, hands a
// worker over to the previous incarnation. The worker's row names the restarted
// VM, but the other VM issued its last order a moment ago, so no order may be
// issued before the gap is over.
TEST_CASE("a worker handed to a previous incarnation waits for the gap",
          "[ownership_runner]")
{
    runner_simulation world;
    world.start();
    world.pass(4 * gap);
    world.kill();
    world.start();
    world.hand_over_to({vm_id("vm-a"), incarnation(1)}, 5);
    world.list();
    CHECK(world.order_delay() > gap / 2);
}

// As above, but the VM was killed right after the worker was handed over, and
// restarts within the gap.
TEST_CASE("a worker handed over just before a restart waits for the gap",
          "[ownership_runner]")
{
    runner_simulation world;
    world.start();
    world.pass(4 * gap);
    world.hand_over_to({vm_id("vm-a"), incarnation(1)}, 5);
    world.kill();
    world.start();
    world.list();
    CHECK(world.order_delay() > gap / 2);
}

// All VMs start at once, and the store's write rate is limited. A VM that has
// read the rows registers with a single write; otherwise it reads its own row
// first, and its workers have no owner for that long.
TEST_CASE("a restarted VM registers with one write", "[ownership_runner]")
{
    runner_simulation world;
    world.start();
    world.list();
    world.order_delay();
    world.kill();
    std::size_t const before = world.store.transactions();
    world.start_with_workers();
    CHECK(world.store.transactions() == before + 1);
}

// The lease of a worker's owner lapsed. An owner that had the worker for long
// stopped issuing orders a gap before its lease ended. If the worker was handed
// to that owner just before, the previous owner may just have issued an order.
TEST_CASE("a worker of a lapsed VM waits for the gap if handed over recently",
          "[ownership_runner]")
{
    runner_simulation world;
    bool const handed_over_recently = GENERATE(false, true);
    CAPTURE(handed_over_recently);
    world.write_member("vm-b", member_state::live);
    world.hand_over_to({vm_id("vm-b"), incarnation(1)}, 5);
    world.start();
    world.pass(4 * gap);
    if (handed_over_recently)
        world.hand_over_to({vm_id("vm-b"), incarnation(1)}, 6);
    world.write_member("vm-b", member_state::expired);
    world.list();
    if (handed_over_recently)
        CHECK(world.order_delay() > gap / 2);
    else
        CHECK(world.order_delay() <= 0ms);
}
