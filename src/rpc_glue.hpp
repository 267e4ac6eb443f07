/// A wrapper of libjsonrpccpp whose header can be included under any C++
/// standard. Private to json_rpc.cpp.
#ifndef MULBERRY_RPC_GLUE_HPP
#define MULBERRY_RPC_GLUE_HPP

#include <json/value.h>

#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>

namespace mulberry
{

/// A JSON-RPC error that passes through the library, from a method to the
/// response or from a response to the caller.
class rpc_glue_error : public std::runtime_error
{
public:
    rpc_glue_error(int code, std::string const& text,
                   Json::Value const& data = Json::Value())
        : std::runtime_error(text), code_(code), data_(data)
    {
    }
    int code() const { return code_; }
    Json::Value const& data() const { return data_; }

private:
    int code_;
    Json::Value data_;
};

/// A method: receives the parameters and returns the result. Throws
/// rpc_glue_error to answer an error.
using rpc_glue_method = std::function<Json::Value(Json::Value const&)>;
/// Sends a request body, returns the response body. Throws rpc_glue_error.
using rpc_glue_sender = std::function<std::string(std::string const&)>;

/// Thread safety: any thread, after construction.
class rpc_glue_server
{
public:
    explicit rpc_glue_server(std::map<std::string, rpc_glue_method> methods);
    ~rpc_glue_server();
    std::string handle(std::string const& body);

private:
    class dispatcher;
    std::unique_ptr<dispatcher> dispatcher_;
};

/// Makes one call and returns its result. Throws rpc_glue_error for an error in
/// the response or a failure of the sender.
Json::Value rpc_glue_call(rpc_glue_sender const& sender,
                          std::string const& method,
                          Json::Value const& parameters);

} // namespace mulberry

#endif
