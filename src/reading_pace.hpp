/// How fast the engines of a service read prompts, learned from their answers.
#ifndef MULBERRY_READING_PACE_HPP
#define MULBERRY_READING_PACE_HPP

#include "time_point.hpp"

#include <cstdint>

namespace mulberry
{

/// Follows the median of the time that a token took in prompts with nothing
/// ahead of them. A median, since some prompts are read in part only (the
/// engine still has their beginning) and others wait behind what this VM does
/// not know of. Thread safety: none.
class reading_pace
{
public:
    /// A request with so many tokens of prompt, sent with nothing ahead of it,
    /// began its answer after `took`. Short prompts say nothing of the pace
    /// and are passed over.
    void observe(std::uint32_t tokens, duration expected, duration took);
    /// How long that many tokens take to be read.
    bool known() const { return observed_ > 0; }
    duration time_for(std::uint32_t tokens) const;

private:
    /// Until the first answer: a third of what today's engines read, so that a
    /// worker is not taken for silent before one is known.
    double microseconds_per_token_ = 100;
    std::uint32_t observed_ = 0;
};

} // namespace mulberry

#endif
