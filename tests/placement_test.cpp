#include "placement.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

using namespace mulberry;

namespace
{

declaration make_deployment(std::size_t workers, std::size_t slots,
                            std::size_t domains)
{
    declaration value;
    for (std::size_t at = 0; at < workers; ++at)
    {
        worker_declaration worker;
        worker.id = worker_id("loglm-" + std::to_string(at));
        worker.base_model = base_model_id("m");
        worker.domain = domain_id("d" + std::to_string(at % domains));
        worker.adapter_slots = slots;
        value.workers[worker.id] = worker;
    }
    return value;
}

void add_ready(declaration& value, std::size_t copies)
{
    adapter_declaration adapter;
    adapter.id = adapter_id("notes-" + std::to_string(value.adapters.size()));
    adapter.base_model = base_model_id("m");
    adapter.versions = {adapter_version(1)};
    adapter.applications = {application_id("summaries")};
    value.adapters[adapter.id] = adapter;
    value.ready.push_back({adapter.applications.front(),
                           adapter_ref(adapter.id, adapter_version(1)),
                           copies});
}

declaration any_deployment()
{
    declaration value = make_deployment(*rc::gen::inRange<std::size_t>(1, 12),
                                        *rc::gen::inRange<std::size_t>(1, 6),
                                        *rc::gen::inRange<std::size_t>(1, 4));
    for (std::size_t copies : *rc::gen::container<std::vector<std::size_t>>(
             rc::gen::inRange<std::size_t>(1, 5)))
        add_ready(value, copies);
    return value;
}

std::set<worker_id> holders(ready_placement const& placement,
                            adapter_ref const& adapter)
{
    std::set<worker_id> found;
    for (auto const& [worker, adapters] : placement.by_worker)
        if (std::count(adapters.begin(), adapters.end(), adapter) != 0)
            found.insert(worker);
    return found;
}

std::size_t unplaced(ready_placement const& placement,
                     adapter_ref const& adapter)
{
    for (ready_declaration const& ready : placement.unplaced)
        if (ready.adapter == adapter)
            return ready.copies;
    return 0;
}

template <class Id>
std::vector<Id> ids(std::string const& prefix, std::size_t count)
{
    std::vector<Id> result;
    for (std::size_t at = 0; at < count; ++at)
        result.emplace_back(prefix + std::to_string(at));
    return result;
}

} // namespace

TEST_CASE("the stable hash is the same in every release", "[placement]")
{
    CHECK(stable_hash("") == 0xefd01f60ba992926);
    CHECK(stable_hash("shift-notes-0042@7") == 0x9c48afa2b3a17785);
}

TEST_CASE("ready adapters leave a slot free and are distinct on each worker",
          "[placement]")
{
    CHECK(rc::check(
        []
        {
            declaration const value = any_deployment();
            ready_placement const placement = place_ready(value);
            for (auto const& [id, worker] : value.workers)
            {
                auto const& held = placement.by_worker.at(id);
                RC_ASSERT(held.size() < worker.adapter_slots);
                std::set<adapter_ref> const distinct(held.begin(), held.end());
                RC_ASSERT(distinct.size() == held.size());
            }
            for (ready_declaration const& ready : value.ready)
                RC_ASSERT(holders(placement, ready.adapter).size() +
                              unplaced(placement, ready.adapter) ==
                          ready.copies);
        }));
}

TEST_CASE("all ready copies are placed if there are slots for all",
          "[placement]")
{
    CHECK(rc::check(
        []
        {
            auto const workers = *rc::gen::inRange<std::size_t>(1, 10);
            auto const slots = *rc::gen::inRange<std::size_t>(2, 6);
            declaration value = make_deployment(workers, slots, 3);
            for (std::size_t free_slots = workers * (slots - 1);
                 free_slots > 0;)
            {
                auto const copies = *rc::gen::inRange<std::size_t>(
                    1, std::min(free_slots, workers) + 1);
                add_ready(value, copies);
                free_slots -= copies;
            }
            RC_ASSERT(place_ready(value).unplaced.empty());
        }));
}

TEST_CASE("copies are placed in different failure domains", "[placement]")
{
    declaration value = make_deployment(18, 4, 3);
    for (int adapter = 0; adapter < 12; ++adapter)
        add_ready(value, 3);
    ready_placement const placement = place_ready(value);
    for (ready_declaration const& ready : value.ready)
    {
        std::set<domain_id> domains;
        for (worker_id const& worker : holders(placement, ready.adapter))
            domains.insert(value.workers.at(worker).domain);
        CHECK(domains.size() == 3);
    }
}

TEST_CASE("two applications share the copies of one adapter", "[placement]")
{
    declaration value = make_deployment(6, 4, 3);
    add_ready(value, 2);
    value.ready.push_back(
        {application_id("permits"), value.ready[0].adapter, 3});
    CHECK(holders(place_ready(value), value.ready[0].adapter).size() == 3);
}

TEST_CASE("a single ready adapter is placed on its home", "[placement]")
{
    declaration value = make_deployment(18, 4, 3);
    add_ready(value, 1);
    adapter_ref const adapter = value.ready[0].adapter;
    std::vector<worker_id> const homes = homes_of(value, adapter, 18);
    CHECK(homes.size() == 18);
    CHECK(std::set<worker_id>(homes.begin(), homes.end()).size() == 18);
    CHECK(holders(place_ready(value), adapter) ==
          std::set<worker_id>{homes.front()});
    value.workers.erase(homes.front());
    CHECK(homes_of(value, adapter, 1) == std::vector{homes[1]});
    CHECK(homes_of(value, adapter_ref(), 3).empty());
}

TEST_CASE("workers are assigned evenly, whatever the order of the VMs",
          "[placement]")
{
    CHECK(rc::check(
        []
        {
            auto const workers =
                ids<worker_id>("loglm-", *rc::gen::inRange<std::size_t>(0, 40));
            auto const names =
                *rc::gen::nonEmpty(rc::gen::container<std::set<unsigned>>(
                    rc::gen::arbitrary<unsigned>()));
            std::vector<vm_id> vms;
            for (unsigned const name : names)
                vms.emplace_back("vm-" + std::to_string(name));
            auto const assigned = assign_workers(workers, vms);
            RC_ASSERT(assigned.size() == workers.size());
            std::map<vm_id, std::size_t> load;
            for (auto const& [worker, vm] : assigned)
                ++load[vm];
            std::size_t const max_per_vm =
                (workers.size() + vms.size() - 1) / vms.size();
            for (auto const& [vm, count] : load)
                RC_ASSERT(count <= max_per_vm);
            std::reverse(vms.begin(), vms.end());
            RC_ASSERT(assign_workers(workers, vms) == assigned);
        }));
    CHECK(assign_workers(ids<worker_id>("loglm-", 3), {}).empty());
}

// A worker that gets a new owner loads its adapters again under the owner's
// fencing number, which callers see as load stalls. When a VM leaves, few
// workers of other VMs may therefore get a new owner.
TEST_CASE("few workers of other VMs are reassigned when a VM leaves",
          "[placement]")
{
    auto const workers = ids<worker_id>("loglm-", 18);
    std::size_t moved = 0;
    constexpr std::size_t trials = 200;
    for (std::size_t trial = 0; trial < trials; ++trial)
    {
        auto vms = ids<vm_id>("vm-" + std::to_string(trial) + "-", 7);
        auto const before = assign_workers(workers, vms);
        vm_id const gone = vms.back();
        vms.pop_back();
        auto const after = assign_workers(workers, vms);
        for (auto const& [worker, vm] : before)
            moved += vm != gone && after.at(worker) != vm ? 1 : 0;
    }
    CHECK(moved < trials * 3 / 2);
}
