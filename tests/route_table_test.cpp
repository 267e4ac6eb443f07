#include "route_table.hpp"

#include <catch2/catch.hpp>

#include <map>

using namespace mulberry;

namespace
{

route make_route(std::string host, std::string prefix, std::string service)
{
    route made;
    made.host = std::move(host);
    made.prefix = std::move(prefix);
    made.services = {{service_id(std::move(service)), 1}};
    return made;
}

route_table make_table(std::vector<route> routes)
{
    auto config = std::make_shared<routing_config>();
    config->routes = std::move(routes);
    return route_table(std::move(config));
}

} // namespace

TEST_CASE("the route with the longest matching prefix of the host is found",
          "[route_table]")
{
    route_table const table =
        make_table({make_route("a.example", "/x/", "short"),
                    make_route("a.example", "/x/y/", "long"),
                    make_route("b.example", "/", "other")});
    CHECK(table.find("a.example", "/x/y/z")->services[0].service.str() ==
          "long");
    CHECK(table.find("a.example", "/x/z")->services[0].service.str() ==
          "short");
    CHECK(table.find("a.example", "/y/") == nullptr);
    CHECK(table.find("c.example", "/") == nullptr);
}

TEST_CASE("host comparison ignores case and port", "[route_table]")
{
    route_table const table = make_table({make_route("a.example", "/", "s")});
    CHECK(table.find("A.Example:8080", "/q") != nullptr);
}

TEST_CASE("a path must match the prefix up to its trailing slash",
          "[route_table]")
{
    route_table const table = make_table({make_route("a", "/x/", "s")});
    CHECK(table.find("a", "/x") == nullptr);
    CHECK(table.find("a", "/xy/") == nullptr);
}

TEST_CASE("services are chosen by weight", "[route_table]")
{
    route split = make_route("a", "/", "nine");
    split.services = {{service_id("nine"), 90}, {service_id("one"), 10}};
    std::map<std::string, int> drawn;
    for (int draw = 0; draw < 100; ++draw)
        ++drawn[route_table::choose_service(split, draw / 100.0).str()];
    CHECK(drawn["nine"] == 90);
    CHECK(drawn["one"] == 10);
}
