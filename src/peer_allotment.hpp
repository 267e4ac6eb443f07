/// Encodes the queries between VMs about allotments of teams and workers.
///
///   POST /allotment  {"from": VM, "left_ms": 2000,
///                     "teams": [[TEAM, SHARE, MIN_UNITS, MAX_UNITS], ...]}
///   200              {"given": [[TEAM, UNITS, AVAILABLE_MS, RETRY_MS], ...]}
///
/// `left_ms` is allotment_query::delegated_for; see allotment_limiter.hpp for
/// the other fields.
///
///   POST /worker_limits  the same, with the names of workers, and "notices":
///                        [[WORKER, PER_SECOND or null, AGE_MS], ...]
///   200                  the same as above, also with "notices"
///
/// AGE_MS: how long ago the worker named the limit; see worker_limiter.hpp.
#ifndef MULBERRY_PEER_ALLOTMENT_HPP
#define MULBERRY_PEER_ALLOTMENT_HPP

#include "allotment_limiter.hpp"
#include "worker_limiter.hpp"

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

inline constexpr char const* worker_limits_path = "/worker_limits";

/// As above; ages count from `now`.
std::string encode_worker_limit_query(worker_limit_query const& query,
                                      std::string const& host, time_point now);
std::optional<worker_limit_query>
decode_worker_limit_query(std::string const& body, time_point now);
std::string encode_worker_limit_reply(worker_limit_reply const& reply,
                                      time_point now);
std::optional<worker_limit_reply>
decode_worker_limit_reply(std::string const& body, time_point now);

} // namespace mulberry

#endif
