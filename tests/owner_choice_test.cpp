// Choice of owners: a few VMs own the workers; the others are on standby and
// replace owners that fail.
#include "owner_choice.hpp"

#include "ownership_cluster.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace mulberry;
using namespace mulberry::tests;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t min_owners = 4;

cluster_options many_vms(std::size_t vms)
{
    cluster_options options;
    options.vms = vms;
    options.workers = 12;
    options.heartbeat = 500ms;
    options.tick = 100ms;
    options.ticks_per_unload = 0;
    options.settle = 500ms;
    options.owners = {min_owners, 8};
    options.load_rows_first = true;
    return options;
}

struct settled_fleet : ownership_cluster
{
    explicit settled_fleet(std::size_t vms)
        : ownership_cluster(many_vms(vms), 1, standard_ownership_rules())
    {
        run_for(20s);
        REQUIRE(owners() == min_owners);
    }

    /// The VMs that own workers.
    std::vector<std::size_t> owning() const
    {
        std::vector<std::size_t> result;
        for (std::size_t vm = 0; vm < vms(); ++vm)
            if (owned_by(vm) > 0)
                result.push_back(vm);
        return result;
    }

    void check_healthy()
    {
        check_recovery();
        for (std::string const& violation : violations())
            FAIL_CHECK(violation);
    }
};

} // namespace

TEST_CASE("the number of owners depends on the workers, not on the VMs",
          "[owner_choice]")
{
    CHECK(required_owners({0, 8}, 100) == 0);
    CHECK(required_owners({4, 8}, 0) == 4);
    CHECK(required_owners({4, 8}, 32) == 4);
    CHECK(required_owners({4, 8}, 33) == 5);
    CHECK(required_owners({4, 8}, 725) == 91);
}

// When owners are missing, as many VMs on standby replace them at once; VMs of
// lower rank follow, one delay per rank, only if owners are still missing.
TEST_CASE("VMs on standby take over in order of rank", "[owner_choice]")
{
    time_point const now(10s);
    owner_situation situation;
    situation.settled = true;
    for (std::size_t rank = 0; rank < 4; ++rank)
    {
        standby_decision decision(2s);
        situation.rank = rank;
        situation.missing_owners = 0;
        CHECK(decision.decide(true, situation, now));
        situation.missing_owners = 2;
        duration const turn =
            rank < 2 ? duration(0) : duration(2s) * static_cast<int>(rank - 1);
        CHECK(decision.decide(true, situation, now) == (rank >= 2));
        CHECK_FALSE(decision.decide(true, situation, now + turn));
        // An owner joined: the delay starts again.
        situation.missing_owners = 0;
        CHECK(decision.decide(true, situation, now + 2s));
        situation.missing_owners = 1;
        CHECK(decision.decide(true, situation, now + 2s) == (rank >= 1));
    }
}

TEST_CASE("a VM goes on standby once rows are settled and it is surplus",
          "[owner_choice]")
{
    time_point const now(10s);
    standby_decision decision(2s);
    CHECK_FALSE(decision.decide(false, {true, false, 0, 0}, now));
    CHECK_FALSE(decision.decide(false, {false, true, 0, 0}, now));
    CHECK(decision.decide(false, {true, true, 0, 0}, now));
}

// Guards against table load that grows with the number of VMs. If all 24 VMs
// renewed their rows twice per second, there would be 48 writes per second.
// Four owners do, and the others renew once in six seconds: 11.3 writes per
// second.
TEST_CASE("VMs on standby add few writes to the table", "[owner_choice]")
{
    settled_fleet fleet(24);
    std::size_t standing_by = 0;
    for (std::size_t vm = 0; vm < fleet.vms(); ++vm)
        standing_by += fleet.stands_by(vm);
    CHECK(standing_by == 20);
    auto const before = fleet.table().transactions();
    fleet.run_for(12s);
    double const writes_per_second =
        double(fleet.table().transactions() - before) / 12.0;
    CHECK(writes_per_second < 12.5);
    fleet.check_healthy();
}

// All VMs restart at once, as after a power failure, and VMs without workers
// must not delay the owners' writes. The four owners register, take their
// workers in one write, renew their leases twice within the second and remove
// the previous incarnation from the rows of the twelve workers. Nothing else is
// written meanwhile except registrations of VMs on standby.
TEST_CASE("after a power failure owners register before all other VMs",
          "[owner_choice]")
{
    settled_fleet fleet(24);
    auto const owning = fleet.owning();
    auto const before = fleet.table().transactions();
    for (std::size_t vm = 0; vm < fleet.vms(); ++vm)
        fleet.kill(vm);
    for (std::size_t vm = 0; vm < fleet.vms(); ++vm)
        fleet.start(vm);
    fleet.run_for(1s);
    std::size_t others = 0;
    for (std::size_t vm = 0; vm < fleet.vms(); ++vm)
        others += fleet.stands_by(vm);
    CHECK(fleet.table().transactions() - before <= 4 * 4 + 12 + others);
    CHECK(others < 12);
    CHECK(fleet.owning() == owning);
    fleet.run_for(10s);
    CHECK(fleet.table().transactions() - before <= 4 * (2 + 22) + 12 + 20 * 3);
    for (std::size_t vm = 0; vm < fleet.vms(); ++vm)
        CHECK(fleet.stands_by(vm) == (fleet.owned_by(vm) == 0));
    fleet.check_healthy();
}

// An owner fails for good. Its lease lapses, the remaining owners take its
// workers, and a VM on standby becomes an owner.
TEST_CASE("a failed owner is replaced by a VM on standby", "[owner_choice]")
{
    settled_fleet fleet(24);
    fleet.take_longest_gap();
    std::size_t const lost = fleet.owning().front();
    fleet.kill(lost);
    fleet.delist(lost);
    fleet.run_for(8s);
    CHECK(fleet.take_longest_gap() < 3s + 5 * 500ms);
    fleet.run_for(20s);
    CHECK(fleet.owners() == min_owners);
    fleet.check_healthy();
}

// All owners fail at once, and so does one VM on standby. The other VMs on
// standby see the owners' rows unchanged and take over; the failed VM delays
// them by one rank if it ranks first.
TEST_CASE("VMs on standby replace all owners", "[owner_choice]")
{
    settled_fleet fleet(24);
    for (std::size_t const vm : fleet.owning())
    {
        fleet.kill(vm);
        fleet.delist(vm);
    }
    for (std::size_t vm = 0; vm < fleet.vms(); ++vm)
        if (fleet.stands_by(vm))
        {
            fleet.kill(vm);
            fleet.delist(vm);
            break;
        }
    fleet.run_for(30s);
    CHECK(fleet.owners() == min_owners);
    fleet.check_healthy();
}

// With no more VMs in a failure domain than the minimum number of owners,
// nobody is on standby.
TEST_CASE("with few VMs each VM owns workers", "[owner_choice]")
{
    settled_fleet fleet(4);
    for (std::size_t vm = 0; vm < 4; ++vm)
        CHECK(fleet.owned_by(vm) == 3);
    fleet.check_healthy();
}
