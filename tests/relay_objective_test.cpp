// The objective by which a relay schedules a request.
#include "peer_grant_request.hpp"
#include "relay.hpp"
#include "relay_callers.hpp"

#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace mulberry;
using namespace mulberry_test;
using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::seconds test_timeout{20};
base_model_id const model{"m"};

/// Each request is for an adapter. Its caller has `time_left`: a tenth of its
/// route's timeout, unless a test sets another one.
class late_caller_codec final : public plain_codec
{
public:
    relay_request decode_request(http_request received) const override
    {
        relay_request request =
            plain_codec::decode_request(std::move(received));
        request.model = model_target{model, adapter_id("a")};
        request.time_left = time_left;
        return request;
    }
    std::chrono::seconds time_left{3};
};

route route_to(std::string const& service, int priority, duration objective)
{
    route made;
    made.name = service + std::to_string(priority);
    made.host = "host";
    made.prefix = "/" + service + "/" + std::to_string(priority) + "/";
    made.timeout = 30s;
    made.latency_objective = objective;
    made.priority = priority;
    made.services = {{service_id(service), 1}};
    return made;
}

/// A relay that must ask another VM for each request. The service "ranked" is
/// scheduled by objective, "single" is not, since its routes have one rank.
struct asking_relay
{
    asking_relay()
        : owner(owner_options(io),
                [this](http_request const& request,
                       std::shared_ptr<http_answer> answer)
                {
                    if (auto const call =
                            decode_peer_call(request.body, vm.now());
                        call && call->ask)
                        asked.push_back(*call->ask);
                    open.push_back(std::move(answer));
                }),
          vm(io, codec, options(), log)
    {
        routing_config config;
        config.version = config_version(1);
        config.routes = {route_to("ranked", 0, 1s), route_to("ranked", 1, 2s),
                         route_to("single", 0, 1s)};
        std::vector<backend_entry> workers;
        std::map<worker_id, vm_id> owners;
        for (char const* const name : {"ranked", "single"})
        {
            service_config service;
            service.name = service_id(name);
            service.engine.emplace();
            service.engine->batch_slots = 8;
            service.engine->adapter_slots = 4;
            service.engine->models.push_back({model, 10, 1s, 0, 0});
            config.services.emplace(service.name, service);
            backend_entry entry;
            entry.id = worker_id(std::string("w-") + name);
            entry.service = service.name;
            entry.address = "127.0.0.1";
            entry.port = 9;
            entry.slots = 8;
            entry.models.push_back({model, {}, weights_version(1)});
            owners.emplace(entry.id, vm_id("other"));
            workers.push_back(entry);
        }
        vm.set_config(std::make_shared<routing_config const>(config));
        vm.set_backends(workers);
        member_view other;
        other.vm = vm_id("other");
        other.address = "127.0.0.1:" + std::to_string(owner.port());
        vm.set_members({other}, true);
        vm.set_owners(owners);
    }
    static http_server_options owner_options(asio::io_context& io)
    {
        http_server_options options;
        options.shared_io = &io;
        return options;
    }
    static relay_options options()
    {
        relay_options options;
        options.vm = vm_id("vm");
        return options;
    }
    /// Returns the time that the owner is told to be left until the objective.
    std::optional<duration> objective_left(std::string const& path)
    {
        asked.clear();
        http_request request;
        request.path = path;
        vm.handle(std::move(request), std::make_shared<recorded_answer>());
        auto const limit = std::chrono::steady_clock::now() + test_timeout;
        while (asked.empty() && std::chrono::steady_clock::now() < limit)
            io.run_one_for(10ms);
        REQUIRE(!asked.empty());
        return asked.front().objective_left;
    }

    asio::io_context io{1};
    late_caller_codec codec;
    event_log log{"test", 1000,
                  [](log_level, std::string_view, std::string_view,
                     std::string const&) {}};
    std::vector<peer_grant_request> asked;
    std::vector<std::shared_ptr<http_answer>> open;
    http_server owner;
    relay vm;
};

} // namespace

// Guards against other placements at a service that is not scheduled by
// objective, because another service of the configuration is.
TEST_CASE("a caller's return counts only where objectives do",
          "[relay_objective]")
{
    asking_relay relay;
    CHECK(relay.objective_left("/ranked/0/x") == duration(0));
    CHECK(relay.objective_left("/single/0/x").value_or(duration(0)) >
          duration(0));
}

// Guards against taking a caller that returns for a new one, where callers wait
// for longer than the route's timeout: it has more than that left.
TEST_CASE("a return is recognized by the route's usual deadline",
          "[relay_objective]")
{
    asking_relay relay;
    relay.codec.time_left = 60s;
    for (int call = 0; call < 16; ++call)
        CHECK(relay.objective_left("/ranked/0/x").value_or(duration(0)) >
              duration(0));
    relay.codec.time_left = 40s;
    CHECK(relay.objective_left("/ranked/0/x") == duration(0));
    CHECK(relay.objective_left("/ranked/1/x").value_or(duration(0)) >
          duration(0));
}
