/// Estimates each adapter's request rate from arrivals.
#ifndef MULBERRY_ADAPTER_DEMAND_HPP
#define MULBERRY_ADAPTER_DEMAND_HPP

#include "adapter_ref.hpp"
#include "declaration.hpp"
#include "time_point.hpp"

#include <cstddef>
#include <unordered_map>

namespace mulberry
{

/// Exponentially decayed arrival rates on two time scales: a slow one that
/// distinguishes rarely from very rarely requested adapters, and a fast one
/// that follows a shift of popularity. An adapter's rate is reduced once no
/// request has arrived for much longer than the rate predicts, so that an
/// adapter that was popular before a shift soon loses its rank. Thread safety:
/// none.
class adapter_demand
{
public:
    /// Counts one request for the adapter. O(1).
    void observe(adapter_ref const& adapter, time_point now);
    /// Expected requests per second; 0 for an adapter without a recorded
    /// request. O(1).
    double rate(adapter_ref const& adapter, time_point now) const;
    /// Requests per second for all adapters together, on the slow time scale.
    /// O(1).
    double total_rate(time_point now) const;
    /// Removes the records of adapter versions that are not declared.
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
