/// Simulation of several decision cores in one process in virtual time, with
/// fakes at their interfaces and a schedule of faults.
#ifndef MULBERRY_TESTS_CORE_WORLD_HPP
#define MULBERRY_TESTS_CORE_WORLD_HPP

#include "core_engine.hpp"
#include "core_invariants.hpp"
#include "core_schedule.hpp"
#include "fake_table.hpp"

#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace mulberry::tests
{

/// Counts of a run, so that a test can check that the schedule had an effect.
struct world_counts
{
    std::size_t asked = 0;
    std::size_t whole = 0;
    std::size_t failed = 0;
    std::size_t service_answers = 0;
    std::size_t confirms = 0;
    std::size_t ended = 0;
};

class core_simulation
{
public:
    core_simulation(std::size_t vms, std::uint64_t seed,
                    safeguards const& checks);

    /// Runs one schedule: warm-up, the faults under traffic, the end of the
    /// faults, and a check that requests are served again. Returns all
    /// violated invariants.
    std::vector<invariant_violation> run(core_schedule const& what);

    // Single steps, for tests of one scenario.
    /// Lets the VMs start and confirms a configuration.
    void warm_up();
    /// Starts the fault of a step now; the fault ends after its span.
    void inject(core_step const& step);
    /// Generates random calls until `end`.
    void traffic_until(time_point end);
    void run_for(duration span) { time_.run_until(time_.now() + span); }
    /// Sends a request through the VM, or through the next one that runs.
    request_id submit_model_request(std::size_t vm, std::size_t adapter);
    /// Sends a service call with an Idempotency-Key, likewise.
    request_id submit_service_call(std::size_t vm, std::string const& key);
    /// The final answer as text: `whole`, `killed`, an error's kind and text,
    /// or empty if there is none yet.
    std::string outcome(request_id const& request) const;
    /// Sends requests through every running VM, waits, and records a violation
    /// for each that is not answered and for each leaving VM that still runs.
    void check_service();
    std::vector<invariant_violation> check() const
    {
        return invariants_.check();
    }
    world_counts const& counts() const { return counts_; }
    time_point now() const { return time_.now(); }
    bool running(std::size_t vm) const { return vms_[vm]->running; }
    core_status status(std::size_t vm) const;
    std::size_t vms() const { return vms_.size(); }

private:
    struct listed_state
    {
        time_point since{};
        std::vector<listed_vm> vms;
    };

    // Processes (core_simulation.cpp).
    core_settings make_settings(std::size_t vm);
    void start(std::size_t vm);
    void every(core_process_ptr const& process, duration wait,
               std::function<void()> what);
    void feed(core_process_ptr const& process, core_event event);
    void handle(core_process_ptr const& process, core_event const& event);
    void record_late_arrival(core_process_ptr const& process,
                             core_event const& event);
    void flush(core_process_ptr const& process);
    void tick(core_process_ptr const& process);
    void check_admission(core_process_ptr const& process);
    void pause(std::size_t vm, duration span);
    void kill(std::size_t vm);
    void close_connections(core_process_ptr const& process);
    void end_gracefully(core_process_ptr const& process);
    void confirm(std::size_t vm);
    void set_listed(std::size_t vm, bool present, bool leaving);
    void read_list(core_process_ptr const& process);
    /// A line for each intent in the rows of workers.
    std::set<std::string> recorded_intents() const;
    void check_intents();

    // Performing the actions of the cores (core_network.cpp).
    void perform(core_process_ptr const& process, action const& what);
    void on(core_process_ptr const& process, start_attempt const& what);
    void on(core_process_ptr const& process, cancel_attempt const& what);
    void on(core_process_ptr const& process, forward_request const& what);
    void on(core_process_ptr const& process, deliver_event const& what);
    void on(core_process_ptr const& process, deliver_end const& what);
    void on(core_process_ptr const& process, deliver_error const& what);
    void on(core_process_ptr const& process,
            deliver_service_answer const& what);
    void on(core_process_ptr const& process, load_adapter const& what);
    void on(core_process_ptr const& process, unload_adapter const& what);
    void on(core_process_ptr const& process, fetch_object const& what);
    void on(core_process_ptr const& process, store_object const& what);
    void on(core_process_ptr const& process, send_peer_message const& what);
    void on(core_process_ptr const& process, call_service const& what);
    template <class Other>
    void on(core_process_ptr const& process, Other const& what);
    void record_late_send(core_process_ptr const& process,
                          request_id const& request);
    core_link_ptr connect(core_process_ptr const& client, attempt_id attempt,
                          request_id const& request);
    void send(core_link_ptr const& link, core_event event);
    void break_link(core_link_ptr const& link);
    void close_link(core_link_ptr const& link);
    void on_forwarded_arrival(core_link_ptr const& link, std::size_t vm,
                              worker_id const& worker,
                              model_request const& request);
    void watch_link(core_link_ptr const& link);
    void run_service(core_link_ptr const& link, service_request const& request);
    void answer_object(core_process_ptr const& process, object_reply reply,
                       time_point deadline);
    core_link_ptr remove_writer(core_process_ptr const& process,
                                request_id const& request);
    std::size_t vm_of(vm_id const& vm) const;

    // Callers and faults (core_traffic.cpp).
    core_process_ptr process_for(std::size_t vm) const;
    void generate_traffic();
    void withdraw(request_id const& request);
    void finish(core_process_ptr const& process, request_id const& request,
                std::string outcome);

    virtual_time time_;
    std::uint64_t seed_;
    std::mt19937_64 random_;
    safeguards const& checks_;
    core_invariants invariants_;
    core_context context_;
    fake_table table_;
    std::vector<core_process_ptr> vms_;
    std::map<worker_id, core_engine> engines_;
    std::map<std::string, std::string> objects_;
    std::vector<listed_state> lists_;
    std::vector<listed_vm> listed_;
    declaration declared_;
    std::uint64_t confirms_ = 0;
    std::uint64_t tickets_ = 0;
    std::uint64_t asked_ = 0;
    bool traffic_on_ = false;
    bool objects_down_ = false;
    bool lose_messages_ = false;
    bool service_silent_ = false;
    bool service_cut_ = false;
    bool service_refuses_ = false;
    std::map<request_id, std::string> outcomes_;
    std::map<request_id, std::pair<core_process_ptr, time_point>> callers_;
    world_counts counts_;
};

} // namespace mulberry::tests

#endif
