/// The way from mulberryctl to the VMs' operators' listeners.
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

/// A call that brought no result.
class operator_call_failure : public std::runtime_error
{
public:
    enum class kind
    {
        /// The system answered with an error.
        refused,
        /// No VM saw the call.
        unreachable,
        /// A VM may have run the call; its answer was lost.
        outcome_unknown
    };

    operator_call_failure(kind what, std::string const& text,
                          Json::Value data = {})
        : std::runtime_error(text), kind_(what), data_(std::move(data))
    {
    }

    kind reason() const { return kind_; }
    /// The error's `data` member, null when there was none; see PROTOCOLS.md.
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

/// The deployment as mulberryctl sees it.
class operator_client
{
public:
    virtual ~operator_client() = default;
    /// Calls a method. Throws operator_call_failure.
    virtual Json::Value call(std::string const& method,
                             Json::Value const& parameters,
                             resend on_lost_answer) = 0;
};

/// Time, as the commands that wait see it.
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

/// Calls VMs one after the other until one answers. Not thread safe.
class rpc_operator_client : public operator_client
{
public:
    /// `addresses` are IP:PORT, not empty; `client` outlives this object.
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
