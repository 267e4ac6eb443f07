#include "service_picker.hpp"

#include <algorithm>
#include <tuple>

namespace mulberry
{
namespace
{

constexpr duration min_avoidance = std::chrono::milliseconds(100);
constexpr duration max_avoidance = std::chrono::seconds(10);

duration avoidance_time(int failures_in_a_row)
{
    duration span = min_avoidance;
    for (int failure = 1; failure < failures_in_a_row; ++failure)
        span = std::min(span * 2, max_avoidance);
    return span;
}

std::set<domain_id> domains_of(service_declaration const& service,
                               std::set<service_worker_id> const& workers)
{
    std::set<domain_id> domains;
    for (service_worker_declaration const& worker : service.workers)
        if (workers.count(worker.id) != 0)
            domains.insert(worker.domain);
    return domains;
}

} // namespace

std::optional<service_worker_id>
service_picker::pick(service_declaration const& service,
                     std::set<service_worker_id> const& tried_workers,
                     time_point now)
{
    if (service.workers.empty())
        return std::nullopt;
    std::set<domain_id> const failed_domains =
        domains_of(service, tried_workers);
    auto const rank = [&](service_worker_declaration const& worker)
    {
        worker_state const& state = workers_[{service.id, worker.id}];
        return std::make_tuple(
            is_avoided(state, now), tried_workers.count(worker.id),
            failed_domains.count(worker.domain), state.outstanding);
    };
    // A random start spreads the first calls of many VMs over equally ranked
    // workers.
    std::size_t const count = service.workers.size();
    std::size_t const start = random_() % count;
    service_worker_declaration const* best = &service.workers[start];
    for (std::size_t step = 1; step < count; ++step)
    {
        auto const& candidate = service.workers[(start + step) % count];
        if (rank(candidate) < rank(*best))
            best = &candidate;
    }
    return best->id;
}

void service_picker::started(service_id const& service,
                             service_worker_id const& worker)
{
    ++workers_[{service, worker}].outstanding;
}

void service_picker::succeeded(service_id const& service,
                               service_worker_id const& worker)
{
    canceled(service, worker);
    if (worker_state* const state = find(service, worker))
        state->failures_in_a_row = 0;
}

void service_picker::failed(service_id const& service,
                            service_worker_id const& worker, time_point now)
{
    canceled(service, worker);
    worker_state* const state = find(service, worker);
    if (state == nullptr)
        return;
    ++state->failures_in_a_row;
    state->avoid_until = now + avoidance_time(state->failures_in_a_row);
}

void service_picker::canceled(service_id const& service,
                              service_worker_id const& worker)
{
    worker_state* const state = find(service, worker);
    if (state != nullptr && state->outstanding > 0)
        --state->outstanding;
}

void service_picker::configure(declaration const& configuration)
{
    std::set<worker_key> configured;
    for (auto const& [id, service] : configuration.services)
        for (service_worker_declaration const& worker : service.workers)
            configured.insert({id, worker.id});
    std::erase_if(workers_, [&](auto const& entry)
                  { return configured.count(entry.first) == 0; });
}

service_picker::worker_state*
service_picker::find(service_id const& service, service_worker_id const& worker)
{
    auto const found = workers_.find({service, worker});
    return found == workers_.end() ? nullptr : &found->second;
}

bool service_picker::is_avoided(worker_state const& state, time_point now) const
{
    if (state.failures_in_a_row == 0)
        return false;
    return now < state.avoid_until || state.outstanding > 0;
}

} // namespace mulberry
