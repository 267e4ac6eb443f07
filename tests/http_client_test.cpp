#include "http_client.hpp"
#include "raw_socket.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <future>
#include <thread>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

/// More than the socket buffers of both ends hold.
constexpr std::size_t endless_bytes = 64UL * 1024 * 1024;

/// A back end that runs the test's script on a thread of its own.
class scripted_back_end
{
public:
    explicit scripted_back_end(std::function<void(raw_socket const&)> script)
        : listener_(raw_socket::listening()),
          thread_([this, script = std::move(script)] { script(listener_); })
    {
    }
    ~scripted_back_end() { thread_.join(); }

    std::string url() const
    {
        return "http://127.0.0.1:" + std::to_string(listener_.port()) + "/";
    }

    bool has_pending_connection() const { return listener_.ready(0); }

private:
    raw_socket listener_;
    std::thread thread_;
};

http_call call_to(std::string url, std::string method = "POST")
{
    http_call call;
    call.method = std::move(method);
    call.url = std::move(url);
    call.deadline = std::chrono::steady_clock::now() + 20s;
    return call;
}

http_call repeatable_call_to(std::string url)
{
    http_call call = call_to(std::move(url), "GET");
    call.repeatable = true;
    return call;
}

std::string answer(std::string const& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

/// Reads one request without a body and answers it.
void answer_request(raw_socket const& connection, std::string const& body)
{
    connection.read_until(end_of_headers);
    connection.send(answer(body));
}

struct counting_observer final : http_call_observer
{
    std::promise<void> first_data;
    std::atomic<int> callbacks{0};

    void on_status(int /*status*/, http_headers const& /*headers*/) override
    {
        ++callbacks;
    }
    void on_data(std::string_view /*data*/) override
    {
        ++callbacks;
        first_data.set_value();
    }
    void on_end() override { ++callbacks; }
    void on_failure(call_stage /*stage*/, std::string const& /*text*/) override
    {
        ++callbacks;
    }
};

} // namespace

TEST_CASE("a call whose connection is refused fails as not sent",
          "[http_client]")
{
    auto listener = raw_socket::listening();
    auto const url = "http://127.0.0.1:" + std::to_string(listener.port());
    listener.close();
    http_client client;
    auto const result = client.call_and_wait(call_to(url));
    CHECK(result.status == 0);
    CHECK(result.stage == call_stage::not_sent);
}

TEST_CASE("a call past its deadline or with a bad header is not sent",
          "[http_client]")
{
    auto const listener = raw_socket::listening();
    auto call = call_to("http://127.0.0.1:" + std::to_string(listener.port()));
    if (GENERATE(true, false))
        call.deadline = std::chrono::steady_clock::now();
    else
        call.headers.add("A", "b\r\nInjected: c");
    http_client client;
    auto const result = client.call_and_wait(call);
    CHECK(result.status == 0);
    CHECK(result.stage == call_stage::not_sent);
}

TEST_CASE("a call whose connection closes without an answer fails as sent",
          "[http_client]")
{
    scripted_back_end back_end([](raw_socket const& listener)
                               { listener.accepted(); });
    http_client client;
    auto const result = client.call_and_wait(call_to(back_end.url()));
    CHECK(result.status == 0);
    CHECK(result.stage == call_stage::sent);
}

TEST_CASE("a call that must run at most once is never made twice",
          "[http_client]")
{
    // The back end reads a second request on a kept connection and closes it
    // without an answer, but may have run the request. libcurl retries a
    // repeatable call by itself; a slip's call must fail as `sent` after
    // exactly one request, otherwise a family is billed twice.
    bool const repeatable = GENERATE(true, false);
    std::atomic<int> requests{0};
    scripted_back_end back_end(
        [&](raw_socket const& listener)
        {
            auto kept = listener.accepted();
            answer_request(kept, "first");
            auto again = raw_socket::first_ready(kept, listener)
                             ? std::move(kept)
                             : listener.accepted();
            requests += again.read_until(end_of_headers).empty() ? 0 : 1;
            again.close();
            if (repeatable)
                answer_request(listener.accepted(), "second");
        });
    http_client client;
    REQUIRE(client.call_and_wait(repeatable_call_to(back_end.url())).status ==
            200);
    http_call call = call_to(back_end.url());
    call.repeatable = repeatable;
    auto const result = client.call_and_wait(call);
    if (repeatable)
    {
        CHECK(result.body == "second");
        return;
    }
    CHECK(result.status == 0);
    CHECK(result.stage == call_stage::sent);
    CHECK(requests == 1);
    CHECK_FALSE(back_end.has_pending_connection());
}

TEST_CASE("a call to a silent back end fails at the silence timeout",
          "[http_client]")
{
    // The back end reads the request and sends nothing, or stops in the middle
    // of its answer. Its connection stays open and acknowledges everything, so
    // only the silence timeout can detect this.
    bool const begins = GENERATE(false, true);
    std::promise<void> given_up;
    scripted_back_end back_end(
        [&](raw_socket const& listener)
        {
            auto const connection = listener.accepted();
            connection.read_until(end_of_headers);
            if (begins)
                connection.send(
                    "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx");
            given_up.get_future().wait();
        });
    http_client client;
    auto call = call_to(back_end.url());
    call.silence_timeout = 50ms;
    auto const result = client.call_and_wait(call);
    given_up.set_value();
    CHECK(result.status == 0);
    CHECK(result.stage == (begins ? call_stage::answering : call_stage::sent));
}

TEST_CASE("a late answer never reaches another call", "[http_client]")
{
    // The first call fails at its deadline. Its answer arrives later on the
    // same connection, and the next call is made. The next call must get its
    // own answer: the late one is another caller's summary.
    std::promise<void> given_up;
    scripted_back_end back_end(
        [&](raw_socket const& listener)
        {
            auto const first = listener.accepted();
            first.read_until(end_of_headers);
            given_up.get_future().wait();
            first.send(answer("late"));
            answer_request(listener.accepted(), "own");
        });
    http_client client;
    auto call = repeatable_call_to(back_end.url());
    call.deadline = std::chrono::steady_clock::now() + 50ms;
    CHECK(client.call_and_wait(call).stage == call_stage::sent);
    given_up.set_value();
    CHECK(client.call_and_wait(repeatable_call_to(back_end.url())).body ==
          "own");
}

TEST_CASE("an unsolicited answer never reaches the next call", "[http_client]")
{
    scripted_back_end back_end(
        [](raw_socket const& listener)
        {
            auto const first = listener.accepted();
            first.read_until(end_of_headers);
            first.send(answer("asked") + answer("not asked"));
            answer_request(listener.accepted(), "own");
        });
    http_client client;
    CHECK(client.call_and_wait(repeatable_call_to(back_end.url())).body ==
          "asked");
    CHECK(client.call_and_wait(repeatable_call_to(back_end.url())).body ==
          "own");
}

// Guards against telling a caller that a request did not run: a copy of an
// earlier refusal of it is taken for the answer to the try that runs.
TEST_CASE("a copy of a refusal never reaches a call that must run at most once",
          "[http_client]")
{
    std::string const refusal = "HTTP/1.1 503 Service Unavailable\r\n"
                                "X-Request-Id: r\r\n"
                                "Content-Length: 4\r\n\r\nfull";
    scripted_back_end back_end(
        [&refusal](raw_socket const& listener)
        {
            auto const kept = listener.accepted();
            answer_request(kept, "report");
            auto refused = listener.accepted();
            refused.read_until(end_of_headers);
            refused.send(refusal);
            bool const reused = raw_socket::first_ready(refused, listener) &&
                                !refused.read_until(end_of_headers).empty();
            refused.send(refusal);
            kept.send(refusal);
            auto const again =
                reused ? std::move(refused) : listener.accepted();
            if (!reused)
                again.read_until(end_of_headers);
            again.send(answer("own"));
        });
    http_client client;
    REQUIRE(client.call_and_wait(repeatable_call_to(back_end.url())).body ==
            "report");
    http_call call = call_to(back_end.url());
    call.headers.add("X-Request-Id", "r");
    CHECK(client.call_and_wait(call).status == 503);
    CHECK(client.call_and_wait(call).body == "own");
}

TEST_CASE("a truncated response or one without framing is a failure",
          "[http_client]")
{
    auto const response = GENERATE(
        "HTTP/1.1 200 OK\r\n\r\nhalf a summary",
        "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nhalf a summary",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        "HTTP/1.1 200 OK\r\nContent-");
    scripted_back_end back_end(
        [&](raw_socket const& listener)
        {
            auto const connection = listener.accepted();
            connection.read_until(end_of_headers);
            connection.send(response);
        });
    http_client client;
    auto const result = client.call_and_wait(call_to(back_end.url()));
    CHECK(result.status == 0);
    CHECK(result.stage == call_stage::answering);
}

// Guards against keeping header fields until the memory is used up.
TEST_CASE("header fields without end fail the call", "[http_client]")
{
    std::string const lines = "X-More: 1\r\n";
    auto const [begin, repeated] =
        GENERATE_COPY(table<std::string, std::string>(
            {{"HTTP/1.1 200 OK\r\n", lines},
             {"HTTP/1.1 200 OK\r\nX-Long: ", "a"},
             {"HTTP/1.1 200 ", "a"},
             {"", "HTTP/1.1 102 Processing\r\nX-More: 1\r\n\r\n"},
             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
              lines}}));
    std::string block;
    while (block.size() < 64 * 1024)
        block += repeated;
    std::promise<std::size_t> taken;
    scripted_back_end back_end(
        [&, first = begin](raw_socket const& listener)
        {
            auto const connection = listener.accepted();
            connection.read_until(end_of_headers);
            connection.send(first);
            std::size_t sent = 0;
            while (sent < endless_bytes && connection.try_send(block))
                sent += block.size();
            taken.set_value(sent);
        });
    http_client client;
    auto const result = client.call_and_wait(call_to(back_end.url()));
    CAPTURE(begin, result.body);
    CHECK(result.status == 0);
    CHECK(result.stage != call_stage::not_sent);
    CHECK(taken.get_future().get() < endless_bytes);
}

TEST_CASE("a cancelled call closes its connection and calls back no more",
          "[http_client]")
{
    std::promise<bool> closed;
    scripted_back_end back_end(
        [&](raw_socket const& listener)
        {
            auto const connection = listener.accepted();
            connection.read_until(end_of_headers);
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx");
            closed.set_value(connection.read_some().empty());
        });
    http_client client;
    auto const observer = std::make_shared<counting_observer>();
    auto const handle = client.start(call_to(back_end.url()), observer);
    observer->first_data.get_future().wait();
    client.cancel(handle);
    CHECK(closed.get_future().get());
    CHECK(observer->callbacks == 2);
}

TEST_CASE("destroying a client makes no callbacks to observers",
          "[http_client]")
{
    auto const listener = raw_socket::listening();
    auto const observer = std::make_shared<counting_observer>();
    {
        http_client client;
        client.start(
            call_to("http://127.0.0.1:" + std::to_string(listener.port())),
            observer);
    }
    CHECK(observer->callbacks == 0);
    CHECK(observer.use_count() == 1);
}

TEST_CASE("informational responses and trailers are not taken for the answer",
          "[http_client]")
{
    scripted_back_end back_end(
        [](raw_socket const& listener)
        {
            auto const connection = listener.accepted();
            connection.read_until(end_of_headers);
            connection.send("HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"
                            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                            "C:  d \r\n\r\n4\r\nbody\r\n0\r\nE: f\r\n\r\n");
        });
    http_client client;
    auto const result = client.call_and_wait(call_to(back_end.url()));
    CHECK(result.status == 200);
    CHECK(result.body == "body");
    CHECK(result.headers.find("c") == "d");
    CHECK_FALSE(result.headers.find("A"));
    CHECK_FALSE(result.headers.find("E"));
}

// Guards against believing a head whose fields others read otherwise.
TEST_CASE("a response with a malformed head is a failure", "[http_client]")
{
    std::string const head =
        GENERATE("HTTP/1.1 200 OK\r\nX-Pad : y\r\n",
                 "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n",
                 "HTTP/1.1 200 OK\r\nX Pad: y\r\n", "HTTP/1.1 000 OK\r\n",
                 "HTTP/1.1 0200 OK\r\n", "HTTP/1.1  200 OK\r\n",
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, chunked\r\n");
    CAPTURE(head);
    scripted_back_end back_end(
        [&](raw_socket const& listener)
        {
            auto const caller = listener.accepted();
            caller.read_until(end_of_headers);
            caller.send(head + "Content-Length: 2\r\n\r\nok");
        });
    http_client client;
    auto const result = client.call_and_wait(call_to(back_end.url()));
    CHECK(result.status == 0);
}
