#include "forwarder_selector.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

time_point const start{std::chrono::hours(1)};
domain_id const near("a");
domain_id const far("b");
vm_id const one("vm-1");
vm_id const two("vm-2");
vm_id const three("vm-3");

forwarder_selector three_vms()
{
    forwarder_selector selector(near);
    selector.set_vms({{one, far}, {two, near}, {three, far}});
    return selector;
}

} // namespace

// Guards against one VM that forwards the calls of all that are cut off.
TEST_CASE("calls are spread over the VMs that can forward them",
          "[forwarder_selector]")
{
    auto selector = three_vms();
    std::map<vm_id, int> calls;
    for (int number = 0; number < 30; ++number)
    {
        auto const vm = selector.choose({}, start);
        REQUIRE(vm);
        selector.on_started(*vm);
        ++calls[*vm];
    }
    CHECK(calls[one] == 10);
    CHECK(calls[two] == 10);
    CHECK(calls[three] == 10);
}

TEST_CASE("of equal VMs one in the same failure domain is chosen",
          "[forwarder_selector]")
{
    auto selector = three_vms();
    CHECK(selector.choose({}, start) == two);
    CHECK(selector.choose({two}, start) == one);
    CHECK_FALSE(selector.choose({one, two, three}, start));
}

TEST_CASE("a VM that refuses is not asked for a while", "[forwarder_selector]")
{
    auto selector = three_vms();
    selector.on_refused(two, forward_refusal::cut_off, start);
    selector.on_refused(one, forward_refusal::busy, start);
    CHECK(selector.choose({}, start) == three);
    CHECK(selector.choose({}, start + 150ms) == one);
    CHECK(selector.choose({}, start + 1s) == two);
    // What is known of a VM outlives a change of members.
    selector.on_refused(three, forward_refusal::unreachable, start);
    selector.set_vms({{three, near}});
    CHECK_FALSE(selector.can_forward(start));
}

// Guards against a VM that sends over its cut links since the others have not
// heard of a new worker yet.
TEST_CASE("a VM that does not know one worker is asked for others",
          "[forwarder_selector]")
{
    auto selector = three_vms();
    selector.on_refused(two, forward_refusal::unknown_worker, start);
    CHECK(selector.choose({}, start) == two);
    CHECK(selector.choose({two}, start) == one);
    for (vm_id const& each : {one, two, three})
        selector.on_refused(each, forward_refusal::unknown_worker, start);
    CHECK(selector.can_forward(start));
}

TEST_CASE("reasons of refusals are read back", "[forwarder_selector]")
{
    for (auto const reason :
         {forward_refusal::unreachable, forward_refusal::cut_off,
          forward_refusal::busy, forward_refusal::unavailable,
          forward_refusal::unknown_worker})
        CHECK(parse_forward_refusal(name_of(reason)) == reason);
    CHECK(parse_forward_refusal("") == forward_refusal::unavailable);
}
