/// What VMs ask each other about teams' allotments.
///
///   POST /allotment  {"from": VM, "left_ms": 2000,
///                     "teams": [[TEAM, PART, LEAST, MOST], ...]}
///   200              {"given": [[TEAM, UNITS, FITS_MS, COME_BACK_MS], ...]}
///
/// See allotment_keeper.hpp.
#ifndef MULBERRY_PEER_ALLOTMENT_HPP
#define MULBERRY_PEER_ALLOTMENT_HPP

#include "allotment_keeper.hpp"

#include <optional>
#include <string>

namespace mulberry
{

inline constexpr char const* allotment_path = "/allotment";

/// A whole HTTP request.
std::string encode_allotment_question(allotment_question const& question,
                                      std::string const& host);
/// Nothing when the text is no such message.
std::optional<allotment_question>
decode_allotment_question(std::string const& body);
std::string encode_allotment_reply(allotment_reply const& reply);
std::optional<allotment_reply> decode_allotment_reply(std::string const& body);

} // namespace mulberry

#endif
