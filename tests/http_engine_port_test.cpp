#include "http_engine_port.hpp"

#include "raw_socket.hpp"

#include <catch2/catch.hpp>

#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

worker_id const worker("w");

class waiting_sink final : public event_sink
{
public:
    bool offer(core_event event) override
    {
        post(std::move(event));
        return true;
    }
    void post(core_event event) override
    {
        std::lock_guard const lock(mutex_);
        running_.push_back(std::get<engine_report>(event).running);
        posted_.notify_all();
    }
    /// The numbers of running requests in the reports, once there are `count`.
    std::vector<std::size_t> running(std::size_t count)
    {
        std::unique_lock lock(mutex_);
        posted_.wait_for(lock, 20s, [&] { return running_.size() >= count; });
        return running_;
    }

private:
    std::mutex mutex_;
    std::condition_variable posted_;
    std::vector<std::size_t> running_;
};

/// Reads a request and returns the X-Request-Id line of its header.
std::string read_id(raw_socket const& connection)
{
    std::string const header = connection.read_until("\r\n\r\n");
    std::size_t const begin = header.find("X-Request-Id:");
    return begin == std::string::npos
               ? std::string()
               : header.substr(begin, header.find("\r\n", begin) + 2 - begin);
}

std::string report(std::string const& id, int running)
{
    std::string const body = R"({"boot_id":"b","adapters":[],"running":)" +
                             std::to_string(running) + "}";
    return "HTTP/1.1 200 OK\r\n" + id +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

// Guards against settling adapter slots by the engine's state before an order:
// a copy of an earlier report arrives in place of the newer one.
TEST_CASE("a copy of an earlier load report is ignored", "[http_engine_port]")
{
    raw_socket const listener = raw_socket::listening();
    std::thread engine(
        [&listener]
        {
            auto const kept = listener.accepted();
            std::string const first = read_id(kept);
            kept.send(report(first, 1));
            std::string const second = read_id(kept);
            kept.send(report(first, 1) + report(second, 2));
            auto const next = listener.accepted();
            next.send(report(read_id(next), 3));
            kept.read_all();
        });
    waiting_sink sink;
    {
        http_engine_port port(sink);
        auto const configuration = std::make_shared<declaration>();
        configuration->workers[worker].url =
            "http://127.0.0.1:" + std::to_string(listener.port());
        port.configure(configuration);
        port.request_load_reports({worker});
        CHECK(sink.running(1) == std::vector<std::size_t>{1});
        port.request_load_reports({worker});
        port.request_load_reports({worker});
        CHECK(sink.running(2) == std::vector<std::size_t>{1, 3});
    }
    engine.join();
}
