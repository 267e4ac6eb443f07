/// The prompts that one worker has yet to read, as far as this VM knows.
#ifndef MULBERRY_WORKER_READING_HPP
#define MULBERRY_WORKER_READING_HPP

#include "time_point.hpp"

#include <map>

namespace mulberry
{

/// An engine reads prompts one after the other, so that a request begins when
/// all that were sent before it are read. Known are the prompts that this VM
/// sent or granted. Time wears the estimate
/// off; a request that begins corrects it. Thread safety: none.
class worker_reading
{
public:
    /// Until what is there now is read.
    duration ahead(time_point now) const;
    /// When what is there now is read; in the past if nothing is.
    time_point until() const { return until_; }
    /// A prompt was sent that takes so long to read.
    void add(duration reading, time_point now);
    /// A request that was sent then has begun: what came before it was read.
    void begun(time_point sent_at, time_point now);

private:
    time_point until_{};
    /// When each of them was sent, and what it takes to be read.
    std::multimap<time_point, duration> unread_;
};

} // namespace mulberry

#endif
