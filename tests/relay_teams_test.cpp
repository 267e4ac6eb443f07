// Tests of key checks for requests that wait in a relay.
#include "relay.hpp"
#include "relay_callers.hpp"
#include "team_key.hpp"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace mulberry;
using namespace mulberry_test;
using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::seconds test_timeout{20};

/// Reads the caller's key and sends the request's path and team to the worker.
class keyed_codec final : public plain_codec
{
public:
    relay_request decode_request(http_request received) const override
    {
        auto const key = caller_key(received.headers);
        relay_request request =
            plain_codec::decode_request(std::move(received));
        request.key = key;
        return request;
    }
    std::string encode_head(relay_request const& request,
                            forward_options const& terms) const override
    {
        return "GET " + request.path + "/" + terms.team.value().str() +
               " HTTP/1.1\r\nHost: worker\r\n\r\n";
    }
    worker_reply decode_reply(int status, http_headers const&,
                              relay_request const&) const override
    {
        worker_reply reply;
        reply.status = status;
        reply.sealed = true;
        return reply;
    }
    http_response error_response(relay_request const&,
                                 error const& problem) const override
    {
        return {answer_of(problem.kind()).http_status, {}, problem.text()};
    }
};

/// A relay with one worker, which runs one request at a time and answers when
/// the test calls finish_first().
struct busy_relay
{
    busy_relay()
        : worker(worker_options(io),
                 [this](http_request const& request,
                        std::shared_ptr<http_answer> answer)
                 {
                     ran.push_back(request.path);
                     running.push_back(std::move(answer));
                 }),
          vm(io, codec, options(), log)
    {
        configure(1, {"k-one", "k-two"});
        backend_entry entry;
        entry.id = worker_id("w");
        entry.service = service_id("s");
        entry.address = "127.0.0.1";
        entry.port = worker.port();
        entry.slots = 1;
        vm.set_backends({entry});
    }
    static http_server_options worker_options(asio::io_context& io)
    {
        http_server_options options;
        options.shared_io = &io;
        return options;
    }
    relay_options options()
    {
        relay_options options;
        options.vm = vm_id("vm");
        options.keys.revocation = 5000ms;
        options.declarations_as_of = [this]
        {
            time_point const now = vm.now();
            return declarations_known{now - declarations_age, now};
        };
        return options;
    }
    void configure(routing_config const& config)
    {
        vm.set_config(std::make_shared<routing_config const>(config));
    }
    void configure(std::uint64_t version, std::vector<std::string> const& keys)
    {
        configure(config_of(version, keys));
    }
    static routing_config config_of(std::uint64_t version,
                                    std::vector<std::string> const& keys)
    {
        routing_config config;
        config.version = config_version(version);
        route only;
        only.host = "host";
        only.prefix = "/a/";
        only.timeout = 30s;
        only.repeats = repeat_rule::once;
        only.services = {{service_id("s"), 1}};
        config.routes.push_back(only);
        service_config service;
        service.name = service_id("s");
        config.services.emplace(service.name, service);
        team pits;
        pits.name = team_id("pits");
        for (std::string const& key : keys)
            pits.keys.insert(digest_of_key(key));
        config.teams.push_back(pits);
        return config;
    }
    std::shared_ptr<recorded_answer> ask(std::string const& path,
                                         std::string const& key)
    {
        auto const answer = std::make_shared<recorded_answer>();
        http_request request;
        request.path = path;
        request.headers.add("Authorization", "Bearer " + key);
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
    /// Sends one request to the worker and a second one with `key`, which waits
    /// in the relay. Returns the answer to the second request.
    std::shared_ptr<recorded_answer> request_behind(std::string const& key)
    {
        ask("/a/first", "k-two");
        REQUIRE(run_until([this] { return running.size() == 1; }));
        auto const waiting = ask("/a/second", key);
        io.poll();
        REQUIRE(ran.size() == 1);
        REQUIRE_FALSE(waiting->response);
        return waiting;
    }
    void finish_first() { running.front()->respond({200, {}, "done"}); }

    asio::io_context io{1};
    keyed_codec codec;
    event_log log{"test", 1000,
                  [](log_level, std::string_view, std::string_view,
                     std::string const&) {}};
    duration declarations_age{};
    std::vector<std::string> ran;
    std::vector<std::shared_ptr<http_answer>> running;
    http_server worker;
    relay vm;
};

} // namespace

TEST_CASE("a request that waited is sent with its team", "[relay_teams]")
{
    busy_relay world;
    auto const waiting = world.request_behind("k-one");
    world.finish_first();
    REQUIRE(world.run_until([&] { return world.ran.size() == 2; }));
    CHECK(world.ran.back() == "/a/second/pits");
    CHECK_FALSE(waiting->response);
}

// Guards against sending a request whose key was revoked while the request
// waited.
TEST_CASE("a request whose key is revoked while it waits is not sent",
          "[relay_teams]")
{
    busy_relay world;
    auto const waiting = world.request_behind("k-one");
    world.configure(2, {"k-two"});
    world.finish_first();
    REQUIRE(world.run_until([&] { return waiting->response.has_value(); }));
    CHECK(waiting->response->status == 401);
    CHECK(world.ran.size() == 1);
}

// Guards against sending a request after its VM's declarations became too old
// while the request waited.
TEST_CASE("a request is not sent if the declarations became too old while it "
          "waited",
          "[relay_teams]")
{
    busy_relay world;
    auto const waiting = world.request_behind("k-one");
    world.declarations_age = 6s;
    world.finish_first();
    REQUIRE(world.run_until([&] { return waiting->response.has_value(); }));
    CHECK(waiting->response->status == 503);
    CHECK(world.ran.size() == 1);
}

// Guards against a VM that exits with requests unfinished and closes their
// connections without an answer, or that lets a caller repeat one that ran.
TEST_CASE("unfinished requests are answered when their VM exits",
          "[relay_teams]")
{
    busy_relay world;
    auto const running = world.ask("/a/first", "k-two");
    REQUIRE(world.run_until([&] { return world.running.size() == 1; }));
    auto const waiting = world.ask("/a/second", "k-one");
    world.io.poll();
    REQUIRE_FALSE(waiting->response);
    world.vm.reject_new_requests();
    world.vm.end_requests();
    REQUIRE(waiting->response);
    CHECK(waiting->response->status == 503);
    REQUIRE(running->response);
    CHECK(running->response->status == 502);
    world.io.poll();
    CHECK(world.vm.in_progress() == 0);
    CHECK(world.vm.counts().refused == 1);
    CHECK(world.vm.counts().failed == 1);
    CHECK(world.ran.size() == 1);
}

// Guards against a request that vanishes from the metrics: each one that was
// received has an outcome once none is in progress.
TEST_CASE("each request received is counted with one outcome", "[relay_teams]")
{
    busy_relay world;
    world.ask("/a/first", "k-two");
    REQUIRE(world.run_until([&] { return world.running.size() == 1; }));
    auto const unroutable = world.ask("/none/x", "k-two");
    auto const keyless = world.ask("/a/second", "k-none");
    auto const left = world.ask("/a/third", "k-one");
    auto const revoked = world.ask("/a/fourth", "k-one");
    world.io.poll();
    left->closed();
    CHECK(world.vm.metrics().find("mulberry_requests_in_progress 2\n") !=
          std::string::npos);
    world.configure(2, {"k-two"});
    world.finish_first();
    REQUIRE(world.run_until([&] { return world.vm.in_progress() == 0; }));
    CHECK(revoked->response);
    relay_counts const& counts = world.vm.counts();
    CHECK(counts.requests == 5);
    CHECK(counts.served == 1);
    CHECK(counts.refused == 3);
    CHECK(counts.caller_gone == 1);
    std::string const metrics = world.vm.metrics();
    CHECK(metrics.find("mulberry_requests_received_total 5\n") !=
          std::string::npos);
    CHECK(metrics.find("mulberry_requests_in_progress 0\n") !=
          std::string::npos);
}

// Guards against a request that waits for its worker while a configuration
// changes what it waits for, and that is neither sent nor refused.
TEST_CASE("a request that waits is decided after each change of the "
          "configuration",
          "[relay_teams]")
{
    busy_relay world;
    auto const waiting = world.request_behind("k-two");
    routing_config config = world.config_of(2, {"k-two"});
    SECTION("route dropped")
    {
        config.routes.clear();
    }
    SECTION("route moved to another service")
    {
        config.routes.front().services = {{service_id("other"), 1}};
    }
    SECTION("service dropped")
    {
        config.routes.clear();
        config.services.clear();
    }
    SECTION("team dropped")
    {
        config.teams.clear();
    }
    SECTION("team limited")
    {
        config.teams.front().limit.emplace();
        config.teams.front().limit->per_second = 0.001;
    }
    SECTION("timeout and objective changed")
    {
        config.routes.front().timeout = 1s;
        config.routes.front().latency_objective = 10ms;
    }
    SECTION("scheduled by objective, and no longer")
    {
        route urgent = config.routes.front();
        urgent.prefix = "/b/";
        urgent.name = "urgent";
        urgent.priority = config.routes.front().priority + 1;
        config.routes.push_back(urgent);
        world.configure(config);
        config.version = config_version(3);
        config.routes.pop_back();
    }
    world.configure(config);
    world.finish_first();
    REQUIRE(world.run_until(
        [&] { return waiting->response || world.running.size() == 2; }));
    if (!waiting->response)
        world.running.back()->respond({200, {}, "done"});
    REQUIRE(world.run_until([&] { return world.vm.in_progress() == 0; }));
    CHECK(waiting->response);
    CHECK(world.vm.counts().failed == 0);
}

// Guards against a request that waits for its team's units while a
// configuration drops the team or its limit, and that waits for ever.
TEST_CASE("a request that waits for units is decided after each change of "
          "its team",
          "[relay_teams]")
{
    busy_relay world;
    routing_config config = world.config_of(2, {"k-two"});
    config.teams.front().limit.emplace();
    config.teams.front().limit->per_second = 1;
    world.configure(config);
    auto const waiting = world.ask("/a/first", "k-two");
    REQUIRE_FALSE(waiting->response);
    config.version = config_version(3);
    SECTION("team dropped")
    {
        config.teams.clear();
    }
    SECTION("team dropped and back")
    {
        auto const teams = std::exchange(config.teams, {});
        world.configure(config);
        config.version = config_version(4);
        config.teams = teams;
    }
    SECTION("limit dropped")
    {
        config.teams.front().limit.reset();
    }
    SECTION("limit lowered")
    {
        config.teams.front().limit->per_second = 0.001;
    }
    world.configure(config);
    REQUIRE(world.run_until(
        [&] { return waiting->response || !world.running.empty(); }));
    if (!waiting->response)
        world.running.back()->respond({200, {}, "done"});
    REQUIRE(world.run_until([&] { return world.vm.in_progress() == 0; }));
    CHECK(waiting->response);
}
