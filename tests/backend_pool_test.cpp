#include "backend_pool.hpp"
#include "collected_exchange.hpp"
#include "raw_socket.hpp"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include <catch2/catch.hpp>

#include <functional>
#include <future>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

/// The events that an observer received. Read after wait() has returned.
struct observed_exchange
{
    int status = 0;
    http_headers headers;
    std::string body;
    bool ended = false;
    bool framed = false;
    std::optional<call_stage> failed;
    std::promise<void> finished;

    void wait() { finished.get_future().get(); }
};

class exchange_recorder final : public exchange_observer
{
public:
    explicit exchange_recorder(observed_exchange& into) : into_(into) {}
    void on_head(int status, http_headers headers) override
    {
        into_.status = status;
        into_.headers = std::move(headers);
    }
    void on_body(std::string_view bytes) override { into_.body += bytes; }
    void on_end(bool framed) override
    {
        into_.ended = true;
        into_.framed = framed;
        into_.finished.set_value();
    }
    void on_failure(call_stage at, std::string const&) override
    {
        into_.failed = at;
        into_.finished.set_value();
    }

private:
    observed_exchange& into_;
};

/// A pool with its own event loop thread, and a listening socket on which the
/// test plays the worker byte by byte.
class pool_fixture
{
public:
    pool_fixture() : work_(io.get_executor()), runner_([this] { io.run(); }) {}
    ~pool_fixture()
    {
        work_.reset();
        io.stop();
        runner_.join();
    }
    pool_fixture(pool_fixture const&) = delete;
    pool_fixture& operator=(pool_fixture const&) = delete;

    /// Runs `what` on the event loop and waits until it has finished.
    void on_loop(std::function<void()> const& what)
    {
        std::promise<void> done;
        asio::post(io,
                   [&]
                   {
                       what();
                       done.set_value();
                   });
        done.get_future().get();
    }

    std::shared_ptr<backend_exchange> send(observed_exchange& into,
                                           std::optional<answer_mark> mark = {})
    {
        exchange_options options;
        options.mark = std::move(mark);
        options.connect_timeout = 10s;
        options.max_idle = 20s;
        std::shared_ptr<backend_exchange> running;
        on_loop(
            [&]
            {
                running = pool.start(
                    {"127.0.0.1", port_}, "GET / HTTP/1.1\r\nHost: w\r\n\r\n",
                    options, std::make_shared<exchange_recorder>(into));
            });
        return running;
    }
    /// Accepts the connection and reads its first request.
    raw_socket accept()
    {
        raw_socket worker = listener.accepted();
        worker.read_until(end_of_headers);
        return worker;
    }
    std::uint64_t opened()
    {
        std::uint64_t count = 0;
        on_loop([&] { count = pool.connections_opened(); });
        return count;
    }

    asio::io_context io;
    backend_pool pool{io};
    raw_socket listener = raw_socket::listening();

private:
    std::uint16_t const port_ = listener.port();
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    std::thread runner_;
};

char const* const ok_response =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

} // namespace

TEST_CASE("a connection is reused after a complete answer", "[backend_pool]")
{
    pool_fixture world;
    observed_exchange first;
    world.send(first);
    raw_socket worker = world.accept();
    worker.send(ok_response);
    first.wait();
    CHECK(first.status == 200);
    CHECK(first.body == "ok");
    CHECK(first.framed);
    observed_exchange second;
    world.send(second);
    worker.read_until(end_of_headers);
    worker.send(ok_response);
    second.wait();
    CHECK(second.ended);
    CHECK(world.opened() == 1);
}

// A worker sends a second answer after the first. The next request on the
// connection would receive the wrong answer, so the connection is closed.
TEST_CASE("bytes that belong to no request close their connection",
          "[backend_pool]")
{
    pool_fixture world;
    observed_exchange first;
    world.send(first);
    raw_socket worker = world.accept();
    worker.send(std::string(ok_response) + ok_response);
    first.wait();
    CHECK(first.body == "ok");
    CHECK(worker.read_some().empty());
    observed_exchange second;
    world.send(second);
    CHECK(world.opened() == 2);
}

// As above, but the second answer arrives while the connection is idle.
TEST_CASE("a late answer on an idle connection closes it", "[backend_pool]")
{
    pool_fixture world;
    observed_exchange first;
    world.send(first);
    raw_socket worker = world.accept();
    worker.send(ok_response);
    first.wait();
    worker.send(ok_response);
    CHECK(worker.read_some().empty());
    observed_exchange second;
    world.send(second);
    CHECK(world.opened() == 2);
}

namespace
{

answer_mark named(std::string value)
{
    return {"Number", std::move(value)};
}

answer_mark nameless()
{
    return named("");
}

/// An answer with these fields, each of which ends with a line break.
std::string answer_with(std::string const& fields, std::string const& body)
{
    return "HTTP/1.1 200 OK\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Sends a request on a new connection and answers it.
raw_socket exchange_first(pool_fixture& world, answer_mark const& mark,
                          std::string const& answer)
{
    observed_exchange first;
    world.send(first, mark);
    raw_socket worker = world.accept();
    worker.send(answer);
    first.wait();
    CHECK(first.ended);
    return worker;
}

} // namespace

// Guards against taking a late answer that names no request for that to the
// next request.
TEST_CASE("an answer without a name fails on a used connection",
          "[backend_pool]")
{
    std::string const fields = GENERATE("", "Number:\r\n");
    pool_fixture world;
    raw_socket const worker =
        exchange_first(world, named("1"), answer_with("number: 1\r\n", "one"));
    observed_exchange second;
    world.send(second, named("2"));
    worker.read_until(end_of_headers);
    worker.send(answer_with(fields, "late"));
    second.wait();
    CHECK(second.failed);
    CHECK(second.status == 0);
    CHECK(second.body.empty());
    CHECK(world.opened() == 1);
    CHECK(worker.read_some().empty());
}

// Guards against not serving at workers whose answers name no request, and
// against keeping connections on which answers cannot be told apart.
TEST_CASE("a connection is closed behind an answer without its name",
          "[backend_pool]")
{
    std::string const fields =
        GENERATE("", "Number: 2\r\n", "Number: 1\r\nNumber: 2\r\n");
    pool_fixture world;
    for (std::uint64_t count = 1; count <= 3; ++count)
    {
        raw_socket const worker =
            exchange_first(world, named("1"), answer_with(fields, "one"));
        CHECK(worker.read_some().empty());
        CHECK(world.opened() == count);
    }
}

TEST_CASE("an answer that names another request shows it to the observer",
          "[backend_pool]")
{
    pool_fixture world;
    raw_socket const worker =
        exchange_first(world, named("1"), answer_with("Number: 1\r\n", "one"));
    observed_exchange second;
    world.send(second, named("2"));
    worker.read_until(end_of_headers);
    worker.send(answer_with("Number: 0\r\n", "late"));
    second.wait();
    CHECK(second.headers.find("Number") == "0");
    CHECK(worker.read_some().empty());
}

namespace
{

std::string const copy_of_one = answer_with("Number: 1\r\n", "one");
std::string const answer_to_two = answer_with("Number: 2\r\n", "two");

/// Sends a second request behind one that was answered.
raw_socket send_second(pool_fixture& world, observed_exchange& second,
                       answer_mark const& mark = named("2"))
{
    raw_socket worker = exchange_first(world, named("1"), copy_of_one);
    world.send(second, mark);
    worker.read_until(end_of_headers);
    CHECK(world.opened() == 1);
    return worker;
}

} // namespace

// Guards against failing a request for a late copy of an earlier answer.
TEST_CASE("copies of an earlier answer are skipped", "[backend_pool]")
{
    std::string const copy = GENERATE(
        as<std::string>{}, copy_of_one, copy_of_one + copy_of_one + copy_of_one,
        "HTTP/1.1 100 Continue\r\n\r\n" + copy_of_one,
        "HTTP/1.1 503 Full\r\nNumber: 1\r\n"
        "Transfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n",
        "HTTP/1.1 204 None\r\nNumber: 1\r\nConnection: close\r\n\r\n");
    bool const at_once = GENERATE(true, false);
    pool_fixture world;
    observed_exchange second;
    raw_socket const worker = send_second(world, second);
    if (at_once)
        worker.send(copy + answer_to_two);
    else
        for (char const each : copy + answer_to_two)
            worker.send(std::string(1, each));
    second.wait();
    CHECK(second.ended);
    CHECK(second.status == 200);
    CHECK(second.body == "two");
    observed_exchange third;
    world.send(third, named("3"));
    worker.read_until(end_of_headers);
    worker.send(answer_to_two + answer_with("Number: 3\r\n", "three"));
    third.wait();
    CHECK(third.body == "three");
    CHECK(world.opened() == 1);
}

// Guards against joining a copy that was cut, or whose end cannot be told, with
// the answer behind it.
TEST_CASE("a copy without an end yields no answer", "[backend_pool]")
{
    std::string const copy = GENERATE(
        as<std::string>{}, "HTTP/1.1 200 OK\r\nNumber: 1\r\n\r\none",
        "HTTP/1.1 200 OK\r\nNumber: 1\r\nContent-Length: 500\r\n\r\none",
        "HTTP/1.1 200 OK\r\nNumber: 1\r\nContent-Length: 6\r\n\r\none",
        "HTTP/1.1 200 OK\r\nNumber: 1\r\n"
        "Transfer-Encoding: chunked\r\n\r\n3\r\none\r\n",
        "HTTP/1.1 200 OK\r\nNumber: 1\r\nConten");
    pool_fixture world;
    observed_exchange second;
    raw_socket worker = send_second(world, second);
    worker.send(copy + answer_to_two);
    worker.close();
    second.wait();
    CHECK(second.failed == call_stage::sent);
    CHECK(second.status == 0);
    CHECK(second.body.empty());
}

// Guards against joining the cut head of a copy with the answer behind it: the
// status of one with the name of the other.
TEST_CASE("a cut head of a copy takes no name from the answer behind it",
          "[backend_pool][cut_copies]")
{
    std::string const head =
        GENERATE(as<std::string>{}, "HTTP/1.1 421 Misdirected\r\nNumber: 1\r\n",
                 "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nNumber: 1\r\n");
    for (std::size_t size = 1; size < head.size(); ++size)
    {
        std::string const cut = head.substr(0, size);
        CAPTURE(cut);
        pool_fixture world;
        observed_exchange second;
        raw_socket worker = send_second(world, second);
        worker.send(cut + answer_to_two);
        worker.close();
        second.wait();
        CHECK_FALSE((second.status != 0 && second.status != 200 &&
                     second.headers.find("Number") == "2"));
    }
}

// Guards against waiting at a worker that sends copies without end.
TEST_CASE("an exchange fails behind too many copies", "[backend_pool]")
{
    pool_fixture world;
    observed_exchange second;
    raw_socket const worker = send_second(world, second);
    bool const many = GENERATE(true, false);
    if (many)
        for (int count = 0; count < 9; ++count)
            worker.send(copy_of_one);
    else
        worker.send(
            answer_with("Number: 1\r\n", std::string(2UL * 1024 * 1024, 'a')));
    second.wait();
    CHECK(second.failed == call_stage::sent);
    CHECK(second.status == 0);
}

// Guards against taking a copy for the answer to the same request, sent again.
TEST_CASE("a request that is sent again uses another connection",
          "[backend_pool]")
{
    pool_fixture world;
    raw_socket const worker = exchange_first(world, named("1"), copy_of_one);
    observed_exchange again;
    world.send(again, named("1"));
    CHECK(world.opened() == 2);
}

// Guards against the same behind more requests than a connection remembers.
TEST_CASE("a request that is sent again behind many uses another connection",
          "[backend_pool]")
{
    constexpr int others = 40;
    pool_fixture world;
    raw_socket const worker = exchange_first(world, named("1"), copy_of_one);
    for (int number = 2; number < 2 + others; ++number)
    {
        std::string const name = std::to_string(number);
        observed_exchange other;
        world.send(other, named(name));
        worker.read_until(end_of_headers);
        worker.send(answer_with("Number: " + name + "\r\n", ""));
        other.wait();
    }
    CHECK(world.opened() == 1);
    observed_exchange again;
    world.send(again, named("1"));
    CHECK(world.opened() == 2);
}

namespace
{

/// As of an order whose answer may well have one of the statuses.
answer_mark optionally_named(std::string value, std::set<int> statuses = {200})
{
    return {"Number", std::move(value), true, std::move(statuses)};
}

std::string unnamed(int status)
{
    return "HTTP/1.1 " + std::to_string(status) +
           " Done\r\nContent-Length: 0\r\n\r\n";
}

} // namespace

// Guards against a new connection for each order to a worker.
TEST_CASE("orders and requests share a connection", "[backend_pool]")
{
    pool_fixture world;
    observed_exchange order;
    raw_socket const worker = send_second(world, order, optionally_named("2"));
    worker.send(answer_to_two);
    order.wait();
    CHECK(order.body == "two");
    observed_exchange next;
    world.send(next, optionally_named("3"));
    worker.read_until(end_of_headers);
    worker.send(answer_with("Number: 3\r\n", "three"));
    next.wait();
    CHECK(next.body == "three");
    observed_exchange request;
    world.send(request, named("4"));
    worker.read_until(end_of_headers);
    worker.send(answer_with("Number: 4\r\n", "four"));
    request.wait();
    CHECK(request.ended);
    CHECK(world.opened() == 1);
}

// Guards against taking a late second answer to one order for that to the next.
TEST_CASE("a late copy of the answer to an order is skipped", "[backend_pool]")
{
    pool_fixture world;
    raw_socket const worker =
        exchange_first(world, optionally_named("1"), copy_of_one);
    observed_exchange next;
    world.send(next, optionally_named("2"));
    worker.read_until(end_of_headers);
    worker.send(copy_of_one + answer_to_two);
    next.wait();
    CHECK(next.body == "two");
    CHECK(world.opened() == 1);
}

// Guards against a new connection for each order to a worker whose answers to
// orders name none.
TEST_CASE("orders whose answers differ share a connection", "[backend_pool]")
{
    pool_fixture world;
    observed_exchange first;
    raw_socket const worker =
        send_second(world, first, optionally_named("2", {202}));
    worker.send(unnamed(202));
    first.wait();
    CHECK(first.status == 202);
    observed_exchange second;
    world.send(second, optionally_named("3", {200}));
    worker.read_until(end_of_headers);
    worker.send(unnamed(200));
    second.wait();
    CHECK(second.status == 200);
    observed_exchange request;
    world.send(request, named("4"));
    worker.read_until(end_of_headers);
    worker.send(answer_with("Number: 4\r\n", "four"));
    request.wait();
    CHECK(request.body == "four");
    // All copies of earlier answers have come before that answer.
    observed_exchange third;
    world.send(third, optionally_named("5", {200}));
    worker.read_until(end_of_headers);
    worker.send(unnamed(200));
    third.wait();
    CHECK(third.status == 200);
    CHECK(world.opened() == 1);
}

// Guards against taking a late second answer to one order for that to the next.
TEST_CASE("an order goes out where copies have another status",
          "[backend_pool]")
{
    std::string const fields = GENERATE("", "Number:\r\n");
    auto const possible =
        GENERATE(std::set<int>{200}, std::set<int>{202, 200}, std::set<int>{});
    pool_fixture world;
    observed_exchange first;
    raw_socket const worker = send_second(world, first, optionally_named("2"));
    worker.send(answer_with(fields, "first"));
    first.wait();
    CHECK(first.body == "first");
    observed_exchange next;
    world.send(next, optionally_named("3", possible));
    CHECK(world.opened() == 2);
}

// Guards against the same, and against failing requests for such a copy.
TEST_CASE("a copy of an unnamed answer is skipped", "[backend_pool]")
{
    bool const is_order = GENERATE(true, false);
    pool_fixture world;
    observed_exchange first;
    raw_socket const worker =
        send_second(world, first, optionally_named("2", {202}));
    worker.send(unnamed(202));
    first.wait();
    observed_exchange next;
    world.send(next, is_order ? optionally_named("3", {200}) : named("3"));
    worker.read_until(end_of_headers);
    worker.send(unnamed(202) +
                (is_order ? unnamed(200) : answer_with("Number: 3\r\n", "")));
    next.wait();
    CHECK(next.status == 200);
    CHECK(world.opened() == 1);
}

// Guards against skipping an order's own answer as a copy, and against
// believing a copy.
TEST_CASE("an answer to an order that may be a copy decides nothing",
          "[backend_pool]")
{
    pool_fixture world;
    observed_exchange first;
    raw_socket const worker = send_second(world, first, optionally_named("2"));
    worker.send(unnamed(200));
    first.wait();
    observed_exchange next;
    world.send(next, optionally_named("3", {202, 409}));
    worker.read_until(end_of_headers);
    worker.send(unnamed(200));
    next.wait();
    CHECK(next.failed);
    CHECK(next.status == 0);
    CHECK(world.opened() == 1);
    CHECK(worker.read_some().empty());
}

// Guards against waiting in vain for an answer that changes nothing.
TEST_CASE("an answer without news need not be told from a copy",
          "[backend_pool]")
{
    pool_fixture world;
    observed_exchange first;
    raw_socket const worker =
        send_second(world, first, optionally_named("2", {202}));
    worker.send(unnamed(202));
    first.wait();
    observed_exchange poll;
    answer_mark mark = optionally_named("3", {200});
    mark.harmless_status = 202;
    world.send(poll, mark);
    worker.read_until(end_of_headers);
    worker.send(unnamed(202));
    poll.wait();
    CHECK(poll.status == 202);
    // The poll's own answer may be yet to come.
    CHECK(worker.read_some().empty());
}

TEST_CASE("an answer that names another request fails an order",
          "[backend_pool]")
{
    bool const reused = GENERATE(true, false);
    pool_fixture world;
    observed_exchange order;
    raw_socket const worker = [&]
    {
        if (reused)
            return send_second(world, order, optionally_named("2"));
        world.send(order, optionally_named("2"));
        return world.accept();
    }();
    worker.send(answer_with("Number: 0\r\n", "late"));
    order.wait();
    CHECK(order.failed);
    CHECK(order.status == 0);
    CHECK(worker.read_some().empty());
}

// Guards against mixing up the answers to requests that have no names.
TEST_CASE("a connection is closed behind a request without a name",
          "[backend_pool]")
{
    pool_fixture world;
    raw_socket const worker =
        exchange_first(world, nameless(), answer_with("", "first"));
    CHECK(worker.read_some().empty());
    observed_exchange next;
    world.send(next, named("1"));
    CHECK(world.opened() == 2);
}

// Guards against taking a late answer for that to a request without a name.
TEST_CASE("an answer with a name fails a request without one", "[backend_pool]")
{
    pool_fixture world;
    observed_exchange second;
    raw_socket const worker = send_second(world, second, nameless());
    worker.send(answer_with("Number: 0\r\n", "late"));
    second.wait();
    CHECK(second.failed);
    CHECK(second.status == 0);
    CHECK(worker.read_some().empty());
}

// Guards against keeping a connection on which a worker has yet to read the
// rest of the request.
TEST_CASE("an answer before the end of its request closes the connection",
          "[backend_pool]")
{
    pool_fixture world;
    observed_exchange only;
    world.on_loop(
        [&]
        {
            exchange_options options;
            options.connect_timeout = 10s;
            options.mark = named("1");
            // More than the buffers of both sockets take.
            std::string const body(64UL * 1024 * 1024, 'a');
            world.pool.start(
                {"127.0.0.1", world.listener.port()},
                "POST / HTTP/1.1\r\nContent-Length: " +
                    std::to_string(body.size()) + "\r\n\r\n" + body,
                options, std::make_shared<exchange_recorder>(only));
        });
    raw_socket const worker = world.accept();
    worker.send(answer_with("Number: 1\r\n", "early"));
    only.wait();
    CHECK(only.body == "early");
    observed_exchange second;
    world.send(second, named("2"));
    CHECK(world.opened() == 2);
}

// The worker closes a reused connection after a request was sent. The request
// may have run, so it is reported as sent and is not retried.
TEST_CASE("a request on a connection that breaks is not repeated",
          "[backend_pool]")
{
    pool_fixture world;
    observed_exchange first;
    world.send(first);
    raw_socket worker = world.accept();
    worker.send(ok_response);
    first.wait();
    observed_exchange second;
    world.send(second);
    worker.read_until(end_of_headers);
    worker.close();
    second.wait();
    CHECK(second.failed == call_stage::sent);
    CHECK(world.opened() == 1);
}

TEST_CASE("a failed connect is reported as not sent", "[backend_pool]")
{
    pool_fixture world;
    world.listener.close();
    observed_exchange only;
    world.send(only);
    only.wait();
    CHECK(only.failed == call_stage::not_sent);
}

TEST_CASE("a truncated answer fails in stage answering", "[backend_pool]")
{
    pool_fixture world;
    observed_exchange only;
    world.send(only);
    raw_socket worker = world.accept();
    worker.send("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf");
    worker.close();
    only.wait();
    CHECK(only.failed == call_stage::answering);
    CHECK_FALSE(only.ended);
}

TEST_CASE("an answer without a length ends with its connection",
          "[backend_pool]")
{
    pool_fixture world;
    observed_exchange only;
    world.send(only);
    raw_socket worker = world.accept();
    worker.send("HTTP/1.1 200 OK\r\n\r\nwhole");
    worker.close();
    only.wait();
    CHECK(only.ended);
    CHECK_FALSE(only.framed);
    CHECK(only.body == "whole");
}

TEST_CASE("an interim answer is skipped", "[backend_pool]")
{
    pool_fixture world;
    observed_exchange only;
    world.send(only);
    raw_socket worker = world.accept();
    worker.send(std::string("HTTP/1.1 102 Processing\r\n\r\n") + ok_response);
    only.wait();
    CHECK(only.status == 200);
    CHECK(only.body == "ok");
}

TEST_CASE("bytes that are not an HTTP answer fail the exchange",
          "[backend_pool]")
{
    pool_fixture world;
    observed_exchange only;
    world.send(only);
    raw_socket worker = world.accept();
    worker.send("what is this\r\n\r\n");
    only.wait();
    CHECK(only.failed == call_stage::sent);
}

// Guards against joining the name of a field without a value to the next one.
TEST_CASE("header fields without a value are kept apart", "[backend_pool]")
{
    std::string const head = "HTTP/1.1 200 OK\r\nEmpty:\r\nNumber: 7\r\n"
                             "Blank: \t\r\nTwice: a\r\nTwice:\r\n"
                             "Twice: b\r\nContent-Length: 0\r\nLast:\r\n\r\n";
    std::vector<std::pair<std::string, std::string>> const expected{
        {"Empty", ""}, {"Number", "7"}, {"Blank", ""},           {"Twice", "a"},
        {"Twice", ""}, {"Twice", "b"},  {"Content-Length", "0"}, {"Last", ""}};
    pool_fixture world;
    observed_exchange whole;
    world.send(whole);
    raw_socket const worker = world.accept();
    worker.send(head);
    whole.wait();
    CHECK(whole.headers.fields() == expected);
}

TEST_CASE("a cancelled exchange reports no more events", "[backend_pool]")
{
    pool_fixture world;
    observed_exchange only;
    auto const running = world.send(only);
    raw_socket worker = world.accept();
    world.on_loop([&] { running->cancel(); });
    CHECK(worker.read_some().empty());
    world.on_loop([&] { CHECK_FALSE(only.ended); });
    world.on_loop([&] { CHECK_FALSE(only.failed); });
}

// A worker accepts a request and never answers. The call ends at its deadline
// and reports the timeout once.
TEST_CASE("a collected call times out at its deadline", "[backend_pool]")
{
    pool_fixture world;
    std::promise<collected_answer> promise;
    world.on_loop(
        [&]
        {
            collected_call call;
            call.to = {"127.0.0.1", world.listener.port()};
            call.bytes = "GET / HTTP/1.1\r\nHost: w\r\n\r\n";
            call.current_deadline = [ends = std::chrono::steady_clock::now() +
                                            30ms] { return ends; };
            call.on_end = [&promise](collected_answer answer)
            { promise.set_value(std::move(answer)); };
            start_collected(world.io, world.pool, std::move(call));
        });
    collected_answer const answer = promise.get_future().get();
    CHECK(answer.timed_out);
    CHECK(answer.status == 0);
}

// Guards against a VM whose memory an endless answer to an order uses up.
TEST_CASE("a collected answer that is too large counts as none",
          "[backend_pool]")
{
    pool_fixture world;
    std::promise<collected_answer> promise;
    world.on_loop(
        [&]
        {
            collected_call call;
            call.to = {"127.0.0.1", world.listener.port()};
            call.bytes = "GET / HTTP/1.1\r\nHost: w\r\n\r\n";
            call.max_body_bytes = 1000;
            call.current_deadline = [ends = std::chrono::steady_clock::now() +
                                            20s] { return ends; };
            call.on_end = [&promise](collected_answer answer)
            { promise.set_value(std::move(answer)); };
            start_collected(world.io, world.pool, std::move(call));
        });
    raw_socket const worker = world.accept();
    worker.send("HTTP/1.1 200 OK\r\n\r\n" + std::string(1001, 'a'));
    collected_answer const answer = promise.get_future().get();
    CHECK(answer.status == 0);
    CHECK(answer.body.empty());
    CHECK_FALSE(answer.timed_out);
    CHECK(worker.read_some().empty());
}

namespace
{

char const* const cut_heads[] = {
    "HTTP/1.1 200 OK\r\nProof: s\r\nContent-Length: 2\r\n\r\n",
    "HTTP/1.1 200 OK\r\nProof: s\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nProof: s\r\n\r\n",
    "HTTP/1.1 204 No Content\r\nProof: s\r\n\r\n",
    "HTTP/1.0 200 OK\r\nProof: s\r\n\r\n",
    "HTTP/1.1 200\r\nConnection: close\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: a\r\n\r\n",
    "HTTP/1.1 200 OK\r\nProof: s\r\n folded\r\n\tagain\r\n\r\n",
    "HTTP/1.1 200 OK\nProof: s\nContent-Length: 0\n\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
    "Content-Length: 0\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
    "HTTP/1.1 101 Switching Protocols\r\nUpgrade: a\r\n"
    "Connection: upgrade\r\n\r\n"};

} // namespace

// Guards against taking a head that a worker cut for that of an answer without
// a body.
TEST_CASE("an answer whose head is cut fails at every byte", "[backend_pool]")
{
    for (std::string const head : cut_heads)
        for (bool const reused : {false, true})
            for (std::size_t size = 0; size < head.size(); ++size)
            {
                CAPTURE(head, reused, size);
                pool_fixture world;
                observed_exchange exchange;
                std::optional<observed_exchange> first;
                if (reused)
                    world.send(first.emplace());
                else
                    world.send(exchange);
                raw_socket worker = world.accept();
                if (reused)
                {
                    worker.send(ok_response);
                    first->wait();
                    world.send(exchange);
                    worker.read_until(end_of_headers);
                }
                worker.send(head.substr(0, size));
                worker.close();
                exchange.wait();
                CHECK(exchange.failed == call_stage::sent);
                CHECK(exchange.status == 0);
                CHECK_FALSE(exchange.ended);
            }
}

// Guards against telling a part of an answer as a whole one: the write of the
// request takes the connection's error, and the read sees the end only.
TEST_CASE("an answer without a length that is reset while its request is "
          "written is incomplete",
          "[backend_pool]")
{
    constexpr std::size_t more_than_buffers = 64UL * 1024 * 1024;
    asio::io_context io{1};
    backend_pool pool(io);
    raw_socket const listener = raw_socket::listening();
    observed_exchange upload;
    bool const in_order = GENERATE(true, false);
    pool.start({"127.0.0.1", listener.port()},
               {"POST / HTTP/1.1\r\nHost: w\r\n\r\n",
                std::make_shared<std::string const>(more_than_buffers, 'u')},
               {}, std::make_shared<exchange_recorder>(upload));
    io.run_for(200ms);
    raw_socket worker = listener.accepted();
    worker.send("HTTP/1.1 200 OK\r\n\r\n");
    if (in_order)
        while (upload.status == 0)
            io.run_one_for(1s);
    worker.send("half");
    if (in_order)
        while (upload.body.empty())
            io.run_one_for(1s);
    // The write waits for the worker, which has read nothing.
    worker.reset();
    while (!upload.ended && !upload.failed)
        io.run_one_for(1s);
    CHECK_FALSE(upload.ended);
    CHECK(upload.failed == call_stage::answering);
}

// Guards against failing answers of workers that read the whole request after
// they have answered.
TEST_CASE("an answer without a length that closes in order is complete",
          "[backend_pool]")
{
    pool_fixture world;
    observed_exchange only;
    world.send(only);
    raw_socket worker = world.accept();
    worker.send("HTTP/1.1 200 OK\r\n\r\nwhole");
    worker.close();
    only.wait();
    CHECK(only.ended);
    CHECK_FALSE(only.framed);
    CHECK(only.body == "whole");
}
