/// The shell's listeners outwards, as the decision loop uses them. Each turns
/// actions into calls and posts what becomes of them to an event_sink.
#ifndef MULBERRY_PORTS_HPP
#define MULBERRY_PORTS_HPP

#include "action.hpp"
#include "declaration.hpp"

#include <memory>
#include <string>
#include <vector>

namespace mulberry
{

/// Towards engines. Called on the decision thread; never blocks.
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
    /// Asks these workers for their load.
    virtual void
    request_load_reports(std::vector<worker_id> const& workers) = 0;
};

/// Towards plain services. Called on the decision thread; never blocks.
class service_port
{
public:
    virtual ~service_port() = default;
    virtual void
    configure(std::shared_ptr<declaration const> configuration) = 0;
    virtual void call(call_service const& what) = 0;
    virtual void cancel(attempt_id attempt) = 0;
};

/// Towards the platform's service. Called on the decision thread; never
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
    virtual void request_vm_list() = 0;
};

/// Towards other VMs' peers' listeners. Called on the decision thread; never
/// blocks. An address is IP:PORT; empty if it is not known.
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
