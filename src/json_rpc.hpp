/// JSON-RPC 2.0 between the system's own processes, by libjsonrpccpp.
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

/// A method: takes the named parameters (an object), returns the result.
/// Throws rpc_failure to answer an error; any other exception is answered as
/// an internal error (-32603).
using rpc_method = std::function<Json::Value(Json::Value const& parameters)>;

/// Codes of failures met on the way; every other code was answered.
enum rpc_failure_code : int
{
    /// No byte was sent: the method did not run.
    rpc_not_sent = -32090,
    /// It may have run; the answer did not come whole.
    rpc_outcome_unknown = -32091,
    /// The listener answered another status than 200, as to a wrong key.
    rpc_refused = -32092
};

/// An error answered by a method, or met on the way.
class rpc_failure : public std::runtime_error
{
public:
    /// `data` is the error's further member; null for none.
    rpc_failure(int code, std::string const& text, Json::Value data = {});
    int code() const { return code_; }
    Json::Value const& data() const { return data_; }

private:
    int code_;
    Json::Value data_;
};

/// Dispatches JSON-RPC request bodies to methods: the server connector that
/// the HTTP listeners call. Thread safe once built.
class rpc_server
{
public:
    explicit rpc_server(std::map<std::string, rpc_method> const& methods);
    ~rpc_server();
    /// The JSON-RPC response to a request body: never throws for a bad body,
    /// and is empty if the body asks for none.
    std::string handle(std::string const& body);

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

/// Calls methods at one URL. Thread safe.
class rpc_client
{
public:
    /// `client` outlives this object. `key` is sent as a bearer token.
    rpc_client(http_client& client, std::string url, std::string key);
    ~rpc_client();
    /// Throws rpc_failure. The call is given up at the deadline. Waits: not on
    /// the thread of the HTTP client.
    Json::Value call(std::string const& method, Json::Value const& parameters,
                     std::chrono::steady_clock::time_point deadline);

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace mulberry

#endif
