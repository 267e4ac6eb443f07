// Requests that arrive at a VM that has just started.
#include "relay.hpp"
#include "relay_callers.hpp"

#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <string>

using namespace mulberry;
using namespace mulberry_test;
using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::seconds answer_timeout{20};

/// A VM whose only route leads to a service without workers. Once configured,
/// it rejects requests because no worker can serve them.
struct starting_vm
{
    explicit starting_vm(duration max_hold)
        : vm(io, codec, options(max_hold), log)
    {
    }

    static relay_options options(duration max_hold)
    {
        relay_options options;
        options.vm = vm_id("vm");
        options.start.max_hold = max_hold;
        return options;
    }
    std::shared_ptr<recorded_answer> send_request()
    {
        auto const answer = std::make_shared<recorded_answer>();
        http_request request;
        request.path = "/a/1";
        vm.handle(std::move(request), answer);
        return answer;
    }
    void configure()
    {
        routing_config config;
        config.version = config_version(1);
        route only;
        only.name = "only";
        only.host = "host";
        only.prefix = "/a/";
        only.timeout = 30s;
        only.services = {{service_id("s"), 1}};
        config.routes.push_back(only);
        service_config service;
        service.name = service_id("s");
        config.services.emplace(service.name, service);
        vm.set_config(std::make_shared<routing_config const>(config));
        vm.set_backends({});
    }
    bool run_until_answered(recorded_answer const& answer)
    {
        auto const limit = std::chrono::steady_clock::now() + answer_timeout;
        while (!answer.response && std::chrono::steady_clock::now() < limit)
            io.run_one_for(10ms);
        return answer.response.has_value();
    }

    asio::io_context io{1};
    plain_codec codec;
    event_log log{"test", 1000,
                  [](log_level, std::string_view, std::string_view,
                     std::string const&) {}};
    relay vm;
};

} // namespace

// Guards against rejecting requests that arrive shortly before the
// configuration is read: they are held and decided on by the configuration.
TEST_CASE("a request that arrives before the configuration waits for it",
          "[relay_start]")
{
    starting_vm vm_under_test(60s);
    auto const answer = vm_under_test.send_request();
    vm_under_test.io.poll();
    CHECK_FALSE(answer->response);
    vm_under_test.configure();
    REQUIRE(vm_under_test.run_until_answered(*answer));
    CHECK(answer->response->body == "no worker can serve it here");
}

TEST_CASE("a VM that stays unconfigured rejects requests at once",
          "[relay_start]")
{
    starting_vm vm_under_test(0s);
    auto const answer = vm_under_test.send_request();
    REQUIRE(answer->response);
    CHECK(answer->response->status == 503);
    CHECK(answer->response->body == "no configuration is known yet");
    CHECK(std::stod(answer->response->headers.find("Retry-After").value()) >=
          0.8);
}

// Guards against relaying a held request whose caller has disconnected.
TEST_CASE("a held request is dropped when its caller disconnects",
          "[relay_start]")
{
    starting_vm vm_under_test(60s);
    auto const answer = vm_under_test.send_request();
    answer->closed();
    vm_under_test.configure();
    vm_under_test.io.poll();
    CHECK_FALSE(answer->response);
    CHECK(vm_under_test.vm.counts().caller_gone == 1);
    CHECK(vm_under_test.vm.in_progress() == 0);
}

// Guards against a VM that stops while it holds a request, and closes the
// request's connection without an answer.
TEST_CASE("a held request is rejected when its VM leaves", "[relay_start]")
{
    starting_vm vm_under_test(60s);
    auto const answer = vm_under_test.send_request();
    vm_under_test.io.poll();
    CHECK(vm_under_test.vm.in_progress() == 1);
    vm_under_test.vm.reject_new_requests();
    vm_under_test.io.poll();
    REQUIRE(answer->response);
    CHECK(answer->response->status == 503);
    CHECK(vm_under_test.vm.in_progress() == 0);
}
