/// Interfaces by which the decision loop performs actions. Each port turns
/// actions into calls to another process and posts the results as events to an
/// event_sink.
#ifndef MULBERRY_PORTS_HPP
#define MULBERRY_PORTS_HPP

#include "action.hpp"
#include "declaration.hpp"

#include <memory>
#include <string>
#include <vector>

namespace mulberry
{

/// Calls to engines. Called on the decision thread; never blocks.
class engine_port
{
public:
    virtual ~engine_port() = default;
    virtual void
    configure(std::shared_ptr<declaration const> configuration) = 0;
    virtual void start(start_attempt const& what) = 0;
    virtual void cancel(cancel_attempt const& what) = 0;
    virtual void load(load_adapter const& what) = 0;
    virtual void unload(unload_adapter const& what) = 0;
    /// Requests a load report from each of these workers.
    virtual void
    request_load_reports(std::vector<worker_id> const& workers) = 0;
};

/// Calls to plain services. Called on the decision thread; never blocks.
class service_port
{
public:
    virtual ~service_port() = default;
    virtual void
    configure(std::shared_ptr<declaration const> configuration) = 0;
    virtual void call(call_service const& what) = 0;
    virtual void cancel(attempt_id attempt) = 0;
};

/// Calls to the platform's service. Called on the decision thread; never
/// blocks.
class platform_port
{
public:
    virtual ~platform_port() = default;
    virtual void run(transact const& what) = 0;
    virtual void run(read_row const& what) = 0;
    virtual void run(scan_rows const& what) = 0;
    virtual void run(fetch_object const& what) = 0;
    virtual void run(store_object const& what) = 0;
    /// Requests the platform's list of VMs.
    virtual void request_vm_list() = 0;
};

/// Calls to the peers' listeners of other VMs. Called on the decision thread;
/// never blocks. An address is IP:PORT, or empty if it is unknown.
class peer_port
{
public:
    virtual ~peer_port() = default;
    virtual void forward(forward_request const& what,
                         std::string const& address) = 0;
    virtual void cancel(attempt_id attempt) = 0;
    virtual void send_message(send_peer_message const& what,
                              std::string const& address) = 0;
};

} // namespace mulberry

#endif
