/// Fakes of the engines and of the weight store behind the actions that the
/// decision core asks for, in virtual time.
#ifndef MULBERRY_FAKE_ENGINES_HPP
#define MULBERRY_FAKE_ENGINES_HPP

#include "action.hpp"
#include "attempt_event.hpp"
#include "event_queue.hpp"
#include "trial_trace.hpp"

#include <cstdint>
#include <list>
#include <map>
#include <random>
#include <set>

namespace mulberry
{

/// Who hears what the engines do.
class engine_listener
{
public:
    virtual ~engine_listener() = default;
    virtual void on_chunk(worker_id const& worker,
                          attempt_chunk const& event) = 0;
    virtual void on_end(worker_id const& worker, attempt_end const& event) = 0;
    virtual void on_failure(worker_id const& worker,
                            attempt_failure const& event) = 0;
    virtual void on_order(worker_id const& worker,
                          order_result const& event) = 0;
    virtual void on_report(engine_report const& report) = 0;
};

/// All engines of a deployment and the store they load from. The listener and
/// the queue outlive it. Thread safety: none.
class fake_engines
{
public:
    fake_engines(declaration const& configuration, trace_faults faults,
                 std::uint64_t seed, event_queue& queue,
                 engine_listener& listener);

    void start(start_attempt const& order);
    void cancel(cancel_attempt const& order);
    void load(load_adapter const& order);
    void unload(unload_adapter const& order);

    std::set<std::uint64_t> const& prefixes(worker_id const& worker) const;
    std::uint64_t boot(worker_id const& worker) const;

private:
    struct running_attempt
    {
        engine_name name;
        request_id request;
    };
    struct engine
    {
        worker_declaration declared;
        std::uint64_t boot = 1;
        std::set<engine_name> loaded;
        std::map<attempt_id, running_attempt> running;
        /// Least recently used first.
        std::list<std::uint64_t> prefix_order;
        std::set<std::uint64_t> prefixes;
    };

    bool touch_prefix(engine& at, std::uint64_t key);
    void restart(engine& at);
    void report_regularly(engine& at);
    void send_event(engine& at, start_attempt const& order,
                    std::uint64_t offset, bool last);
    void refuse(start_attempt const& order, std::string code);
    void answer(worker_id const& worker, order_id order, int status,
                duration delay);
    bool load_fails();
    duration load_time() const;

    std::map<worker_id, engine> engines_;
    store_declaration store_;
    trace_faults faults_;
    std::mt19937_64 random_;
    event_queue* queue_;
    engine_listener* listener_;
    std::size_t loads_running_ = 0;
};

} // namespace mulberry

#endif
