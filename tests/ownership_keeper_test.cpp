// Ownership of workers under single failures.
#include "odd_json.hpp"
#include "ownership_cluster.hpp"
#include "worker_row.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

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

/// Rows of a worker whose numbers are too high to have been assigned.
std::vector<std::string> overflowing_worker_rows(worker_row const& sound)
{
    std::vector<std::string> texts;
    fencing_number const last(std::numeric_limits<std::uint64_t>::max());
    incarnation const last_incarnation(last.value());
    for (std::uint64_t const less : {0U, 1U, 2U})
    {
        worker_row row = sound;
        row.fence = fencing_number(last.value() - less);
        texts.push_back(to_text(row));
        row = sound;
        row.owner.incarnation_number =
            incarnation(last_incarnation.value() - less);
        texts.push_back(to_text(row));
    }
    worker_row row = sound;
    row.suspects = {{vm_id("vm1"), last_incarnation}};
    texts.push_back(to_text(row));
    return texts;
}

double seconds(duration length)
{
    return std::chrono::duration<double>(length).count();
}

} // namespace

TEST_CASE("rows are parsed as written and other texts are rejected",
          "[ownership]")
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
    worker_row restarted = worker;
    restarted.first_incarnation = worker_start(17);
    CHECK(parse_worker_row(to_text(restarted)) == restarted);
    for (char const* text : {"", "[]", "{}", "{\"token\":1}", "nonsense"})
    {
        CHECK_FALSE(parse_vm_row(text));
        CHECK_FALSE(parse_worker_row(text));
    }
}

TEST_CASE("a killed VM's workers have owners again after lease and heartbeats",
          "[ownership]")
{
    // A VM's process is killed. After a lease without renewal another VM
    // expires the VM, and the assignees take its workers.
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

// VMs start at nearly the same time, as after a power failure. Without a
// settling time the first to register takes every worker and hands most of them
// over later, and a worker gets no orders for a while after a handover.
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
    // Two processes are killed 300 ms apart. If the VM that should expire one
    // of them first is the other one, the next VM in rank expires both.
    settled_cluster cluster;
    cluster.kill(1);
    cluster.run_for(300ms);
    cluster.kill(4);
    cluster.run_for(8s);
    duration const gap = cluster.take_longest_gap();
    WARN("without owner after two kills: " << seconds(gap) << " s");
    CHECK(gap < 3s + 5 * 500ms);
}

// A VM fails for good while the table refuses all writes immediately. Guards
// against another VM that repeats the write of the expiry at every tick, about
// sixty times per second, since refusals count against the table's rate limit.
TEST_CASE("a refused expiry of a lapsed VM is not repeated at every tick",
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

TEST_CASE("a leaving VM hands over its workers at once", "[ownership]")
{
    // The VM writes `leaving` and hands each worker over to its assignee. No
    // worker is without an owner for longer than two heartbeats.
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

TEST_CASE("a new VM receives its share one worker at a time", "[ownership]")
{
    // A seventh VM registers. After it has been a member for a lease, each of
    // the other VMs hands workers to it, one at a time.
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
    // The table is unavailable for many leases, so all leases lapse. When the
    // table is back every holder renews its row, and no VM expires another.
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

TEST_CASE("a paused VM stays a suspect until it removes itself", "[ownership]")
{
    // A VM is paused for longer than its lease and its workers move. While the
    // VM is listed, no other VM may assume that its process has ended. When
    // resumed, the VM learns that it expired, ends its work and removes itself
    // from the suspects.
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

TEST_CASE("table load of an idle cluster", "[ownership]")
{
    // Prints the load; writes grow with the VMs, not with the workers.
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

// Guards against a worker that nobody owns any more because its row became
// malformed, and against two owners that both use it.
TEST_CASE("a worker whose row becomes malformed has one owner again",
          "[ownership]")
{
    settled_cluster cluster;
    std::string const key = worker_key(worker_id("w3"));
    for (std::string const& text : mulberry_test::odd_texts())
    {
        CAPTURE(text.substr(0, 200));
        cluster.table().put_foreign(key, text);
        cluster.run_for(15s);
        cluster.check_recovery();
        REQUIRE(cluster.violations().empty());
    }
}

// Guards against workers that get no orders for seconds after all VMs have
// restarted, since they are assigned to other VMs than before.
TEST_CASE("VMs that all restart keep the workers that they owned",
          "[ownership]")
{
    cluster_options options = six_vms();
    options.settle = 2s;
    options.load_rows_first = true;
    ownership_cluster cluster(options, 1, standard_ownership_rules());
    cluster.run_for(20s);
    for (std::size_t vm = 0; vm < cluster.vms(); ++vm)
        cluster.kill(vm);
    for (char const* const gone : {"w1", "w2", "w3", "w4", "w5"})
        cluster.undeclare(worker_id(gone));
    cluster.take_longest_gap();
    for (std::size_t vm = 0; vm < cluster.vms(); ++vm)
        cluster.start(vm);
    cluster.run_for(10s);
    CHECK(cluster.take_longest_gap() < 1s);
    cluster.run_for(30s);
    cluster.check_recovery();
    CHECK(cluster.violations().empty());
}

// Guards against a worker that nobody owns after all VMs restarted while its
// row was malformed.
TEST_CASE("VMs that all restart own a worker whose row is malformed",
          "[ownership]")
{
    settled_cluster cluster;
    std::string const key = worker_key(worker_id("w3"));
    for (std::string const& text : mulberry_test::odd_texts())
    {
        CAPTURE(text.substr(0, 200));
        for (std::size_t vm = 0; vm < cluster.vms(); ++vm)
            cluster.kill(vm);
        cluster.table().put_foreign(key, text);
        for (std::size_t vm = 0; vm < cluster.vms(); ++vm)
            cluster.start(vm);
        cluster.run_for(20s);
        cluster.check_recovery();
        REQUIRE(cluster.violations().empty());
    }
}

// Guards against fencing numbers that wrap, and against an owner of an
// incarnation that never existed and so never ends.
TEST_CASE("numbers of a worker's row that were never assigned are not followed",
          "[ownership]")
{
    settled_cluster cluster;
    std::string const key = worker_key(worker_id("w3"));
    bool const restart = GENERATE(false, true);
    worker_row const sound =
        parse_worker_row(cluster.table().row(key)->value).value();
    for (std::string const& text : overflowing_worker_rows(sound))
    {
        CAPTURE(text.substr(0, 200), restart);
        for (std::size_t vm = 0; restart && vm < cluster.vms(); ++vm)
            cluster.kill(vm);
        cluster.table().put_foreign(key, text);
        for (std::size_t vm = 0; restart && vm < cluster.vms(); ++vm)
            cluster.start(vm);
        cluster.run_for(20s);
        cluster.check_recovery();
        CHECK(cluster.violations().empty());
        auto const row = parse_worker_row(cluster.table().row(key)->value);
        REQUIRE(row);
        CHECK(row->fence.value() <= cluster.table().row(key)->version.value());
    }
}
