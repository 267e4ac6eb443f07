/// Calls from mulberryctl to the operators' listeners of VMs.
#ifndef MULBERRY_OPERATOR_CLIENT_HPP
#define MULBERRY_OPERATOR_CLIENT_HPP

#include "json_rpc.hpp"

#include <json/value.h>

#include <chrono>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

namespace mulberry
{

/// A call failed or its outcome is unknown.
class operator_call_failure : public std::runtime_error
{
public:
    enum class kind
    {
        /// A VM answered with an error.
        refused,
        /// No VM received the call.
        unreachable,
        /// A VM may have run the call, but its answer was lost.
        outcome_unknown
    };

    operator_call_failure(kind what, std::string const& text,
                          Json::Value data = {})
        : std::runtime_error(text), kind_(what), data_(std::move(data))
    {
    }

    kind reason() const { return kind_; }
    /// The `data` member of the VM's error; null if there was none. See
    /// PROTOCOLS.md.
    Json::Value const& data() const { return data_; }

private:
    kind kind_;
    Json::Value data_;
};

/// Whether a call may be sent to another VM after its answer was lost.
enum class resend
{
    never,
    allowed
};

/// Sends JSON-RPC calls to the deployment; replaced in tests.
class operator_client
{
public:
    virtual ~operator_client() = default;
    /// Calls a method and returns its result. `on_lost_answer` says whether the
    /// call may be sent to another VM after its answer was lost. Throws
    /// operator_call_failure.
    virtual Json::Value call(std::string const& method,
                             Json::Value const& parameters,
                             resend on_lost_answer) = 0;
};

/// The clock of commands that wait; replaced in tests.
class ctl_clock
{
public:
    using time_point = std::chrono::steady_clock::time_point;
    virtual ~ctl_clock() = default;
    virtual time_point now() const = 0;
    virtual void sleep_until(time_point when) = 0;
};

class steady_ctl_clock : public ctl_clock
{
public:
    time_point now() const override;
    void sleep_until(time_point when) override;
};

/// Calls VMs one after the other until one answers, each with the full timeout.
/// Thread safety: none.
class rpc_operator_client : public operator_client
{
public:
    /// Precondition: `addresses` is not empty; each is IP:PORT. `client`
    /// outlives this object. `key` is the key of the operators' listeners;
    /// `timeout` applies to each VM.
    rpc_operator_client(http_client& client,
                        std::vector<std::string> const& addresses,
                        std::string const& key,
                        std::chrono::milliseconds timeout);

    Json::Value call(std::string const& method, Json::Value const& parameters,
                     resend on_lost_answer) override;

private:
    struct vm_client
    {
        std::string address;
        std::unique_ptr<rpc_client> client;
    };

    std::vector<vm_client> clients_;
    std::chrono::milliseconds timeout_;
};

} // namespace mulberry

#endif
