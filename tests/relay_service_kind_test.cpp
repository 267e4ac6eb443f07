// Services that a configuration turns into an engine or into a plain service.
#include "peer_grant_request.hpp"
#include "relay.hpp"
#include "relay_callers.hpp"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace mulberry;
using namespace mulberry_test;
using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::seconds test_timeout{10};
base_model_id const model{"m"};

/// Each request is for an adapter.
class adapter_codec final : public plain_codec
{
public:
    relay_request decode_request(http_request received) const override
    {
        relay_request request =
            plain_codec::decode_request(std::move(received));
        request.model = model_target{model, adapter_id("a")};
        return request;
    }
    std::string encode_head(relay_request const& request,
                            forward_options const&) const override
    {
        return "GET " + request.path + " HTTP/1.1\r\nHost: worker\r\n\r\n";
    }
    worker_reply decode_reply(int status, http_headers const&,
                              relay_request const&) const override
    {
        worker_reply reply;
        reply.status = status;
        reply.sealed = true;
        return reply;
    }
};

/// A relay, a worker that another VM owns, and that VM, which grants nothing.
struct changing_relay
{
    changing_relay()
        : owner(shared(io),
                [this](http_request const& request,
                       std::shared_ptr<http_answer> answer)
                {
                    auto const call = decode_peer_call(request.body, vm.now());
                    asked += call && call->ask;
                    open.push_back(std::move(answer));
                }),
          worker(
              shared(io),
              [this](http_request const&, std::shared_ptr<http_answer> answer)
              {
                  ++ran;
                  answer->respond({200, {}, "done"});
              }),
          vm(io, codec, options(), log)
    {
        backend_entry entry;
        entry.id = worker_id("w");
        entry.service = service_id("s");
        entry.address = "127.0.0.1";
        entry.port = worker.port();
        entry.slots = 8;
        entry.models.push_back({model, {}, weights_version(1)});
        vm.set_backends({entry});
        member_view other;
        other.vm = vm_id("other");
        other.address = "127.0.0.1:" + std::to_string(owner.port());
        vm.set_members({other}, true);
        vm.set_owners({{entry.id, other.vm}});
    }
    static http_server_options shared(asio::io_context& io)
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
    void configure(bool is_engine)
    {
        routing_config config;
        config.version = config_version(++version);
        route only;
        only.name = "only";
        only.host = "host";
        only.prefix = "/a/";
        only.timeout = 30s;
        only.latency_objective = 1s;
        only.services = {{service_id("s"), 1}};
        config.routes.push_back(only);
        service_config service;
        service.name = service_id("s");
        if (is_engine)
        {
            service.engine.emplace();
            service.engine->batch_slots = 8;
            service.engine->adapter_slots = 4;
            service.engine->models.push_back({model, 10, 1s, 0, 0});
        }
        config.services.emplace(service.name, service);
        vm.set_config(std::make_shared<routing_config const>(config));
    }
    std::shared_ptr<recorded_answer> send()
    {
        auto answer = std::make_shared<recorded_answer>();
        http_request request;
        request.path = "/a/x";
        vm.handle(std::move(request), answer);
        return answer;
    }
    template <class Condition>
    bool run_until(Condition const& holds)
    {
        auto const limit = std::chrono::steady_clock::now() + test_timeout;
        while (!holds() && std::chrono::steady_clock::now() < limit)
            io.run_one_for(10ms);
        return holds();
    }

    asio::io_context io{1};
    adapter_codec codec;
    event_log log{"test", 1000,
                  [](log_level, std::string_view, std::string_view,
                     std::string const&) {}};
    int asked = 0;
    int ran = 0;
    std::uint64_t version = 0;
    std::vector<std::shared_ptr<http_answer>> open;
    http_server owner;
    http_server worker;
    relay vm;
};

} // namespace

// Guards against sending requests to an engine worker without their adapter,
// because the service was a plain one when the VM started.
TEST_CASE("requests of a service that becomes an engine ask the owner",
          "[relay_service_kind]")
{
    changing_relay world;
    world.configure(false);
    auto const first = world.send();
    REQUIRE(world.run_until([&] { return first->response.has_value(); }));
    CHECK(world.ran == 1);
    world.configure(true);
    world.send();
    CHECK(world.run_until([&] { return world.asked > 0; }));
    CHECK(world.ran == 1);
}

// Guards against refusing the requests of a plain service for want of an
// adapter, because the service was an engine when the VM started.
TEST_CASE("requests of a service that ceases to be an engine are served",
          "[relay_service_kind]")
{
    changing_relay world;
    world.configure(true);
    world.send();
    REQUIRE(world.run_until([&] { return world.asked > 0; }));
    world.configure(false);
    auto const answer = world.send();
    REQUIRE(world.run_until([&] { return answer->response.has_value(); }));
    CHECK(answer->response->status == 200);
}

// Guards against a request that no worker of the new kind of service is chosen
// for.
TEST_CASE("a request that waits for a grant outlives the change to a plain "
          "service",
          "[relay_service_kind]")
{
    changing_relay world;
    world.configure(true);
    auto const waiting = world.send();
    REQUIRE(world.run_until([&] { return world.asked > 0; }));
    world.configure(false);
    world.open.front()->respond({200, {}, {}});
    REQUIRE(world.run_until([&] { return waiting->response.has_value(); }));
    CHECK(waiting->response->status == 200);
}
