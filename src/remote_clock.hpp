/// Tells when an answer was made, by the clock of whoever made it.
#ifndef MULBERRY_REMOTE_CLOCK_HPP
#define MULBERRY_REMOTE_CLOCK_HPP

#include "time_point.hpp"

#include <optional>

namespace mulberry
{

/// Load it answers: a question waits for seconds for a change and is answered
/// without one. That what is known was true when it was asked is certain; that
/// it was true when it was answered shows only by the other side's clock. An
/// answer is made after its question was asked, so each quick answer bounds how
/// far the two clocks are apart. Thread safety: none. No clock of its own.
class remote_clock
{
public:
    /// A moment at or before the one at which an answer was made that bears
    /// the time `remote`, and at or after its question. Without a time, when it
    /// was asked.
    time_point made_at(std::optional<duration> remote, time_point asked_at,
                       time_point answered_at);

private:
    /// When the remote clock showed 0, at the earliest.
    std::optional<time_point> zero_;
};

} // namespace mulberry

#endif
