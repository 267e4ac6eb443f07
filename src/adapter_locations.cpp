#include "adapter_locations.hpp"

namespace mulberry
{
namespace
{

/// Two heartbeats and the propagation through the store: by then the registry
/// lists the adapter.
constexpr std::chrono::milliseconds entry_lifetime{3000};

} // namespace

void adapter_locations::record(model_target const& target,
                               worker_id const& worker, time_point now)
{
    if (now >= next_sweep_at_)
    {
        std::erase_if(locations_, [now](auto const& each)
                      { return each.second.valid_until <= now; });
        next_sweep_at_ = now + entry_lifetime;
    }
    locations_[target] = {worker, now + entry_lifetime};
}

void adapter_locations::remove(model_target const& target,
                               worker_id const& worker)
{
    auto const known = locations_.find(target);
    if (known != locations_.end() && known->second.worker == worker)
        locations_.erase(known);
}

void adapter_locations::remove_worker(worker_id const& worker)
{
    std::erase_if(locations_, [&worker](auto const& each)
                  { return each.second.worker == worker; });
}

bool adapter_locations::is_at(model_target const& target,
                              worker_id const& worker, time_point now) const
{
    auto const known = locations_.find(target);
    return known != locations_.end() && known->second.worker == worker &&
           now < known->second.valid_until;
}

} // namespace mulberry
