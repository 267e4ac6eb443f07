/// A simulated model engine in virtual time, with injected faults.
#ifndef MULBERRY_TESTS_CORE_ENGINE_HPP
#define MULBERRY_TESTS_CORE_ENGINE_HPP

#include "core_link.hpp"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace mulberry::tests
{

/// The faults that are enabled. Value.
struct engine_faults
{
    bool unreachable = false;
    bool failed_loads = false;
    bool slow_loads = false;
    bool lost_orders = false;
    bool silent_streams = false;
    bool cut_streams = false;
    bool wrong_echo = false;
    bool crossed_events = false;
    bool skipped_events = false;
};

class core_engine
{
public:
    using order_answer = std::function<void(order_result)>;

    core_engine(core_context& context, worker_declaration declared)
        : context_(&context), declared_(std::move(declared))
    {
    }

    /// Receives a request, or a request to resume its stream. The caller has
    /// already added the network latency.
    void start(start_attempt const& what, core_link_ptr const& link);
    void cancel(request_id const& request);
    /// `answer` is called once, by the order's deadline.
    void load(load_adapter const& what, order_answer const& answer);
    void unload(unload_adapter const& what, order_answer const& answer);
    engine_report report() const;
    /// Restarts the engine: new boot id, no adapters loaded, streams cut.
    void restart();

    engine_faults faults;

private:
    struct run
    {
        request_id request;
        engine_name name;
        std::uint64_t number = 0;
        std::uint64_t total = 0;
        std::uint64_t emitted = 0;
        bool running = false;
        bool finished = false;
        bool stopped = false;
        core_link_ptr to;
    };
    using run_ptr = std::shared_ptr<run>;

    bool fence_holds(fencing_number fence);
    void post(start_attempt const& what, core_link_ptr const& link);
    void resume(start_attempt const& what, core_link_ptr const& link);
    void refuse(core_link_ptr const& link, int status);
    void start_waiting();
    void schedule_event(run_ptr const& item);
    void write(run const& item, std::uint64_t offset);
    void stop(run_ptr const& item);
    void fail_stream(run_ptr const& item);
    void finish_load(load_adapter const& what, order_answer const& answer);
    order_result remove_adapter(unload_adapter const& what);

    core_context* context_;
    worker_declaration declared_;
    fencing_number highest_fence_;
    int boot_ = 1;
    std::set<engine_name> loaded_;
    std::set<engine_name> loading_;
    std::vector<run_ptr> active_;
    std::map<request_id, run_ptr> runs_;
};

} // namespace mulberry::tests

#endif
