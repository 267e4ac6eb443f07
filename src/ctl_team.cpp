// The command `team`.
#include "ctl_commands.hpp"
#include "ctl_text.hpp"
#include "key_history.hpp"
#include "team_key.hpp"

#include <fmt/format.h>
#include <json/value.h>

#include <istream>
#include <iterator>
#include <ostream>
#include <utility>

namespace mulberry
{
namespace
{

/// No team has the key, or it cannot be told which one has.
class unknown_holder : public std::runtime_error
{
public:
    unknown_holder(char const* kind, std::string const& text)
        : runtime_error(text), kind_(kind)
    {
    }

    char const* kind() const { return kind_; }

private:
    char const* kind_;
};

routing_config read_configuration(std::string const& file,
                                  configuration_decoder const& decode)
{
    std::string fault;
    auto made = decode(read_file(file), fault);
    if (made && made->version.none())
        fault = "has no version";
    if (!fault.empty() || !made)
        throw file_failure(file + ": is no configuration: " + fault);
    return std::move(*made);
}

known_configurations read_configurations(std::vector<std::string> const& files,
                                         configuration_decoder const& decode)
{
    std::vector<routing_config> versions;
    for (std::string const& file : files)
    {
        routing_config made = read_configuration(file, decode);
        for (routing_config const& other : versions)
            if (other.version == made.version)
                throw file_failure(
                    fmt::format("{}: is version {}, as is another file", file,
                                made.version.value()));
        versions.push_back(std::move(made));
    }
    return known_configurations(std::move(versions));
}

std::string read_all(std::istream& in)
{
    return {std::istreambuf_iterator<char>(in),
            std::istreambuf_iterator<char>()};
}

/// As the daemon reads it from a request. Throws file_failure, which does not
/// quote the key.
key_digest read_team_key(std::string text)
{
    text.erase(text.find_last_not_of("\r\n") + 1);
    http_headers headers;
    headers.add(authorization_header, "Bearer " + text);
    if (auto const key = caller_key(headers))
        return *key;
    throw file_failure("the key: is no single word of visible ASCII, as "
                       "callers show one; leave out the scheme before it");
}

std::string describe(key_history const& known)
{
    return fmt::format("{} of {}", fingerprint(known.key),
                       known.holder->name.str());
}

key_digest find_key(known_configurations const& versions,
                    std::string const& digits)
{
    auto const found = versions.keys_beginning_with(digits);
    if (found.size() == 1)
        return *found.begin();
    if (found.empty())
        throw unknown_holder(
            "key_unknown",
            fmt::format("no team has a key whose fingerprint begins with {}",
                        digits));
    std::string all;
    for (key_digest const& key : found)
        all += (all.empty() ? "" : ", ") + describe(versions.history_of(key));
    throw unknown_holder(
        "key_ambiguous",
        fmt::format("several keys have fingerprints that begin with {}: {}; "
                    "give more digits, or the key",
                    digits, all));
}

key_digest wanted_key(ctl_options const& options,
                      known_configurations const& versions, std::istream& in)
{
    if (options.fingerprint)
        return find_key(versions, *options.fingerprint);
    return read_team_key(options.team_key_file.empty()
                             ? read_all(in)
                             : read_file(options.team_key_file));
}

std::string why_unknown(key_history const& known, routing_config const& newest)
{
    std::string text =
        fmt::format("no team has the key {} in version {}",
                    fingerprint(known.key), newest.version.value());
    if (known.holder)
        return text + fmt::format(": {} had it in version {}, it is gone in "
                                  "version {}",
                                  known.holder->name.str(), known.until.value(),
                                  known.gone_by.value());
    if (newest.teams.empty())
        return text + ", which has no teams: callers need no key";
    return text;
}

char const* unit_of(allotment const& limit)
{
    return limit.unit == allotment_unit::tokens ? "tokens" : "requests";
}

std::string limit_text(std::optional<allotment> const& limit)
{
    if (!limit)
        return "none";
    std::string text =
        fmt::format("{:.15g} {} a second, {:.15g} more at once",
                    limit->per_second, unit_of(*limit), limit->burst);
    if (limit->unit == allotment_unit::tokens)
        text += fmt::format("; {:.15g} for a request that tells no number",
                            limit->plain_tokens);
    return text;
}

std::string since_text(key_history const& known)
{
    if (known.not_yet.none())
        return fmt::format("version {} or before; an older version tells more",
                           known.since.value());
    return fmt::format("version {}; not yet in version {}", known.since.value(),
                       known.not_yet.value());
}

std::string holding_text(key_history const& known)
{
    return fmt::format("team      {}\n"
                       "key       {}\n"
                       "version   {}\n"
                       "since     {}\n"
                       "priority  {}\n"
                       "limit     {}\n",
                       known.holder->name.str(), fingerprint(known.key),
                       known.until.value(), since_text(known),
                       known.holder->priority, limit_text(known.holder->limit));
}

Json::Value limit_json(std::optional<allotment> const& limit)
{
    Json::Value json;
    if (!limit)
        return json;
    json["unit"] = unit_of(*limit);
    json["per_second"] = limit->per_second;
    json["burst"] = limit->burst;
    if (limit->unit == allotment_unit::tokens)
        json["plain_tokens"] = limit->plain_tokens;
    return json;
}

Json::Value holding_json(key_history const& known)
{
    Json::Value json(Json::objectValue);
    json["team"] = known.holder->name.str();
    json["key"] = fingerprint(known.key);
    json["version"] = static_cast<Json::UInt64>(known.until.value());
    json["since"] = static_cast<Json::UInt64>(known.since.value());
    json["not_yet"] =
        known.not_yet.none()
            ? Json::Value()
            : Json::Value(static_cast<Json::UInt64>(known.not_yet.value()));
    json["priority"] = known.holder->priority;
    json["limit"] = limit_json(known.holder->limit);
    return json;
}

key_history find_holder(ctl_options const& options,
                        configuration_decoder const& decode, std::istream& in)
{
    known_configurations const versions =
        read_configurations(options.arguments, decode);
    key_history made = versions.history_of(wanted_key(options, versions, in));
    if (!made.in_force())
        throw unknown_holder("key_unknown",
                             why_unknown(made, versions.newest()));
    return made;
}

} // namespace

ctl_exit run_team(ctl_options const& options,
                  configuration_decoder const& decode, std::istream& in,
                  std::ostream& out, std::ostream& err)
{
    try
    {
        key_history const known = find_holder(options, decode, in);
        out << (options.json ? pretty_json(holding_json(known))
                             : holding_text(known));
        return ctl_exit::ok;
    }
    catch (unknown_holder const& failure)
    {
        err << failure.what() << "\n";
        Json::Value data(Json::objectValue);
        data["kind"] = failure.kind();
        if (options.json)
            out << pretty_json(refusal_json(failure.what(), data));
        return ctl_exit::refused;
    }
}

} // namespace mulberry
