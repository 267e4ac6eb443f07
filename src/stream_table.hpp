/// The requests sent to an engine, and the delivery of their answers over as
/// many connections as it takes.
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

/// Why a request is no longer with the engine.
enum class stream_end
{
    /// Every event was delivered.
    complete,
    /// Broke off and cannot be resumed.
    cut,
    /// The engine ran another adapter for it.
    wrong_adapter,
    /// The engine does not know it, although it was sent; nothing of its
    /// answer was delivered.
    forgotten,
    /// Refused before it ran: the adapter is not loaded.
    not_loaded,
    /// Refused before it ran: a later owner exists.
    old_fence,
    /// Refused before it ran: the engine's queue is full or it restarts.
    busy,
    /// Refused before it ran for another reason.
    refused,
    /// Not a byte of it was sent.
    unreachable,
    /// This side gave it up.
    cancelled
};

/// A request that left the table.
struct ended_stream
{
    queued_request item;
    engine_name name;
    stream_end reason = stream_end::complete;
    /// Whether any of its answer was seen.
    bool begun = false;
    /// Whether the engine may still run it.
    bool may_run = false;
    time_point sent_at{};
    std::string text;
};

/// Thread safety: none.
class stream_table
{
public:
    /// `checks` and `ids` outlive this object.
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

    void send(queued_request item, engine_name const& name, time_point now,
              action_list& actions);
    /// Each returns the request when that was the end of it; events of unknown
    /// attempts are ignored.
    std::optional<ended_stream> on_chunk(attempt_chunk const& event,
                                         time_point now, action_list& actions);
    std::optional<ended_stream> on_end(attempt_end const& event, time_point now,
                                       action_list& actions);
    std::optional<ended_stream> on_failure(attempt_failure const& event,
                                           time_point now,
                                           action_list& actions);
    /// Stops it at the engine.
    std::optional<ended_stream> cancel(request_id const& id,
                                       action_list& actions);
    /// Cancels those past their deadline, resumes the silent ones.
    std::vector<ended_stream> tick(time_point now, action_list& actions);

private:
    struct stream
    {
        queued_request item;
        engine_name name;
        attempt_id attempt;
        answer_relay relay;
        time_point sent_at{};
        /// Whether the attempt only asks for the rest of a started stream.
        bool resuming = false;
        /// In a row, without a new event.
        int resumes = 0;
        /// When the next connection is opened, the last one having failed.
        time_point resume_at = never;
    };
    using stream_map = std::map<request_id, stream>;

    stream_map::iterator find_stream(attempt_id attempt);
    ended_stream finish(stream_map::iterator found, stream_end reason,
                        bool may_run, std::string text = {});
    void drop_connection(stream& item, bool stop_at_engine,
                         action_list& actions);
    std::optional<ended_stream> give_up(stream_map::iterator found,
                                        std::string text, action_list& actions);
    std::optional<ended_stream> resume(stream_map::iterator found,
                                       time_point now, action_list& actions);
    std::optional<ended_stream> resume_later(stream_map::iterator found,
                                             time_point now,
                                             action_list& actions);
    std::optional<ended_stream> finish_not_run(stream_map::iterator found,
                                               attempt_failure const& event);
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
