/// Sends measured requests at a rate, or so many at a time.
#ifndef MULBERRY_TRAFFIC_HPP
#define MULBERRY_TRAFFIC_HPP

#include "probe.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace mulberry
{

struct traffic_plan
{
    /// Taken in turn.
    std::vector<probe_target> targets;
    std::vector<std::string> models;
    /// Popularity of the models: rank to the minus that; 0 for all alike.
    double zipf_exponent = 0;
    /// Requests a second, evenly spaced; 0: `in_flight` at a time instead.
    double rate = 0;
    std::size_t in_flight = 1;
    std::chrono::milliseconds length{10000};
    std::size_t tokens = 8;
    /// Every so many-th request is streamed; 0 for none.
    std::size_t stream_every = 0;
    std::chrono::milliseconds deadline{10000};
    /// Tries of one request; more than 1 after a refusal with Retry-After.
    unsigned tries = 1;
    std::uint64_t seed = 1;
};

/// Runs the plan, waits for every answer. Waits: not on a client's thread.
/// Precondition: there are targets and models.
std::vector<probe_result> run_traffic(traffic_plan const& plan);

} // namespace mulberry

#endif
