// Records of streams that began while only one version of the workers'
// software was known.
#include "boot_clock.hpp"
#include "relay.hpp"
#include "relay_callers.hpp"

#include <asio/post.hpp>

#include <catch2/catch.hpp>

#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace mulberry;
using namespace mulberry_test;
using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::seconds test_timeout{20};
service_id const service("s");
software_version const v1("v1");
software_version const v2("v2");

class event_codec final : public plain_codec
{
public:
    relay_request decode_request(http_request received) const override
    {
        std::string const path = received.path;
        relay_request request = plain_codec::decode_request(received);
        request.id = request_id(path);
        return request;
    }
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
    void respond(http_response response) override { status = response.status; }
    void start_stream(int, http_headers) override { begun = true; }
    void write(std::string chunk) override { text += chunk; }
    void finish() override {}
    void abort() override {}
    void on_closed(std::function<void()>) override {}
    std::size_t unsent_bytes() const override { return 0; }

    bool begun = false;
    /// Of an answer that is no stream.
    int status = 0;
    std::string text;
};

/// A relay that keeps records. `recorded`: the store names v1 from the start,
/// and a stream has begun at it.
struct recording_relay
{
    explicit recording_relay(bool recorded = true)
        : worker(
              worker_options(io),
              [this](http_request const&, std::shared_ptr<http_answer> answer)
              {
                  answer->start_stream(200, {});
                  answer->write("id: 1\ndata: x\n\n");
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
        only.repeats = repeat_rule::stream;
        only.resumable = true;
        only.services = {{service, 1}};
        config.routes.push_back(only);
        service_config settings;
        settings.name = service;
        config.services.emplace(service, settings);
        vm.set_config(std::make_shared<routing_config const>(config));
        list({v1});
        if (!recorded)
            return;
        record({{v1}, {v1}, true}, 1);
        io.run_for(200ms);
        begin("/a/1");
    }
    std::shared_ptr<streamed_answer> send(std::string const& path)
    {
        auto const answer = std::make_shared<streamed_answer>();
        http_request request;
        request.path = path;
        vm.handle(std::move(request), answer);
        return answer;
    }
    /// Returns once the head of the stream has arrived.
    std::shared_ptr<streamed_answer> begin(std::string const& path)
    {
        auto const answer = send(path);
        run_until([&answer] { return answer->begun; });
        REQUIRE(answer->begun);
        return answer;
    }
    /// Lists and records a second version; streams may begin at both.
    void add_version()
    {
        record({{v1, v2}, {v1, v2}, true}, 2);
        list({v1, v2});
        io.run_for(300ms);
        REQUIRE(rows_written == 1);
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
        options.own_rows_as_of = [] { return boot_clock::now(); };
        options.write_own_rows = [](auto const&, auto const&) {};
        options.stream_rows.read = [](auto const&, auto const&, auto const&) {};
        options.stream_rows.write =
            [this](table_transaction const& written,
                   std::function<void(bool)> const& done)
        {
            rows_written += written.writes.size();
            if (acknowledges)
                asio::post(io, [done] { done(true); });
            else
                open_writes.push_back(done);
        };
        return options;
    }
    void list(std::set<software_version> const& versions)
    {
        std::vector<backend_entry> entries;
        for (software_version const& each : versions)
        {
            backend_entry entry;
            entry.id = worker_id("w-" + each.str());
            entry.service = service;
            entry.software = each;
            entry.address = "127.0.0.1";
            entry.port = worker.port();
            entry.slots = 4;
            entries.push_back(entry);
        }
        vm.set_backends(entries);
    }
    void record(software_record const& what, std::uint64_t version)
    {
        stored_row row;
        row.key = software_record_key(service);
        row.value = software_record_text(what);
        row.version = row_version(version);
        vm.on_own_rows({row});
    }
    template <class Condition>
    void run_until(Condition const& holds)
    {
        auto const limit = std::chrono::steady_clock::now() + test_timeout;
        while (!holds() && std::chrono::steady_clock::now() < limit)
            io.run_one_for(10ms);
    }

    asio::io_context io{1};
    event_codec codec;
    event_log log{"test", 1000,
                  [](log_level, std::string_view, std::string_view,
                     std::string const&) {}};
    std::size_t rows_written = 0;
    /// Whether the store answers writes at once.
    bool acknowledges = true;
    std::vector<std::function<void(bool)>> open_writes;
    std::shared_ptr<http_answer> running;
    http_server worker;
    relay vm;
};

} // namespace

TEST_CASE("running streams are recorded when a second version is listed",
          "[relay_software]")
{
    recording_relay relay;
    relay.io.run_for(300ms);
    REQUIRE(relay.rows_written == 0);
    relay.list({v1, v2});
    relay.io.run_for(1s);
    CHECK(relay.rows_written == 1);
}

// Guards against losing streams that began without a record: another VM has
// listed the second version first.
TEST_CASE("running streams are recorded when a second version is recorded",
          "[relay_software]")
{
    recording_relay relay;
    relay.io.run_for(300ms);
    REQUIRE(relay.rows_written == 0);
    relay.record({{v1, v2}, {v1}, true}, 2);
    relay.io.run_for(300ms);
    relay.list({v1, v2});
    relay.io.run_for(1s);
    CHECK(relay.rows_written == 1);
}

// Guards against streams that nobody knows: all VMs are lost right after a
// caller got its first event.
TEST_CASE("a first event waits until the store has the record of its stream",
          "[relay_software]")
{
    recording_relay relay;
    relay.add_version();
    relay.acknowledges = false;
    auto const answer = relay.begin("/a/2");
    relay.run_until([&relay] { return !relay.open_writes.empty(); });
    REQUIRE(relay.rows_written == 2);
    relay.io.run_for(20ms);
    CHECK(answer->text.empty());
    relay.open_writes.front()(true);
    CHECK(answer->text == "id: 1\ndata: x\n\n");
}

// Guards against streams that do not begin while the store is slow.
TEST_CASE("a first event waits for its record for a limited time",
          "[relay_software]")
{
    recording_relay relay;
    relay.add_version();
    relay.acknowledges = false;
    auto const answer = relay.begin("/a/2");
    relay.run_until([&answer] { return !answer->text.empty(); });
    CHECK(answer->text == "id: 1\ndata: x\n\n");
    CHECK(relay.open_writes.size() == 1);
}

// Guards against delaying each stream while the store is away.
TEST_CASE("events do not wait while the store takes no records",
          "[relay_software]")
{
    recording_relay relay;
    relay.add_version();
    relay.acknowledges = false;
    auto const first = relay.begin("/a/2");
    relay.run_until([&relay] { return !relay.open_writes.empty(); });
    CHECK(first->text.empty());
    relay.open_writes.front()(false);
    CHECK_FALSE(first->text.empty());
    auto const second = relay.begin("/a/3");
    CHECK_FALSE(second->text.empty());
}

// Guards against rejecting streams that arrive before a VM that has just
// started has recorded the first version.
TEST_CASE("a stream waits until a version is recorded", "[relay_software]")
{
    recording_relay relay(false);
    auto const answer = relay.send("/a/1");
    relay.io.run_for(50ms);
    CHECK(answer->status == 0);
    CHECK_FALSE(answer->begun);
    relay.record({{v1}, {v1}, true}, 1);
    relay.run_until([&answer] { return answer->begun; });
    CHECK(answer->begun);
}

// Guards against holding streams while the store takes no record.
TEST_CASE("a stream waits for a recorded version for a limited time",
          "[relay_software]")
{
    recording_relay relay(false);
    auto const answer = relay.send("/a/1");
    relay.run_until([&answer] { return answer->status != 0; });
    CHECK(answer->status == 503);
}
