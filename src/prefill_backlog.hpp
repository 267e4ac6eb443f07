/// Prompts that one worker has yet to prefill, as far as this VM knows.
#ifndef MULBERRY_PREFILL_BACKLOG_HPP
#define MULBERRY_PREFILL_BACKLOG_HPP

#include "time_point.hpp"

#include <map>

namespace mulberry
{

/// An engine prefills prompts one after the other, so that a request begins
/// when all prompts sent before it are prefilled. Only prompts that this VM
/// sent or granted are known. The estimate falls as time passes and is
/// corrected by each request that begins. Thread safety: none.
class prefill_backlog
{
public:
    /// Remaining time until the current backlog is prefilled.
    duration ahead(time_point now) const;
    /// When the current backlog is prefilled; in the past if there is none.
    time_point ends_at() const { return ends_at_; }
    /// Adds a prompt with its expected prefill time.
    void add(duration prefill_time, time_point now);
    /// Removes a prompt that was added at `sent_at` and was not sent after all.
    void remove(time_point sent_at, time_point now);
    /// Records that a request sent at `sent_at` has begun its answer: all
    /// prompts sent up to then are prefilled.
    void on_first_byte(time_point sent_at, time_point now);

private:
    time_point ends_at_{};
    /// Prompts not prefilled yet: when each was sent, and its prefill time.
    std::multimap<time_point, duration> pending_;
};

} // namespace mulberry

#endif
