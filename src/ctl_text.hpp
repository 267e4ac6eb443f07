/// Answers of the system as text for people.
#ifndef MULBERRY_CTL_TEXT_HPP
#define MULBERRY_CTL_TEXT_HPP

#include <json/value.h>

#include <string>

namespace mulberry
{

/// Pure functions; a member that is missing from an answer is shown as "-",
/// so that a tool and a VM of different releases still understand each other.
std::string status_text(Json::Value const& status);
std::string targets_text(Json::Value const& targets);
/// One line an event.
std::string events_text(Json::Value const& events);
/// Why the system refused, for programs: {"error": {"kind", "message", "ran",
/// "retry_after_ms", "changes"}} of the `data` that came with the error; what
/// it does not hold is null.
Json::Value refusal_json(std::string const& message, Json::Value const& data);
/// JSON over several lines.
std::string pretty_json(Json::Value const& value);

} // namespace mulberry

#endif
