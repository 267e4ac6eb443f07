#include "settings.hpp"
#include "json_reader.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace mulberry
{
namespace
{

using std::chrono::milliseconds;
using enum presence;

constexpr std::uint64_t max_port = 65535;
constexpr std::size_t max_key_bytes = 256;
constexpr std::uint64_t kibibyte = 1024;
constexpr std::uint64_t mebibyte = 1024 * kibibyte;

// The largest value that callers may request (X-Deadline-Ms).
constexpr milliseconds max_deadline_allowed{600'000};

void read_listener(json_document& document, Json::Value const& json,
                   std::string const& path, listen_address& listener)
{
    json_object object(document, json, path);
    object.read_text("address", listener.address, optional);
    if (!valid_address(listener.address))
        object.add_fault("address", fmt::format("\"{}\" is not an IP address "
                                                "in numbers",
                                                listener.address));
    std::size_t port = 0;
    object.read_count("port", port, {0, max_port}, required);
    listener.port = static_cast<std::uint16_t>(port);
    object.refuse_unknown_keys();
}

void read_listeners(json_document& document, json_object& root, settings& value)
{
    struct named_listener
    {
        char const* key;
        listen_address* listener;
    };
    std::array const listeners{named_listener{"callers", &value.callers},
                               named_listener{"peers", &value.peers},
                               named_listener{"operators", &value.operators}};
    for (named_listener const& entry : listeners)
        root.read_object(
            entry.key, required,
            [&](auto const& json, auto const& path)
            { read_listener(document, json, path, *entry.listener); });
    for (std::size_t at = 1; at < listeners.size(); ++at)
        for (std::size_t other = 0; other < at; ++other)
            if (*listeners[at].listener == *listeners[other].listener &&
                listeners[at].listener->port != 0)
                root.add_fault(listeners[at].key,
                               fmt::format("has the same address and port as "
                                           "{}",
                                           listeners[other].key));
}

// Faults are written to logs and terminals, so they must not contain the key.
void read_key(json_object& root, char const* key, std::string& into)
{
    root.read_text(key, into, required);
    bool const printable = std::all_of(
        into.begin(), into.end(), [](char c) { return c > ' ' && c <= '~'; });
    if (!printable || into.size() > max_key_bytes)
        root.add_fault(key, fmt::format("must be 1 to {} visible ASCII "
                                        "characters",
                                        max_key_bytes));
}

void read_identity(json_object& root, settings& value)
{
    std::string vm;
    std::string domain;
    root.read_name("vm", vm, required);
    root.read_name("domain", domain, required);
    root.read_name("deployment", value.deployment, required);
    value.vm = vm_id(vm);
    value.domain = domain_id(domain);
}

void read_platform(json_object& root, settings& value)
{
    root.read_url("table_url", value.table_url, required);
    root.read_url("objects_url", value.objects_url, required);
    root.read_url("vms_url", value.vms_url, required);
}

void read_times(json_object& root, settings& value)
{
    auto const read = [&](char const* key, duration& into, milliseconds least,
                          milliseconds most) {
        root.read_milliseconds(key, into, {least, most}, optional);
    };
    read("lease_ms", value.lease, milliseconds(100), milliseconds(60'000));
    read("heartbeat_ms", value.heartbeat, milliseconds(10),
         milliseconds(20'000));
    read("configuration_poll_ms", value.configuration_poll, milliseconds(10),
         milliseconds(10'000));
    read("configuration_bound_ms", value.configuration_bound, milliseconds(100),
         milliseconds(30'000));
    read("hint_interval_ms", value.hint_interval, milliseconds(10),
         milliseconds(60'000));
    read("load_report_interval_ms", value.load_report_interval,
         milliseconds(10), milliseconds(60'000));
    read("default_deadline_ms", value.default_deadline, milliseconds(1),
         max_deadline_allowed);
    read("max_deadline_ms", value.max_deadline, milliseconds(1),
         max_deadline_allowed);
    read("progress_timeout_ms", value.progress_timeout, milliseconds(10),
         max_deadline_allowed);
}

void read_sizes(json_object& root, settings& value)
{
    auto const read = [&](char const* key, std::size_t& into,
                          std::uint64_t least, std::uint64_t most) {
        root.read_count(key, into, {least, most}, optional);
    };
    read("max_body_bytes", value.max_body_bytes, kibibyte, 1024 * mebibyte);
    read("max_header_bytes", value.max_header_bytes, kibibyte, mebibyte);
    read("max_connections", value.max_connections, 1, 1'000'000);
    read("ring_capacity", value.ring_capacity, 16, 1'048'576);
    read("max_queue_per_worker", value.max_queue_per_worker, 1, 100'000);
    read("caller_threads", value.caller_threads, 1, 256);
    read("timeline_capacity", value.timeline_capacity, 16, 16'777'216);
}

void read_policy_and_logging(json_object& root, settings& value)
{
    root.read_name("policy", value.policy, optional);
    root.read_choice("load_budget", value.load_budget,
                     {"exchanged_counts", "even_split"}, optional);
    std::size_t seed = value.seed;
    root.read_count("seed", seed, {0, UINT64_MAX}, optional);
    value.seed = seed;
    root.read_choice("log_level", value.log_level,
                     {"trace", "debug", "info", "warning", "error", "fatal"},
                     optional);
    root.read_choice("log_format", value.log_format, {"text", "json"},
                     optional);
}

std::int64_t in_milliseconds(duration time)
{
    return std::chrono::floor<milliseconds>(time).count();
}

void check_consistency(json_object& root, settings const& value)
{
    // A lease must span more than two heartbeats, so that one late answer does
    // not lose the lease.
    if (value.heartbeat * 2 >= value.lease)
        root.add_fault("heartbeat_ms",
                       fmt::format("{} must be less than half of lease_ms "
                                   "({})",
                                   in_milliseconds(value.heartbeat),
                                   in_milliseconds(value.lease)));
    if (value.configuration_poll >= value.configuration_bound)
        root.add_fault(
            "configuration_poll_ms",
            fmt::format("{} must be less than configuration_bound_ms ({})",
                        in_milliseconds(value.configuration_poll),
                        in_milliseconds(value.configuration_bound)));
    if (value.default_deadline > value.max_deadline)
        root.add_fault("default_deadline_ms",
                       fmt::format("{} must not be more than max_deadline_ms "
                                   "({})",
                                   in_milliseconds(value.default_deadline),
                                   in_milliseconds(value.max_deadline)));
    // A stalled stream must be detected before its deadline, so that the stream
    // can still be resumed.
    if (value.progress_timeout >= value.max_deadline)
        root.add_fault("progress_timeout_ms",
                       fmt::format("{} must be less than max_deadline_ms ({})",
                                   in_milliseconds(value.progress_timeout),
                                   in_milliseconds(value.max_deadline)));
}

} // namespace

std::variant<settings, std::vector<text_fault>>
parse_settings(std::string_view text, std::string const& file)
{
    json_document document(text, file);
    if (!document.well_formed())
        return document.faults();
    settings value;
    json_object root(document, document.root(), "");
    read_identity(root, value);
    read_listeners(document, root, value);
    read_key(root, "peers_key", value.peers_key);
    read_key(root, "operators_key", value.operators_key);
    read_platform(root, value);
    read_times(root, value);
    read_sizes(root, value);
    read_policy_and_logging(root, value);
    check_consistency(root, value);
    root.refuse_unknown_keys();
    if (!document.sound())
        return document.faults();
    return value;
}

} // namespace mulberry
