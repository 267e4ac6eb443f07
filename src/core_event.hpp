/// Events that the decision core handles.
#ifndef MULBERRY_CORE_EVENT_HPP
#define MULBERRY_CORE_EVENT_HPP

#include "action.hpp"
#include "attempt_event.hpp"
#include "ids.hpp"
#include "model_request.hpp"
#include "ownership_keeper.hpp"
#include "peer_message.hpp"
#include "table.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace mulberry
{

/// A caller requests an answer of an adapter. The core fills in base_model, and
/// application if it is empty.
struct model_request_arrived
{
    model_request request;
};

/// A caller calls a plain service.
struct service_request_arrived
{
    service_request request;
};

/// The caller, or the peer that forwarded the request, closed its connection.
struct client_disconnected
{
    request_id request;
};

/// A peer forwarded a request for a worker that, as far as the peer knows, this
/// VM owns. The answer is delivered under the request's id.
struct forwarded_request_arrived
{
    worker_id worker;
    model_request request;
};

/// Another VM sent a message.
struct peer_message_received
{
    vm_id from;
    peer_message message;
};

/// The platform's list of VMs was read.
struct vm_list_received
{
    std::vector<listed_vm> vms;
};

/// An operator confirms a configuration change.
struct confirm_requested
{
    /// Identifies the confirm in confirm_settled.
    std::uint64_t ticket = 0;
    /// The version on which the change is based.
    config_version base;
    /// Digest of canonical_text.
    std::string digest;
    std::string canonical_text;
};

/// This VM must leave, because of SIGTERM, an operator's drain, or the
/// platform's list.
struct leave_requested
{
    std::string why;
};

/// A calendar quarter started, by the wall clock, which only the shell reads.
struct quarter_started
{
    /// Such as 2026-Q4.
    std::string name;
    time_point ends = never;
};

/// Sent at short intervals, so that the core handles deadlines and retries.
struct clock_ticked
{
};

using core_event =
    std::variant<model_request_arrived, service_request_arrived,
                 client_disconnected, forwarded_request_arrived,
                 peer_message_received, vm_list_received, confirm_requested,
                 leave_requested, quarter_started, clock_ticked, attempt_chunk,
                 attempt_end, attempt_failure, service_attempt_answer,
                 order_result, engine_report, table_reply, object_reply>;

} // namespace mulberry

#endif
