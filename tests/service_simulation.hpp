/// Simulation in virtual time of a table, an object store and a plain service
/// shared by a few VMs, each a service_caller, with a history of the calls.
#ifndef MULBERRY_TESTS_SERVICE_SIMULATION_HPP
#define MULBERRY_TESTS_SERVICE_SIMULATION_HPP

#include "claim_row.hpp"
#include "service_caller.hpp"

#include <cstdint>
#include <functional>
#include <iosfwd>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mulberry::test
{

inline constexpr duration ms = std::chrono::milliseconds(1);
inline constexpr std::size_t vm_count = 3;
inline constexpr duration request_timeout = 2000 * ms;
inline constexpr duration tick_interval = 20 * ms;

/// An event of a schedule.
struct simulation_step
{
    enum class step_kind : std::uint8_t
    {
        submit,
        submit_repeatable,
        withdraw,
        pause,
        /// The VM is paused after it decides to make a call and before it
        /// sends the call.
        pause_before_call,
        kill,
        kill_before_call,
        /// The table and the object store answer no VM.
        outage
    };
    step_kind kind = step_kind::submit;
    int at_ms = 0;
    std::size_t vm = 0;
    int key = 0;
    int body = 0;
    int duration_ms = 0;
};

enum class table_fault : std::uint8_t
{
    none,
    slow,
    answer_lost,
    lost,
    applied_late,
    refused,
    /// Lost, and the I/O layer does not report the loss.
    unreported
};

enum class call_fault : std::uint8_t
{
    none,
    slow,
    not_sent,
    silent_before_run,
    silent_after_run,
    runs_late,
    answers_late,
    cut_before_run,
    cut_after_run,
    /// Reported as an engine's refusal, which plain services do not have.
    refused_after_run
};

/// The events, and the faults of successive table and object operations and of
/// successive service calls; operations after the end of a list have no fault.
struct schedule
{
    std::vector<simulation_step> steps;
    std::vector<table_fault> table;
    std::vector<call_fault> calls;
};
std::ostream& operator<<(std::ostream& out, schedule const& what);

struct submitted_request
{
    service_request request;
    std::size_t vm = 0;
    bool repeatable = false;
    /// Whether an answer is required. False if the VM was killed or the
    /// request was withdrawn.
    bool answer_expected = true;
    time_point answer_due{};
};

struct service_run
{
    request_id request;
    idempotency_key key;
    std::string method;
    std::string body;
    service_answer answer;
};

struct final_answer
{
    request_id request;
    time_point at{};
    std::optional<service_answer> answer;
    bool replayed = false;
    std::optional<error> what;
};

struct call_history
{
    std::vector<submitted_request> submitted;
    std::vector<service_run> runs;
    std::vector<final_answer> final_answers;
    /// Work in progress at the VMs that are alive at the end.
    std::size_t left_in_progress = 0;
    /// The claims in the table at the end.
    std::vector<claim_row> claims;
    std::map<vm_id, incarnation> vm_incarnations;
};

/// Returns the violations found, at most one of each kind.
std::vector<std::string> violations(call_history const& history);

/// Faults of a platform that breaks its guarantees, with which tests check
/// that violations are detected.
struct broken_platform
{
    bool ignores_conditions = false;
    bool equal_fingerprints = false;
    bool alters_answers = false;
    bool swaps_answers = false;
    bool drops_answers = false;
    bool truncates_objects = false;
};

class service_simulation
{
public:
    explicit service_simulation(safeguards const& checks,
                                broken_platform broken = {},
                                service_settings settings = test_settings());

    static service_settings test_settings();
    call_history const& run(schedule const& what);

    // Individual steps, for tests of one scenario.
    void at(time_point when, std::function<void()> what);
    void run_until(time_point end);
    request_id submit(std::size_t vm, int key, int body, bool repeatable);
    void withdraw(request_id const& request);
    void pause(std::size_t vm, duration span);
    void kill(std::size_t vm);
    void outage(duration span);
    void before_next_call(std::size_t vm, duration pause_duration, bool kill);
    void table_faults(std::vector<table_fault> faults);
    void call_faults(std::vector<call_fault> faults);
    time_point now() const { return now_; }
    service_caller& vm(std::size_t index) { return *vms_[index].caller; }
    /// Returns the claim under a key, if its row exists.
    std::optional<claim_row> claim(int key) const;
    call_history const& history() const { return history_; }
    /// Returns the final answer, or null if none was delivered.
    final_answer const* answer_to(request_id const& request) const;
    std::size_t calls_made() const { return calls_made_; }

private:
    struct vm_state
    {
        vm_id id;
        incarnation vm_incarnation;
        std::unique_ptr<id_source> ids;
        std::unique_ptr<service_caller> caller;
        time_point paused_until{};
        std::optional<duration> pause_before_call;
        bool kill_before_call = false;
    };
    using event_handler = std::function<void(service_caller&, action_list&)>;

    void start(std::size_t vm);
    void tick(std::size_t vm);
    void post_event(std::size_t vm, incarnation vm_incarnation, time_point when,
                    event_handler what);
    void handle_event(std::size_t vm, event_handler const& what);
    void perform(std::size_t vm, incarnation vm_incarnation,
                 action_list const& actions);
    void perform(std::size_t vm, action const& what);
    void do_transact(std::size_t vm, transact const& what);
    void do_objects(std::size_t vm, operation_id operation, time_point deadline,
                    std::function<object_reply()> const& effect);
    void do_call(std::size_t vm, call_service const& what);
    table_fault next_table_fault();
    table_reply apply(transact const& what);
    table_row read_row(table_row row, transact const& what) const;
    service_answer run_call(service_request const& request);
    void record(final_answer what);
    bool incarnation_ended(vm_id const& vm, incarnation vm_incarnation) const;

    safeguards const& checks_;
    broken_platform broken_;
    service_settings settings_;
    std::shared_ptr<declaration const> configuration_;
    time_point now_{};
    std::multimap<time_point, std::function<void()>> events_;
    std::vector<vm_state> vms_;
    std::map<std::string, table_row> rows_;
    std::map<std::string, std::string> objects_;
    std::uint64_t last_version_ = 0;
    std::size_t late_writes_ = 0;
    time_point outage_until_{};
    std::vector<table_fault> table_faults_;
    std::vector<call_fault> call_faults_;
    std::optional<service_answer> last_answer_;
    std::size_t calls_made_ = 0;
    call_history history_;
};

} // namespace mulberry::test

#endif
