/// Runs a listener's JSON-RPC requests on a separate thread, so that a blocking
/// method does not delay the listener.
#ifndef MULBERRY_RPC_EXECUTOR_HPP
#define MULBERRY_RPC_EXECUTOR_HPP

#include "bounded_ring.hpp"
#include "http_server.hpp"
#include "json_rpc.hpp"

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <thread>

namespace mulberry
{

/// Requests run one after another, in the order of submit().
///
/// Thread safety: submit() may be called from any thread. The destructor waits
/// for the method that is running.
class rpc_executor
{
public:
    /// At most `capacity` requests wait.
    rpc_executor(std::map<std::string, rpc_method> const& methods,
                 std::size_t capacity);
    ~rpc_executor();
    /// Queues a request; `out` gets the error `overloaded` if the queue is
    /// full.
    void submit(std::string body, std::shared_ptr<http_answer> out);

private:
    struct job
    {
        std::string body;
        std::shared_ptr<http_answer> out;
    };

    void run();

    rpc_server server_;
    bounded_ring<job> ring_;
    std::thread thread_;
};

/// Returns whether the request has `key` as its bearer token. The time taken
/// does not depend on where the token and the key differ.
bool is_authorized(http_request const& request, std::string const& key);

/// Returns the response to a request whose key is missing or wrong.
http_response unauthorized_response();

} // namespace mulberry

#endif
