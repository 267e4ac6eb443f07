/// Errors as HTTP responses.
#ifndef MULBERRY_ERROR_PAGE_HPP
#define MULBERRY_ERROR_PAGE_HPP

#include "error_kind.hpp"
#include "http_message.hpp"

#include <string>

namespace mulberry
{

/// {"error": {...}} with the kind's status, and Retry-After in whole seconds
/// where coming back makes sense. `request` may be empty.
http_response error_page(error const& what, std::string const& request);

/// The JSON text of the body.
std::string error_text(error const& what, std::string const& request);

/// What the HTTP server itself answers with a status.
http_response server_error_page(int status);

} // namespace mulberry

#endif
