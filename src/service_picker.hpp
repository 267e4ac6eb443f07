/// Which worker of a plain service a call goes to.
#ifndef MULBERRY_SERVICE_PICKER_HPP
#define MULBERRY_SERVICE_PICKER_HPP

#include "declaration.hpp"
#include "ids.hpp"
#include "time_point.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>

namespace mulberry
{

/// Least outstanding calls of this VM first; on a retry rather in a failure
/// domain that has not failed yet; workers that fail are avoided for a time
/// that doubles with each failure in a row, then tried with one call at a
/// time until one succeeds. Without that a worker that fails at once would
/// have the fewest outstanding calls and draw them all. Thread safety: none.
class service_picker
{
public:
    explicit service_picker(std::uint64_t seed) : random_(seed) {}

    /// Nothing only when the service has no workers. Workers already tried, or
    /// to be avoided, are chosen when there is no other.
    std::optional<service_worker_id>
    pick(service_declaration const& service,
         std::set<service_worker_id> const& tried_workers, time_point now);

    void started(service_id const& service, service_worker_id const& worker);
    void succeeded(service_id const& service, service_worker_id const& worker);
    void failed(service_id const& service, service_worker_id const& worker,
                time_point now);
    /// The call was dropped by this VM: says nothing of the worker.
    void canceled(service_id const& service, service_worker_id const& worker);
    /// Forgets workers that the configuration no longer has.
    void configure(declaration const& configuration);

private:
    struct worker_state
    {
        std::size_t outstanding = 0;
        int failures_in_a_row = 0;
        time_point avoid_until{};
    };
    using worker_key = std::pair<service_id, service_worker_id>;

    worker_state* find(service_id const& service,
                       service_worker_id const& worker);
    bool is_avoided(worker_state const& state, time_point now) const;

    std::map<worker_key, worker_state> workers_;
    std::mt19937_64 random_;
};

} // namespace mulberry

#endif
