/// Answers JSON-RPC requests of a door on a thread of its own, so that a
/// method that waits never holds up the door.
#ifndef MULBERRY_RPC_DESK_HPP
#define MULBERRY_RPC_DESK_HPP

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
class rpc_desk
{
public:
    rpc_desk(std::map<std::string, rpc_method> const& methods,
             std::size_t capacity);
    ~rpc_desk();
    /// Queues a request; answered as overloaded if there is no room.
    void take(std::string body, std::shared_ptr<http_answer> out);

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

/// Whether the request carries the door's key as a bearer token. Takes the
/// same time wherever the texts differ.
bool has_key(http_request const& request, std::string const& key);

/// What a door without the key answers to everything.
http_response key_refusal();

} // namespace mulberry

#endif
