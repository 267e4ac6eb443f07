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

/// No team holds the key, or the fingerprint fits several keys.
class key_lookup_failure : public std::runtime_error
{
public:
    key_lookup_failure(char const* kind, std::string const& text)
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
    auto result = decode(read_file(file), fault);
    if (result && result->version.none())
        fault = "has no version";
    if (!fault.empty() || !result)
        throw file_failure(file + ": is no configuration: " + fault);
    return std::move(*result);
}

configuration_versions
read_configurations(std::vector<std::string> const& files,
                    configuration_decoder const& decode)
{
    std::vector<routing_config> versions;
    for (std::string const& file : files)
    {
        routing_config result = read_configuration(file, decode);
        for (routing_config const& other : versions)
            if (other.version == result.version)
                throw file_failure(
                    fmt::format("{}: is version {}, as is another file", file,
                                result.version.value()));
        versions.push_back(std::move(result));
    }
    return configuration_versions(std::move(versions));
}

std::string read_all(std::istream& in)
{
    return {std::istreambuf_iterator<char>(in),
            std::istreambuf_iterator<char>()};
}

/// Reads the key as the daemon reads it from a request. Throws file_failure,
/// whose text does not quote the key.
key_digest read_team_key(std::string text)
{
    text.erase(text.find_last_not_of("\r\n") + 1);
    http_headers headers;
    headers.add(authorization_header, "Bearer " + text);
    if (auto const key = caller_key(headers))
        return *key;
    throw file_failure("the key: is no single word of visible ASCII, as "
                       "callers send it; leave out the scheme before it");
}

std::string describe(key_history const& history)
{
    return fmt::format("{} of {}", fingerprint(history.key),
                       history.holder->name.str());
}

key_digest find_key(configuration_versions const& versions,
                    std::string const& digits)
{
    auto const found = versions.keys_with_prefix(digits);
    if (found.size() == 1)
        return *found.begin();
    if (found.empty())
        throw key_lookup_failure(
            "key_unknown",
            fmt::format("no team has a key whose fingerprint begins with {}",
                        digits));
    std::string all;
    for (key_digest const& key : found)
        all += (all.empty() ? "" : ", ") + describe(versions.history_of(key));
    throw key_lookup_failure(
        "key_ambiguous",
        fmt::format("several keys have fingerprints that begin with {}: {}; "
                    "give more digits, or the key",
                    digits, all));
}

key_digest requested_key(ctl_options const& options,
                         configuration_versions const& versions,
                         std::istream& in)
{
    if (options.fingerprint)
        return find_key(versions, *options.fingerprint);
    return read_team_key(options.team_key_file.empty()
                             ? read_all(in)
                             : read_file(options.team_key_file));
}

std::string unknown_key_text(key_history const& history,
                             routing_config const& newest)
{
    std::string text =
        fmt::format("no team has the key {} in version {}",
                    fingerprint(history.key), newest.version.value());
    if (history.holder)
        return text + fmt::format(": {} had it in version {}, it is gone in "
                                  "version {}",
                                  history.holder->name.str(),
                                  history.until.value(),
                                  history.removed_in.value());
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

std::string since_text(key_history const& history)
{
    if (history.absent_in.none())
        return fmt::format("version {} or before; an older version tells more",
                           history.since.value());
    return fmt::format("version {}; not yet in version {}",
                       history.since.value(), history.absent_in.value());
}

std::string holder_text(key_history const& history)
{
    return fmt::format("team      {}\n"
                       "key       {}\n"
                       "version   {}\n"
                       "since     {}\n"
                       "priority  {}\n"
                       "limit     {}\n",
                       history.holder->name.str(), fingerprint(history.key),
                       history.until.value(), since_text(history),
                       history.holder->priority,
                       limit_text(history.holder->limit));
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

Json::Value holder_json(key_history const& history)
{
    Json::Value json(Json::objectValue);
    json["team"] = history.holder->name.str();
    json["key"] = fingerprint(history.key);
    json["version"] = static_cast<Json::UInt64>(history.until.value());
    json["since"] = static_cast<Json::UInt64>(history.since.value());
    json["not_yet"] =
        history.absent_in.none()
            ? Json::Value()
            : Json::Value(static_cast<Json::UInt64>(history.absent_in.value()));
    json["priority"] = history.holder->priority;
    json["limit"] = limit_json(history.holder->limit);
    return json;
}

key_history find_holder(ctl_options const& options,
                        configuration_decoder const& decode, std::istream& in)
{
    configuration_versions const versions =
        read_configurations(options.arguments, decode);
    key_history result =
        versions.history_of(requested_key(options, versions, in));
    if (!result.in_force())
        throw key_lookup_failure("key_unknown",
                                 unknown_key_text(result, versions.newest()));
    return result;
}

} // namespace

ctl_exit run_team(ctl_options const& options,
                  configuration_decoder const& decode, std::istream& in,
                  std::ostream& out, std::ostream& err)
{
    try
    {
        key_history const history = find_holder(options, decode, in);
        out << (options.json ? pretty_json(holder_json(history))
                             : holder_text(history));
        return ctl_exit::ok;
    }
    catch (key_lookup_failure const& failure)
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
