/// The settings of one entry VM's daemon.
#ifndef MULBERRY_SETTINGS_HPP
#define MULBERRY_SETTINGS_HPP

#include "declaration_text.hpp"
#include "ids.hpp"
#include "time_point.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace mulberry
{

struct listen_address
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    friend bool operator==(listen_address const&,
                           listen_address const&) = default;
};

/// Immutable once loaded. Spans of time stand here as settings only; the
/// running program stores the deadlines made from them.
struct settings
{
    vm_id vm;
    domain_id domain;
    std::string deployment;

    listen_address callers;
    listen_address peers;
    listen_address operators;
    /// Bearer keys of the peers' and the operators' listeners; never empty.
    std::string peers_key;
    std::string operators_key;

    /// Base URLs of the platform's parts.
    std::string table_url;
    std::string objects_url;
    std::string vms_url;

    duration lease = std::chrono::seconds(3);
    duration heartbeat = std::chrono::milliseconds(500);
    duration configuration_poll = std::chrono::seconds(1);
    /// How long a VM may go without knowing whether its configuration still
    /// holds before it stops taking new work.
    duration configuration_bound = std::chrono::seconds(4);
    duration hint_interval = std::chrono::milliseconds(200);
    duration load_report_interval = std::chrono::milliseconds(250);

    duration default_deadline = std::chrono::seconds(60);
    duration max_deadline = std::chrono::seconds(600);
    /// Silence on a stream after which it is resumed elsewhere.
    duration progress_timeout = std::chrono::seconds(2);

    std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;
    std::size_t max_header_bytes = std::size_t{32} * 1024;
    std::size_t max_connections = 4096;
    std::size_t ring_capacity = 8192;
    std::size_t max_queue_per_worker = 256;
    std::size_t caller_threads = 2;

    std::string policy = "mulberry";
    /// "exchanged_counts" or "even_split": how the weight store's rate is
    /// shared between the VMs.
    std::string load_budget = "exchanged_counts";
    std::uint64_t seed = 1;
    std::string log_level = "info";
    /// "text" or "json".
    std::string log_format = "text";
    std::size_t timeline_capacity = 65536;

    friend bool operator==(settings const&, settings const&) = default;
};

/// Reads settings from JSON with comments; lists every fault.
std::variant<settings, std::vector<text_fault>>
parse_settings(std::string_view text, std::string const& file);

} // namespace mulberry

#endif
