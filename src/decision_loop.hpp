/// The decision thread: feeds the core with events, does what it asks for.
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
    /// Where other VMs reach this one; asked once, at the start, since the
    /// kernel may pick the port.
    std::function<std::string(kernel const&)> own_address;
    std::size_t ring_capacity = 8192;
    duration load_report_interval = std::chrono::milliseconds(250);
    duration vm_list_interval = std::chrono::seconds(1);
};

/// The ports, made by the daemon; tests may pass doubles.
struct loop_ports
{
    std::unique_ptr<engine_port> engines;
    std::unique_ptr<service_port> services;
    std::unique_ptr<platform_port> platform;
    std::unique_ptr<peer_port> peers;
};

/// Thread safe but for start() and stop().
class decision_loop : public daemon_part, public event_sink
{
public:
    /// `make_ports` is given this loop as the sink. The references outlive
    /// this object.
    decision_loop(loop_settings settings,
                  std::function<loop_ports(event_sink&)> make_ports,
                  pending_answers& answers, timeline& events);
    ~decision_loop() override;

    void start(kernel& parts) override;
    void stop() override;

    bool offer(core_event event) override;
    void post(core_event event) override;

    /// The newest status, at most a fraction of a second old. Never null.
    std::shared_ptr<core_status const> status() const;
    /// Confirms a plan and waits for how it ended. Not on the decision thread.
    confirm_result confirm(config_version base, std::string digest,
                           std::string canonical_text);
    /// Set once the VM has left and the process may end.
    std::shared_future<void> ended() const { return ended_; }

private:
    void run();
    void handle(core_event const& event);
    void perform(action const& one);
    void settle_confirms();
    void follow_configuration();
    void ask_around(time_point now);
    void follow_calendar(time_point now);
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
    std::shared_ptr<declaration const> followed_;
    action_list actions_;
    time_point next_tick_{};
    time_point next_report_{};
    time_point next_list_{};
    time_point next_status_{};
    time_point next_keep_alive_{};
    time_point next_calendar_{};
    bool ended_set_ = false;

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
