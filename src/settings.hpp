/// The settings of the daemon on one entry VM.
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

/// The address and port of a listener.
struct listen_address
{
    std::string address = "127.0.0.1";
    /// 0 lets the operating system choose a port.
    std::uint16_t port = 0;
    friend bool operator==(listen_address const&,
                           listen_address const&) = default;
};

/// Immutable once loaded. Durations occur only as settings; the running program
/// stores the deadlines computed from them. Thread safety: shared by const
/// reference.
struct settings
{
    vm_id vm;
    domain_id domain;
    std::string deployment;

    listen_address callers;
    listen_address peers;
    listen_address operators;
    /// Bearer keys that the listeners for peers and operators require; never
    /// empty.
    std::string peers_key;
    std::string operators_key;

    /// Base URLs of the platform's services.
    std::string table_url;
    std::string objects_url;
    std::string vms_url;

    duration lease = std::chrono::seconds(3);
    duration heartbeat = std::chrono::milliseconds(500);
    duration configuration_poll = std::chrono::seconds(1);
    /// If a VM cannot confirm for this long that its configuration is current,
    /// the VM stops accepting new work.
    duration configuration_bound = std::chrono::seconds(4);
    duration hint_interval = std::chrono::milliseconds(200);
    duration load_report_interval = std::chrono::milliseconds(250);

    duration default_deadline = std::chrono::seconds(60);
    duration max_deadline = std::chrono::seconds(600);
    /// Time without data on a stream after which the stream is resumed on
    /// another worker.
    duration progress_timeout = std::chrono::seconds(2);

    std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;
    std::size_t max_header_bytes = std::size_t{32} * 1024;
    std::size_t max_connections = 4096;
    std::size_t ring_capacity = 8192;
    std::size_t max_queue_per_worker = 256;
    std::size_t caller_threads = 2;

    std::string policy = "mulberry";
    /// How the VMs share the rate of the weight store: "exchanged_counts" or
    /// "even_split".
    std::string load_budget = "exchanged_counts";
    std::uint64_t seed = 1;
    std::string log_level = "info";
    /// "text" or "json".
    std::string log_format = "text";
    std::size_t timeline_capacity = 65536;

    friend bool operator==(settings const&, settings const&) = default;
};

/// Reads settings from JSON with comments, or returns all faults found. `file`
/// is the name used in faults. Thread safety: any thread.
std::variant<settings, std::vector<text_fault>>
parse_settings(std::string_view text, std::string const& file);

} // namespace mulberry

#endif
