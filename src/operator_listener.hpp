/// Listener for operators: JSON-RPC for mulberryctl.
#ifndef MULBERRY_OPERATOR_LISTENER_HPP
#define MULBERRY_OPERATOR_LISTENER_HPP

#include "decision_loop.hpp"
#include "http_client.hpp"
#include "http_server.hpp"
#include "kernel.hpp"
#include "rpc_executor.hpp"

#include <json/value.h>

#include <memory>
#include <string>
#include <vector>

namespace mulberry
{

struct operators_settings
{
    vm_id vm;
    /// Plans for another deployment are refused.
    std::string deployment;
    http_server_options server;
    std::string key;
    std::string peers_key;
};

class operator_listener : public daemon_part
{
public:
    explicit operator_listener(operators_settings settings);
    ~operator_listener() override;

    void start(kernel& parts) override;
    void stop() override;
    /// Returns IP:PORT, with the actual port. Precondition: start() was called.
    std::string address() const;

private:
    /// Calls a method of the peer listener of another VM; throws rpc_failure.
    Json::Value call_peer(member_view const& member, std::string const& method,
                          Json::Value const& parameters);
    std::vector<member_view> members() const;
    Json::Value status(Json::Value const& parameters);
    Json::Value configuration() const;
    /// Returns the declaration in a call's parameters. Throws rpc_failure if it
    /// is invalid or for another deployment.
    declaration requested_declaration(Json::Value const& parameters) const;
    Json::Value plan(Json::Value const& parameters) const;
    Json::Value confirm(Json::Value const& parameters);
    Json::Value drain(Json::Value const& parameters);
    Json::Value targets() const;
    Json::Value timeline(Json::Value const& parameters);

    operators_settings settings_;
    decision_loop* decisions_ = nullptr;
    std::unique_ptr<http_client> client_;
    std::unique_ptr<rpc_executor> executor_;
    std::unique_ptr<http_server> server_;
};

} // namespace mulberry

#endif
