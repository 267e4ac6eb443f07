/// Encodes the queries between VMs about teams' allotments.
///
///   POST /allotment  {"from": VM, "left_ms": 2000,
///                     "teams": [[TEAM, SHARE, MIN_UNITS, MAX_UNITS], ...]}
///   200              {"given": [[TEAM, UNITS, AVAILABLE_MS, RETRY_MS], ...]}
///
/// `left_ms` is allotment_query::delegated_for; see allotment_limiter.hpp for
/// the other fields.
#ifndef MULBERRY_PEER_ALLOTMENT_HPP
#define MULBERRY_PEER_ALLOTMENT_HPP

#include "allotment_limiter.hpp"

#include <optional>
#include <string>

namespace mulberry
{

inline constexpr char const* allotment_path = "/allotment";

/// Returns a complete HTTP request.
std::string encode_allotment_query(allotment_query const& query,
                                   std::string const& host);
/// Decodes the body of a query. Returns nullopt if `body` is malformed. Times
/// are limited to one minute.
std::optional<allotment_query> decode_allotment_query(std::string const& body);
/// Returns the body of a reply.
std::string encode_allotment_reply(allotment_reply const& reply);
/// Returns nullopt if `body` is malformed. Times are limited to one minute.
std::optional<allotment_reply> decode_allotment_reply(std::string const& body);

} // namespace mulberry

#endif
