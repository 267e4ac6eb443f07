/// Reads a caller's OpenAI-compatible request.
#ifndef MULBERRY_COMPLETION_REQUEST_HPP
#define MULBERRY_COMPLETION_REQUEST_HPP

#include "error_kind.hpp"
#include "http_message.hpp"
#include "model_request.hpp"
#include "time_point.hpp"

#include <variant>

namespace mulberry
{

struct request_limits
{
    duration default_deadline = std::chrono::seconds(60);
    duration max_deadline = std::chrono::seconds(600);
    std::size_t max_tokens = 32768;
};

/// The request without id, base model and (unless given) application; its body
/// is the caller's without `model`, `stream` and `priority`. Or what is wrong
/// with it.
std::variant<model_request, error>
parse_completion(http_request const& request, model_endpoint endpoint,
                 request_limits const& limits, time_point now);

/// The deadline of a request's X-Deadline-Ms, or the default.
std::variant<time_point, error> parse_deadline(http_request const& request,
                                               request_limits const& limits,
                                               time_point now);

} // namespace mulberry

#endif
