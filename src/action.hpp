/// Actions that the decision core returns for the shell to perform. The core
/// itself performs no I/O.
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

/// Sends a request to a worker, or resumes the stream of its answer.
struct start_attempt
{
    attempt_id attempt;
    worker_id worker;
    engine_name name;
    fencing_number fence;
    model_request request;
    /// Offset of the first event to receive; 0 if `resume` is false.
    std::uint64_t offset = 0;
    bool resume = false;
};

/// Closes the connection of an attempt; no more events of the attempt follow.
struct cancel_attempt
{
    attempt_id attempt;
    worker_id worker;
    request_id request;
    /// Also request the engine to stop generating (DELETE).
    bool stop_at_engine = false;
};

/// Forwards a request to the VM that owns the worker.
struct forward_request
{
    attempt_id attempt;
    vm_id owner;
    worker_id worker;
    model_request request;
};

/// Passes one event of the answer to the client, a caller or a peer.
struct deliver_event
{
    request_id request;
    std::uint64_t offset = 0;
    /// The engine's JSON of this event.
    std::string payload;
    /// Whether this is the last event, as in attempt_chunk.
    bool last = false;
};

/// Reports that the answer is complete.
struct deliver_end
{
    request_id request;
};

/// Reports an error as the final answer; nothing follows.
struct deliver_error
{
    request_id request;
    error what;
};

/// Orders an engine to load an adapter.
struct load_adapter
{
    order_id order;
    worker_id worker;
    adapter_ref adapter;
    engine_name name;
    fencing_number fence;
    time_point deadline;
};

/// Orders an engine to unload an adapter.
struct unload_adapter
{
    order_id order;
    worker_id worker;
    engine_name name;
    fencing_number fence;
    time_point deadline;
};

/// Records the intent to unload in the worker's row, on condition that this VM
/// still owns the worker. The order is sent only after that. Handled within
/// the core.
struct record_intent
{
    order_id order;
    worker_id worker;
    engine_name name;
};

/// Removes an intent from the worker's row after its order has ended. Handled
/// within the core.
struct forget_intent
{
    worker_id worker;
    engine_name name;
};

/// Runs a conditional transaction on the table.
struct transact
{
    operation_id operation;
    table_transaction transaction;
    time_point deadline;
};

/// Reads one row of the table.
struct read_row
{
    operation_id operation;
    std::string key;
    time_point deadline;
};

/// Reads all rows of the table whose key has a prefix.
struct scan_rows
{
    operation_id operation;
    std::string prefix;
    time_point deadline;
};

/// Reads an object of the object store.
struct fetch_object
{
    operation_id operation;
    std::string key;
    time_point deadline;
};

/// Writes an object. The key of an object is the digest of its content, so
/// objects never change and writing one is idempotent.
struct store_object
{
    operation_id operation;
    std::string key;
    std::shared_ptr<std::string const> bytes;
    time_point deadline;
};

/// Sends a message to the peers' listener of another VM. The message may be
/// lost.
struct send_peer_message
{
    vm_id to;
    peer_message message;
};

/// A call of a plain service, as the caller sent it.
struct service_request
{
    request_id id;
    service_id service;
    std::string method;
    /// Path and query that are sent to the service.
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    std::shared_ptr<std::string const> body;
    idempotency_key key;
    time_point arrived{};
    time_point deadline = never;
};

/// Sends a call to a worker of a plain service.
struct call_service
{
    attempt_id attempt;
    service_worker_id worker;
    service_request request;
};

/// The complete answer of a plain service.
struct service_answer
{
    int status = 0;
    std::string content_type;
    std::string body;
    friend bool operator==(service_answer const&,
                           service_answer const&) = default;
};

/// Passes a plain service's answer to the caller.
struct deliver_service_answer
{
    request_id request;
    service_answer answer;
    /// Whether the answer was stored by an earlier run with the same
    /// Idempotency-Key.
    bool replayed = false;
};

/// Publishes an event of the time line, for the log and the operators.
struct publish_event
{
    /// The component that reports the event, as in the log prefix.
    std::string part;
    /// A name from a fixed set, with hyphens, such as `worker-gained`.
    std::string kind;
    std::string text;
};

using action =
    std::variant<start_attempt, cancel_attempt, forward_request, deliver_event,
                 deliver_end, deliver_error, load_adapter, unload_adapter,
                 record_intent, forget_intent, transact, read_row, scan_rows,
                 fetch_object, store_object, send_peer_message, call_service,
                 deliver_service_answer, publish_event>;

/// Actions in the order in which they must be performed.
using action_list = std::vector<action>;

/// Generates ids that are unique within the process. It is part of the core's
/// state, so that a replayed schedule gets the same ids.
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
