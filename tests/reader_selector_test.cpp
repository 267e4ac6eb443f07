#include "reader_selector.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <set>
#include <string>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

std::vector<vm_id> names(int count)
{
    std::vector<vm_id> vms;
    for (int number = 0; number < count; ++number)
        vms.emplace_back("vm-" + std::to_string(number));
    return vms;
}

/// Sets `count` members of equal rank.
void set_members(reader_selector& selector, int count)
{
    std::vector<ranked_vm> vms;
    for (vm_id const& vm : names(count))
        vms.push_back({vm});
    selector.set_members(vms, vms.size());
}

/// Number of VMs that each reader serves; the empty id stands for the store.
std::map<vm_id, int> served(int count)
{
    std::map<vm_id, int> result;
    for (vm_id const& vm : names(count))
    {
        reader_selector selector(vm);
        set_members(selector, count);
        ++result[selector.choose(time_point(1s))];
    }
    return result;
}

} // namespace

// Guards against a hundred VMs of one failure domain that all poll the store:
// few of them read the store, and each of the others asks one of these, none of
// which asks another VM.
TEST_CASE("few VMs read the store for the others", "[reader_choice]")
{
    std::map<vm_id, int> const counts = served(100);
    CHECK(counts.at(vm_id()) == 7);
    CHECK(counts.size() == 8);
    for (auto const& [reader, asked_by] : counts)
    {
        CHECK(asked_by < 30);
        if (reader.empty())
            continue;
        reader_selector selector(reader);
        set_members(selector, 100);
        CHECK(selector.choose(time_point(1s)).empty());
    }
}

TEST_CASE("one of two VMs reads the store, and a single VM does",
          "[reader_choice]")
{
    std::map<vm_id, int> const of_two = served(2);
    CHECK(of_two.size() == 2);
    CHECK(of_two.at(vm_id()) == 1);
    CHECK(served(1) == std::map<vm_id, int>{{vm_id(), 1}});
}

// A reader is killed. The VMs that it served ask the next reader, then the
// store if no reader is left, and the first reader again once it answers.
TEST_CASE("a reader that fails is skipped for a while", "[reader_choice]")
{
    time_point const now(10s);
    for (vm_id const& vm : names(32))
    {
        reader_selector selector(vm);
        set_members(selector, 32);
        vm_id const first = selector.choose(now);
        if (first.empty())
            continue;
        selector.failed(first, now);
        vm_id const second = selector.choose(now);
        CHECK(second != first);
        REQUIRE_FALSE(second.empty());
        selector.failed(second, now);
        CHECK(selector.choose(now).empty());
        CHECK(selector.choose(now + 1s) == first);
        selector.failed(first, now + 1s);
        CHECK(selector.choose(now + 2s) == second);
        CHECK(selector.choose(now + 3s) == first);
        selector.answered(first);
        selector.failed(first, now + 3s);
        CHECK(selector.choose(now + 4s) == first);
    }
}

// Most VMs have an eighth of a core and a small link; serving a dozen other VMs
// would leave a reader no capacity for its callers.
TEST_CASE("the VMs with the most CPU read the store for the others",
          "[reader_choice]")
{
    std::vector<ranked_vm> vms;
    for (vm_id const& vm : names(39))
        vms.push_back({vm, 120});
    for (int large : {4, 20, 38})
        vms.at(static_cast<std::size_t>(large)).millicores = 500;
    std::set<vm_id> asked;
    for (ranked_vm const& each : vms)
    {
        reader_selector selector(each.vm);
        selector.set_members(vms, vms.size());
        if (vm_id const reader = selector.choose(time_point(1s));
            !reader.empty())
            asked.insert(reader);
    }
    CHECK(asked ==
          std::set<vm_id>{vm_id("vm-4"), vm_id("vm-20"), vm_id("vm-38")});
}

// In a domain of many VMs only few are candidates; all other VMs ask these.
TEST_CASE("only candidates read for others", "[reader_choice]")
{
    std::vector<ranked_vm> const candidates{{vm_id("vm-1")}, {vm_id("vm-2")}};
    for (vm_id const& vm : names(60))
    {
        reader_selector selector(vm);
        selector.set_members(candidates, 60);
        vm_id const reader = selector.choose(time_point(1s));
        bool const reads = vm == vm_id("vm-1") || vm == vm_id("vm-2");
        CHECK(selector.uses_reader() == !reads);
        CHECK(reader.empty() == reads);
    }
}
