/// What VMs ask each other about teams' allotments.
///
///   POST /allotment  {"from": VM, "left_ms": 2000,
///                     "teams": [[TEAM, PART, LEAST, MOST], ...]}
///   200              {"given": [[TEAM, UNITS, FITS_MS, COME_BACK_MS], ...]}
///
/// See allotment_limiter.hpp.
#ifndef MULBERRY_PEER_ALLOTMENT_HPP
#define MULBERRY_PEER_ALLOTMENT_HPP

#include "allotment_limiter.hpp"

#include <optional>
#include <string>

namespace mulberry
{

inline constexpr char const* allotment_path = "/allotment";

/// A whole HTTP request.
std::string encode_allotment_query(allotment_query const& query,
                                   std::string const& host);
/// Nothing when the text is no such message.
std::optional<allotment_query> decode_allotment_query(std::string const& body);
std::string encode_allotment_reply(allotment_reply const& reply);
std::optional<allotment_reply> decode_allotment_reply(std::string const& body);

} // namespace mulberry

#endif
