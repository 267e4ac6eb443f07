/// Where the shell's parts report what happened.
#ifndef MULBERRY_EVENT_SINK_HPP
#define MULBERRY_EVENT_SINK_HPP

#include "core_event.hpp"

namespace mulberry
{

/// Thread safe.
class event_sink
{
public:
    virtual ~event_sink() = default;
    /// For new work: false when the decision thread's ring is full, so that
    /// the response writer is told of the overload while it is certain that
    /// nothing ran.
    virtual bool offer(core_event event) = 0;
    /// For what became of work already taken: waits for room, since a lost
    /// event would be a lost answer. The wait slows the back end's connection
    /// down, which is the bound.
    virtual void post(core_event event) = 0;
};

} // namespace mulberry

#endif
