/// What the decision core asks the shell to do. The core never acts itself.
#ifndef MULBERRY_ACTION_HPP
#define MULBERRY_ACTION_HPP

#include "adapter_ref.hpp"
#include "error_kind.hpp"
#include "ids.hpp"
#include "model_request.hpp"
#include "peer_message.hpp"
#include "table.hpp"
#include "time_point.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace mulberry
{

/// Send a request to a worker, or resume its stream there.
struct start_attempt
{
    attempt_id attempt;
    worker_id worker;
    engine_name name;
    fencing_number fence;
    model_request request;
    /// The first event wanted. With `resume` false it is 0.
    std::uint64_t offset = 0;
    bool resume = false;
};

/// Drop the connection of an attempt; nothing more is heard of it.
struct cancel_attempt
{
    attempt_id attempt;
    worker_id worker;
    request_id request;
    /// Also tell the engine to stop the stream (DELETE).
    bool stop_at_engine = false;
};

/// Hand a request over to the VM that owns the worker.
struct forward_request
{
    attempt_id attempt;
    vm_id owner;
    worker_id worker;
    model_request request;
};

/// Pass one event of the answer to whoever asked (a caller or a peer).
struct deliver_event
{
    request_id request;
    std::uint64_t offset = 0;
    /// The engine's JSON of this event.
    std::string payload;
    /// See attempt_chunk.
    bool last = false;
};

/// The answer is whole.
struct deliver_end
{
    request_id request;
};

/// The final answer is an error; nothing follows.
struct deliver_error
{
    request_id request;
    error what;
};

struct load_adapter
{
    order_id order;
    worker_id worker;
    adapter_ref adapter;
    engine_name name;
    fencing_number fence;
    time_point deadline;
};

struct unload_adapter
{
    order_id order;
    worker_id worker;
    engine_name name;
    fencing_number fence;
    time_point deadline;
};

/// Have the intent to unload recorded in the worker's row, conditional on
/// this VM's ownership, before the order is sent.
struct record_intent
{
    order_id order;
    worker_id worker;
    engine_name name;
};

/// The order of an intent is over: the row may forget it.
struct forget_intent
{
    worker_id worker;
    engine_name name;
};

struct transact
{
    operation_id operation;
    table_transaction transaction;
    time_point deadline;
};

struct read_row
{
    operation_id operation;
    std::string key;
    time_point deadline;
};

struct scan_rows
{
    operation_id operation;
    std::string prefix;
    time_point deadline;
};

/// Read an object of the object store.
struct fetch_object
{
    operation_id operation;
    std::string key;
    time_point deadline;
};

/// Write an object. Objects are named by their content's digest and never
/// change, so that writing one twice does no harm.
struct store_object
{
    operation_id operation;
    std::string key;
    std::shared_ptr<std::string const> bytes;
    time_point deadline;
};

/// Send a message to another VM's peers' listener; it may be lost.
struct send_peer_message
{
    vm_id to;
    peer_message message;
};

/// A plain service's call, as the caller sent it.
struct service_request
{
    request_id id;
    service_id service;
    std::string method;
    /// The path and query that go to the service.
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    std::shared_ptr<std::string const> body;
    idempotency_key key;
    time_point arrived{};
    time_point deadline = never;
};

struct call_service
{
    attempt_id attempt;
    service_worker_id worker;
    service_request request;
};

/// A plain service's whole answer.
struct service_answer
{
    int status = 0;
    std::string content_type;
    std::string body;
    friend bool operator==(service_answer const&,
                           service_answer const&) = default;
};

struct deliver_service_answer
{
    request_id request;
    service_answer answer;
    /// Kept from an earlier run under the same Idempotency-Key.
    bool replayed = false;
};

/// An event for the time line.
struct publish_event
{
    /// The part that speaks, as in the log prefix.
    std::string part;
    /// A closed, hyphenated name: `worker-gained`.
    std::string kind;
    std::string text;
};

using action =
    std::variant<start_attempt, cancel_attempt, forward_request, deliver_event,
                 deliver_end, deliver_error, load_adapter, unload_adapter,
                 record_intent, forget_intent, transact, read_row, scan_rows,
                 fetch_object, store_object, send_peer_message, call_service,
                 deliver_service_answer, publish_event>;

/// Actions in the order in which they are to be done.
using action_list = std::vector<action>;

/// Hands out ids that are unique within the process; part of the core's
/// state, so that a schedule replays with the same ids.
class id_source
{
public:
    attempt_id next_attempt() { return attempt_id(++last_); }
    order_id next_order() { return order_id(++last_); }
    operation_id next_operation() { return operation_id(++last_); }

private:
    std::uint64_t last_ = 0;
};

} // namespace mulberry

#endif
