// Events of streams that a relay holds until they are complete.
#include "relay.hpp"
#include "relay_callers.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <string>

using namespace mulberry;
using namespace mulberry_test;
using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::seconds test_timeout{20};
constexpr std::size_t capacity = 256UL * 1024;
/// The most that a connection to a worker reads at once.
constexpr std::size_t read_bytes = 8UL * 1024;
/// More than half of the capacity, and less than all of it.
constexpr std::size_t event_bytes = 192UL * 1024;

class event_codec final : public plain_codec
{
public:
    std::string encode_head(relay_request const&,
                            forward_options const&) const override
    {
        return "GET /a/1 HTTP/1.1\r\nHost: worker\r\n\r\n";
    }
    worker_reply decode_reply(int status, http_headers const&,
                              relay_request const&) const override
    {
        worker_reply reply;
        reply.status = status;
        reply.sealed = true;
        reply.event_stream = true;
        return reply;
    }
};

struct streamed_answer final : http_answer
{
    void respond(http_response) override { ended = true; }
    void start_stream(int, http_headers) override {}
    void write(std::string) override {}
    void finish() override { ended = true; }
    void abort() override { ended = true; }
    void on_closed(std::function<void()>) override {}
    std::size_t unsent_bytes() const override { return 0; }

    bool ended = false;
};

/// A relay whose only worker sends one event that does not end.
struct streaming_relay
{
    streaming_relay()
        : worker(
              worker_options(io),
              [this](http_request const&, std::shared_ptr<http_answer> answer)
              {
                  answer->start_stream(200, {});
                  answer->write("data: " + std::string(event_bytes, 'x'));
                  running = std::move(answer);
              }),
          vm(io, codec, options(), log)
    {
        routing_config config;
        config.version = config_version(1);
        route only;
        only.host = "host";
        only.prefix = "/a/";
        only.timeout = 30s;
        only.services = {{service_id("s"), 1}};
        config.routes.push_back(only);
        service_config service;
        service.name = service_id("s");
        config.services.emplace(service.name, service);
        vm.set_config(std::make_shared<routing_config const>(config));
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
    static relay_options options()
    {
        relay_options options;
        options.vm = vm_id("vm");
        options.answer_bytes = capacity;
        return options;
    }

    asio::io_context io{1};
    event_codec codec;
    event_log log{"test", 1000,
                  [](log_level, std::string_view, std::string_view,
                     std::string const&) {}};
    std::shared_ptr<http_answer> running;
    http_server worker;
    relay vm;
};

} // namespace

// Guards against events without end that together take all of the memory for
// answers, so that nothing is left of it to other answers.
TEST_CASE("one event takes half of the memory for answers at most",
          "[relay_events]")
{
    streaming_relay relay;
    auto const answer = std::make_shared<streamed_answer>();
    http_request request;
    request.path = "/a/1";
    relay.vm.handle(std::move(request), answer);
    std::size_t most = 0;
    auto const limit = std::chrono::steady_clock::now() + test_timeout;
    while (!answer->ended && most < event_bytes &&
           std::chrono::steady_clock::now() < limit)
    {
        relay.io.run_one_for(10ms);
        most = std::max(most, relay.vm.answers().buffered());
    }
    CHECK(answer->ended);
    CHECK(most > capacity / 4);
    // A read is taken before its event is measured.
    CHECK(most <= capacity / 2 + read_bytes);
    relay.io.run_for(50ms);
    CHECK(relay.vm.answers().buffered() == 0);
}
