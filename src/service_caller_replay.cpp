#include "service_caller_implementation.hpp"

#include <algorithm>

namespace mulberry
{
namespace
{

constexpr duration retry_base = std::chrono::milliseconds(25);
constexpr duration retry_cap = std::chrono::milliseconds(500);
constexpr duration reply_grace = std::chrono::milliseconds(100);

} // namespace

void service_caller::implementation::replay(service_call& call,
                                            stored_answer const& stored,
                                            time_point now,
                                            action_list& actions)
{
    if (stored.object.empty())
    {
        deliver(call, {stored.status, stored.content_type, stored.body}, true,
                actions);
        return;
    }
    call.fetch = stored_answer_fetch{stored, operation_id(), never, never, 0};
    fetch_stored_answer(call, now, actions);
}

void service_caller::implementation::fetch_stored_answer(service_call& call,
                                                         time_point now,
                                                         action_list& actions)
{
    stored_answer_fetch& fetch = *call.fetch;
    time_point const due =
        std::min(now + settings_.table_timeout, call.request.deadline);
    fetch.operation = ids_.next_operation();
    fetch.reply_due = due + reply_grace;
    fetch.retry_due = never;
    fetches_.emplace(fetch.operation, call.request.id);
    actions.emplace_back(
        fetch_object{fetch.operation, fetch.stored.object, due});
}

void service_caller::implementation::on_stored_answer(service_call& call,
                                                      object_reply const& reply,
                                                      time_point now,
                                                      action_list& actions)
{
    stored_answer_fetch& fetch = *call.fetch;
    fetches_.erase(fetch.operation);
    fetch.reply_due = never;
    // The key of the object is the digest of the body, so the bytes of another
    // object or a truncated body are not delivered as the answer.
    if (reply.outcome == object_outcome::done &&
        answer_object_key(reply.bytes) == fetch.stored.object)
    {
        deliver(call,
                {fetch.stored.status, fetch.stored.content_type, reply.bytes},
                true, actions);
        return;
    }
    ++fetch.tries;
    fetch.retry_due = now + budget_.backoff(fetch.tries, retry_base, retry_cap);
}

void service_caller::implementation::on_object(object_reply const& reply,
                                               time_point now,
                                               action_list& actions)
{
    auto const fetch = fetches_.find(reply.operation);
    if (fetch != fetches_.end())
    {
        service_call& call = calls_.at(fetch->second);
        on_stored_answer(call, reply, now, actions);
        release_or_schedule(call);
        return;
    }
    if (auto const request = claims_.on_object(reply, now, actions))
        release_or_schedule(calls_.at(*request));
}

} // namespace mulberry
