/// Tracks the requests sent to an engine and delivers their answers, resuming
/// broken streams on new connections.
#ifndef MULBERRY_STREAM_TABLE_HPP
#define MULBERRY_STREAM_TABLE_HPP

#include "action.hpp"
#include "answer_relay.hpp"
#include "attempt_event.hpp"
#include "dispatcher_limits.hpp"
#include "model_request.hpp"
#include "request_queue.hpp"
#include "safeguards.hpp"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace mulberry
{

/// Why a request left the stream table.
enum class stream_end
{
    /// Every event was delivered.
    complete,
    /// The answer broke off and cannot be resumed.
    cut,
    /// The engine ran another adapter for the request.
    wrong_adapter,
    /// The engine does not know the request, although it was sent; nothing of
    /// its answer was delivered.
    forgotten,
    /// Refused before it ran: the adapter is not loaded.
    not_loaded,
    /// Refused before it ran: the worker has a later owner.
    old_fence,
    /// Refused before it ran: the engine's queue is full or it is restarting.
    busy,
    /// Refused before it ran for another reason.
    refused,
    /// No byte of the request was sent.
    unreachable,
    /// Cancelled by the dispatcher: the deadline passed or the caller
    /// disconnected.
    cancelled
};

/// A request that left the table.
struct ended_stream
{
    queued_request item;
    engine_name name;
    stream_end reason = stream_end::complete;
    /// Whether any event of its answer was delivered.
    bool begun = false;
    /// Whether the engine may still run the request.
    bool may_run = false;
    time_point sent_at{};
    /// The error text for the caller; empty for a complete answer.
    std::string text;
};

/// The answer streams in progress at one worker. Thread safety: none.
class stream_table
{
public:
    /// Precondition: `checks` and `ids` outlive this object.
    stream_table(worker_id worker, fencing_number fence,
                 dispatcher_limits const& limits, safeguards const& checks,
                 id_source& ids);

    std::size_t size() const { return streams_.size(); }
    bool contains(request_id const& id) const { return streams_.contains(id); }
    bool contains(attempt_id attempt) const
    {
        return attempts_.contains(attempt);
    }
    std::uint64_t resumes() const { return resumes_; }

    /// Starts an attempt for a request. Precondition: !contains(its id).
    void send(queued_request item, engine_name const& name, time_point now,
              action_list& actions);
    /// Each returns the request if the event ended it. Events of unknown
    /// attempts are ignored.
    std::optional<ended_stream> on_chunk(attempt_chunk const& event,
                                         time_point now, action_list& actions);
    std::optional<ended_stream> on_end(attempt_end const& event, time_point now,
                                       action_list& actions);
    std::optional<ended_stream> on_failure(attempt_failure const& event,
                                           time_point now,
                                           action_list& actions);
    /// Cancels a request at the engine and returns it; none if it is unknown.
    std::optional<ended_stream> cancel(request_id const& id,
                                       action_list& actions);
    /// Cancels requests past their deadline and resumes silent streams.
    /// Returns the requests that ended.
    std::vector<ended_stream> tick(time_point now, action_list& actions);

private:
    struct stream
    {
        queued_request item;
        engine_name name;
        attempt_id attempt;
        answer_relay relay;
        time_point sent_at{};
        /// Whether the attempt requests the rest of a stream already started.
        bool resuming = false;
        /// Consecutive resumes without a new event.
        int resumes = 0;
        /// When the next connection is opened after a failed one; otherwise
        /// `never`.
        time_point resume_at = never;
    };
    using stream_map = std::map<request_id, stream>;

    stream_map::iterator find_stream(attempt_id attempt);
    ended_stream finish(stream_map::iterator found, stream_end reason,
                        bool may_run, std::string text = {});
    /// Cancels the attempt; with `stop_at_engine` also its run at the engine.
    void drop_connection(stream& item, bool stop_at_engine,
                         action_list& actions);
    /// Ends the request as cut, and cancels it at the engine.
    std::optional<ended_stream> give_up(stream_map::iterator found,
                                        std::string text, action_list& actions);
    /// Requests the rest of the answer on a new connection, or gives up.
    std::optional<ended_stream> resume(stream_map::iterator found,
                                       time_point now, action_list& actions);
    std::optional<ended_stream> resume_later(stream_map::iterator found,
                                             time_point now,
                                             action_list& actions);
    /// Ends a request that certainly did not run.
    std::optional<ended_stream> finish_not_run(stream_map::iterator found,
                                               attempt_failure const& event);
    /// Handles the failure of an attempt to resume.
    std::optional<ended_stream> on_resume_failure(stream_map::iterator found,
                                                  attempt_failure const& event,
                                                  time_point now,
                                                  action_list& actions);

    worker_id worker_;
    fencing_number fence_;
    dispatcher_limits limits_;
    safeguards const* checks_;
    id_source* ids_;
    stream_map streams_;
    std::unordered_map<attempt_id, request_id> attempts_;
    std::uint64_t resumes_ = 0;
};

} // namespace mulberry

#endif
