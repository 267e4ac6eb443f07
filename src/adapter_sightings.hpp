/// Where adapters were last used that other VMs' workers hold.
#ifndef MULBERRY_ADAPTER_SIGHTINGS_HPP
#define MULBERRY_ADAPTER_SIGHTINGS_HPP

#include "relay_request.hpp"
#include "time_point.hpp"

#include <cstddef>
#include <map>

namespace mulberry
{

/// A worker lists what it holds with its heartbeat, seconds late; the VM that
/// was granted room for an adapter there knows it at once. Bounded: what was
/// seen long ago is forgotten first. Thread safety: none.
class adapter_sightings
{
public:
    void seen(model_target const& target, worker_id const& worker,
              time_point now);
    /// The worker turned out not to hold it.
    void missed(model_target const& target, worker_id const& worker);
    /// The worker holds nothing any more.
    void forget(worker_id const& worker);
    bool at(model_target const& target, worker_id const& worker,
            time_point now) const;
    std::size_t size() const { return seen_.size(); }

private:
    struct sighting
    {
        worker_id worker;
        time_point valid_until{};
    };
    std::map<model_target, sighting> seen_;
    time_point sweep_at_{};
};

} // namespace mulberry

#endif
