/// Which worker of another VM was last seen to hold an adapter.
#ifndef MULBERRY_ADAPTER_LOCATIONS_HPP
#define MULBERRY_ADAPTER_LOCATIONS_HPP

#include "relay_request.hpp"
#include "time_point.hpp"

#include <cstddef>
#include <map>

namespace mulberry
{

/// A worker lists its adapters with its heartbeat, seconds late; a VM that was
/// granted a slot for an adapter there knows the location at once. Entries
/// expire after a few seconds, which bounds the size. Thread safety: none.
class adapter_locations
{
public:
    void record(model_target const& target, worker_id const& worker,
                time_point now);
    /// Removes the entry if it names this worker, which turned out not to hold
    /// the adapter.
    void remove(model_target const& target, worker_id const& worker);
    /// Removes all entries of a worker that holds nothing any more.
    void remove_worker(worker_id const& worker);
    bool is_at(model_target const& target, worker_id const& worker,
               time_point now) const;
    std::size_t size() const { return locations_.size(); }

private:
    struct location
    {
        worker_id worker;
        time_point valid_until{};
    };
    std::map<model_target, location> locations_;
    time_point next_sweep_at_{};
};

} // namespace mulberry

#endif
