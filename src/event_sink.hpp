/// Queue through which the I/O components pass events to the decision thread.
#ifndef MULBERRY_EVENT_SINK_HPP
#define MULBERRY_EVENT_SINK_HPP

#include "core_event.hpp"

namespace mulberry
{

/// Thread safety: any thread may call any method.
class event_sink
{
public:
    virtual ~event_sink() = default;
    /// For new requests. Returns false if the decision thread's ring is full,
    /// so that the response writer can report the overload while it is certain
    /// that nothing ran.
    virtual bool offer(core_event event) = 0;
    /// For the progress of accepted work. Blocks until the ring has a free
    /// slot, since a lost event would be a lost answer. Blocking slows the
    /// backend's connection down, which bounds the number of events.
    virtual void post(core_event event) = 0;
};

} // namespace mulberry

#endif
