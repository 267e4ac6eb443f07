// Few VMs own workers, the others stand by and take the place of those that
// are gone.
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

TEST_CASE("owners grow with the workers, not with the VMs", "[owner_choice]")
{
    CHECK(required_owners({0, 8}, 100) == 0);
    CHECK(required_owners({4, 8}, 0) == 4);
    CHECK(required_owners({4, 8}, 32) == 4);
    CHECK(required_owners({4, 8}, 33) == 5);
    CHECK(required_owners({4, 8}, 725) == 91);
}

// An owner is gone. Those that stand by come in turns, one for each that is
// missing, and the others only if these do not come.
TEST_CASE("VMs that stand by take over in turns", "[owner_choice]")
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
        // One came: it counts anew.
        situation.missing_owners = 0;
        CHECK(decision.decide(true, situation, now + 2s));
        situation.missing_owners = 1;
        CHECK(decision.decide(true, situation, now + 2s) == (rank >= 1));
    }
}

TEST_CASE("a VM stands by once it is settled and owns nothing",
          "[owner_choice]")
{
    time_point const now(10s);
    standby_decision decision(2s);
    CHECK_FALSE(decision.decide(false, {true, false, 0, 0}, now));
    CHECK_FALSE(decision.decide(false, {false, true, 0, 0}, now));
    CHECK(decision.decide(false, {true, true, 0, 0}, now));
}

// Twenty-four VMs stand before twelve workers. Each renewed its row twice a
// second, 48 writes; now four do, and the others once in six seconds: 11.3.
TEST_CASE("what is written does not grow with VMs that own nothing",
          "[owner_choice]")
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

// All VMs start within moments, as after a power cut. The four owners register,
// take their workers in one write, renew their leases twice within the second
// and clear the life before the cut from the row of each of the twelve; nothing
// else is written meanwhile, however many VMs there are.
TEST_CASE("after a power cut owners register before all others",
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

// An owner is killed for good. Its lease lapses, its workers go to the owners
// that are left, and a VM that stood by joins them.
TEST_CASE("a lost owner is replaced by a VM that stood by", "[owner_choice]")
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

// All owners are killed at once, and with them a VM that stood by and would
// come first. The others notice by the rows of the owners and take over; the
// one that is gone costs them a turn.
TEST_CASE("VMs that stand by take over from all owners", "[owner_choice]")
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

// A deployment with few VMs a failure domain: each of them owns workers.
TEST_CASE("where there are few VMs each owns workers", "[owner_choice]")
{
    settled_fleet fleet(4);
    for (std::size_t vm = 0; vm < 4; ++vm)
        CHECK(fleet.owned_by(vm) == 3);
    fleet.check_healthy();
}
