// What callers see of a VM that has just started.
#include "relay.hpp"

#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <string>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::seconds generous_wait{20};

/// Requests are their paths; nothing reaches a worker.
class plain_codec final : public relay_codec
{
public:
    relay_request decode_request(http_request received) const override
    {
        relay_request request;
        request.host = "host";
        request.path = received.path;
        request.time_left = 40s;
        return request;
    }
    std::string encode_request(relay_request const&,
                               send_terms const&) const override
    {
        return {};
    }
    worker_reply decode_reply(int, http_headers const&,
                              relay_request const&) const override
    {
        return {};
    }
    http_headers answer_headers(http_headers const& received) const override
    {
        return received;
    }
    http_response error_response(relay_request const&,
                                 error const& problem) const override
    {
        http_response response{503, {}, problem.text()};
        response.headers.add(
            "Retry-After",
            std::to_string(std::chrono::duration<double>(
                               problem.retry_after().value_or(duration(0)))
                               .count()));
        return response;
    }
    std::string encode_order(worker_order const&) const override { return {}; }
    order_outcome decode_order_reply(int) const override
    {
        return order_outcome::unknown;
    }
    std::string encode_report_request() const override { return {}; }
    std::optional<worker_report>
    decode_report(std::string const&) const override
    {
        return std::nullopt;
    }
    std::optional<routing_config> decode_config(std::string const&,
                                                std::string&) const override
    {
        return std::nullopt;
    }
    std::optional<backend_entry> decode_backend(std::string const&,
                                                std::string const&,
                                                std::string&) const override
    {
        return std::nullopt;
    }
    std::optional<adapter_release> decode_release(std::string const&,
                                                  std::string&) const override
    {
        return std::nullopt;
    }
    bool is_ready_question(http_request const&) const override { return false; }
};

struct recorded_answer final : http_answer
{
    void respond(http_response given) override { response = std::move(given); }
    void start_stream(int, http_headers) override {}
    void write(std::string) override {}
    void finish() override {}
    void abort() override {}
    void on_closed(std::function<void()> callback) override
    {
        closed = std::move(callback);
    }
    std::size_t unsent_bytes() const override { return 0; }

    std::optional<http_response> response;
    std::function<void()> closed;
};

/// A VM whose route leads to a service without workers: once it knows that, it
/// says so.
struct starting_vm
{
    explicit starting_vm(duration longest_hold)
        : vm(io, codec, options(longest_hold), log)
    {
    }

    static relay_options options(duration longest_hold)
    {
        relay_options options;
        options.vm = vm_id("vm");
        options.start.longest_hold = longest_hold;
        return options;
    }
    std::shared_ptr<recorded_answer> ask()
    {
        auto const answer = std::make_shared<recorded_answer>();
        http_request request;
        request.path = "/a/1";
        vm.handle(std::move(request), answer);
        return answer;
    }
    void learn()
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
    bool until_answered(recorded_answer const& answer)
    {
        auto const limit = std::chrono::steady_clock::now() + generous_wait;
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

// A request arrives a moment before the configuration is read. It is decided on
// by what the configuration says, not turned away for want of one.
TEST_CASE("a request that comes before the configuration waits for it",
          "[relay_start]")
{
    starting_vm world(60s);
    auto const answer = world.ask();
    world.io.poll();
    CHECK_FALSE(answer->response);
    world.learn();
    REQUIRE(world.until_answered(*answer));
    CHECK(answer->response->body == "no worker can serve it here");
}

TEST_CASE("a VM that knows nothing for long turns requests away at once",
          "[relay_start]")
{
    starting_vm world(0s);
    auto const answer = world.ask();
    REQUIRE(answer->response);
    CHECK(answer->response->status == 503);
    CHECK(answer->response->body == "no configuration is known yet");
    CHECK(std::stod(answer->response->headers.find("Retry-After").value()) >=
          0.8);
}

// The caller leaves while its request is kept: no worker is to see it.
TEST_CASE("a request whose caller has left is not decided on", "[relay_start]")
{
    starting_vm world(60s);
    auto const answer = world.ask();
    answer->closed();
    world.learn();
    world.io.poll();
    CHECK_FALSE(answer->response);
    CHECK(world.vm.counts().caller_gone == 1);
    CHECK(world.vm.in_progress() == 0);
}
