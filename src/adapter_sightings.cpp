#include "adapter_sightings.hpp"

namespace mulberry
{
namespace
{

/// Two heartbeats and the propagation through the store: by then the registry
/// lists the adapter.
constexpr std::chrono::milliseconds valid_for{3000};

} // namespace

void adapter_sightings::seen(model_target const& target,
                             worker_id const& worker, time_point now)
{
    if (now >= sweep_at_)
    {
        std::erase_if(seen_, [now](auto const& each)
                      { return each.second.valid_until <= now; });
        sweep_at_ = now + valid_for;
    }
    seen_[target] = {worker, now + valid_for};
}

void adapter_sightings::missed(model_target const& target,
                               worker_id const& worker)
{
    auto const known = seen_.find(target);
    if (known != seen_.end() && known->second.worker == worker)
        seen_.erase(known);
}

void adapter_sightings::forget(worker_id const& worker)
{
    std::erase_if(seen_, [&worker](auto const& each)
                  { return each.second.worker == worker; });
}

bool adapter_sightings::at(model_target const& target, worker_id const& worker,
                           time_point now) const
{
    auto const known = seen_.find(target);
    return known != seen_.end() && known->second.worker == worker &&
           now < known->second.valid_until;
}

} // namespace mulberry
