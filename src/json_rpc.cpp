#include "json_rpc.hpp"

#include "rpc_glue.hpp"

#include <utility>

namespace mulberry
{

namespace
{

constexpr int ok = 200;

/// Wraps a method so that its rpc_failure is thrown as rpc_glue_error with the
/// same code, text and data.
rpc_glue_method to_glue_method(rpc_method method)
{
    return [method = std::move(method)](Json::Value const& parameters)
    {
        try
        {
            return method(parameters);
        }
        catch (rpc_failure const& failure)
        {
            throw rpc_glue_error(failure.code(), failure.what(),
                                 failure.data());
        }
    };
}

std::map<std::string, rpc_glue_method>
to_glue_method(std::map<std::string, rpc_method> const& methods)
{
    std::map<std::string, rpc_glue_method> result;
    for (auto const& [name, method] : methods)
        result.emplace(name, to_glue_method(method));
    return result;
}

int failure_code_of(call_stage stage)
{
    return stage == call_stage::not_sent ? rpc_not_sent : rpc_outcome_unknown;
}

} // namespace

rpc_failure::rpc_failure(int code, std::string const& text, Json::Value data)
    : std::runtime_error(text), code_(code), data_(std::move(data))
{
}

class rpc_server::implementation
{
public:
    explicit implementation(std::map<std::string, rpc_method> const& methods)
        : server_(to_glue_method(methods))
    {
    }
    std::string handle(std::string const& body) { return server_.handle(body); }

private:
    rpc_glue_server server_;
};

rpc_server::rpc_server(std::map<std::string, rpc_method> const& methods)
    : implementation_(std::make_unique<implementation>(methods))
{
}

rpc_server::~rpc_server() = default;

std::string rpc_server::handle(std::string const& body)
{
    return implementation_->handle(body);
}

class rpc_client::implementation
{
public:
    implementation(http_client& client, std::string url, std::string key)
        : client_(client), url_(std::move(url)), key_(std::move(key))
    {
    }

    Json::Value call(std::string const& method, Json::Value const& parameters,
                     std::chrono::steady_clock::time_point deadline)
    {
        auto const sender = [this, deadline](std::string const& body)
        { return send(body, deadline); };
        try
        {
            return rpc_glue_call(sender, method, parameters);
        }
        catch (rpc_glue_error const& error)
        {
            throw rpc_failure(error.code(), error.what(), error.data());
        }
    }

private:
    std::string send(std::string const& body,
                     std::chrono::steady_clock::time_point deadline)
    {
        http_call call;
        call.method = "POST";
        call.url = url_;
        call.headers.add("Content-Type", "application/json");
        call.headers.add("Authorization", "Bearer " + key_);
        call.body = body;
        call.deadline = deadline;
        http_client::result result = client_.call_and_wait(std::move(call));
        if (result.status == 0)
            throw rpc_glue_error(failure_code_of(result.stage), result.body);
        if (result.status != ok)
            throw rpc_glue_error(
                rpc_refused, "HTTP status " + std::to_string(result.status));
        return std::move(result.body);
    }

    http_client& client_;
    std::string const url_;
    std::string const key_;
};

rpc_client::rpc_client(http_client& client, std::string url, std::string key)
    : implementation_(std::make_unique<implementation>(client, std::move(url),
                                                       std::move(key)))
{
}

rpc_client::~rpc_client() = default;

Json::Value rpc_client::call(std::string const& method,
                             Json::Value const& parameters,
                             std::chrono::steady_clock::time_point deadline)
{
    return implementation_->call(method, parameters, deadline);
}

} // namespace mulberry
