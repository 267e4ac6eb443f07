/// Converts a remote clock's timestamps of answers to local time.
#ifndef MULBERRY_REMOTE_CLOCK_HPP
#define MULBERRY_REMOTE_CLOCK_HPP

#include "time_point.hpp"

#include <optional>

namespace mulberry
{

/// Load it answers: a long poll waits for seconds for a change and is answered
/// without one. The content is certain to be true as of the question; that it
/// was still true as of the answer follows only from the remote clock. An
/// answer is made after its question was asked, so each quick answer bounds the
/// offset between the clocks. Thread safety: none. Reads no clock itself.
class remote_clock
{
public:
    /// Returns a lower bound on the time at which an answer with the remote
    /// timestamp `remote` was made; never before its question was asked.
    /// Without a timestamp, returns `asked_at`.
    time_point made_at(std::optional<duration> remote, time_point asked_at,
                       time_point answered_at);

private:
    /// Lower bound on the local time at which the remote clock showed 0.
    std::optional<time_point> remote_epoch_;
};

} // namespace mulberry

#endif
