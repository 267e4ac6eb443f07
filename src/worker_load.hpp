/// How busy a worker is, as its owner tells other VMs.
#ifndef MULBERRY_WORKER_LOAD_HPP
#define MULBERRY_WORKER_LOAD_HPP

#include "ids.hpp"
#include "time_point.hpp"

namespace mulberry
{

/// Value. Spans are as of the moment of telling.
struct worker_load
{
    worker_id worker;
    /// The share of its batch that is taken.
    double batch = 0;
    /// Until it has read the prompts that are there.
    duration reading{};
    /// Until one of its adapter slots is free or can be freed.
    duration slot_wait{};
    friend bool operator==(worker_load const&, worker_load const&) = default;
};

} // namespace mulberry

#endif
