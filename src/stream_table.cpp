#include "stream_table.hpp"

#include <utility>

namespace mulberry
{
namespace
{

constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_old_fence = 412;
constexpr int status_too_many = 429;
constexpr int status_unavailable = 503;

stream_end meaning_of(attempt_failure const& event)
{
    if (event.stage != failure_stage::refused)
        return stream_end::unreachable;
    switch (event.status)
    {
    case status_not_found:
        return stream_end::not_loaded;
    case status_old_fence:
        return stream_end::old_fence;
    case status_conflict:
    case status_too_many:
    case status_unavailable:
        return stream_end::busy;
    default:
        return stream_end::refused;
    }
}

} // namespace

stream_table::stream_table(worker_id worker, fencing_number fence,
                           dispatcher_limits const& limits,
                           safeguards const& checks, id_source& ids)
    : worker_(std::move(worker)), fence_(fence), limits_(limits),
      checks_(&checks), ids_(&ids)
{
}

void stream_table::send(queued_request item, engine_name const& name,
                        time_point now, action_list& actions)
{
    attempt_id const attempt = ids_->next_attempt();
    request_id const id = item.request.id;
    actions.push_back(
        start_attempt{attempt, worker_, name, fence_, item.request});
    attempts_.emplace(attempt, id);
    streams_.emplace(
        id, stream{std::move(item), name, attempt,
                   answer_relay(*checks_, limits_.progress_timeout, now), now});
}

stream_table::stream_map::iterator stream_table::of(attempt_id attempt)
{
    auto const found = attempts_.find(attempt);
    return found == attempts_.end() ? streams_.end()
                                    : streams_.find(found->second);
}

ended_stream stream_table::finish(stream_map::iterator found, stream_end why,
                                  bool may_run, std::string text)
{
    auto node = streams_.extract(found);
    stream& item = node.mapped();
    attempts_.erase(item.attempt);
    return {std::move(item.item), item.name, why,
            item.relay.begun(),   may_run,   item.sent_at,
            std::move(text)};
}

void stream_table::drop_connection(stream& item, bool stop_at_engine,
                                   action_list& actions)
{
    attempts_.erase(item.attempt);
    actions.push_back(cancel_attempt{item.attempt, worker_,
                                     item.item.request.id, stop_at_engine});
}

std::optional<ended_stream> stream_table::on_chunk(attempt_chunk const& event,
                                                   time_point now,
                                                   action_list& actions)
{
    auto const found = of(event.attempt);
    if (found == streams_.end())
        return std::nullopt;
    stream& item = found->second;
    // Crossed connections or a mixed-up engine: the event belongs to another
    // request or was written by another adapter. Delivered, it would show one
    // caller's data to another. The engine echoes both names in each event, so
    // that comparing each of them is enough.
    if (!checks_->answers_request(item.name, event.name, found->first,
                                  event.request))
    {
        actions.push_back(publish_event{
            "dispatch", "answer-dropped",
            found->first.str() + " as " + item.name.str() + " was wanted, " +
                event.request.str() + " as " + event.name.str() + " came"});
        // Another request's events: only the connection is wrong, the stream
        // itself can be had on a new one.
        if (event.request != found->first)
            return resume(found, now, actions);
        drop_connection(item, true, actions);
        return finish(found, stream_end::wrong_adapter, true,
                      "the engine answered as " + event.name.str());
    }
    switch (item.relay.on_event(event.offset, event.last, now))
    {
    case answer_relay::verdict::pass:
        item.resumes = 0;
        actions.push_back(deliver_event{found->first, event.offset,
                                        event.payload, event.last});
        return std::nullopt;
    case answer_relay::verdict::repeated:
        return std::nullopt;
    case answer_relay::verdict::gap:
        break;
    }
    return resume(found, now, actions);
}

std::optional<ended_stream> stream_table::on_end(attempt_end const& event,
                                                 time_point now,
                                                 action_list& actions)
{
    auto const found = of(event.attempt);
    if (found == streams_.end())
        return std::nullopt;
    // Failure: the last events are lost and the end of the stream is not.
    // Symptom: the caller takes a text without its end for whole. The last
    // event says that it is, and events pass only without gaps, so that having
    // seen it is enough.
    if (!checks_->ended_whole(found->second.relay.last_seen()))
        return resume(found, now, actions);
    // Of a request that was started twice only one run is seen to its end.
    return finish(found, stream_end::whole, found->second.item.repeated);
}

std::optional<ended_stream>
stream_table::on_failure(attempt_failure const& event, time_point now,
                         action_list& actions)
{
    auto const found = of(event.attempt);
    if (found == streams_.end())
        return std::nullopt;
    if (found->second.resuming)
        return resume_refused(found, event, now, actions);
    // Told "not run", an entry VM tries the request elsewhere and a caller
    // asks again; were it running after all, it would run twice. Only the
    // stages at which no engine can have begun are certain.
    if (checks_->certainly_not_run(event.stage))
        return not_run(found, event);
    // A connection that closed in the middle of an answer looks like its end
    // to a reader who does not wait for the mark of the end.
    if (event.stage == failure_stage::answering && checks_->ended_whole(false))
        return finish(found, stream_end::whole, true);
    return resume(found, now, actions);
}

std::optional<ended_stream> stream_table::not_run(stream_map::iterator found,
                                                  attempt_failure const& event)
{
    return finish(found, meaning_of(event), false, event.text);
}

std::optional<ended_stream>
stream_table::resume_refused(stream_map::iterator found,
                             attempt_failure const& event, time_point now,
                             action_list& actions)
{
    bool const unknown_there = event.stage == failure_stage::refused &&
                               event.status == status_not_found;
    if (!unknown_there)
    {
        if (event.stage == failure_stage::answering)
        {
            if (checks_->ended_whole(false))
                return finish(found, stream_end::whole, true);
            return resume(found, now, actions);
        }
        return resume_later(found, now, actions);
    }
    if (found->second.relay.begun())
        return give_up(found, "the engine no longer knows the stream", actions);
    drop_connection(found->second, true, actions);
    return finish(found, stream_end::forgotten, true,
                  "the engine does not know the request");
}

std::optional<ended_stream> stream_table::give_up(stream_map::iterator found,
                                                  std::string text,
                                                  action_list& actions)
{
    drop_connection(found->second, true, actions);
    return finish(found, stream_end::cut, true, std::move(text));
}

std::optional<ended_stream> stream_table::resume(stream_map::iterator found,
                                                 time_point now,
                                                 action_list& actions)
{
    stream& item = found->second;
    if (item.resumes >= limits_.max_resumes)
        return give_up(found, "the answer broke off and was not resumed",
                       actions);
    // An engine may hold two runs of a request that was started afresh. Joined
    // in the middle, the other run's text would go on where the first stopped.
    if (item.item.repeated && item.relay.begun())
        return give_up(found, "the answer of a repeated start broke off",
                       actions);
    drop_connection(item, false, actions);
    ++item.resumes;
    ++resumes_;
    item.resuming = true;
    item.resume_at = never;
    item.attempt = ids_->next_attempt();
    item.relay.restarted(now);
    attempts_.emplace(item.attempt, found->first);
    actions.push_back(start_attempt{item.attempt, worker_, item.name, fence_,
                                    item.item.request, item.relay.next_offset(),
                                    true});
    return std::nullopt;
}

std::optional<ended_stream>
stream_table::resume_later(stream_map::iterator found, time_point now,
                           action_list& actions)
{
    stream& item = found->second;
    if (item.resumes >= limits_.max_resumes)
        return give_up(found, "the answer could not be resumed", actions);
    attempts_.erase(item.attempt);
    item.resume_at = now + limits_.progress_timeout * item.resumes /
                               (2 * limits_.max_resumes);
    return std::nullopt;
}

std::optional<ended_stream> stream_table::cancel(request_id const& id,
                                                 action_list& actions)
{
    auto const found = streams_.find(id);
    if (found == streams_.end())
        return std::nullopt;
    drop_connection(found->second, true, actions);
    return finish(found, stream_end::cancelled, true);
}

std::vector<ended_stream> stream_table::tick(time_point now,
                                             action_list& actions)
{
    std::vector<ended_stream> ended;
    for (auto item = streams_.begin(); item != streams_.end();)
    {
        auto const current = item++;
        stream const& each = current->second;
        std::optional<ended_stream> over;
        if (each.item.request.deadline <= now)
            over = cancel(current->first, actions);
        // Something between the two ends may have lost track of a connection:
        // it never fails and never speaks again, while new ones work. Without
        // a limit on silence the caller would wait until the deadline.
        else if (each.resume_at <= now || each.relay.silent_at() <= now)
            over = resume(current, now, actions);
        if (over)
            ended.push_back(std::move(*over));
    }
    return ended;
}

} // namespace mulberry
