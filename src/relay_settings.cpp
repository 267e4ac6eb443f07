#include "relay_settings.hpp"

#include "json_reader.hpp"

#include <fmt/format.h>

namespace mulberry
{
namespace
{

using std::chrono::milliseconds;
using enum presence;

constexpr std::uint64_t max_port = 65535;
constexpr milliseconds max_bound{60'000};

/// Reads an address written as IP:PORT.
void read_address(json_object& root, char const* key, listen_address& into,
                  presence need)
{
    std::string text;
    root.read_text(key, text, need);
    if (text.empty())
        return;
    auto const colon = text.rfind(':');
    std::string const port =
        colon == std::string::npos ? "" : text.substr(colon + 1);
    into.address = text.substr(0, colon);
    bool const digits =
        !port.empty() && port.size() <= 5 &&
        port.find_first_not_of("0123456789") == std::string::npos;
    if (!valid_address(into.address) || !digits || std::stoul(port) > max_port)
        return root.add_fault(
            key, fmt::format("\"{}\" is not IP:PORT in numbers", text));
    into.port = static_cast<std::uint16_t>(std::stoul(port));
}

void read_bounds(json_object& root, relay_settings& value)
{
    auto const read = [&](char const* key, duration& into) {
        root.read_milliseconds(key, into, {milliseconds(1), max_bound},
                               optional);
    };
    read("order_gap_ms", value.order_gap);
    read("release_bound_ms", value.release_bound);
    read("drain_bound_ms", value.drain_bound);
    read("worker_heartbeat_ms", value.worker_heartbeat);
    read("configuration_bound_ms", value.configuration_bound);
    read("software_validity_ms", value.software_validity);
    value.keys.unknown_key_max_age = value.configuration_bound / 2;
    read("revocation_bound_ms", value.keys.revocation);
    double stop_seconds =
        std::chrono::duration<double>(value.stop_bound).count();
    root.read_number("stop_bound_s", stop_seconds, {0.5, 600.0}, optional);
    value.stop_bound = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(stop_seconds));
}

void read_retries(json_object& root, relay_settings& value)
{
    root.read_number("retry_ratio", value.retries.ratio, {0.0, 1.0}, optional);
    root.read_number("retry_slack", value.retries.slack, {0.0, 1e6}, optional);
    double window = std::chrono::duration<double>(value.retries.window).count();
    root.read_number("retry_window_s", window, {0.1, 600.0}, optional);
    value.retries.window = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(window));
}

void read_allotments(json_object& root, allotment_terms& value)
{
    double window = std::chrono::duration<double>(value.window).count();
    root.read_number("allotment_window_s", window, {0.1, 600.0}, optional);
    value.window = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(window));
    root.read_number("allotment_over", value.overshoot_ratio, {0.001, 1.0},
                     optional);
    root.read_number("allotment_slack", value.overshoot_units, {0.0, 1e12},
                     optional);
}

void read_crashes(json_object& root, crash_limits& value)
{
    root.read_count("crash_limit", value.crashes, {1, 100}, optional);
    double memory = std::chrono::duration<double>(value.retention).count();
    root.read_number("crash_memory_s", memory, {1.0, 86'400.0}, optional);
    value.retention = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(memory));
    root.read_count("crash_records", value.max_entries, {16, 1'000'000},
                    optional);
}

} // namespace

std::variant<relay_settings, std::vector<text_fault>>
parse_relay_settings(std::string_view text, std::string const& file)
{
    json_document document(text, file);
    if (!document.well_formed())
        return document.faults();
    relay_settings value;
    json_object root(document, document.root(), "");
    std::string vm;
    std::string domain;
    root.read_name("vm", vm, required);
    root.read_name("domain", domain, required);
    value.vm = vm_id(vm);
    value.domain = domain_id(domain);
    read_address(root, "callers", value.callers, required);
    read_address(root, "readiness", value.readiness, required);
    read_address(root, "peers", value.peers, required);
    value.serves_metrics = root.has("metrics");
    read_address(root, "metrics", value.metrics, optional);
    root.read_text("source_address", value.source_address, optional);
    if (!value.source_address.empty() && !valid_address(value.source_address))
        root.add_fault("source_address",
                       fmt::format("\"{}\" is not an IP address in numbers",
                                   value.source_address));
    root.read_url("store_url", value.store_url, required);
    read_bounds(root, value);
    read_retries(root, value);
    read_allotments(root, value.allotments);
    read_crashes(root, value.crashes);
    std::string objectives = "auto";
    root.read_choice("objective_scheduling", objectives, {"auto", "on", "off"},
                     optional);
    value.objectives =
        parse_objective_mode(objectives).value_or(objective_mode::automatic);
    root.read_number("processor_share", value.processor_share, {0.001, 1000.0},
                     optional);
    root.read_number("memory_mb", value.memory_mb, {1.0, 1e7}, optional);
    root.read_number("caller_memory_mb", value.caller_memory_mb, {1.0, 1e7},
                     optional);
    root.read_count("max_connections", value.max_connections, {1, 1'000'000},
                    optional);
    root.read_choice("log_level", value.log_level,
                     {"trace", "debug", "info", "warning", "error", "fatal"},
                     optional);
    root.read_choice("log_format", value.log_format, {"text", "json"},
                     optional);
    root.read_number("log_lines_per_second", value.log_lines_per_second,
                     {1.0, 1e5}, optional);
    root.refuse_unknown_keys();
    if (!document.sound())
        return document.faults();
    return value;
}

} // namespace mulberry
