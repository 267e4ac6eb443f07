/// JSON encoding of the messages, forwarded requests and errors that VMs send
/// each other.
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
/// Returns nullopt if `value` is not a peer message of a known type.
std::optional<peer_message> parse_peer_message(Json::Value const& value);

/// Encodes a forwarded request. The deadline is sent as the time left until it,
/// and the arrival as the request's age, because the clocks of two VMs have
/// different epochs.
std::string forwarded_text(model_request const& request, time_point now);
/// Returns nullopt if `text` is malformed or lacks the id, the model, the
/// prefix or the body. `now` is the receiver's time.
std::optional<model_request> parse_forwarded(std::string_view text,
                                             time_point now);

/// Returns an object with the members {"kind", "message", "ran", "request_id",
/// "retry_after_ms"}
Json::Value error_json(error const& what, std::string const& request);
/// Returns nullopt if the error's kind is unknown. A missing or unknown `ran`
/// is read as ran::unknown.
std::optional<error> parse_error(Json::Value const& value);

} // namespace mulberry

#endif
