/// Decides whether a VM takes new connections of callers.
#ifndef MULBERRY_CONNECTION_GATE_HPP
#define MULBERRY_CONNECTION_GATE_HPP

#include "time_point.hpp"

#include <cstddef>
#include <cstdint>

namespace mulberry
{

struct connection_gate_limits
{
    /// Lag of the event loop from which the VM counts as overloaded. A
    /// request that is read then waits for as long.
    duration max_lag = std::chrono::milliseconds(250);
    /// How long new connections are closed after such a lag.
    duration closed_time = std::chrono::milliseconds(200);
    /// One connection is taken this often all the same: a VM that takes none
    /// would seem ready and be useless, and the load may have ended.
    duration probe_interval = std::chrono::milliseconds(500);
};

/// Load pattern: most new connections come to one VM. It reads all requests and
/// answers none in time. A connection that is closed unread costs its caller
/// little: the caller tries another VM. So an overloaded VM closes new
/// connections, and what it reads it serves. Thread safety: none. Pure: no I/O,
/// no clock.
class connection_gate
{
public:
    explicit connection_gate(connection_gate_limits limits = {})
        : limits_(limits)
    {
    }

    /// The event loop ran a timer this much too late.
    void on_loop_lag(duration lag, time_point now);
    /// Whether to take the connection that has come now; counts those that are
    /// not taken.
    bool may_open(time_point now);
    std::uint64_t closed() const { return closed_; }

private:
    connection_gate_limits limits_;
    time_point closed_until_{};
    time_point next_probe_at_{};
    std::uint64_t closed_ = 0;
};

} // namespace mulberry

#endif
