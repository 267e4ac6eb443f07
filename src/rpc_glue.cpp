#include "rpc_glue.hpp"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/common/errors.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iclientconnectionhandler.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <utility>

namespace mulberry
{

namespace
{

/// Passes the library's request bodies to the sender.
class sender_connector : public jsonrpc::IClientConnector
{
public:
    explicit sender_connector(rpc_glue_sender const& sender) : sender_(sender)
    {
    }

    // The library's exception specification allows only JsonRpcException: any
    // other exception would terminate the process.
    void SendRPCMessage(std::string const& message, std::string& result) throw(
        jsonrpc::JsonRpcException) override
    {
        try
        {
            result = sender_(message);
        }
        catch (rpc_glue_error const& error)
        {
            throw jsonrpc::JsonRpcException(error.code(), error.what());
        }
        catch (std::exception const& error)
        {
            throw jsonrpc::JsonRpcException(
                jsonrpc::Errors::ERROR_CLIENT_CONNECTOR, error.what());
        }
    }

private:
    rpc_glue_sender const& sender_;
};

} // namespace

class rpc_glue_server::dispatcher : public jsonrpc::IProcedureInvokationHandler
{
public:
    explicit dispatcher(std::map<std::string, rpc_glue_method> methods)
        : methods_(std::move(methods)),
          protocol_(jsonrpc::RequestHandlerFactory::createProtocolHandler(
              jsonrpc::JSONRPC_SERVER_V2, *this))
    {
        for (auto const& entry : methods_)
        {
            jsonrpc::Procedure procedure;
            procedure.SetProcedureName(entry.first);
            procedure.SetProcedureType(jsonrpc::RPC_METHOD);
            procedure.SetReturnType(jsonrpc::JSON_OBJECT);
            procedure.SetParameterDeclarationType(jsonrpc::PARAMS_BY_NAME);
            protocol_->AddProcedure(procedure);
        }
    }

    std::string handle(std::string const& body)
    {
        std::string response;
        protocol_->HandleRequest(body, response);
        return response;
    }

    void HandleMethodCall(jsonrpc::Procedure& procedure,
                          Json::Value const& input,
                          Json::Value& output) override
    {
        try
        {
            output = methods_.at(procedure.GetProcedureName())(input);
        }
        catch (rpc_glue_error const& error)
        {
            throw jsonrpc::JsonRpcException(error.code(), error.what(),
                                            error.data());
        }
        catch (std::exception const& error)
        {
            throw jsonrpc::JsonRpcException(
                jsonrpc::Errors::ERROR_RPC_INTERNAL_ERROR, error.what());
        }
    }

    void HandleNotificationCall(jsonrpc::Procedure& procedure,
                                Json::Value const& input) override
    {
        Json::Value ignored;
        HandleMethodCall(procedure, input, ignored);
    }

private:
    std::map<std::string, rpc_glue_method> const methods_;
    std::unique_ptr<jsonrpc::IProtocolHandler> const protocol_;
};

rpc_glue_server::rpc_glue_server(std::map<std::string, rpc_glue_method> methods)
    : dispatcher_(new dispatcher(std::move(methods)))
{
}

rpc_glue_server::~rpc_glue_server() = default;

std::string rpc_glue_server::handle(std::string const& body)
{
    return dispatcher_->handle(body);
}

Json::Value rpc_glue_call(rpc_glue_sender const& sender,
                          std::string const& method,
                          Json::Value const& parameters)
{
    sender_connector connection(sender);
    jsonrpc::Client client(connection, jsonrpc::JSONRPC_CLIENT_V2);
    try
    {
        return client.CallMethod(method, parameters);
    }
    catch (jsonrpc::JsonRpcException const& error)
    {
        throw rpc_glue_error(error.GetCode(), error.GetMessage(),
                             error.GetData());
    }
}

} // namespace mulberry
