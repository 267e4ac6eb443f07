#include "key_history.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;

namespace
{

key_digest const key("ab12");
key_digest const like_it("ab34");

team made_team(std::string name, std::set<key_digest> keys)
{
    team made;
    made.name = team_id(std::move(name));
    made.keys = std::move(keys);
    return made;
}

routing_config version(std::uint64_t number, std::vector<team> teams)
{
    routing_config made;
    made.version = config_version(number);
    made.teams = std::move(teams);
    return made;
}

routing_config const before = version(3, {made_team("pits", {like_it})});
routing_config const first = version(5, {made_team("pits", {key, like_it})});
routing_config const second = version(6, {made_team("pits", {key})});
routing_config const without = version(9, {made_team("pits", {})});
routing_config const moved = version(8, {made_team("mills", {key})});

key_history told_by(std::vector<routing_config> versions)
{
    return known_configurations(std::move(versions)).history_of(key);
}

} // namespace

TEST_CASE("a key is a team's since the oldest version in a row that says so",
          "[key_history]")
{
    key_history const told = told_by({second, before, first});
    REQUIRE(told.in_force());
    CHECK(told.holder->name == team_id("pits"));
    CHECK(told.since == config_version(5));
    CHECK(told.not_yet == config_version(3));
    CHECK(told.until == config_version(6));
}

// Guards against a first version that is told as the key's beginning although
// nothing shows that the key was not older.
TEST_CASE("without an older version it is not told that a key is new",
          "[key_history]")
{
    CHECK(told_by({second}).since == config_version(6));
    CHECK(told_by({second}).not_yet.none());
    CHECK(told_by({first, second}).since == config_version(5));
    CHECK(told_by({first, second}).not_yet.none());
}

// Guards against a key that was taken away and given again being told as held
// all the time.
TEST_CASE("a gap and another team begin a key's time anew", "[key_history]")
{
    key_history const again =
        told_by({first, without, version(10, {made_team("pits", {key})})});
    CHECK(again.since == config_version(10));
    CHECK(again.not_yet == config_version(9));
    key_history const other = told_by({first, second, moved});
    CHECK(other.holder->name == team_id("mills"));
    CHECK(other.since == config_version(8));
    CHECK(other.not_yet == config_version(6));
}

// Guards against an operator who is told that a key which was taken away still
// works.
TEST_CASE("a key that was taken away is not in force", "[key_history]")
{
    key_history const gone =
        told_by({first, second, without, version(12, {made_team("pits", {})})});
    CHECK_FALSE(gone.in_force());
    CHECK(gone.holder->name == team_id("pits"));
    CHECK(gone.until == config_version(6));
    CHECK(gone.gone_by == config_version(9));
}

TEST_CASE("a key that no version has is no team's", "[key_history]")
{
    key_history const unknown = told_by({before, without});
    CHECK_FALSE(unknown.in_force());
    CHECK_FALSE(unknown.holder);
}

// Guards against another answer than the VMs', which take the first team.
TEST_CASE("a key of two teams is the one's whom requests run for",
          "[key_history]")
{
    key_history const told = told_by(
        {version(7, {made_team("pits", {key}), made_team("mills", {key})})});
    CHECK(told.holder->name == team_id("pits"));
}

TEST_CASE("keys are found by their first digits in every version",
          "[key_history]")
{
    known_configurations const all({second, before, without});
    CHECK(all.keys_beginning_with("ab") == std::set<key_digest>{key, like_it});
    CHECK(all.keys_beginning_with("ab12") == std::set<key_digest>{key});
    CHECK(all.keys_beginning_with("ab12f").empty());
    CHECK(all.newest() == without);
}
