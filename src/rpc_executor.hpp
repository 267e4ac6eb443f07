/// Answers JSON-RPC requests of a listener on a thread of its own, so that a
/// method that waits never holds up the listener.
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

/// Thread safe but for the destructor.
class rpc_executor
{
public:
    rpc_executor(std::map<std::string, rpc_method> const& methods,
                 std::size_t capacity);
    ~rpc_executor();
    /// Queues a request; answered as overloaded if there is no room.
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

/// Whether the request carries the listener's key as a bearer token. Takes the
/// same time wherever the texts differ.
bool is_authorized(http_request const& request, std::string const& key);

/// What a listener without the key answers to everything.
http_response unauthorized_response();

} // namespace mulberry

#endif
