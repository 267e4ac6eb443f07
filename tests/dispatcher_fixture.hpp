/// A test fixture: a dispatcher of a worker with two batch slots and two
/// adapter slots, and the actions that it requested.
#ifndef MULBERRY_TESTS_DISPATCHER_BENCH_HPP
#define MULBERRY_TESTS_DISPATCHER_BENCH_HPP

#include "worker_dispatcher.hpp"

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace mulberry::tests
{

/// Sends in order of arrival, evicts the least recently used adapter and
/// preloads only the adapters in `preloads`.
class lru_policy : public routing_policy
{
public:
    std::vector<adapter_ref> preloads;

    std::optional<worker_id> choose_worker(model_request const&,
                                           cluster_view const&,
                                           std::set<worker_id> const&,
                                           time_point) override
    {
        return std::nullopt;
    }
    std::optional<adapter_ref>
    choose_victim(worker_view const&, adapter_ref const&,
                  std::vector<resident_view> const& candidates,
                  time_point) override
    {
        auto const older = [](resident_view const& a, resident_view const& b)
        { return a.last_used < b.last_used; };
        return std::min_element(candidates.begin(), candidates.end(), older)
            ->adapter;
    }
    std::optional<std::size_t> choose_next(worker_view const&,
                                           std::vector<waiting_request> const&,
                                           time_point) override
    {
        return 0;
    }
    std::vector<adapter_ref> adapters_to_preload(worker_view const&,
                                                 cluster_view const&,
                                                 time_point) override
    {
        return preloads;
    }
    void observe(model_request const&, time_point) override {}
    void configure(declaration const&) override {}
};

inline worker_declaration small_worker()
{
    worker_declaration worker;
    worker.id = worker_id("w1");
    worker.batch_slots = 2;
    worker.adapter_slots = 2;
    return worker;
}

inline dispatcher_limits small_limits()
{
    dispatcher_limits limits;
    limits.max_queue = 2;
    limits.max_deadline = std::chrono::seconds(60);
    return limits;
}

/// A dispatcher whose owner has fencing number 5, and all actions that it
/// requested.
struct dispatcher_fixture
{
    explicit dispatcher_fixture(ownership_grant grant = {})
        : budget(make_load_budget("even_split"))
    {
        budget->configure({100, 10});
        budget->set_members(1, now);
        grant.fence = fencing_number(5);
        dispatcher = std::make_unique<worker_dispatcher>(
            small_worker(), grant, small_limits(), policy, *budget, checks, ids,
            now);
        dispatcher->set_cluster(&cluster);
    }

    void submit(std::string const& id, std::string const& adapter,
                duration time_left = std::chrono::seconds(30),
                int priority = default_priority)
    {
        model_request request;
        request.id = request_id(id);
        request.adapter = adapter_ref(adapter_id(adapter), adapter_version(1));
        request.priority = priority;
        request.arrived = now;
        request.deadline = now + time_left;
        dispatcher->submit(request, now, actions);
    }
    /// Delivers a report of this moment with these names and the number of
    /// requests running under each.
    void report(std::vector<engine_report::adapter_load> adapters)
    {
        engine_report shown;
        shown.worker = worker_id("w1");
        shown.boot = boot_id("b");
        shown.as_of = now;
        for (auto const& each : adapters)
            shown.running += each.running;
        shown.adapters = std::move(adapters);
        dispatcher->on_report(shown, now, actions);
    }
    void advance(duration time)
    {
        now += time;
        dispatcher->tick(now, actions);
    }
    /// All actions of a type so far, in order.
    template <class Action>
    std::vector<Action> actions_of() const
    {
        std::vector<Action> found;
        for (action const& each : actions)
            if (auto const* one = std::get_if<Action>(&each))
                found.push_back(*one);
        return found;
    }
    template <class Action>
    Action last_action() const
    {
        return actions_of<Action>().back();
    }
    /// Both adapter slots are in use, by request r1 for adapter a and r2 for b,
    /// and r3 for c has waited for starvation_timeout.
    void occupy_both_slots()
    {
        report({{engine_name("a@1#5"), 0}, {engine_name("b@1#5"), 0}});
        submit("r1", "a");
        submit("r2", "b");
        submit("r3", "c");
        advance(std::chrono::seconds(1));
        chunk(actions_of<start_attempt>()[0], 0);
        chunk(actions_of<start_attempt>()[1], 0);
        advance(std::chrono::seconds(1));
    }
    /// The number of forget_intent actions for that name.
    std::size_t forget_count(engine_name const& name) const
    {
        auto const all = actions_of<forget_intent>();
        return static_cast<std::size_t>(
            std::count_if(all.begin(), all.end(),
                          [&](auto const& each) { return each.name == name; }));
    }
    void order(order_id id, order_result::outcome what, int status = 200,
               std::string const& code = "")
    {
        dispatcher->on_order({id, what, status, code}, now, actions);
    }
    void chunk(start_attempt const& at, std::uint64_t offset, bool last = false)
    {
        dispatcher->on_chunk(
            {at.attempt, offset, at.name, at.request.id, "text", last}, now,
            actions);
    }
    void fail(start_attempt const& at, failure_stage stage, int status = 0)
    {
        dispatcher->on_failure({at.attempt, stage, status, "", "failed", {}},
                               now, actions);
    }
    void finish(start_attempt const& at, std::uint64_t offset)
    {
        chunk(at, offset, true);
        end(at);
    }
    void end(start_attempt const& at)
    {
        dispatcher->on_end({at.attempt}, now, actions);
    }

    time_point now = time_point(std::chrono::seconds(1000));
    lru_policy policy;
    std::unique_ptr<load_budget> budget;
    safeguards checks;
    id_source ids;
    cluster_view cluster;
    std::unique_ptr<worker_dispatcher> dispatcher;
    action_list actions;
};

inline engine_name named(char const* text)
{
    return engine_name(text);
}

} // namespace mulberry::tests

#endif
