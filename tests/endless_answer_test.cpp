// Workers that send bytes without end where an answer is due.
#include "backend_pool.hpp"
#include "raw_socket.hpp"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include <catch2/catch.hpp>

#include <future>
#include <thread>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

/// More than the socket buffers of both ends and any limit on a head hold.
constexpr std::size_t endless_bytes = 64UL * 1024 * 1024;

struct endless_answer
{
    char const* name;
    /// Sent once, before `repeated`.
    std::string begin;
    std::string repeated;
    /// The answer is whole before the bytes without end.
    bool whole;
};

std::vector<endless_answer> const endless_answers{
    {"lines of a head", "HTTP/1.1 200 OK\r\n", "X-More: 1\r\n", false},
    {"one line of a head", "HTTP/1.1 200 OK\r\nX-Long: ", "a", false},
    {"a status line", "HTTP/1.1 200 ", "a", false},
    {"empty lines before an answer", "", "\r\n", false},
    {"bytes that are no answer", "", "\x16\x03\x01", false},
    {"interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n", false},
    {"a chunk extension",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=", "a", false},
    {"digits of a chunk size",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0", false},
    {"trailers",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
     "X-More: 1\r\n", false},
    {"bytes after a whole answer",
     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "a", true}};

class end_observer final : public exchange_observer
{
public:
    explicit end_observer(std::promise<bool>& ended) : ended_(ended) {}
    void on_head(int /*status*/, http_headers /*headers*/) override {}
    void on_body(std::string_view bytes) override { body_ += bytes.size(); }
    void on_end(bool /*framed*/) override { ended_.set_value(body_ == 2); }
    void on_failure(call_stage /*at*/, std::string const& /*reason*/) override
    {
        ended_.set_value(false);
    }

private:
    std::promise<bool>& ended_;
    std::size_t body_ = 0;
};

/// A pool on an event loop of its own.
class pool_loop
{
public:
    pool_loop() : work_(io_.get_executor()), runner_([this] { io_.run(); }) {}
    ~pool_loop()
    {
        work_.reset();
        io_.stop();
        runner_.join();
    }
    pool_loop(pool_loop const&) = delete;
    pool_loop& operator=(pool_loop const&) = delete;

    /// Returns whether the exchange ended with the whole body.
    std::future<bool> send(std::uint16_t port)
    {
        ended_ = std::promise<bool>();
        asio::post(io_,
                   [this, port]
                   {
                       exchange_options options;
                       options.connect_timeout = 10s;
                       running_ = pool_.start(
                           {"127.0.0.1", port},
                           "GET / HTTP/1.1\r\nHost: w\r\n\r\n", options,
                           std::make_shared<end_observer>(ended_));
                   });
        return ended_.get_future();
    }

private:
    asio::io_context io_;
    backend_pool pool_{io_};
    std::promise<bool> ended_;
    std::shared_ptr<backend_exchange> running_;
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    std::thread runner_;
};

} // namespace

// Guards against a VM that reads such bytes until its memory is used up, or
// waits for the end of a head that never comes.
TEST_CASE("bytes without end close their connection", "[endless_answer]")
{
    for (endless_answer const& each : endless_answers)
    {
        CAPTURE(each.name);
        raw_socket const listener = raw_socket::listening();
        pool_loop loop;
        auto ended = loop.send(listener.port());
        raw_socket const worker = listener.accepted();
        worker.read_until("\r\n\r\n");
        worker.send(each.begin);
        std::string block;
        while (block.size() < 64 * 1024)
            block += each.repeated;
        std::size_t sent = 0;
        while (sent < endless_bytes && worker.try_send(block))
            sent += block.size();
        CHECK(sent < endless_bytes);
        REQUIRE(ended.wait_for(20s) == std::future_status::ready);
        CHECK(ended.get() == each.whole);
    }
}
