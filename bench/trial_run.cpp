#include "trial_run.hpp"

#include "fake_engines.hpp"
#include "load_budget.hpp"
#include "routing_policy.hpp"
#include "safeguards.hpp"
#include "worker_dispatcher.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <variant>

namespace mulberry
{
namespace
{

using seconds = std::chrono::duration<double>;

constexpr duration tick_interval = std::chrono::milliseconds(100);
constexpr duration intent_delay = std::chrono::milliseconds(5);
constexpr duration deadline_after = std::chrono::seconds(60);
constexpr duration drain_time = std::chrono::seconds(90);
constexpr int most_tries = 3;

struct request_record
{
    std::size_t place = 0;
    std::set<worker_id> tried;
    std::optional<time_point> stalled_since;
    duration stall{};
    bool stalled = false;
    std::optional<time_point> answered;
    bool failed = false;
};

class trial : engine_listener
{
public:
    trial(deployment_size const& size, trial_trace const& trace,
          std::string_view policy, std::uint64_t seed)
        : configuration_(declaration_of(size)), trace_(trace),
          policy_(make_policy(policy, seed)),
          budget_(make_load_budget("even_split")),
          engines_(configuration_, trace.faults, seed, queue_, *this),
          records_(trace.requests.size())
    {
        policy_->configure(configuration_);
        budget_->configure(configuration_.store);
        budget_->set_members(1, queue_.now());
        for (auto const& [id, worker] : configuration_.workers)
            add_worker(worker);
        result_.policy = policy;
    }

    trial_result run()
    {
        arrive(0);
        tick();
        queue_.run_until(trace_.measured_from);
        dispatch_counts const before = totals();
        queue_.run_until(trace_.end);
        dispatch_counts const after = totals();
        queue_.run_until(trace_.end + drain_time);
        summarise(before, after);
        return result_;
    }

private:
    void add_worker(worker_declaration const& worker)
    {
        dispatcher_limits limits;
        // The fakes send two events an answer, and their connections never
        // go silent.
        limits.progress_timeout = limits.max_deadline;
        ownership_grant grant;
        grant.fence = fencing_number(1);
        dispatchers_.emplace(worker.id,
                             std::make_unique<worker_dispatcher>(
                                 worker, grant, limits, *policy_, *budget_,
                                 checks_, ids_, queue_.now()));
        dispatchers_.at(worker.id)->set_cluster(&view_);
        refresh(worker.id);
    }

    dispatch_counts totals() const
    {
        dispatch_counts sum;
        for (auto const& [id, at] : dispatchers_)
        {
            dispatch_counts const one = at->counts(queue_.now());
            sum.busy_slot_time += one.busy_slot_time;
            sum.open_slot_time += one.open_slot_time;
            sum.loads += one.loads;
            sum.evictions += one.evictions;
        }
        return sum;
    }

    void refresh(worker_id const& worker)
    {
        worker_view now = dispatchers_.at(worker)->view(queue_.now());
        now.cached_prefixes = engines_.prefixes(worker);
        view_.put(std::move(now));
    }

    void arrive(std::size_t place)
    {
        if (place >= trace_.requests.size())
            return;
        queue_.at(trace_.requests[place].at,
                  [this, place]
                  {
                      model_request const request = request_of(place);
                      policy_->observe(request, queue_.now());
                      send(place, request);
                      arrive(place + 1);
                  });
    }

    model_request request_of(std::size_t place) const
    {
        trace_request const& drawn = trace_.requests[place];
        model_request request;
        request.id = request_id(std::to_string(place));
        request.adapter = adapter_numbered(drawn.adapter);
        request.base_model = base_model_id("base");
        request.arrived = drawn.at;
        request.deadline = drawn.at + deadline_after;
        request.prefix_key = drawn.prefix_key;
        request.max_tokens = drawn.tokens;
        return request;
    }

    void send(std::size_t place, model_request const& request)
    {
        request_record& record = records_[place];
        auto const worker =
            policy_->choose_worker(request, view_, record.tried, queue_.now());
        if (!worker)
        {
            record.failed = true;
            return;
        }
        record.tried.insert(*worker);
        worker_view const view = dispatchers_.at(*worker)->view(queue_.now());
        resident_view const* resident = view.find(request.adapter);
        if (resident == nullptr || resident->state != resident_state::ready)
        {
            record.stalled = true;
            record.stalled_since = queue_.now();
            waiting_[{*worker, request.adapter}].push_back(place);
        }
        with(*worker, [&](worker_dispatcher& at, action_list& actions)
             { at.submit(request, queue_.now(), actions); });
    }

    void end_stall(std::size_t place)
    {
        request_record& record = records_[place];
        if (!record.stalled_since)
            return;
        record.stall += queue_.now() - *record.stalled_since;
        record.stalled_since.reset();
    }

    template <class Call>
    void with(worker_id const& worker, Call call)
    {
        action_list actions;
        call(*dispatchers_.at(worker), actions);
        refresh(worker);
        for (action const& one : actions)
            std::visit([&](auto const& what) { act(worker, what); }, one);
    }

    void act(worker_id const&, start_attempt const& what)
    {
        engines_.start(what);
    }
    void act(worker_id const&, cancel_attempt const& what)
    {
        engines_.cancel(what);
    }
    void act(worker_id const&, load_adapter const& what)
    {
        loading_[what.order] = what.adapter;
        engines_.load(what);
    }
    void act(worker_id const&, unload_adapter const& what)
    {
        engines_.unload(what);
    }
    void act(worker_id const& worker, record_intent const& what)
    {
        queue_.after(
            intent_delay,
            [this, worker, order = what.order]
            {
                with(worker, [&](worker_dispatcher& at, action_list& actions)
                     { at.on_intent(order, true, queue_.now(), actions); });
            });
    }
    void act(worker_id const&, deliver_end const& what)
    {
        std::size_t const place = std::stoul(what.request.str());
        end_stall(place);
        records_[place].answered = queue_.now();
    }
    void act(worker_id const&, deliver_error const& what)
    {
        std::size_t const place = std::stoul(what.request.str());
        end_stall(place);
        request_record& record = records_[place];
        if (what.what.request_ran() != ran::no ||
            record.tried.size() >= most_tries)
        {
            record.failed = true;
            return;
        }
        send(place, request_of(place));
    }
    template <class Other>
    void act(worker_id const&, Other const&)
    {
    }

    void on_chunk(worker_id const& worker, attempt_chunk const& event) override
    {
        with(worker, [&](worker_dispatcher& at, action_list& actions)
             { at.on_chunk(event, queue_.now(), actions); });
    }
    void on_end(worker_id const& worker, attempt_end const& event) override
    {
        with(worker, [&](worker_dispatcher& at, action_list& actions)
             { at.on_end(event, queue_.now(), actions); });
    }
    void on_failure(worker_id const& worker,
                    attempt_failure const& event) override
    {
        with(worker, [&](worker_dispatcher& at, action_list& actions)
             { at.on_failure(event, queue_.now(), actions); });
    }
    void on_order(worker_id const& worker, order_result const& event) override
    {
        auto const loading = loading_.extract(event.order);
        if (!loading.empty() && event.what == order_result::outcome::done)
        {
            auto const stalled = waiting_.extract({worker, loading.mapped()});
            if (!stalled.empty())
                for (std::size_t const place : stalled.mapped())
                    end_stall(place);
        }
        with(worker, [&](worker_dispatcher& at, action_list& actions)
             { at.on_order(event, queue_.now(), actions); });
        if (!loading.empty())
            use_permit();
    }

    /// A load is over: whoever waits for a permit may have it now and not at
    /// the next tick.
    void use_permit()
    {
        for (auto const& [id, at] : dispatchers_)
            if (at->loads_wanted() > 0)
                with(id, [&](worker_dispatcher& one, action_list& actions)
                     { one.tick(queue_.now(), actions); });
    }

    void on_report(engine_report const& report) override
    {
        with(report.worker, [&](worker_dispatcher& at, action_list& actions)
             { at.on_report(report, queue_.now(), actions); });
    }

    void tick()
    {
        for (auto const& [id, at] : dispatchers_)
            with(id, [&](worker_dispatcher& one, action_list& actions)
                 { one.tick(queue_.now(), actions); });
        queue_.after(tick_interval, [this] { tick(); });
    }

    void summarise(dispatch_counts const& before, dispatch_counts const& after)
    {
        std::vector<double> stalls;
        std::vector<double> answers;
        std::vector<double> waits;
        std::vector<std::vector<double>> bucket_answers;
        std::vector<std::vector<double>> bucket_stalls;
        for (std::size_t place = 0; place < records_.size(); ++place)
        {
            trace_request const& asked = trace_.requests[place];
            if (asked.at < trace_.measured_from)
                continue;
            request_record const& record = records_[place];
            ++result_.requests;
            auto const bucket = static_cast<std::size_t>(
                seconds(asked.at - trace_.measured_from).count() /
                trial_bucket_seconds);
            if (bucket >= bucket_answers.size())
            {
                bucket_answers.resize(bucket + 1);
                bucket_stalls.resize(bucket + 1);
            }
            bucket_stalls[bucket].push_back(record.stalled ? 1 : 0);
            stalls.push_back(seconds(record.stall).count());
            result_.stall_share += record.stalled ? 1 : 0;
            if (!record.answered)
            {
                ++result_.failed;
                continue;
            }
            duration const whole = *record.answered - asked.at;
            answers.push_back(seconds(whole).count());
            bucket_answers[bucket].push_back(answers.back());
            duration const alone = service_time(asked.tokens, false);
            waits.push_back(std::max(0.0, seconds(whole - alone).count()));
        }
        for (double const stall : stalls)
            result_.stall_seconds += stall;
        result_.stall_share /= static_cast<double>(result_.requests);
        result_.stall_p99 = quantile(stalls, 0.99);
        result_.answer_p50 = quantile(answers, 0.5);
        result_.answer_p99 = quantile(answers, 0.99);
        result_.wait_p99 = quantile(waits, 0.99);
        result_.batch_efficiency =
            seconds(after.busy_slot_time - before.busy_slot_time) /
            seconds(after.open_slot_time - before.open_slot_time);
        result_.loads = after.loads - before.loads;
        result_.evictions = after.evictions - before.evictions;
        for (std::size_t i = 0; i < bucket_answers.size(); ++i)
        {
            result_.answer_p99_by_bucket.push_back(
                quantile(bucket_answers[i], 0.99));
            double sum = 0;
            for (double const one : bucket_stalls[i])
                sum += one;
            result_.stall_share_by_bucket.push_back(
                sum / static_cast<double>(
                          std::max<std::size_t>(bucket_stalls[i].size(), 1)));
        }
    }

    declaration configuration_;
    trial_trace const& trace_;
    event_queue queue_;
    std::unique_ptr<routing_policy> policy_;
    std::unique_ptr<load_budget> budget_;
    safeguards checks_;
    id_source ids_;
    cluster_view view_;
    fake_engines engines_;
    std::map<worker_id, std::unique_ptr<worker_dispatcher>> dispatchers_;
    std::vector<request_record> records_;
    std::map<order_id, adapter_ref> loading_;
    std::map<std::pair<worker_id, adapter_ref>, std::vector<std::size_t>>
        waiting_;
    trial_result result_;
};

} // namespace

trial_result run_trial(deployment_size const& size, trial_trace const& trace,
                       std::string_view policy, std::uint64_t seed)
{
    return trial(size, trace, policy, seed).run();
}

double quantile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    auto const place = static_cast<std::size_t>(
        share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(),
                     values.begin() + static_cast<std::ptrdiff_t>(place),
                     values.end());
    return values[place];
}

} // namespace mulberry
