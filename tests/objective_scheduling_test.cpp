#include "objective_scheduling.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;
using std::chrono::milliseconds;

namespace
{

service_id const engine("engine");
service_id const plain("plain");

route to(service_id const& service, int rank, milliseconds objective)
{
    route made;
    made.services = {{service, 1}};
    made.priority = rank;
    made.latency_objective = objective;
    return made;
}

routing_config config_of(std::vector<route> routes)
{
    routing_config config;
    config.routes = std::move(routes);
    config.services[engine].engine = engine_limits();
    config.services[plain];
    return config;
}

} // namespace

TEST_CASE("objectives decide where more urgent routes have shorter ones")
{
    routing_config const follows = config_of(
        {to(engine, 0, milliseconds(500)), to(engine, 1, milliseconds(1000)),
         to(engine, 2, milliseconds(1000))});
    CHECK(ranks_follow_objectives(follows, engine));
    CHECK_FALSE(ranks_follow_objectives(follows, plain));
    CHECK(limits_by_objective(objective_mode::automatic, follows));
    CHECK_FALSE(uses_objectives(objective_mode::off, follows, engine));
}

TEST_CASE("a less urgent route with a shorter objective is not preferred")
{
    routing_config const against = config_of(
        {to(engine, 0, milliseconds(1000)), to(engine, 1, milliseconds(600)),
         to(engine, 2, milliseconds(800))});
    CHECK_FALSE(ranks_follow_objectives(against, engine));
    CHECK_FALSE(uses_objectives(objective_mode::automatic, against, engine));
    CHECK(uses_objectives(objective_mode::on, against, engine));
    CHECK_FALSE(uses_objectives(objective_mode::on, against, plain));
}

TEST_CASE("routes of one rank, and routes to other services, do not switch")
{
    routing_config const one = config_of({to(engine, 0, milliseconds(500)),
                                          to(engine, 0, milliseconds(900)),
                                          to(plain, 2, milliseconds(300))});
    CHECK_FALSE(ranks_follow_objectives(one, engine));
    CHECK_FALSE(limits_by_objective(objective_mode::automatic, one));
}

TEST_CASE(
    "plain services go by their shortest objective beside engines that do")
{
    routing_config config = config_of(
        {to(engine, 0, milliseconds(500)), to(engine, 1, milliseconds(1000)),
         to(plain, 2, milliseconds(300)), to(plain, 2, milliseconds(200))});
    CHECK(delay_objective(objective_mode::automatic, config, plain) ==
          duration(milliseconds(200)));
    CHECK_FALSE(delay_objective(objective_mode::automatic, config, engine));
    CHECK_FALSE(delay_objective(objective_mode::off, config, plain));
    config.routes[1].latency_objective = milliseconds(100);
    CHECK_FALSE(delay_objective(objective_mode::automatic, config, plain));
    CHECK(delay_objective(objective_mode::on, config, plain));
}

TEST_CASE("names of the mode are read exactly")
{
    CHECK(parse_objective_mode("auto") == objective_mode::automatic);
    CHECK(parse_objective_mode("on") == objective_mode::on);
    CHECK(parse_objective_mode("off") == objective_mode::off);
    CHECK_FALSE(parse_objective_mode("On").has_value());
}
