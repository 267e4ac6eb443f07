// Keeps retries within this VM's share of the retry budget.
#include "relay.hpp"

#include <algorithm>
#include <cmath>

namespace mulberry
{
namespace
{

/// Interval between two log lines on one service's budget.
constexpr std::chrono::seconds budget_log_interval{1};

} // namespace

void relay::set_first_process()
{
    is_first_process_ = true;
    for (auto& [name, service] : services_)
        service.retries.set_first_process();
}

duration relay::retry_after(relay_exchange const& exchange, duration min_delay)
{
    std::optional<model_target> const target =
        exchange.terms().engine ? exchange.request().model : std::nullopt;
    return add_jitter(
        std::max(min_delay, find(exchange.terms().service)
                                ->scheduler.remaining_pause(target, now())));
}

bool relay::try_reserve_retry(relay_exchange const& exchange)
{
    time_point const at = now();
    service_state& service = *find(exchange.terms().service);
    bool const reserved = service.retries.try_reserve(at);
    log_retry_budget(exchange.terms().service, service);
    return reserved;
}

void relay::on_retry_sent(relay_exchange const& exchange)
{
    ++counts_.retries;
    find(exchange.terms().service)->retries.on_sent(now());
}

void relay::on_retry_not_sent(relay_exchange const& exchange)
{
    find(exchange.terms().service)
        ->retries.on_not_sent(exchange.sent_at(), now());
}

void relay::release_retry(relay_exchange const& exchange)
{
    find(exchange.terms().service)->retries.release();
}

void relay::log_retry_budget(service_id const& name, service_state& service)
{
    time_point const at = now();
    if (at < service.budget_log_due)
        return;
    service.budget_log_due = at + budget_log_interval;
    retry_usage const usage = service.retries.usage(at);
    log_.notable(
        "retry budget",
        log_fields()
            .add("service", name.str())
            .add("vms", std::uint64_t{usage.vms})
            .add("up_ms", at - started_at_)
            .add("requests", usage.requests)
            .add("retries", usage.retries)
            .add("allowed", static_cast<int>(std::floor(usage.allowed))),
        at);
}

} // namespace mulberry
