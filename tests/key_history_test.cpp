#include "key_history.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;

namespace
{

key_digest const key("ab12");
key_digest const similar_key("ab34");

team make_team(std::string name, std::set<key_digest> keys)
{
    team result;
    result.name = team_id(std::move(name));
    result.keys = std::move(keys);
    return result;
}

routing_config version(std::uint64_t number, std::vector<team> teams)
{
    routing_config result;
    result.version = config_version(number);
    result.teams = std::move(teams);
    return result;
}

routing_config const before = version(3, {make_team("pits", {similar_key})});
routing_config const first =
    version(5, {make_team("pits", {key, similar_key})});
routing_config const second = version(6, {make_team("pits", {key})});
routing_config const without = version(9, {make_team("pits", {})});
routing_config const moved = version(8, {make_team("mills", {key})});

key_history history_in(std::vector<routing_config> versions)
{
    return configuration_versions(std::move(versions)).history_of(key);
}

} // namespace

TEST_CASE("a key is held since the oldest version of an unbroken run",
          "[key_history]")
{
    key_history const history = history_in({second, before, first});
    REQUIRE(history.in_force());
    CHECK(history.holder->name == team_id("pits"));
    CHECK(history.since == config_version(5));
    CHECK(history.absent_in == config_version(3));
    CHECK(history.until == config_version(6));
}

// Guards against reporting the oldest known version as the one in which the key
// was added, although no older version shows that the key was absent.
TEST_CASE("without an older version a key is not reported as new",
          "[key_history]")
{
    CHECK(history_in({second}).since == config_version(6));
    CHECK(history_in({second}).absent_in.none());
    CHECK(history_in({first, second}).since == config_version(5));
    CHECK(history_in({first, second}).absent_in.none());
}

// Guards against reporting a key that was removed and added again as held
// without a gap.
TEST_CASE("a gap or another team restarts the time a key is held",
          "[key_history]")
{
    key_history const again =
        history_in({first, without, version(10, {make_team("pits", {key})})});
    CHECK(again.since == config_version(10));
    CHECK(again.absent_in == config_version(9));
    key_history const other = history_in({first, second, moved});
    CHECK(other.holder->name == team_id("mills"));
    CHECK(other.since == config_version(8));
    CHECK(other.absent_in == config_version(6));
}

// Guards against telling an operator that a removed key still works.
TEST_CASE("a removed key is not in force", "[key_history]")
{
    key_history const gone = history_in(
        {first, second, without, version(12, {make_team("pits", {})})});
    CHECK_FALSE(gone.in_force());
    CHECK(gone.holder->name == team_id("pits"));
    CHECK(gone.until == config_version(6));
    CHECK(gone.removed_in == config_version(9));
}

TEST_CASE("a key that no version has is held by no team", "[key_history]")
{
    key_history const unknown = history_in({before, without});
    CHECK_FALSE(unknown.in_force());
    CHECK_FALSE(unknown.holder);
}

// Guards against an answer that differs from that of the VMs, which use the
// first team with the key.
TEST_CASE("a key of two teams is held by the first of them", "[key_history]")
{
    key_history const history = history_in(
        {version(7, {make_team("pits", {key}), make_team("mills", {key})})});
    CHECK(history.holder->name == team_id("pits"));
}

TEST_CASE("keys are found by their first digits in all versions",
          "[key_history]")
{
    configuration_versions const all({second, before, without});
    CHECK(all.keys_with_prefix("ab") == std::set<key_digest>{key, similar_key});
    CHECK(all.keys_with_prefix("ab12") == std::set<key_digest>{key});
    CHECK(all.keys_with_prefix("ab12f").empty());
    CHECK(all.newest() == without);
}
