/// Converts errors to HTTP responses.
#ifndef MULBERRY_ERROR_PAGE_HPP
#define MULBERRY_ERROR_PAGE_HPP

#include "error_kind.hpp"
#include "http_message.hpp"

#include <string>

namespace mulberry
{

/// Returns a response with the body {"error": {...}} and the status of the
/// error's kind. Adds Retry-After, rounded up to whole seconds, if a retry may
/// succeed. `request` is the request's id, or empty.
http_response error_page(error const& what, std::string const& request);

/// Returns the body of error_page() as JSON text.
std::string error_text(error const& what, std::string const& request);

/// Returns the response for an error with HTTP status `status` that the HTTP
/// server detects itself, such as a body that is too large.
http_response server_error_page(int status);

} // namespace mulberry

#endif
