#include "http_client.hpp"
#include "http_server.hpp"
#include "raw_socket.hpp"

#include <catch2/catch.hpp>

#include <asio/io_context.hpp>
#include <fcntl.h>
#include <netinet/tcp.h>

#include <atomic>
#include <chrono>
#include <future>
#include <thread>
#include <vector>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

/// Keeps the answers for the test, in the order in which requests were handled.
class recording_handler
{
public:
    http_handler handler()
    {
        return [this](http_request request, std::shared_ptr<http_answer> answer)
        {
            std::lock_guard const lock(mutex_);
            requests_.push_back({std::move(request), std::move(answer)});
            arrived_.notify_all();
        };
    }

    std::shared_ptr<http_answer> wait_for(std::size_t index)
    {
        std::unique_lock lock(mutex_);
        bool const came = arrived_.wait_for(
            lock, 20s, [&] { return requests_.size() > index; });
        if (!came)
            throw std::runtime_error("the request was not handled");
        return requests_[index].second;
    }

    std::size_t count()
    {
        std::lock_guard const lock(mutex_);
        return requests_.size();
    }

    void drop()
    {
        std::lock_guard const lock(mutex_);
        requests_.clear();
    }

private:
    std::mutex mutex_;
    std::condition_variable arrived_;
    std::vector<std::pair<http_request, std::shared_ptr<http_answer>>>
        requests_;
};

http_handler echo()
{
    return [](http_request const& request,
              std::shared_ptr<http_answer> const& answer) {
        answer->respond({200, {}, request.method + ' ' + request.path});
    };
}

/// Counts the calls of an on_closed() callback and waits for the first.
struct close_counter
{
    std::promise<void> closed;
    std::atomic<int> count{0};

    void watch(http_answer& answer)
    {
        answer.on_closed(
            [this]
            {
                if (count++ == 0)
                    closed.set_value();
            });
    }
    bool wait()
    {
        return closed.get_future().wait_for(20s) == std::future_status::ready;
    }
};

std::string get(std::string const& path, std::string const& fields = {})
{
    return "GET " + path + " HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n";
}

http_server_options with_error_page()
{
    http_server_options options;
    options.max_body_bytes = 1000;
    options.max_header_bytes = 2000;
    options.error_page = [](int status)
    { return json_response(status, "page " + std::to_string(status)); };
    return options;
}

struct completion_observer final : http_call_observer
{
    std::promise<std::pair<call_stage, std::string>> failed;
    std::string data;

    void on_status(int /*status*/, http_headers const& /*headers*/) override {}
    void on_data(std::string_view piece) override { data += piece; }
    void on_end() override { failed.set_value({call_stage::not_sent, "end"}); }
    void on_failure(call_stage stage, std::string const& text) override
    {
        failed.set_value({stage, text});
    }
};

} // namespace

TEST_CASE("requests sent at once on one connection are handled one by one",
          "[http_server]")
{
    // A caller pipelines two requests. The second must not run before the first
    // is answered, and the answers arrive in order.
    recording_handler held;
    http_server server({}, held.handler());
    auto const caller = raw_socket::connected(server.port());
    caller.send(get("/first") + get("/second"));
    auto const first = held.wait_for(0);
    CHECK(held.count() == 1);
    first->respond({200, {}, "one."});
    held.wait_for(1)->respond({200, {}, "two."});
    std::string const text = caller.read_until("two.");
    CHECK(text.find("one.") < text.find("two."));
}

TEST_CASE("a body over the limit is answered 413 after it was sent",
          "[http_server]")
{
    std::atomic<int> handled{0};
    http_server server(with_error_page(),
                       [&](auto const&, auto const&) { ++handled; });
    std::string const body(200000, 'x');
    std::string const start = "POST / HTTP/1.1\r\nHost: a\r\n";
    auto const framed = GENERATE_COPY(
        "Content-Length: 200000\r\n\r\n" + body,
        "Transfer-Encoding: chunked\r\n\r\n30d40\r\n" + body + "\r\n0\r\n\r\n");
    auto const caller = raw_socket::connected(server.port());
    caller.send(start + framed);
    std::string const text = caller.read_all();
    CHECK(text.starts_with("HTTP/1.1 413 "));
    CHECK(text.ends_with("page 413"));
    CHECK(handled == 0);
}

TEST_CASE("too many or too large headers and targets are refused",
          "[http_server]")
{
    http_server server(with_error_page(), echo());
    std::string many;
    for (int i = 0; i < 150; ++i)
        many += "a: b\r\n";
    std::string const large = "a: " + std::string(1500, 'x') +
                              "\r\nb: " + std::string(1500, 'x') + "\r\n";
    auto const [request, status] =
        GENERATE_COPY(table<std::string, std::string>(
            {{get("/", many), "431"},
             {get("/", large), "431"},
             {get("/" + std::string(3000, 'x')), "414"},
             {"GET http://b/ HTTP/1.1\r\nHost: a\r\n\r\n", "400"}}));
    auto const caller = raw_socket::connected(server.port());
    caller.send(request);
    std::string const text = caller.read_all();
    CAPTURE(text);
    CHECK(text.starts_with("HTTP/1.1 " + status));
    CHECK(text.ends_with("page " + status));
}

TEST_CASE("a connection whose request never ends is closed", "[http_server]")
{
    http_server_options options;
    options.read_timeout = 100ms;
    http_server server(options, echo());
    auto const text =
        GENERATE("GET / HT", "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nx");
    auto const caller = raw_socket::connected(server.port());
    caller.send(text);
    CHECK(caller.read_all().empty());
}

TEST_CASE("a request that arrives too slowly is answered 408", "[http_server]")
{
    // The caller stops in the middle of its first or second request. At the
    // read timeout the server answers 408 and closes the connection; a
    // connection that is idle between requests is closed without a response.
    auto options = with_error_page();
    options.read_timeout = 100ms;
    http_server server(options, echo());
    auto const part = GENERATE("GET / HT", "POST / HTTP/1.1\r\nHost: a\r\n"
                                           "Content-Length: 9\r\n\r\nx");
    auto const caller = raw_socket::connected(server.port());
    bool const second = GENERATE(false, true);
    if (second)
    {
        caller.send(get("/"));
        caller.read_until(end_of_headers);
    }
    caller.send(part);
    std::string const text = caller.read_all();
    CHECK(text.find("HTTP/1.1 408 ") != std::string::npos);
    CHECK(text.ends_with("page 408"));
    auto const idle = raw_socket::connected(server.port());
    idle.send(get("/"));
    CHECK(idle.read_all().find(" 408 ") == std::string::npos);
}

TEST_CASE("a caller that half closes gets 502 unless its answer has begun",
          "[http_server]")
{
    // The caller closes its sending half while it waits for the answer. After
    // that the server cannot detect a disconnect, so the request ends with 502.
    // An answer that has begun is truncated instead.
    recording_handler held;
    http_server server(with_error_page(), held.handler());
    auto const caller = raw_socket::connected(server.port());
    caller.send(get("/"));
    auto const answer = held.wait_for(0);
    close_counter watch;
    watch.watch(*answer);
    SECTION("nothing was sent yet")
    {
        caller.shutdown_send();
        CHECK(caller.read_all().ends_with("page 502"));
    }
    SECTION("the answer has begun")
    {
        answer->start_stream(200, {});
        answer->write("piece");
        caller.read_until("piece");
        caller.shutdown_send();
        std::string const rest = caller.read_all();
        CHECK(rest.find("502") == std::string::npos);
        CHECK_FALSE(rest.ends_with("0\r\n\r\n"));
    }
    REQUIRE(watch.wait());
    CHECK(watch.count == 1);
}

TEST_CASE("a caller that pipelines and half closes gets no response",
          "[http_server]")
{
    // Two requests are pending; the caller would take an error response for the
    // answer to the first.
    recording_handler held;
    http_server server(with_error_page(), held.handler());
    auto const caller = raw_socket::connected(server.port());
    caller.send(get("/first") + get("/second"));
    auto const answer = held.wait_for(0);
    caller.shutdown_send();
    CHECK(caller.read_all().empty());
}

TEST_CASE("a disconnect of the caller is reported once", "[http_server]")
{
    // The caller disconnects before the first byte or in mid stream, or closes
    // only its sending half. on_closed reports this once, so that the engine's
    // slot is freed; later writes do nothing.
    auto const streaming = GENERATE(false, true);
    auto const half = GENERATE(false, true);
    recording_handler held;
    http_server server({}, held.handler());
    auto caller = raw_socket::connected(server.port());
    caller.send(get("/"));
    auto const answer = held.wait_for(0);
    close_counter watch;
    watch.watch(*answer);
    if (streaming)
    {
        answer->start_stream(200, {});
        answer->write("piece");
        caller.read_until("piece");
    }
    if (half)
        caller.shutdown_send();
    else
        caller.close();
    REQUIRE(watch.wait());
    answer->write("more");
    answer->finish();
    answer->abort();
    CHECK(watch.count == 1);
    // The connection is closed already: the callback runs within the call.
    close_counter late;
    late.watch(*answer);
    CHECK(late.count == 1);
}

// Guards against handling a request whose caller gave up while it was unread.
TEST_CASE("a request that was read together with its caller's close is closed",
          "[http_server]")
{
    asio::io_context io;
    http_server_options options;
    options.shared_io = &io;
    int handled = 0;
    int closed = 0;
    std::shared_ptr<http_answer> kept;
    http_server server(
        options,
        [&](http_request const&, std::shared_ptr<http_answer> answer)
        {
            ++handled;
            kept = std::move(answer);
            kept->on_closed([&closed] { ++closed; });
            CHECK(closed == handled);
        });
    for (int number = 0; number < 3; ++number)
    {
        auto caller = raw_socket::connected(server.port());
        caller.send(get("/"));
        caller.close();
    }
    auto const limit = std::chrono::steady_clock::now() + 5s;
    while (closed < 3 && std::chrono::steady_clock::now() < limit)
        io.run_one_for(10ms);
    CHECK(handled == 3);
    CHECK(closed == 3);
}

// Guards against a close that nothing reads because another request waits.
TEST_CASE("a disconnect is noticed while a second request waits",
          "[http_server]")
{
    recording_handler held;
    http_server server({}, held.handler());
    auto caller = raw_socket::connected(server.port());
    caller.send(get("/1"));
    auto const answer = held.wait_for(0);
    close_counter watch;
    watch.watch(*answer);
    caller.send(get("/2") + get("/3") + "GET /4");
    SECTION("closed at once")
    {
        caller.close();
    }
    SECTION("closed once the bytes were read")
    {
        answer->start_stream(200, {});
        answer->write("piece");
        caller.read_until("piece");
        caller.close();
    }
    CHECK(watch.wait());
    CHECK(held.count() == 1);
}

// Guards against work for a peer behind a cut link, whose close never arrives.
TEST_CASE("connections of dead peers time out", "[http_server]")
{
    recording_handler held;
    http_server_options options;
    options.dead_peer_timeout = 2000ms;
    http_server server(options, held.handler());
    auto const caller = raw_socket::connected(server.port());
    caller.send(get("/"));
    held.wait_for(0);
    std::vector<int> timeouts;
    for (int descriptor = 3; descriptor < 256; ++descriptor)
    {
        sockaddr_in peer{};
        socklen_t size = sizeof peer;
        if (::getpeername(descriptor, reinterpret_cast<sockaddr*>(&peer),
                          &size) != 0 ||
            ntohs(peer.sin_port) != caller.port())
            continue;
        int timeout = 0;
        int probes = 0;
        int idle = 0;
        socklen_t length = sizeof timeout;
        ::getsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
                     &length);
        ::getsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &probes, &length);
        ::getsockopt(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, &idle, &length);
        CHECK(probes != 0);
        CHECK(idle == 1);
        timeouts.push_back(timeout);
    }
    CHECK(timeouts == std::vector{2000});
}

TEST_CASE("an aborted stream is truncated after the bytes written",
          "[http_server]")
{
    // The server writes one piece and aborts. The client must receive the piece
    // and then a failure: with a proper end a truncated answer would pass for a
    // complete one.
    http_server server({},
                       [](auto const&, auto const& answer)
                       {
                           answer->start_stream(200, {});
                           answer->write("piece");
                           answer->abort();
                       });
    http_client client;
    auto const observer = std::make_shared<completion_observer>();
    http_call call;
    call.url = "http://127.0.0.1:" + std::to_string(server.port()) + "/";
    call.deadline = std::chrono::steady_clock::now() + 20s;
    client.start(call, observer);
    auto const [stage, text] = observer->failed.get_future().get();
    CHECK(stage == call_stage::answering);
    CHECK(text != "end");
    CHECK(observer->data == "piece");
}

TEST_CASE("an answer destroyed before completion closes the connection",
          "[http_server]")
{
    recording_handler held;
    http_server server({}, held.handler());
    auto const caller = raw_socket::connected(server.port());
    caller.send(get("/"));
    held.wait_for(0);
    held.drop();
    CHECK(caller.read_all().empty());
}

TEST_CASE("a server that stops accepting closes connections after their answer",
          "[http_server]")
{
    http_server server({}, echo());
    auto const caller = raw_socket::connected(server.port());
    caller.send(get("/one"));
    CHECK(caller.read_until("/one").find("keep-alive") != std::string::npos);
    server.stop_accepting();
    caller.send(get("/two"));
    std::string const text = caller.read_all();
    CHECK(text.find("Connection: close") != std::string::npos);
    CHECK(text.ends_with("GET /two"));
    CHECK_THROWS(raw_socket::connected(server.port()));
}

// Guards against handling a request whose connection closes after the answer
// to the one before it: it would run, and its answer would have no connection.
TEST_CASE("a request behind an answer that closes its connection is not "
          "handled",
          "[http_server]")
{
    recording_handler held;
    http_server server({}, held.handler());
    auto const caller = raw_socket::connected(server.port());
    caller.send(get("/1") + get("/2"));
    auto const answer = held.wait_for(0);
    std::string body(8UL * 1024 * 1024, 'x');
    SECTION("the server stops")
    {
        server.close_after_answers();
        answer->respond({200, {}, body + "end"});
        CHECK(caller.read_all().ends_with("end"));
    }
    SECTION("the answer breaks off")
    {
        answer->start_stream(200, {});
        answer->write(body);
        answer->abort();
        CHECK(caller.read_all().ends_with("x\r\n"));
    }
    CHECK(held.count() == 1);
}

TEST_CASE("a connection over the maximum waits until another closes",
          "[http_server]")
{
    http_server_options options;
    options.max_connections = 1;
    http_server server(options, echo());
    auto first = raw_socket::connected(server.port());
    first.send(get("/first"));
    first.read_until("/first");
    auto const second = raw_socket::connected(server.port());
    second.send(get("/second"));
    CHECK_FALSE(second.ready(100));
    first.close();
    CHECK(second.read_until("/second").ends_with("/second"));
}

// Guards against callers that wait for a server which takes more connections
// than it can serve.
TEST_CASE("a connection that is not taken is closed at once and unread",
          "[http_server]")
{
    recording_handler held;
    http_server_options options;
    options.max_connections = 1;
    options.closes_excess_connections = true;
    std::atomic<bool> open{true};
    options.may_open = [&open] { return open.load(); };
    http_server server(options, held.handler());
    auto const is_taken = [&]
    {
        auto const caller = raw_socket::connected(server.port());
        caller.send(get("/"));
        return caller.read_some().find("200") != std::string::npos;
    };
    {
        auto const first = raw_socket::connected(server.port());
        first.send(get("/"));
        auto const answer = held.wait_for(0);
        CHECK_FALSE(is_taken());
        answer->respond({200, {}, "done"});
        CHECK(first.read_until("done").find("200") != std::string::npos);
    }
    CHECK(held.count() == 1);
    open = false;
    CHECK_FALSE(is_taken());
    CHECK_FALSE(is_taken());
    CHECK(held.count() == 1);
    open = true;
    auto const again = raw_socket::connected(server.port());
    again.send(get("/"));
    held.wait_for(1)->respond({200, {}, "done"});
    CHECK(again.read_until("done").find("200") != std::string::npos);
}

TEST_CASE("a server that ran out of file descriptors accepts again",
          "[http_server]")
{
    // All file descriptors of the process are in use when a caller connects, so
    // the accept fails. When some are free again the caller must be served: a
    // server that stopped accepting would look healthy and answer nobody.
    http_server server({}, echo());
    auto const caller = raw_socket::unconnected();
    std::vector<int> taken;
    for (int fd = ::open("/dev/null", O_RDONLY); fd >= 0;
         fd = ::open("/dev/null", O_RDONLY))
        taken.push_back(fd);
    caller.connect(server.port());
    caller.send(get("/late"));
    CHECK_FALSE(caller.ready(300));
    for (int const fd : taken)
        ::close(fd);
    CHECK(caller.read_until("/late").ends_with("/late"));
}

TEST_CASE("bytes not yet written to the socket are counted", "[http_server]")
{
    recording_handler held;
    http_server server({}, held.handler());
    auto const caller = raw_socket::connected(server.port());
    caller.send(get("/"));
    auto const answer = held.wait_for(0);
    answer->start_stream(200, {});
    answer->write(std::string(64UL * 1024 * 1024, 'x'));
    CHECK(answer->unsent_bytes() > 0);
    answer->write("the end");
    caller.read_until("the end");
    auto const deadline = std::chrono::steady_clock::now() + 20s;
    while (answer->unsent_bytes() > 0 &&
           std::chrono::steady_clock::now() < deadline)
        std::this_thread::yield();
    CHECK(answer->unsent_bytes() == 0);
}

TEST_CASE("an answer outlives its server, which reports it closed",
          "[http_server]")
{
    recording_handler held;
    auto server =
        std::make_unique<http_server>(http_server_options{}, held.handler());
    std::uint16_t const port = server->port();
    auto const caller = raw_socket::connected(port);
    caller.send(get("/"));
    auto const answer = held.wait_for(0);
    close_counter watch;
    watch.watch(*answer);
    server.reset();
    CHECK(watch.count == 1);
    answer->respond({200, {}, "late"});
    CHECK(caller.read_all().empty());

    // One successor can bind the port at once, a second one cannot.
    http_server_options options;
    options.port = port;
    http_server const successor(options, echo());
    CHECK(successor.port() == port);
    CHECK_THROWS_AS(http_server(options, echo()), std::runtime_error);
}

TEST_CASE("an answer given just before the server stops arrives completely",
          "[http_server]")
{
    recording_handler held;
    auto server =
        std::make_unique<http_server>(http_server_options{}, held.handler());
    auto const caller = raw_socket::connected(server->port());
    caller.send(get("/"));
    std::string const body(3UL * 1024 * 1024, 'x');
    held.wait_for(0)->respond({200, {}, body});
    std::thread stop([&] { server.reset(); });
    std::string const text = caller.read_all();
    stop.join();
    CHECK(text.size() > body.size());
}

TEST_CASE("a header with a line break is left out of the answer",
          "[http_server]")
{
    http_server server({},
                       [](auto const&, auto const& answer)
                       {
                           http_headers headers;
                           headers.add("A", "b\r\nInjected: c");
                           headers.add("Content-Length", "99");
                           headers.add("D", "e");
                           answer->respond({200, headers, "body"});
                       });
    auto const caller = raw_socket::connected(server.port());
    caller.send(get("/", "Connection: close\r\n"));
    std::string const text = caller.read_all();
    CHECK(text.find("Injected") == std::string::npos);
    CHECK(text.find("Content-Length: 4\r\n") != std::string::npos);
    CHECK(text.find("D: e\r\n") != std::string::npos);
}

TEST_CASE("query parameters are decoded", "[http_message]")
{
    http_request request;
    request.query = "after=12&prefix=a%2Fb%zz&empty";
    CHECK(request.parameter("after") == "12");
    CHECK(request.parameter("prefix") == "a/b%zz");
    CHECK(request.parameter("empty") == "");
    CHECK_FALSE(request.parameter("other"));
    CHECK(percent_decode(percent_encode("a b/\xff@1#2")) == "a b/\xff@1#2");
}

// A process that stops closes its idle connections. An answer that a slow
// reader is still receiving must arrive completely, and a request in progress
// must be answered.
TEST_CASE("closing idle connections truncates no answer", "[http_server]")
{
    recording_handler held;
    http_server server({}, held.handler());
    raw_socket idle = raw_socket::connected(server.port());
    raw_socket slow = raw_socket::connected(server.port());
    raw_socket busy = raw_socket::connected(server.port());
    char const* const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    idle.send(request);
    held.wait_for(0)->respond({200, {}, "short"});
    CHECK(idle.read_until("short").ends_with("short"));
    slow.send(request);
    std::string const body(8UL * 1024 * 1024, 'x');
    held.wait_for(1)->respond({200, {}, body});
    busy.send(request);
    auto const answer = held.wait_for(2);

    server.close_idle();
    CHECK(idle.read_some().empty());
    std::string all = slow.read_until(end_of_headers);
    std::size_t const head = all.find(end_of_headers) + 4;
    for (std::string piece = " "; all.size() < head + body.size(); all += piece)
        if (piece = slow.read_some(); piece.empty())
            break;
    CHECK(all.size() == head + body.size());
    answer->respond({200, {}, "late"});
    CHECK(busy.read_until("late").ends_with("late"));
}

// Guards against closing a connection as idle while its request is read: the
// request would be handled, and its answer would have no connection.
TEST_CASE("closing idle connections drops no request that has arrived",
          "[http_server]")
{
    constexpr int max_turns = 12;
    for (int turns = 0; turns <= max_turns; ++turns)
    {
        CAPTURE(turns);
        asio::io_context io;
        http_server_options options;
        options.shared_io = &io;
        http_server server(options, echo());
        auto const caller = raw_socket::connected(server.port());
        // The connection is accepted and waits for its first request.
        io.run_for(5ms);
        caller.send(get("/late"));
        for (int turn = 0; turn < turns; ++turn)
            io.poll_one();
        server.close_after_answers();
        server.close_idle();
        while (!caller.ready(0))
            io.run_one_for(10ms);
        CHECK(caller.read_until("GET /late").ends_with("GET /late"));
    }
}

// Guards against a request whose head a worker reads otherwise than this
// server: the worker would run a request that nobody sent.
TEST_CASE("a request with a malformed head is refused and not handled",
          "[http_server]")
{
    std::string const head = GENERATE(
        as<std::string>{}, "POST / HTTP/1.1\r\nX-Pad : y\r\n",
        "POST / HTTP/1.1\r\nX Pad: y\r\n",
        "POST / HTTP/1.1\r\nContent-Length : 2\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding : chunked\r\n",
        "POST / HTTP/1.1\r\n Tenant: a\r\n",
        "POST / HTTP/1.1\r\nAuthorization : Bearer a\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked, chunked\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
        "Transfer-Encoding: chunked\r\n",
        "POST / HTTP/2.0\r\n", "POST / HTTP/1.2\r\n", "POST / HTTP/0.9\r\n");
    CAPTURE(head);
    std::atomic<int> handled{0};
    http_server_options options = with_error_page();
    http_server const server(
        options,
        [&](http_request const&, std::shared_ptr<http_answer> const& answer)
        {
            ++handled;
            answer->respond({200, {}, {}});
        });
    raw_socket const caller = raw_socket::connected(server.port());
    caller.send(head + "Host: a\r\n\r\n2\r\nok\r\n0\r\n\r\n");
    std::string const answer = caller.read_until(end_of_headers);
    CHECK((answer.empty() || answer.starts_with("HTTP/1.1 400 ")));
    CHECK(handled == 0);
}
