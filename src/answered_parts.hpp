/// Remembers which parts of prompts workers have answered completely of late.
#ifndef MULBERRY_ANSWERED_PARTS_HPP
#define MULBERRY_ANSWERED_PARTS_HPP

#include "ids.hpp"
#include "time_point.hpp"

#include <cstddef>
#include <optional>
#include <unordered_map>

namespace mulberry
{

/// Keeps two generations of bounded size, so that adding is cheap and the
/// oldest parts are forgotten together. A part is remembered for `generation`
/// at least, unless more than `max_parts` others came since. Thread safety:
/// none. No I/O, no clock.
class answered_parts
{
public:
    explicit answered_parts(duration generation = std::chrono::seconds(30),
                            std::size_t max_parts = 4096)
        : generation_(generation), max_parts_(max_parts)
    {
    }

    void add(request_digest const& part, time_point now);
    /// When a request with the part was last answered; nullopt if unknown.
    std::optional<time_point> answered_at(request_digest const& part) const;

private:
    using generation_map = std::unordered_map<request_digest, time_point>;

    duration generation_;
    std::size_t max_parts_;
    generation_map current_;
    generation_map previous_;
    time_point current_until_{};
};

} // namespace mulberry

#endif
