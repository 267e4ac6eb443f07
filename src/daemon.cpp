#include "daemon.hpp"

#include "caller_listener.hpp"
#include "decision_loop.hpp"
#include "http_engine_port.hpp"
#include "http_peer_port.hpp"
#include "http_platform_port.hpp"
#include "http_service_port.hpp"
#include "kernel.hpp"
#include "log.hpp"
#include "operator_listener.hpp"
#include "peer_listener.hpp"
#include "pending_answers.hpp"
#include "shell_clock.hpp"
#include "timeline.hpp"

#include <csignal>
#include <memory>
#include <random>
#include <string>
#include <utility>

namespace mulberry
{
namespace
{

constexpr timespec signal_poll_interval{0, 50'000'000};

/// Blocks SIGTERM and SIGINT in this thread and in all threads started later,
/// so that only wait_for_end() receives these signals. Ignores SIGPIPE.
sigset_t block_signals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return set;
}

/// Returns a random prefix for ids. Each incarnation of a VM numbers its ids
/// from 1, so the prefix keeps the ids of two incarnations apart.
std::string incarnation_prefix(vm_id const& vm)
{
    std::random_device random;
    char text[20];
    std::snprintf(text, sizeof text, "%08x", random());
    return vm.str() + "-" + text;
}

core_settings make_core_settings(settings const& value)
{
    core_settings core;
    core.ownership.vm = value.vm;
    core.ownership.domain = value.domain;
    core.ownership.lease = value.lease;
    core.ownership.heartbeat = value.heartbeat;
    core.ownership.seed = value.seed;
    core.configuration.vm = value.vm;
    core.configuration.poll_interval = value.configuration_poll;
    core.configuration.staleness_bound = value.configuration_bound;
    core.configuration.seed = value.seed;
    core.services.vm = value.vm;
    core.services.seed = value.seed;
    core.entry.vm = value.vm;
    core.entry.progress_timeout = value.progress_timeout;
    core.entry.seed = value.seed;
    core.dispatch.max_queue = value.max_queue_per_worker;
    core.dispatch.max_deadline = value.max_deadline;
    core.dispatch.progress_timeout = value.progress_timeout;
    core.hint_interval = value.hint_interval;
    core.policy = value.policy;
    core.load_budget = value.load_budget;
    core.seed = value.seed;
    return core;
}

http_server_options make_server_options(settings const& value,
                                        listen_address const& listener)
{
    http_server_options options;
    options.address = listener.address;
    options.port = listener.port;
    options.max_body_bytes = value.max_body_bytes;
    options.max_header_bytes = value.max_header_bytes;
    options.max_connections = value.max_connections;
    return options;
}

class process
{
public:
    explicit process(settings const& value)
        : clock_(&shell_clock::wall_ms),
          timeline_(clock_, value.timeline_capacity),
          prefix_(incarnation_prefix(value.vm))
    {
        // The peer listener starts first because its port is part of the
        // address under which the VM registers.
        add_peer_listener(value);
        add_decisions(value);
        add_operator_listener(value);
        add_caller_listener(value);
    }

    void start() { parts_.start(); }
    void stop() { parts_.stop(); }
    decision_loop& decisions()
    {
        return parts_.find<decision_loop>("decisions");
    }
    timeline& events() { return timeline_; }
    std::string addresses() const
    {
        return "callers " + parts_.find<caller_listener>("callers").address() +
               " peers " + parts_.find<peer_listener>("peers").address() +
               " operators " +
               parts_.find<operator_listener>("operators").address();
    }

private:
    void add_decisions(settings const& value)
    {
        loop_settings loop;
        loop.core = make_core_settings(value);
        loop.own_address = [](kernel const& parts)
        { return parts.find<peer_listener>("peers").address(); };
        loop.ring_capacity = value.ring_capacity;
        loop.load_report_interval = value.load_report_interval;
        auto ports = [this, value](event_sink& sink)
        {
            loop_ports created;
            created.engines = std::make_unique<http_engine_port>(sink);
            created.services = std::make_unique<http_service_port>(sink);
            created.platform = std::make_unique<http_platform_port>(
                platform_urls{value.table_url, value.objects_url,
                              value.vms_url},
                prefix_, sink);
            created.peers = std::make_unique<http_peer_port>(
                value.vm, value.peers_key, clock_, sink);
            return created;
        };
        parts_.add("decisions", std::make_unique<decision_loop>(
                                    loop, ports, answers_, timeline_));
    }

    void add_peer_listener(settings const& value)
    {
        // This listener receives the forwarded requests of all other VMs.
        http_server_options peers = make_server_options(value, value.peers);
        peers.max_body_bytes = 2 * value.max_body_bytes;
        parts_.add("peers",
                   std::make_unique<peer_listener>(
                       peers_settings{value.vm, peers, value.peers_key},
                       answers_, clock_, timeline_));
    }

    void add_operator_listener(settings const& value)
    {
        operators_settings operators{
            value.vm, value.deployment,
            make_server_options(value, value.operators), value.operators_key,
            value.peers_key};
        operators.server.max_body_bytes = 64UL * 1024 * 1024;
        parts_.add("operators", std::make_unique<operator_listener>(operators));
    }

    void add_caller_listener(settings const& value)
    {
        callers_settings callers;
        callers.vm = value.vm;
        callers.server = make_server_options(value, value.callers);
        callers.server.threads = value.caller_threads;
        callers.limits.default_deadline = value.default_deadline;
        callers.limits.max_deadline = value.max_deadline;
        callers.id_prefix = prefix_;
        parts_.add("callers",
                   std::make_unique<caller_listener>(callers, answers_));
    }

    causal_clock clock_;
    timeline timeline_;
    pending_answers answers_;
    std::string prefix_;
    kernel parts_;
};

/// Waits until the VM has left and returns the exit status. The first signal
/// makes the VM leave; the second returns 1 at once.
int wait_for_end(process& running, sigset_t const& signals)
{
    auto const ended = running.decisions().ended();
    bool signal_received = false;
    while (ended.wait_for(std::chrono::seconds(0)) != std::future_status::ready)
    {
        if (sigtimedwait(&signals, nullptr, &signal_poll_interval) <= 0)
            continue;
        if (std::exchange(signal_received, true))
            return 1;
        running.decisions().post(leave_requested{"a signal came"});
    }
    return 0;
}

} // namespace

int run_daemon(settings const& value)
{
    sigset_t const signals = block_signals();
    start_logging(value.vm.str(), value.log_level, value.log_format);
    process running(value);
    running.start();
    running.events().add("daemon", "started", value.vm.str());
    log(log_level::info, "daemon", "started: " + running.addresses());
    write_line("listening " + running.addresses());
    int const status = wait_for_end(running, signals);
    log(log_level::info, "daemon",
        status == 0 ? "left: nothing is in progress"
                    : "stopped by a second signal");
    running.stop();
    stop_logging();
    return status;
}

} // namespace mulberry
