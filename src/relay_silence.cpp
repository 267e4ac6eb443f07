// Sends to workers that have fallen silent. Failure: a sound worker sends
// nothing for a second; its send is ended, no other worker takes the request,
// and the caller loses an answer that was about to go on. So such a send is
// kept until another worker has begun a stream or completed an answer.
#include "relay_exchange.hpp"

#include <algorithm>
#include <utility>

namespace mulberry
{

void relay_exchange::keep_silent_send()
{
    host_.on_worker_silent(*this);
    send_.ticket = host_.keep_send(*this);
    send_.events = events_;
    kept_sends_.push_back(send_);
    send_.number = 0;
    send_.call.reset();
    events_.begin_answer();
}

worker_send& relay_exchange::kept(std::uint64_t number)
{
    return *std::find_if(kept_sends_.begin(), kept_sends_.end(),
                         [number](worker_send const& each)
                         { return each.number == number; });
}

bool relay_exchange::is_kept(std::uint64_t number) const
{
    return std::any_of(kept_sends_.begin(), kept_sends_.end(),
                       [number](worker_send const& each)
                       { return each.number == number; });
}

void relay_exchange::on_kept_head(std::uint64_t number, int status,
                                  http_headers headers)
{
    worker_reply const reply =
        host_.codec().decode_reply(status, headers, request_);
    if (takes_over(reply))
    {
        go_on_with(number);
        return on_head(status, std::move(headers));
    }
    send_outcome outcome = send_outcome::broken;
    if (!reply.mismatched)
    {
        worker_send& answered = kept(number);
        answered.reply = reply;
        answered.last_byte_at = host_.now();
        std::swap(send_, answered);
        note_statements();
        runs_ -= reply.not_run;
        outcome = reply.not_run ? outcome_of_rejection() : send_outcome::failed;
        std::swap(send_, answered);
    }
    end_kept_send(number, outcome);
}

void relay_exchange::on_kept_body(std::uint64_t number, std::string_view bytes)
{
    event_splitter& events = kept(number).events;
    std::string complete = events.feed(bytes);
    if (!complete.empty())
    {
        go_on_with(number);
        return pass_on(std::move(complete));
    }
    update_held_bytes();
    if (events.incomplete_bytes() > max_incomplete_bytes())
        end_kept_send(number, send_outcome::broken);
}

void relay_exchange::on_kept_end(std::uint64_t number, bool framed)
{
    event_splitter const& events = kept(number).events;
    bool const proven = framed || events.answer_has_events();
    if (proven && !events.is_within_event())
    {
        go_on_with(number);
        return on_end(framed);
    }
    if (framed)
        return end_kept_send(number, send_outcome::broken);
    on_kept_failure(number, call_stage::answering);
}

void relay_exchange::on_kept_failure(std::uint64_t number, call_stage at)
{
    worker_send& failed = kept(number);
    std::swap(send_, failed);
    if (at != call_stage::not_sent)
        host_.on_connection_lost(*this);
    else
    {
        // Nothing reached the worker, so neither a run nor a send is counted.
        --runs_;
        --sends_;
        if (send_.is_retry)
        {
            host_.on_retry_not_sent(*this);
            host_.release_retry(*this);
        }
    }
    std::swap(send_, failed);
    end_kept_send(number, at == call_stage::not_sent ? send_outcome::unreachable
                                                     : send_outcome::broken);
}

void relay_exchange::go_on_with(std::uint64_t number)
{
    if (stage_ == stage::waiting)
        end_wait();
    else
        end_send(send_outcome::abandoned);
    restore(number);
    end_kept_sends(send_outcome::abandoned);
    host_.log_request_event(*this, "goes on", "the silent worker answers");
    schedule_wake();
}

void relay_exchange::end_wait()
{
    host_.stop_waiting(*this);
    waits_.end(host_.now());
    if (std::exchange(retry_reserved_, false))
        host_.release_retry(*this);
}

void relay_exchange::restore(std::uint64_t number)
{
    send_ = kept(number);
    events_ = send_.events;
    std::erase_if(kept_sends_, [number](worker_send const& each)
                  { return each.number == number; });
    host_.restore_send(*this, send_.ticket);
    send_.ticket = terms_.ticket;
    stage_ = send_.streams ? stage::streaming : stage::sent;
    body_.clear();
    update_held_bytes();
}

bool relay_exchange::wait_for_silent_worker(std::string_view reason)
{
    if (kept_sends_.empty())
        return false;
    listens_since_ = host_.now();
    waits_.end(listens_since_);
    if (std::exchange(retry_reserved_, false))
        host_.release_retry(*this);
    restore(kept_sends_.front().number);
    host_.log_request_event(*this, "waits for its silent worker", reason);
    schedule_wake();
    return true;
}

void relay_exchange::on_kept_send_withdrawn(ticket_id ticket)
{
    auto const found = std::find_if(kept_sends_.begin(), kept_sends_.end(),
                                    [ticket](worker_send const& each)
                                    { return each.ticket == ticket; });
    if (found != kept_sends_.end())
        end_kept_send(found->number, send_outcome::abandoned);
}

void relay_exchange::end_kept_send(std::uint64_t number, send_outcome outcome)
{
    worker_send ended = std::move(kept(number));
    std::erase_if(kept_sends_, [number](worker_send const& each)
                  { return each.number == number; });
    std::swap(send_, ended);
    end_send(outcome);
    std::swap(send_, ended);
}

void relay_exchange::end_kept_sends(send_outcome outcome)
{
    while (!kept_sends_.empty())
        end_kept_send(kept_sends_.back().number, outcome);
}

} // namespace mulberry
