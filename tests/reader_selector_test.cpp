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

/// Among so many VMs, all alike.
void set_members(reader_selector& selector, int count)
{
    std::vector<ranked_vm> vms;
    for (vm_id const& vm : names(count))
        vms.push_back({vm});
    selector.set_members(vms, vms.size());
}

/// How many VMs each reader serves; the store counts as an empty name.
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

// A hundred VMs of one failure domain start. Few of them ask the store; each
// of the others asks one of these few, none of which asks another VM.
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

TEST_CASE("of two VMs one reads the store, and one that is alone does",
          "[reader_choice]")
{
    std::map<vm_id, int> const of_two = served(2);
    CHECK(of_two.size() == 2);
    CHECK(of_two.at(vm_id()) == 1);
    CHECK(served(1) == std::map<vm_id, int>{{vm_id(), 1}});
}

// The reader is killed. The VM that it read for goes to the next one, to the
// store when none is left, and back to it once it answers again.
TEST_CASE("a reader that fails is passed over for a while", "[reader_choice]")
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

// Most VMs have an eighth of a core and a small link; what a reader sends to a
// dozen others would leave it nothing for its callers.
TEST_CASE("the VMs with the most processor read for the others",
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
        if (vm_id const reader = selector.choose(time_point(1s)); !reader.empty())
            asked.insert(reader);
    }
    CHECK(asked ==
          std::set<vm_id>{vm_id("vm-4"), vm_id("vm-20"), vm_id("vm-38")});
}

// A domain of many VMs has few that may read; all the others ask these.
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
