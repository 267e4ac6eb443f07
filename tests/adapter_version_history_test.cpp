#include "adapter_version_history.hpp"

#include <catch2/catch.hpp>

namespace mulberry
{
namespace
{

using namespace std::chrono_literals;

model_target const target{base_model_id("base"), adapter_id("a1")};
constexpr time_point start{1h};

declared_version learned(std::uint64_t version, duration after)
{
    return {adapter_version(version), start + after, start + after + 1s};
}

} // namespace

TEST_CASE("an adapter without a declared version has no newest version",
          "[adapter_releases]")
{
    adapter_version_history const releases;
    CHECK(releases.newest(target) == adapter_version());
    CHECK(releases.newest_learned_at(target) == never);
    CHECK(releases.superseded_at(target, adapter_version(1)) == never);
}

TEST_CASE("a version that arrives late does not replace a newer one",
          "[adapter_releases]")
{
    adapter_version_history releases;
    CHECK(releases.declare(target, learned(3, 0s)));
    CHECK_FALSE(releases.declare(target, learned(2, 1s)));
    CHECK_FALSE(releases.declare(target, learned(3, 1s)));
    CHECK(releases.newest(target) == adapter_version(3));
    CHECK(releases.newest_learned_at(target) == start);
}

TEST_CASE("a copy is replaced by the first newer version", "[adapter_releases]")
{
    adapter_version_history releases;
    releases.declare(target, learned(2, 0s));
    releases.declare(target, learned(5, 4s));
    CHECK(releases.superseded_at(target, adapter_version(1)) == start);
    CHECK(releases.superseded_at(target, adapter_version(2)) == start + 4s);
    CHECK(releases.superseded_at(target, adapter_version(5)) == never);
}

TEST_CASE("each version sets its own deadline for older versions",
          "[adapter_releases]")
{
    adapter_version_history releases;
    releases.declare(target, learned(2, 0s));
    releases.declare(target, learned(3, 900ms));
    CHECK(releases.oldest_allowed(target, start + 999ms) == adapter_version());
    CHECK(releases.oldest_allowed(target, start + 1s) == adapter_version(2));
    CHECK(releases.oldest_allowed(target, start + 1899ms) ==
          adapter_version(2));
    CHECK(releases.oldest_allowed(target, start + 1900ms) ==
          adapter_version(3));
}

// Guards against a deadline that is lost when many versions follow.
TEST_CASE("a deadline is unaffected by later versions", "[adapter_releases]")
{
    adapter_version_history releases;
    std::uint64_t version = 1;
    for (duration after{}; after < 3s; after += 20ms)
    {
        releases.declare(target, learned(++version, after));
        CHECK(releases.newest(target) == adapter_version(version));
        bool const used_up = after >= 1s;
        adapter_version const oldest =
            releases.oldest_allowed(target, start + after);
        CHECK((oldest > adapter_version(1)) == used_up);
    }
    // Versions that share a deadline differ by a few steps at most.
    CHECK(releases.oldest_allowed(target, start + 3s) >= adapter_version(50));
}

} // namespace mulberry
