/// What a schedule that knows the whole trace could do, relaxed.
#ifndef MULBERRY_OFFLINE_REFERENCE_HPP
#define MULBERRY_OFFLINE_REFERENCE_HPP

#include "trial_run.hpp"
#include "trial_trace.hpp"

namespace mulberry
{

/// Two bounds, each relaxed on its own, so that no schedule need reach both:
///
/// Loads and stalled share: Belady's choice (evict what is asked for again
/// last) over one pool of all adapter slots, requests taken in order of
/// arrival, adapters loaded when first missed. Relaxed: the slots of all
/// workers serve every request, one copy of an adapter is enough, nothing is
/// pinned, loads take no time in the store's queue. No policy that loads on
/// demand and serves in order of arrival has fewer loads. One that loads ahead
/// has as many loads but may hide them, so that for stalls it is a bound only
/// of loading on demand.
///
/// Batch efficiency: each request starts on arrival and runs for its service
/// time with a cached prefix, and at every moment what runs is packed afresh
/// into the fewest workers. Relaxed: requests move between workers for
/// nothing, adapters are everywhere. No schedule in which nothing waits does
/// better; one that lets requests wait may.
trial_result offline_reference(deployment_size const& size,
                               trial_trace const& trace);

} // namespace mulberry

#endif
