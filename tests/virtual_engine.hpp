/// A fake model engine in virtual time, with injected faults of the engine and
/// of the connections to it.
#ifndef MULBERRY_VIRTUAL_ENGINE_HPP
#define MULBERRY_VIRTUAL_ENGINE_HPP

#include "history.hpp"
#include "simulation_context.hpp"

#include "action.hpp"
#include "attempt_event.hpp"
#include "declaration.hpp"
#include "dispatcher_limits.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

namespace mulberry_test
{

inline dispatcher_limits test_limits()
{
    dispatcher_limits limits;
    limits.max_queue = 12;
    limits.max_deadline = 4s;
    limits.progress_timeout = 150ms;
    limits.order_timeout = 300ms;
    limits.settle_time = 400ms;
    limits.load_backoff = 100ms;
    limits.starvation_timeout = 200ms;
    return limits;
}

inline worker_declaration test_worker()
{
    worker_declaration worker;
    worker.id = worker_id("w1");
    worker.base_model = base_model_id("base");
    worker.batch_slots = 3;
    worker.adapter_slots = 2;
    return worker;
}

inline adapter_ref test_adapter(std::size_t number)
{
    return {adapter_id("a" + std::to_string(number)), adapter_version(1)};
}

/// The owner's end of a connection to the engine.
struct connection
{
    std::function<void(answer_piece const&)> event;
    std::function<void()> end;
    std::function<void(failure_stage, int)> failure;
    /// False once the owner has closed the connection.
    bool open = true;
    bool silent = false;
    bool begun = false;
    /// Keeps the bytes of one connection in order.
    time_point last_arrival{};
};
using connection_ptr = std::shared_ptr<connection>;
using order_answer =
    std::function<void(order_result::outcome, int, char const*)>;

class fake_engine
{
public:
    fake_engine(simulation_context& world, history& seen, bool checks_fence)
        : world_(&world), history_(&seen), checks_fence_(checks_fence)
    {
    }

    void post(start_attempt const& call, connection_ptr const& to)
    {
        if (!fence_holds(call.fence))
            return fail(to, failure_stage::refused, 412);
        if (world_->fault_occurs(busy_engine))
            return fail(to, failure_stage::refused, 503);
        if (!loaded_.contains(call.name))
            return fail(to, failure_stage::refused, 404);
        auto item = std::make_shared<run>();
        item->request = call.request.id;
        item->name = call.name;
        item->number = ++last_run_;
        item->total = 1 + world_->below(6);
        item->to = to;
        item->boot = boot_;
        runs_[item->request] = item;
        active_.push_back(item);
        start_waiting();
    }

    void resume(start_attempt const& call, connection_ptr const& to)
    {
        auto const found = runs_.find(call.request.id);
        if (found == runs_.end() || world_->fault_occurs(forgotten_stream))
            return fail(to, failure_stage::refused, 404);
        run& item = *found->second;
        item.to = to;
        for (std::uint64_t each = call.offset; each < item.emitted; ++each)
            emit(item, each);
        if (item.over)
            finish(item);
    }

    void cancel(request_id const& request)
    {
        auto const found = runs_.find(request);
        if (found == runs_.end())
            return;
        stop(found->second);
        runs_.erase(found);
    }

    void load(engine_name const& name, fencing_number fence,
              order_answer const& answer)
    {
        using outcome = order_result::outcome;
        if (!fence_holds(fence))
            return answer(outcome::refused, 412, "old_fencing_number");
        if (loaded_.contains(name))
            return answer(outcome::refused, 409, "already_loaded");
        if (loaded_.size() + loading_ >= test_worker().adapter_slots)
            return answer(outcome::refused, 409, "no_free_slot");
        ++loading_;
        bool const unknown = world_->fault_occurs(unknown_load);
        bool const fails = world_->fault_occurs(failed_load);
        duration const load_time = unknown ? world_->between(100ms, 600ms)
                                           : world_->between(10ms, 100ms);
        if (unknown)
            world_->after(test_limits().order_timeout,
                          [=] { answer(outcome::unknown, 0, ""); });
        world_->after(load_time,
                      [=, this, boot = boot_]
                      {
                          if (boot != boot_)
                              return;
                          --loading_;
                          if (!fails)
                              loaded_.insert(name);
                          if (unknown)
                              return;
                          if (fails)
                              return answer(outcome::refused, 503,
                                            "load_failed");
                          answer(outcome::done, 200, "");
                      });
    }

    void unload(engine_name const& name, fencing_number fence,
                order_answer const& answer)
    {
        using outcome = order_result::outcome;
        if (!fence_holds(fence))
            return answer(outcome::refused, 412, "old_fencing_number");
        if (world_->fault_occurs(unknown_unload))
        {
            duration const timeout = test_limits().order_timeout;
            world_->after(timeout, [=] { answer(outcome::unknown, 0, ""); });
            if (world_->below(2) == 0)
                world_->after(
                    world_->between(0ms,
                                    timeout + test_limits().settle_time - 50ms),
                    [=, this] { remove_adapter(name); });
            return;
        }
        bool const was_loaded = remove_adapter(name);
        answer(was_loaded ? outcome::done : outcome::refused,
               was_loaded ? 200 : 404, "");
    }

    void restart()
    {
        ++boot_;
        loading_ = 0;
        loaded_.clear();
        for (run_ptr const& each : std::exchange(active_, {}))
            fail_stream(each);
        runs_.clear();
    }

    engine_report report() const
    {
        engine_report shown;
        shown.worker = test_worker().id;
        shown.boot = boot_id(std::to_string(boot_));
        for (engine_name const& name : loaded_)
            shown.adapters.push_back({name, 0});
        for (run_ptr const& each : active_)
        {
            ++(each->running ? shown.running : shown.waiting);
            for (auto& load : shown.adapters)
                load.running += each->running && load.name == each->name;
        }
        return shown;
    }

private:
    struct run
    {
        request_id request;
        engine_name name;
        std::uint64_t number = 0;
        std::uint64_t total = 0;
        std::uint64_t emitted = 0;
        int boot = 0;
        bool running = false;
        bool over = false;
        bool stopped = false;
        connection_ptr to;
    };
    using run_ptr = std::shared_ptr<run>;

    bool fence_holds(fencing_number fence)
    {
        if (checks_fence_ && fence < highest_fence_)
            return false;
        highest_fence_ = std::max(highest_fence_, fence);
        return true;
    }

    void send(connection_ptr const& to, std::function<void()> bytes)
    {
        time_point const arrival = std::max(
            to->last_arrival, world_->now() + world_->between(1ms, 5ms));
        to->last_arrival = arrival;
        world_->after(arrival - world_->now(),
                      [to, bytes = std::move(bytes)]
                      {
                          if (to->open && !to->silent)
                              bytes();
                      });
    }

    void fail(connection_ptr const& to, failure_stage stage, int status)
    {
        send(to, [to, stage, status] { to->failure(stage, status); });
    }

    void start_waiting()
    {
        auto running = static_cast<std::size_t>(
            std::count_if(active_.begin(), active_.end(),
                          [](run_ptr const& each) { return each->running; }));
        for (run_ptr const& each : active_)
        {
            if (each->running || running >= test_worker().batch_slots)
                continue;
            ++running;
            each->running = true;
            history_->started_at_backend(each->request, each->name);
            next_token(each);
        }
    }

    void next_token(run_ptr const& item)
    {
        world_->after(world_->between(5ms, 40ms),
                      [this, item]
                      {
                          if (item->stopped)
                              return;
                          emit(*item, item->emitted++);
                          if (item->emitted < item->total)
                              return next_token(item);
                          item->over = true;
                          history_->finished_at_backend(item->request);
                          std::erase(active_, item);
                          finish(*item);
                          start_waiting();
                      });
    }

    void emit(run& item, std::uint64_t offset)
    {
        connection_ptr const to = item.to;
        bool const last = offset + 1 == item.total;
        answer_piece piece{item.request, item.name, offset, item.number, last};
        to->silent |= world_->fault_occurs(silent_stream);
        if (world_->fault_occurs(cut_stream))
            return fail(
                to, to->begun ? failure_stage::answering : failure_stage::sent,
                0);
        if (world_->fault_occurs(skipped_event))
            return;
        if (world_->fault_occurs(wrong_adapter_echo))
            piece.name = engine_name("other@1#1");
        if (world_->fault_occurs(crossed_event) && !active_.empty())
            emit_crossed_event(item, offset);
        to->begun = true;
        send(to, [to, piece] { to->event(piece); });
        if (world_->fault_occurs(repeated_event))
            send(to, [to, piece] { to->event(piece); });
    }

    /// Sends an event of another request on this request's connection.
    void emit_crossed_event(run const& item, std::uint64_t offset)
    {
        run const& other = *active_[world_->below(active_.size())];
        if (other.request == item.request)
            return;
        answer_piece const piece{other.request, item.name, offset, other.number,
                                 false};
        send(item.to, [to = item.to, piece] { to->event(piece); });
    }

    void finish(run& item)
    {
        send(item.to, [to = item.to] { to->end(); });
    }

    void stop(run_ptr const& item)
    {
        item->stopped = true;
        std::erase(active_, item);
        start_waiting();
    }

    void fail_stream(run_ptr const& item)
    {
        item->stopped = true;
        fail(item->to,
             item->to->begun ? failure_stage::answering : failure_stage::sent,
             0);
    }

    bool remove_adapter(engine_name const& name)
    {
        if (loaded_.erase(name) == 0)
            return false;
        std::vector<run_ptr> affected;
        for (run_ptr const& each : active_)
            if (each->name == name)
                affected.push_back(each);
        history_->unloaded(name, affected.size());
        for (run_ptr const& each : affected)
        {
            stop(each);
            fail_stream(each);
        }
        return true;
    }

    simulation_context* world_;
    history* history_;
    bool checks_fence_;
    fencing_number highest_fence_;
    int boot_ = 1;
    std::size_t loading_ = 0;
    std::uint64_t last_run_ = 0;
    std::set<engine_name> loaded_;
    std::vector<run_ptr> active_;
    /// The latest run of each request, including ended ones.
    std::map<request_id, run_ptr> runs_;
};

} // namespace mulberry_test

#endif
