// Single failures round the ownership of workers, one after the other.
#include "ownership_cluster.hpp"
#include "worker_row.hpp"

#include <catch2/catch.hpp>

#include <chrono>

using namespace mulberry;
using namespace mulberry::tests;
using namespace std::chrono_literals;

namespace
{

cluster_options six_vms()
{
    cluster_options options;
    options.vms = 6;
    options.workers = 18;
    options.heartbeat = 500ms;
    options.tick = 20ms;
    options.ticks_per_unload = 50;
    return options;
}

/// Six VMs, each with its share of eighteen workers.
struct settled_cluster : ownership_cluster
{
    settled_cluster()
        : ownership_cluster(six_vms(), 1, standard_ownership_rules())
    {
        run_for(20s);
        check_recovery();
        REQUIRE(violations().empty());
        take_longest_gap();
    }
};

double seconds(duration length)
{
    return std::chrono::duration<double>(length).count();
}

} // namespace

TEST_CASE("rows are read back as written, and nothing else is", "[ownership]")
{
    vm_row const vm{"t",
                    incarnation(3),
                    incarnation(2),
                    incarnation(2),
                    "10.0.0.1:7000",
                    domain_id("d"),
                    member_state::leaving,
                    true,
                    true,
                    7,
                    row_version(9),
                    true,
                    120};
    CHECK(parse_vm_row(to_text(vm)) == vm);
    worker_row const worker{"t",
                            {vm_id("a"), incarnation(3)},
                            fencing_number(4),
                            {{vm_id("b"), incarnation(1)}},
                            {engine_name("x@1#3")}};
    CHECK(parse_worker_row(to_text(worker)) == worker);
    for (char const* text : {"", "[]", "{}", "{\"token\":1}", "nonsense"})
    {
        CHECK_FALSE(parse_vm_row(text));
        CHECK_FALSE(parse_worker_row(text));
    }
}

TEST_CASE("a killed VM's workers have owners again after lease and heartbeats",
          "[ownership]")
{
    // A VM's process is killed; its row stands still; a lease later another
    // VM expires it and the assignees take its workers.
    settled_cluster cluster;
    cluster.kill(2);
    cluster.delist(2);
    cluster.run_for(8s);
    duration const gap = cluster.take_longest_gap();
    WARN("without owner after a kill: " << seconds(gap) << " s");
    CHECK(gap < 3s + 3 * 500ms);
    cluster.run_for(10s);
    cluster.check_recovery();
    CHECK(cluster.violations().empty());
}

// VMs start within moments of each other, as after a power cut. Without a
// pause the first to register takes every worker and hands most of them over
// later, and a worker that changes hands takes no orders for a while.
TEST_CASE("VMs that start together share the workers without handovers",
          "[ownership]")
{
    cluster_options options = six_vms();
    options.start_interval = 60ms;
    options.settle = 1s;
    ownership_cluster cluster(options, 1, standard_ownership_rules());
    cluster.run_for(20s);
    cluster.check_recovery();
    CHECK(cluster.violations().empty());
    for (std::size_t vm = 0; vm < options.vms; ++vm)
        CHECK(cluster.owned_by(vm) == options.workers / options.vms);
    CHECK(cluster.count("worker-handed-over") == 0);
}

TEST_CASE("two VMs killed together are replaced within the same bound",
          "[ownership]")
{
    // Two processes are killed a moment apart; those that would have expired
    // one of them may be the other, and turns pass on.
    settled_cluster cluster;
    cluster.kill(1);
    cluster.run_for(300ms);
    cluster.kill(4);
    cluster.run_for(8s);
    duration const gap = cluster.take_longest_gap();
    WARN("without owner after two kills: " << seconds(gap) << " s");
    CHECK(gap < 3s + 5 * 500ms);
}

// A VM is gone for good, and just then the table refuses everything at once.
// The VM whose turn it is would write the other's end again at every tick, some
// sixty times a second, and each refusal counts against the table's rate.
TEST_CASE("a refused write about a lapsed VM is not repeated at every tick",
          "[ownership]")
{
    cluster_options options = six_vms();
    options.tick = 20ms;
    ownership_cluster cluster(options, 1, standard_ownership_rules());
    cluster.run_for(10s);
    cluster.kill(2);
    cluster.delist(2);
    cluster.run_for(2800ms);
    cluster.table().refuse(true);
    cluster.run_for(1500ms);
    auto const tries = cluster.count("lease-lapsed");
    CHECK(tries > 0);
    CHECK(tries < 12);
    cluster.table().refuse(false);
    cluster.run_for(15s);
    cluster.check_recovery();
    for (std::string const& violation : cluster.violations())
        FAIL_CHECK(violation);
}

TEST_CASE("a leaving VM hands over at once", "[ownership]")
{
    // The VM says that it leaves; each of its workers is written over to its
    // assignee; nobody is without an owner for longer than two heartbeats.
    settled_cluster cluster;
    cluster.leave(3);
    cluster.run_for(1s);
    CHECK(cluster.owned_by(3) == 0);
    cluster.run_for(10s);
    duration const gap = cluster.take_longest_gap();
    WARN("without owner when a VM leaves: " << seconds(gap) << " s");
    CHECK(gap < 2 * 500ms);
    CHECK(cluster.count("vm-expired") == 0);
    cluster.check_recovery();
    CHECK(cluster.violations().empty());
}

TEST_CASE("a newcomer is given its share one worker at a time", "[ownership]")
{
    // A seventh VM registers; only when it has stayed for a lease do the
    // others hand workers to it, one at a time each.
    settled_cluster cluster;
    std::size_t const newcomer = cluster.add_vm();
    cluster.run_for(2s);
    CHECK(cluster.owned_by(newcomer) == 0);
    cluster.run_for(13s);
    CHECK(cluster.owned_by(newcomer) >= 2);
    CHECK(cluster.take_longest_gap() < 2 * 500ms);
    cluster.check_recovery();
    CHECK(cluster.violations().empty());
}

TEST_CASE("an outage of the table moves no worker", "[ownership]")
{
    // The table is down for many leases; all leases lapse; when it is back
    // every holder renews its row and nobody expires anybody.
    settled_cluster cluster;
    auto const gained = cluster.count("worker-gained");
    cluster.table().set_down(true);
    cluster.run_for(60s);
    cluster.table().set_down(false);
    cluster.run_for(15s);
    CHECK(cluster.count("worker-gained") == gained);
    CHECK(cluster.count("worker-lost") == 0);
    CHECK(cluster.count("lease-lapsed") == 0);
    cluster.check_recovery();
    CHECK(cluster.violations().empty());
}

TEST_CASE("a paused VM stays a suspect until it has signed off", "[ownership]")
{
    // A VM is stopped past its lease; its workers move; for as long as it is
    // listed nobody may take it for ended; it wakes, learns that it expired,
    // ends what it had and signs off.
    settled_cluster cluster;
    cluster.pause(0);
    cluster.run_for(60s);
    auto const cleared = cluster.count("suspects-cleared");
    CHECK(cluster.count("lease-lapsed") > 0);
    CHECK(cleared < 18);
    cluster.resume(0);
    cluster.run_for(20s);
    CHECK(cluster.count("suspects-cleared") > cleared);
    CHECK(cluster.count("vm-expired") == 1);
    cluster.check_recovery();
    CHECK(cluster.violations().empty());
}

TEST_CASE("a worker that is no longer declared is given up", "[ownership]")
{
    settled_cluster cluster;
    worker_id const worker("w7");
    cluster.undeclare(worker);
    cluster.run_for(10s);
    auto const row =
        parse_worker_row(cluster.table().row(worker_key(worker))->value);
    CHECK(row->owner.vm.empty());
    CHECK(row->suspects.empty());
    cluster.check_recovery();
    CHECK(cluster.violations().empty());
}

TEST_CASE("what a quiet cluster asks of the table", "[ownership]")
{
    // Writes grow with the VMs, not with the workers.
    struct shape
    {
        std::size_t vms;
        std::size_t workers;
        duration heartbeat;
        duration lease;
        duration settling;
    };
    for (shape const& each :
         {shape{6, 18, 500ms, 3s, 20s}, shape{24, 72, 500ms, 3s, 20s}})
    {
        cluster_options const options{each.vms,   each.workers, each.heartbeat,
                                      each.lease, 100ms,        0};
        ownership_cluster cluster(options, 1, standard_ownership_rules());
        cluster.run_for(each.settling);
        auto const writes = cluster.table().transactions();
        auto const reads = cluster.table().reads();
        cluster.run_for(10s);
        double const writes_per_second =
            static_cast<double>(cluster.table().transactions() - writes) / 10;
        WARN(each.vms << " VMs: " << writes_per_second << " writes/s, "
                      << (cluster.table().reads() - reads) / 10 << " reads/s");
        CHECK(cluster.violations().empty());
    }
}
