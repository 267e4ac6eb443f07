#include "http_server.hpp"
#include "json_rpc.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <stdexcept>
#include <thread>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

rpc_server make_server()
{
    return rpc_server({{"add",
                        [](Json::Value const& parameters) {
                            return Json::Value(parameters["a"].asInt() +
                                               parameters["b"].asInt());
                        }},
                       {"refuse",
                        [](Json::Value const&) -> Json::Value
                        { throw rpc_failure(17, "not the owner"); }},
                       {"break", [](Json::Value const&) -> Json::Value {
                            throw std::logic_error("broken");
                        }}});
}

/// Serves `server` to callers with the key "right"; aborts answers to /lost.
http_handler handler_of(rpc_server& server)
{
    return [&server](http_request const& request,
                     std::shared_ptr<http_answer> const& answer)
    {
        if (request.path == "/lost")
            answer->abort();
        else if (request.headers.find("authorization") != "Bearer right")
            answer->respond(json_response(401, "{}"));
        else
            answer->respond(json_response(200, server.handle(request.body)));
    };
}

struct listener
{
    rpc_server rpc = make_server();
    http_server http{{}, handler_of(rpc)};
    http_client client;

    rpc_client caller(std::string const& key, std::string const& path = "/")
    {
        return rpc_client(
            client, "http://127.0.0.1:" + std::to_string(http.port()) + path,
            key);
    }
};

std::chrono::steady_clock::time_point test_deadline()
{
    return std::chrono::steady_clock::now() + 20s;
}

Json::Value add_parameters(int a, int b)
{
    Json::Value parameters;
    parameters["a"] = a;
    parameters["b"] = b;
    return parameters;
}

int failure_code(rpc_client& caller, std::string const& method)
{
    try
    {
        caller.call(method, add_parameters(1, 2), test_deadline());
    }
    catch (rpc_failure const& failure)
    {
        return failure.code();
    }
    return 0;
}

} // namespace

TEST_CASE("each of many concurrent callers receives its own result",
          "[json_rpc]")
{
    listener listener;
    rpc_client caller = listener.caller("right");
    std::atomic<int> right{0};
    std::vector<std::thread> threads;
    threads.reserve(8);
    for (int i = 0; i < 8; ++i)
    {
        threads.emplace_back(
            [&, i]
            {
                for (int j = 0; j < 20; ++j)
                {
                    auto const sum = caller.call("add", add_parameters(i, j),
                                                 test_deadline());
                    right += sum.asInt() == i + j ? 1 : 0;
                }
            });
    }
    for (std::thread& thread : threads)
        thread.join();
    CHECK(right == 160);
}

TEST_CASE("the caller receives the code and text of a method's failure",
          "[json_rpc]")
{
    listener listener;
    rpc_client caller = listener.caller("right");
    CHECK(failure_code(caller, "refuse") == 17);
    CHECK(failure_code(caller, "break") == -32603);
    CHECK(failure_code(caller, "no such method") == -32601);
    CHECK_THROWS_WITH(caller.call("refuse", {}, test_deadline()),
                      "not the owner");
}

TEST_CASE("a call that fails in transport reports whether it may have run",
          "[json_rpc]")
{
    listener listener;
    auto refused = listener.caller("wrong");
    CHECK(failure_code(refused, "add") == rpc_refused);
    auto lost = listener.caller("right", "/lost");
    CHECK(failure_code(lost, "add") == rpc_outcome_unknown);
    rpc_client unreachable(listener.client, "http://127.0.0.1:1/", "right");
    CHECK(failure_code(unreachable, "add") == rpc_not_sent);
}

TEST_CASE("an invalid request body is answered with an error", "[json_rpc]")
{
    auto server = make_server();
    CHECK(server.handle("{").find("-32700") != std::string::npos);
    auto const body = GENERATE(R"({"jsonrpc":"2.0","id":1})", "[]", "1", "",
                               R"({"jsonrpc":"2.0","method":7,"id":1})",
                               R"({"jsonrpc":"2.0","method":"add","id":1,)"
                               R"("params":"text"})");
    CHECK(server.handle(body).find("error") != std::string::npos);
}
