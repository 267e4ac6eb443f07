/// The limits on an incoming request, as callbacks of the HTTP parser. Private
/// to the HTTP server: this header includes RESTinio.
#ifndef MULBERRY_HTTP_REQUEST_LIMITS_HPP
#define MULBERRY_HTTP_REQUEST_LIMITS_HPP

#include <restinio/request_handler.hpp>

#include <http_parser.h>

#include <optional>

namespace mulberry
{

/// RESTinio's callbacks, except that a request that is malformed or over one of
/// the connection's limits is read to its end, its bytes are discarded, and the
/// request handler receives the request marked as refused. The body is not read
/// if its announced length is far over the limit. RESTinio itself closes the
/// connection at the byte that exceeds a limit. The caller, which is still
/// writing, sees a connection reset instead of a status, cannot tell "too
/// large" from a network fault, and retries. Reading to the end is bounded in
/// time by the read timeout and keeps nothing in memory.
http_parser_settings limiting_parser_settings();

/// The status (400, 413, 414 or 431) of a refused request; otherwise nullopt.
std::optional<int>
refused_status(restinio::http_request_header_t const& header);

} // namespace mulberry

#endif
