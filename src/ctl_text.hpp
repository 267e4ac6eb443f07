/// Formats answers of VMs as text for people, or as JSON for programs.
#ifndef MULBERRY_CTL_TEXT_HPP
#define MULBERRY_CTL_TEXT_HPP

#include <json/value.h>

#include <string>

namespace mulberry
{

/// All functions here are pure. In text, a member that is missing from an
/// answer is shown as "-", so that the tool works with VMs of other releases.
std::string status_text(Json::Value const& status);
std::string targets_text(Json::Value const& targets);
/// One line per event.
std::string events_text(Json::Value const& events);
/// The error of a refused call as JSON: {"error": {"kind", "message", "ran",
/// "retry_after_ms", "changes"}}. `data` is the error's `data` member; members
/// that `data` lacks are null.
Json::Value refusal_json(std::string const& message, Json::Value const& data);
/// Indented JSON that ends with a line end. Numbers have the fewest digits of
/// 15 or 17 that read back as the same value.
std::string pretty_json(Json::Value const& value);

} // namespace mulberry

#endif
