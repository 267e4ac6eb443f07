/// Everything that can happen to the decision core.
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

/// A caller asks for an answer of an adapter. base_model and application are
/// filled in by the core.
struct model_request_arrived
{
    model_request request;
};

struct service_request_arrived
{
    service_request request;
};

/// The caller, or the peer that forwarded the request, closed its connection.
struct client_disconnected
{
    request_id request;
};

/// A peer forwards a request for a worker that it believes is ours. The
/// answer goes out under the request's id.
struct forwarded_request_arrived
{
    worker_id worker;
    model_request request;
};

struct peer_message_received
{
    vm_id from;
    peer_message message;
};

struct vm_list_received
{
    std::vector<listed_vm> vms;
};

/// An operator confirms a plan.
struct confirm_requested
{
    std::uint64_t ticket = 0;
    config_version base;
    std::string digest;
    std::string canonical_text;
};

/// This VM is to leave: SIGTERM, an operator's drain, or the platform's list.
struct leave_requested
{
    std::string why;
};

/// The calendar, by the wall clock that only the shell reads.
struct quarter_started
{
    /// 2026-Q4.
    std::string name;
    time_point ends = never;
};

/// Time passes.
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
