/// How often each adapter is asked for, estimated from arrivals.
#ifndef MULBERRY_ADAPTER_DEMAND_HPP
#define MULBERRY_ADAPTER_DEMAND_HPP

#include "adapter_ref.hpp"
#include "declaration.hpp"
#include "time_point.hpp"

#include <cstddef>
#include <unordered_map>

namespace mulberry
{

/// Decayed arrival rates on two time scales: a slow one that tells the rare
/// from the very rare, and a fast one that notices a shift of popularity. A
/// rate is cut down once an adapter stays silent for longer than that rate
/// allows, so that what was popular before a shift soon counts for little.
/// Thread safety: none.
class adapter_demand
{
public:
    /// O(1).
    void observe(adapter_ref const& adapter, time_point now);
    /// Requests a second expected from now on; 0 for one never seen. O(1).
    double rate(adapter_ref const& adapter, time_point now) const;
    /// Of all adapters together, on the slow scale. O(1).
    double total_rate(time_point now) const;
    /// Forgets adapters and versions that are no longer declared.
    void keep_declared(declaration const& configuration);
    std::size_t size() const { return records_.size(); }

private:
    struct record
    {
        double slow_count = 0;
        double fast_count = 0;
        time_point last_arrival{};
    };
    std::unordered_map<adapter_ref, record> records_;
    record total_;
};

} // namespace mulberry

#endif
