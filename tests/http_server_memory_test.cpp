#include "caller_memory.hpp"
#include "http_server.hpp"
#include "process_wait.hpp"
#include "raw_socket.hpp"

#include <catch2/catch.hpp>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include <future>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace mulberry;
using mulberry_test::eventually;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t capacity = 600 * kilobyte;
/// Much more than the buffers of the kernel.
constexpr std::size_t large_body = 3 * 1024 * kilobyte;

/// A server whose memory is bounded, on an event loop of its own.
class bounded_server
{
public:
    explicit bounded_server(std::size_t bytes = capacity,
                            bool charges_connections = false,
                            std::size_t max_connections = 4096)
        : memory_(bytes), work_(io_.get_executor())
    {
        http_server_options options;
        options.shared_io = &io_;
        options.memory = &memory_;
        options.charges_connections = charges_connections;
        options.closes_excess_connections = true;
        options.max_connections = max_connections;
        options.socket_buffer_bytes = charges_connections ? 8 * 1024 : 0;
        options.error_page = [](int status)
        { return json_response(status, "page " + std::to_string(status)); };
        server_.emplace(options, [this](http_request request,
                                        std::shared_ptr<http_answer> answer)
                        { handle(request, std::move(answer)); });
        runner_ = std::thread([this] { io_.run(); });
    }
    ~bounded_server()
    {
        work_.reset();
        io_.stop();
        runner_.join();
        held_.clear();
    }
    bounded_server(bounded_server const&) = delete;
    bounded_server& operator=(bounded_server const&) = delete;

    std::uint16_t port() const { return server_->port(); }
    /// Runs `what` on the event loop and returns its result.
    template <class Call>
    auto on_loop(Call what)
    {
        std::promise<decltype(what())> done;
        asio::post(io_, [&] { done.set_value(what()); });
        return done.get_future().get();
    }
    std::size_t requests()
    {
        return on_loop([this] { return memory_.requests(); });
    }
    std::size_t connections()
    {
        return on_loop([this] { return memory_.connections(); });
    }
    std::uint64_t evicted()
    {
        return on_loop([this] { return server_->evicted_connections(); });
    }
    /// Requests to /held that were not answered.
    std::size_t held()
    {
        return on_loop([this] { return held_.size(); });
    }
    /// Answers the requests to /held.
    void answer_held()
    {
        on_loop(
            [this]
            {
                for (auto const& each : held_)
                    each->respond({200, {}, "held"});
                held_.clear();
                return true;
            });
    }

private:
    void handle(http_request const& request,
                std::shared_ptr<http_answer> answer)
    {
        if (request.path == "/held")
            held_.push_back(std::move(answer));
        else
            answer->respond({200, {}, std::to_string(request.body.size())});
    }

    caller_memory memory_;
    asio::io_context io_{1};
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    std::vector<std::shared_ptr<http_answer>> held_;
    std::optional<http_server> server_;
    std::thread runner_;
};

std::string head(std::string const& path, std::size_t length)
{
    return "POST " + path +
           " HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(length) +
           "\r\n\r\n";
}

std::string status_line(raw_socket const& caller)
{
    return caller.read_until("\r\n");
}

/// Whether the next answer is complete, and has status 200 and this body.
bool is_answered(raw_socket const& caller, std::string const& body)
{
    std::string const answer = caller.read_until(end_of_headers + body);
    UNSCOPED_INFO("answer: " << answer);
    return answer.starts_with("HTTP/1.1 200 ") && answer.ends_with(body);
}

/// Sends a request without a body; whether it is answered.
bool is_served(raw_socket const& caller)
{
    caller.try_send(head("/", 0));
    return is_answered(caller, "0");
}

} // namespace

// Guards against a refusal that is lost because its connection is reset while
// the caller still sends.
TEST_CASE("a caller gets the refusal of a body that does not fit",
          "[http_server_memory]")
{
    bounded_server server;
    bool const chunked = GENERATE(true, false);
    raw_socket const caller = raw_socket::connected(server.port());
    if (chunked)
        caller.send("POST / HTTP/1.1\r\nHost: a\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n300000\r\n");
    else
        caller.send(head("/", large_body));
    CHECK(caller.try_send(std::string(large_body, 'b')));
    std::string const answer = caller.read_all();
    CHECK(answer.starts_with("HTTP/1.1 503 "));
    CHECK(answer.ends_with("page 503"));
    CHECK(server.requests() == 0);
}

TEST_CASE("the charge of a request ends with its answer",
          "[http_server_memory]")
{
    bounded_server server;
    raw_socket const caller = raw_socket::connected(server.port());
    caller.send(head("/held", 1000) + std::string(1000, 'b'));
    CHECK(eventually([&] { return server.held() == 1; }));
    CHECK(server.requests() > 1000);
    server.answer_held();
    CHECK(is_answered(caller, "held"));
    CHECK(server.requests() == 0);
}

TEST_CASE("the charge of a request ends with its connection",
          "[http_server_memory]")
{
    bounded_server server;
    raw_socket caller = raw_socket::connected(server.port());
    bool const whole = GENERATE(true, false);
    caller.send(head("/held", 1000) + std::string(whole ? 1000 : 999, 'b'));
    CHECK(eventually([&] { return server.requests() > 900; }));
    caller.close();
    CHECK(eventually([&] { return server.requests() == 0; }));
}

// Guards against requests that cannot be refused, because the answer to another
// one comes first on their connections.
TEST_CASE("a body behind a request that is handled waits in its socket",
          "[http_server_memory]")
{
    bounded_server server;
    raw_socket const caller = raw_socket::connected(server.port());
    caller.send(head("/held", 0) + head("/", 200 * kilobyte) +
                std::string(100, 'b'));
    CHECK(eventually([&] { return server.held() == 1; }));
    caller.send(std::string(100 * kilobyte, 'b'));
    CHECK(server.requests() < 100 * kilobyte);
    server.answer_held();
    CHECK(is_answered(caller, "held"));
    caller.send(std::string(100 * kilobyte - 100, 'b'));
    CHECK(is_answered(caller, "204800"));
}

// Guards against a close that is not noticed behind unread bytes.
TEST_CASE("a caller that leaves behind a waiting body is noticed",
          "[http_server_memory]")
{
    bounded_server server;
    raw_socket caller = raw_socket::connected(server.port());
    caller.send(head("/held", 0) + head("/", 200 * kilobyte) +
                std::string(100, 'b'));
    CHECK(eventually([&] { return server.requests() > 0; }));
    caller.send(std::string(10 * kilobyte, 'b'));
    caller.close();
    CHECK(eventually([&] { return server.requests() == 0; }));
}

// Guards against callers that are refused while a crowd holds the memory.
TEST_CASE("a large body that is being received yields to a small request",
          "[http_server_memory]")
{
    bounded_server server;
    raw_socket const large = raw_socket::connected(server.port());
    large.send(head("/", 500 * kilobyte) + std::string(290 * kilobyte, 'b'));
    CHECK(eventually([&] { return server.requests() > 290 * kilobyte; }));
    std::vector<raw_socket> callers;
    for (int number = 0; number < 3; ++number)
    {
        callers.push_back(raw_socket::connected(server.port()));
        callers.back().send(head("/held", 100 * kilobyte) +
                            std::string(100 * kilobyte, 'b'));
    }
    CHECK(status_line(large).starts_with("HTTP/1.1 503 "));
    CHECK(eventually([&] { return server.held() == 3; }));
    server.answer_held();
    for (raw_socket const& each : callers)
        CHECK(is_answered(each, "held"));
}

// Guards against idle connections that keep new callers out.
TEST_CASE("the connection idle for longest is closed in favor of a new one",
          "[http_server_memory]")
{
    // Half of the capacity holds three connections of 44 KB.
    bounded_server server(300 * kilobyte, true);
    std::vector<raw_socket> callers;
    for (int number = 0; number < 3; ++number)
    {
        callers.push_back(raw_socket::connected(server.port()));
        CHECK(is_served(callers.back()));
    }
    CHECK(is_served(callers.front()));
    raw_socket last = raw_socket::connected(server.port());
    CHECK(eventually(
        [&]
        {
            if (is_served(last))
                return true;
            last = raw_socket::connected(server.port());
            return false;
        }));
    CHECK(server.evicted() == 1);
    CHECK(server.connections() <= 150 * kilobyte);
    CHECK(callers[1].read_some().empty());
    CHECK(is_served(callers[2]));
    CHECK(is_served(callers[0]));
}

// Guards against connections whose requests never end and keep new callers out.
TEST_CASE("a connection whose request stalls is closed in favor of a new one",
          "[http_server_memory]")
{
    bounded_server server(300 * kilobyte, true);
    std::vector<raw_socket> callers;
    for (int number = 0; number < 3; ++number)
    {
        callers.push_back(raw_socket::connected(server.port()));
        callers.back().send("POST / HTTP/1.1\r\n");
    }
    CHECK(eventually(
        [&] { return is_served(raw_socket::connected(server.port())); }));
    CHECK(status_line(callers.front()).starts_with("HTTP/1.1 503 "));
}

// Guards against idle connections that keep the load balancer's probes out.
TEST_CASE("an idle connection is closed in favor of one over the maximum",
          "[http_server_memory]")
{
    bounded_server server(capacity, false, 2);
    std::vector<raw_socket> callers;
    for (int number = 0; number < 2; ++number)
    {
        callers.push_back(raw_socket::connected(server.port()));
        CHECK(is_served(callers.back()));
    }
    CHECK(eventually(
        [&] { return is_served(raw_socket::connected(server.port())); }));
    CHECK(server.evicted() == 1);
    CHECK(callers[0].read_some().empty());
    CHECK(is_served(callers[1]));
}
