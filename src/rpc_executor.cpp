#include "rpc_executor.hpp"

#include "error_page.hpp"

#include <chrono>
#include <utility>

namespace mulberry
{
namespace
{

constexpr std::chrono::hours idle_wait{1};

} // namespace

rpc_executor::rpc_executor(std::map<std::string, rpc_method> const& methods,
                           std::size_t capacity)
    : server_(methods), ring_(capacity), thread_([this] { run(); })
{
}

rpc_executor::~rpc_executor()
{
    ring_.close();
    thread_.join();
}

void rpc_executor::submit(std::string body, std::shared_ptr<http_answer> out)
{
    if (!ring_.try_push({std::move(body), out}))
        out->respond(error_page(
            error(error_kind::overloaded, "the queue of RPC requests is full"),
            ""));
}

void rpc_executor::run()
{
    while (!ring_.closed())
    {
        auto next = ring_.pop(std::chrono::steady_clock::now() + idle_wait);
        if (next)
            next->out->respond(json_response(200, server_.handle(next->body)));
    }
}

bool is_authorized(http_request const& request, std::string const& key)
{
    std::string const wanted = "Bearer " + key;
    std::string const given =
        request.headers.find("Authorization").value_or("");
    if (given.size() != wanted.size())
        return false;
    unsigned difference = 0;
    for (std::size_t i = 0; i < wanted.size(); ++i)
        difference |= static_cast<unsigned char>(wanted[i]) ^
                      static_cast<unsigned char>(given[i]);
    return difference == 0;
}

http_response unauthorized_response()
{
    return error_page(
        error(error_kind::unauthorized, "the key is missing or wrong"), "");
}

} // namespace mulberry
