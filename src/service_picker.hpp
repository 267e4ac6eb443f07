/// Chooses the worker of a plain service to which a call is sent.
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

/// Prefers the worker with the fewest outstanding calls of this VM and, on a
/// retry, a worker in a failure domain in which no try has failed. A failing
/// worker is avoided for a time that doubles with each consecutive failure and
/// then gets one call at a time until a call succeeds. Without this a worker
/// that fails immediately would have the fewest outstanding calls and attract
/// all calls.
///
/// Thread safety: none.
class service_picker
{
public:
    explicit service_picker(std::uint64_t seed) : random_(seed) {}

    /// Returns nothing only when the service has no workers. Workers in
    /// `tried_workers` and avoided workers are chosen when there is no other.
    std::optional<service_worker_id>
    pick(service_declaration const& service,
         std::set<service_worker_id> const& tried_workers, time_point now);

    void started(service_id const& service, service_worker_id const& worker);
    void succeeded(service_id const& service, service_worker_id const& worker);
    void failed(service_id const& service, service_worker_id const& worker,
                time_point now);
    /// This VM canceled the call, which says nothing about the worker.
    void canceled(service_id const& service, service_worker_id const& worker);
    /// Removes the state of workers that are not in the configuration.
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
