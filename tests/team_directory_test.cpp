#include "team_directory.hpp"

#include "route_table.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

time_point const start{100s};
key_digest const known_key("known");
key_digest const other_key("other");
key_digest const no_key("none");

key_bounds bounds()
{
    key_bounds made;
    made.revocation = 5000ms;
    made.unknown_key_max_age = 1500ms;
    return made;
}

team_directory directory()
{
    auto config = std::make_shared<routing_config>();
    config->teams = {{team_id("pits"), {known_key}, 1, std::nullopt},
                     {team_id("mills"), {other_key}, 0, std::nullopt}};
    return team_directory(std::move(config));
}

error_kind error_kind_of(access_decision const& decision)
{
    auto const* why = std::get_if<error>(&decision);
    return why == nullptr ? error_kind::internal : why->kind();
}

team_id holder_name(access_decision const& decision)
{
    auto const* granted = std::get_if<access_granted>(&decision);
    return granted == nullptr || granted->holder == nullptr
               ? team_id()
               : granted->holder->name;
}

declarations_known known_since(duration proven, duration shown = 0ms)
{
    return {start - proven, start - shown};
}

} // namespace

TEST_CASE("a key identifies its team", "[team_directory]")
{
    auto const teams = directory();
    CHECK(holder_name(teams.decide({}, known_key, known_since(0ms), bounds(),
                                   start)) == team_id("pits"));
    CHECK(error_kind_of(teams.decide({}, no_key, known_since(0ms), bounds(),
                                     start)) == error_kind::unauthorized);
    CHECK(error_kind_of(teams.decide({}, std::nullopt, known_since(0ms),
                                     bounds(), start)) ==
          error_kind::unauthorized);
}

TEST_CASE("open routes and configurations without teams need no key",
          "[team_directory]")
{
    route open;
    open.allows_anonymous = true;
    auto const teams = directory();
    CHECK(holder_name(teams.decide(open, known_key, known_since(1h), bounds(),
                                   start)) == team_id());
    CHECK(error_kind_of(teams.decide(open, std::nullopt, known_since(1h),
                                     bounds(), start)) == error_kind::internal);
    team_directory const none(std::make_shared<routing_config>());
    CHECK(error_kind_of(none.decide({}, no_key, known_since(1h), bounds(),
                                    start)) == error_kind::internal);
}

// Guards against a VM partitioned from the store that accepts a key after its
// revocation.
TEST_CASE("a key is accepted only while the declarations are younger than the "
          "bound",
          "[team_directory]")
{
    auto const teams = directory();
    CHECK(holder_name(teams.decide({}, known_key, known_since(4700ms, 4700ms),
                                   bounds(), start)) == team_id("pits"));
    auto const late =
        teams.decide({}, known_key, known_since(4800ms, 0ms), bounds(), start);
    CHECK(error_kind_of(late) == error_kind::configuration_stale);
    CHECK(std::get<error>(late).request_ran() == ran::no);
    CHECK(std::get<error>(late).retry_after());
    CHECK(holder_name(teams.decide({}, known_key, known_since(1h), key_bounds{},
                                   start)) == team_id("pits"));
}

// Guards against rejecting a new key at a VM that has not received it yet.
TEST_CASE("a VM with outdated declarations does not reject unknown keys",
          "[team_directory]")
{
    auto const teams = directory();
    CHECK(error_kind_of(teams.decide({}, no_key, known_since(2s, 1600ms),
                                     bounds(), start)) ==
          error_kind::configuration_stale);
    CHECK(error_kind_of(teams.decide({}, no_key, known_since(2s, 1400ms),
                                     bounds(), start)) ==
          error_kind::unauthorized);
}

TEST_CASE("the team's priority is compared before the route's",
          "[team_directory]")
{
    auto config = std::make_shared<routing_config>();
    for (int const priority : {0, 1, 2})
    {
        route each;
        each.priority = priority;
        config->routes.push_back(each);
    }
    config->teams = {{team_id("urgent"), {}, 1, std::nullopt},
                     {team_id("patient"), {}, 4, std::nullopt}};
    route_table const table(config);
    team const& urgent = config->teams[0];
    team const& patient = config->teams[1];
    CHECK(table.effective_priority(config->routes[2], &urgent) <
          table.effective_priority(config->routes[0], &patient));
    CHECK(table.effective_priority(config->routes[0], &patient) <
          table.effective_priority(config->routes[1], &patient));
    CHECK(table.effective_priority(config->routes[2], &patient) == 5);
    CHECK(table.effective_priority(config->routes[1], nullptr) == 1);
}
