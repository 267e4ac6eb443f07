/// JSON-RPC 2.0 between the system's own processes, with libjsonrpccpp.
#ifndef MULBERRY_JSON_RPC_HPP
#define MULBERRY_JSON_RPC_HPP

#include "http_client.hpp"
#include "http_message.hpp"

#include <json/value.h>

#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>

namespace mulberry
{

/// A method: receives the named parameters (an object) and returns the result.
/// Throws rpc_failure to answer an error; any other exception is answered as an
/// internal error (-32603).
using rpc_method = std::function<Json::Value(Json::Value const& parameters)>;

/// Codes of failures in transport. Every other code was answered by the server.
enum rpc_failure_code : int
{
    /// No byte was sent: the method did not run.
    rpc_not_sent = -32090,
    /// The method may have run; no complete answer was received.
    rpc_outcome_unknown = -32091,
    /// The listener answered an HTTP status other than 200, such as for a wrong
    /// key.
    rpc_refused = -32092
};

/// An error answered by the server, or a failure in transport (see
/// rpc_failure_code).
class rpc_failure : public std::runtime_error
{
public:
    /// `data` is the `data` member of the JSON-RPC error; null for none.
    rpc_failure(int code, std::string const& text, Json::Value data = {});
    int code() const { return code_; }
    Json::Value const& data() const { return data_; }

private:
    int code_;
    Json::Value data_;
};

/// Dispatches JSON-RPC request bodies from the HTTP listeners to methods.
/// Thread safety: any thread, after construction.
class rpc_server
{
public:
    explicit rpc_server(std::map<std::string, rpc_method> const& methods);
    ~rpc_server();
    /// Returns the JSON-RPC response to a request body; empty if the body asks
    /// for no response. An invalid body is answered with an error, never
    /// thrown.
    std::string handle(std::string const& body);

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

/// Calls methods at one URL. Thread safety: any thread.
class rpc_client
{
public:
    /// Precondition: `client` outlives this object. `key` is sent as a bearer
    /// token.
    rpc_client(http_client& client, std::string url, std::string key);
    ~rpc_client();
    /// Waits for the result until the deadline. Throws rpc_failure if the call
    /// fails or does not end in time. Precondition: not called on the thread of
    /// the HTTP client.
    Json::Value call(std::string const& method, Json::Value const& parameters,
                     std::chrono::steady_clock::time_point deadline);

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace mulberry

#endif
