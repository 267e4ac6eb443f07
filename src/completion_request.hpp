/// Parses a caller's OpenAI-compatible completion request.
#ifndef MULBERRY_COMPLETION_REQUEST_HPP
#define MULBERRY_COMPLETION_REQUEST_HPP

#include "error_kind.hpp"
#include "http_message.hpp"
#include "model_request.hpp"
#include "time_point.hpp"

#include <variant>

namespace mulberry
{

/// Limits and defaults for callers' requests.
struct request_limits
{
    duration default_deadline = std::chrono::seconds(60);
    duration max_deadline = std::chrono::seconds(600);
    std::size_t max_tokens = 32768;
};

/// Returns the request, or an error that says what is wrong with it. The id and
/// base model are not set, the application only if X-Application is given. The
/// body is the caller's without `model`, `stream` and `priority`. `now` is the
/// time of arrival.
std::variant<model_request, error>
parse_completion(http_request const& request, model_endpoint endpoint,
                 request_limits const& limits, time_point now);

/// Returns `now` plus the time in X-Deadline-Ms (milliseconds), or plus the
/// default deadline if the header is missing; the error `bad_deadline` if its
/// value is not from 1 to the maximum.
std::variant<time_point, error> parse_deadline(http_request const& request,
                                               request_limits const& limits,
                                               time_point now);

} // namespace mulberry

#endif
