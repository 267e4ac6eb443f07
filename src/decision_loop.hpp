/// The decision thread: passes events to the decision core (vm_core) and
/// performs the actions that the core returns.
#ifndef MULBERRY_DECISION_LOOP_HPP
#define MULBERRY_DECISION_LOOP_HPP

#include "bounded_ring.hpp"
#include "event_sink.hpp"
#include "kernel.hpp"
#include "pending_answers.hpp"
#include "ports.hpp"
#include "safeguards.hpp"
#include "timeline.hpp"
#include "vm_core.hpp"

#include <chrono>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace mulberry
{

struct loop_settings
{
    core_settings core;
    /// Returns the address at which other VMs reach this VM. Called once, in
    /// start(), because the operating system may choose the port of the peer
    /// listener.
    std::function<std::string(kernel const&)> own_address;
    /// Maximum number of events that wait for the decision thread.
    std::size_t ring_capacity = 8192;
    duration load_report_interval = std::chrono::milliseconds(250);
    duration vm_list_interval = std::chrono::seconds(1);
};

/// The ports through which the core's actions leave the process. The daemon
/// creates them; tests may pass test doubles.
struct loop_ports
{
    std::unique_ptr<engine_port> engines;
    std::unique_ptr<service_port> services;
    std::unique_ptr<platform_port> platform;
    std::unique_ptr<peer_port> peers;
};

/// Owns the decision core and the only thread that calls the core.
/// Thread safety: all public methods but start() and stop() are thread safe.
class decision_loop : public daemon_part, public event_sink
{
public:
    /// start() calls `make_ports` with this loop as the sink for the ports'
    /// events. `answers` and `events` must outlive this object.
    decision_loop(loop_settings settings,
                  std::function<loop_ports(event_sink&)> make_ports,
                  pending_answers& answers, timeline& events);
    ~decision_loop() override;

    void start(kernel& parts) override;
    void stop() override;

    bool offer(core_event event) override;
    void post(core_event event) override;

    /// Returns the newest published status, which is refreshed about every
    /// 100 ms. Never null.
    std::shared_ptr<core_status const> status() const;
    /// Confirms a plan and blocks until its outcome is known; if the loop stops
    /// first, the result holds error_kind::outcome_unknown. Must not be called
    /// on the decision thread, which would wait for itself.
    confirm_result confirm(config_version base, std::string digest,
                           std::string canonical_text);
    /// Becomes ready once the VM has left and the process may end.
    std::shared_future<void> ended() const { return ended_; }

private:
    void run();
    void handle(core_event const& event);
    void perform(action const& one);
    void complete_confirms();
    void apply_configuration();
    void poll_ports(time_point now);
    void update_calendar_quarter(time_point now);
    void publish(time_point now);
    std::string address_of(vm_id const& vm) const;

    loop_settings settings_;
    std::function<loop_ports(event_sink&)> make_ports_;
    pending_answers* answers_;
    timeline* timeline_;
    safeguards checks_;
    bounded_ring<core_event> ring_;
    std::unique_ptr<vm_core> core_;
    loop_ports ports_;
    std::shared_ptr<declaration const> applied_configuration_;
    action_list actions_;
    time_point next_tick_{};
    time_point next_load_report_{};
    time_point next_vm_list_{};
    time_point next_status_{};
    time_point next_keep_alive_{};
    time_point next_calendar_{};
    bool end_reported_ = false;

    mutable std::mutex mutex_;
    std::shared_ptr<core_status const> status_;
    std::uint64_t last_ticket_ = 0;
    std::map<std::uint64_t, std::promise<confirm_result>> confirms_;

    std::promise<void> end_;
    std::shared_future<void> ended_;
    std::thread thread_;
};

} // namespace mulberry

#endif
