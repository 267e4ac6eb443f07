#include "fake_engines.hpp"

#include <algorithm>
#include <utility>

namespace mulberry
{
namespace
{

using seconds = std::chrono::duration<double>;

constexpr std::size_t most_prefixes = 24;
constexpr duration order_delay = std::chrono::milliseconds(2);
constexpr duration report_interval = std::chrono::milliseconds(500);
constexpr duration report_lag = std::chrono::milliseconds(200);
constexpr duration refusal_delay = std::chrono::milliseconds(100);
constexpr int status_done = 200;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_unavailable = 503;

bool between(time_point now, time_point from, time_point until)
{
    return now >= from && now < until;
}

} // namespace

fake_engines::fake_engines(declaration const& configuration,
                           trace_faults faults, std::uint64_t seed,
                           event_queue& queue, engine_listener& listener)
    : store_(configuration.store), faults_(std::move(faults)), random_(seed),
      queue_(&queue), listener_(&listener)
{
    for (auto const& [id, worker] : configuration.workers)
        engines_[id].declared = worker;
    for (auto& [id, at] : engines_)
        report_regularly(at);
    // Other engines each time, among the first: nothing in the policies
    // depends on an engine's place.
    auto hit = engines_.begin();
    for (time_point const when : faults_.restarts)
    {
        ++hit;
        queue_->at(when, [this, &at = hit->second] { restart(at); });
    }
}

void fake_engines::start(start_attempt const& order)
{
    engine& at = engines_.at(order.worker);
    if (order.resume)
        return refuse(order, "unknown_stream");
    if (!at.loaded.contains(order.name))
        return refuse(order, "model_not_loaded");
    if (at.running.size() >= at.declared.batch_slots)
        return refuse(order, "overloaded");
    at.running[order.attempt] = {order.name, order.request.id};
    bool const cached = touch_prefix(at, order.request.prefix_key);
    duration const whole = service_time(order.request.max_tokens, cached);
    duration const first = service_time(1, cached);
    auto const boot = at.boot;
    queue_->after(first,
                  [this, &at, order, boot]
                  {
                      if (at.boot == boot)
                          send_event(at, order, 0, false);
                  });
    queue_->after(whole,
                  [this, &at, order, boot]
                  {
                      if (at.boot == boot)
                          send_event(at, order, 1, true);
                  });
}

void fake_engines::send_event(engine& at, start_attempt const& order,
                              std::uint64_t offset, bool last)
{
    if (!at.running.contains(order.attempt))
        return;
    if (last)
        at.running.erase(order.attempt);
    attempt_chunk event;
    event.attempt = order.attempt;
    event.offset = offset;
    event.name = order.name;
    event.request = order.request.id;
    event.last = last;
    listener_->on_chunk(order.worker, event);
    if (last)
        listener_->on_end(order.worker, {order.attempt});
}

void fake_engines::refuse(start_attempt const& order, std::string code)
{
    attempt_failure failure;
    failure.attempt = order.attempt;
    failure.stage = failure_stage::refused;
    failure.status =
        code == "overloaded" ? status_unavailable : status_not_found;
    failure.code = std::move(code);
    queue_->after(order_delay, [this, worker = order.worker, failure]
                  { listener_->on_failure(worker, failure); });
}

void fake_engines::cancel(cancel_attempt const& order)
{
    engines_.at(order.worker).running.erase(order.attempt);
}

void fake_engines::load(load_adapter const& order)
{
    engine& at = engines_.at(order.worker);
    if (at.loaded.contains(order.name) ||
        at.loaded.size() >= at.declared.adapter_slots)
        return answer(order.worker, order.order, status_conflict, order_delay);
    if (between(queue_->now(), faults_.down_from, faults_.down_until))
        return answer(order.worker, order.order, status_unavailable,
                      refusal_delay);
    ++loads_running_;
    bool const fails = load_fails();
    auto const boot = at.boot;
    queue_->after(load_time(),
                  [this, &at, order, fails, boot]
                  {
                      --loads_running_;
                      bool const done = !fails && at.boot == boot;
                      if (done)
                          at.loaded.insert(order.name);
                      answer(order.worker, order.order,
                             done ? status_done : status_unavailable, {});
                  });
}

void fake_engines::unload(unload_adapter const& order)
{
    engine& at = engines_.at(order.worker);
    queue_->after(order_delay,
                  [this, &at, order]
                  {
                      bool const was = at.loaded.erase(order.name) > 0;
                      answer(order.worker, order.order,
                             was ? status_done : status_not_found, {});
                  });
}

void fake_engines::answer(worker_id const& worker, order_id order, int status,
                          duration delay)
{
    order_result result;
    result.order = order;
    result.status = status;
    result.what = status == status_done ? order_result::outcome::done
                                        : order_result::outcome::refused;
    if (status == status_unavailable)
        result.code = "load_failed";
    if (status == status_conflict)
        result.code = "no_free_slot";
    queue_->after(delay, [this, worker, result]
                  { listener_->on_order(worker, result); });
}

bool fake_engines::load_fails()
{
    bool const drawn =
        static_cast<double>(random_() % 1000) < faults_.failing_share * 1000;
    return drawn && between(queue_->now(), faults_.loads_fail_from,
                            faults_.loads_fail_until);
}

duration fake_engines::load_time() const
{
    auto const width = static_cast<double>(store_.loads_at_once);
    double time = width / store_.loads_per_second;
    time *= std::max(1.0, static_cast<double>(loads_running_) / width);
    if (between(queue_->now(), faults_.slow_from, faults_.slow_until))
        time *= faults_.slow_factor;
    return std::chrono::duration_cast<duration>(seconds(time));
}

bool fake_engines::touch_prefix(engine& at, std::uint64_t key)
{
    bool const cached = !at.prefixes.insert(key).second;
    if (cached)
        at.prefix_order.remove(key);
    at.prefix_order.push_back(key);
    if (at.prefix_order.size() > most_prefixes)
    {
        at.prefixes.erase(at.prefix_order.front());
        at.prefix_order.pop_front();
    }
    return cached;
}

void fake_engines::restart(engine& at)
{
    ++at.boot;
    at.loaded.clear();
    at.prefixes.clear();
    at.prefix_order.clear();
    auto const cut = std::exchange(at.running, {});
    for (auto const& [attempt, one] : cut)
    {
        attempt_failure failure;
        failure.attempt = attempt;
        failure.stage = failure_stage::answering;
        failure.text = "engine restarted";
        listener_->on_failure(at.declared.id, failure);
    }
}

void fake_engines::report_regularly(engine& at)
{
    engine_report report;
    report.worker = at.declared.id;
    report.boot = boot_id(std::to_string(at.boot));
    report.as_of = queue_->now();
    report.running = at.running.size();
    std::map<engine_name, std::size_t> running;
    for (auto const& [attempt, one] : at.running)
        ++running[one.name];
    for (engine_name const& name : at.loaded)
        report.adapters.push_back({name, running[name]});
    queue_->after(report_lag, [this, report] { listener_->on_report(report); });
    queue_->after(report_interval, [this, &at] { report_regularly(at); });
}

std::set<std::uint64_t> const&
fake_engines::prefixes(worker_id const& worker) const
{
    return engines_.at(worker).prefixes;
}

std::uint64_t fake_engines::boot(worker_id const& worker) const
{
    return engines_.at(worker).boot;
}

} // namespace mulberry
