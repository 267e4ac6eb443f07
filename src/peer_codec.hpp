/// The JSON forms of what VMs send each other.
#ifndef MULBERRY_PEER_CODEC_HPP
#define MULBERRY_PEER_CODEC_HPP

#include "error_kind.hpp"
#include "model_request.hpp"
#include "peer_message.hpp"
#include "time_point.hpp"

#include <json/value.h>

#include <optional>
#include <string>
#include <string_view>

namespace mulberry
{

Json::Value peer_message_json(peer_message const& message);
/// Nothing if it is not a peer message.
std::optional<peer_message> parse_peer_message(Json::Value const& value);

/// A forwarded request. Its deadline travels as what is left of it, since the
/// clocks of two VMs have different epochs.
std::string forwarded_text(model_request const& request, time_point now);
std::optional<model_request> parse_forwarded(std::string_view text,
                                             time_point now);

/// {"kind", "message", "ran", "request_id", "retry_after_ms"}
Json::Value error_json(error const& what, std::string const& request);
std::optional<error> parse_error(Json::Value const& value);

} // namespace mulberry

#endif
