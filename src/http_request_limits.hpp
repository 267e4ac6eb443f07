/// The bounds on an incoming request, as callbacks of the HTTP parser.
/// Private to the HTTP server: it includes RESTinio.
#ifndef MULBERRY_HTTP_REQUEST_LIMITS_HPP
#define MULBERRY_HTTP_REQUEST_LIMITS_HPP

#include <restinio/request_handler.hpp>

#include <http_parser.h>

#include <optional>

namespace mulberry
{

/// RESTinio's own callbacks, but a request over one of the connection's limits
/// is read to its end with its bytes thrown away and then reaches the request
/// handler marked as refused.
///
/// RESTinio itself closes the connection at the byte that passes a limit. The
/// caller, who is still writing, sees a reset in place of a status and can't
/// tell "too large" from a network fault, so it tries again. Reading to the
/// end is bounded by the read timeout in time and by nothing kept in memory.
http_parser_settings limiting_parser_settings();

/// The status (413, 414 or 431) that a request was refused with, if it was.
std::optional<int>
refused_status(restinio::http_request_header_t const& header);

} // namespace mulberry

#endif
