/// Estimates the prefill speed of a service's engines from their answers.
#ifndef MULBERRY_PREFILL_RATE_HPP
#define MULBERRY_PREFILL_RATE_HPP

#include "time_point.hpp"

#include <cstdint>

namespace mulberry
{

/// Tracks the median prefill time per token. The prompts known to be queued
/// ahead of a prompt count in its expected and in its actual time. A median,
/// since some prompts are prefilled only in part (the engine still has their
/// prefix in its KV cache), and others wait behind requests that this VM does
/// not know of. Thread safety: none.
class prefill_rate
{
public:
    /// Records that a prompt of `tokens` tokens, whose first byte was expected
    /// `expected` after it was sent, began its answer after `took`. Short
    /// prompts are ignored, since their times do not show the prefill speed.
    void observe(std::uint32_t tokens, duration expected, duration took);
    /// Whether there has been an observation. prefill_time() returns the
    /// expected prefill time of a prompt, before the first observation by a
    /// conservative default.
    bool known() const { return observations_ > 0; }
    duration prefill_time(std::uint32_t tokens) const;

private:
    /// Initial value: a third of the speed of current engines, so that a worker
    /// is not taken for silent before the first observation.
    double microseconds_per_token_ = 100;
    std::uint32_t observations_ = 0;
};

} // namespace mulberry

#endif
