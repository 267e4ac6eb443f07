/// Runs worker_dispatchers against a fake engine in virtual time, with faults
/// drawn from one seed, and checks the history of requests.
#ifndef MULBERRY_DISPATCH_SCHEDULE_HPP
#define MULBERRY_DISPATCH_SCHEDULE_HPP

#include "history.hpp"

#include "safeguards.hpp"
#include "worker_dispatcher.hpp"

#include <cstdint>

namespace mulberry_test
{

/// Faults that may occur in a schedule; each is one bit of a mask.
enum fault : std::uint32_t
{
    lost_request = 1U << 0,
    late_request = 1U << 1,
    busy_engine = 1U << 2,
    unreachable_engine = 1U << 3,
    cut_stream = 1U << 4,
    silent_stream = 1U << 5,
    repeated_event = 1U << 6,
    skipped_event = 1U << 7,
    crossed_event = 1U << 8,
    wrong_adapter_echo = 1U << 9,
    forgotten_stream = 1U << 10,
    failed_load = 1U << 11,
    unknown_load = 1U << 12,
    unknown_unload = 1U << 13,
    lost_cancel = 1U << 14,
    engine_restart = 1U << 15,
    paused_owner = 1U << 16,
    lost_intent_answer = 1U << 17,
    all_faults = (1U << 18) - 1
};

struct schedule_options
{
    std::uint64_t seed = 1;
    std::uint32_t faults = all_faults;
    /// Replaces the real checks in mutation tests; may be null.
    mulberry::safeguards const* checks = nullptr;
    /// Whether a new owner learns the open intents from the row.
    bool hand_over_intents = true;
};

struct schedule_result
{
    std::vector<violation> violations;
    mulberry::dispatch_counts counts;
    std::size_t invoked = 0;
    std::size_t adopted_evictions = 0;
    /// How often the worker changed its owner.
    std::size_t takeovers = 0;
};

/// Runs one schedule to its end.
schedule_result run_schedule(schedule_options const& options);

} // namespace mulberry_test

#endif
