#include "claim_store.hpp"

#include <algorithm>
#include <utility>

namespace mulberry
{
namespace
{

/// Claims that got no answer this often are given up before their deadline.
constexpr int max_unanswered_tries = 8;
constexpr duration retry_base = std::chrono::milliseconds(50);
constexpr duration claim_retry_cap = std::chrono::seconds(1);
constexpr duration end_retry_cap = std::chrono::seconds(5);
/// The shell reports its own timeout first; this is for a lost report.
constexpr duration reply_grace = std::chrono::milliseconds(100);

table_row const* row_of(table_reply const& reply, std::string const& key)
{
    auto const found =
        std::find_if(reply.rows.begin(), reply.rows.end(),
                     [&](table_row const& row) { return row.key == key; });
    return found == reply.rows.end() ? nullptr : &*found;
}

/// Whether an end may still replace what the row says of our own claim.
bool open_to_end(claim_stage stage)
{
    return stage == claim_stage::claimed || stage == claim_stage::unknown;
}

} // namespace

claim_store::claim_store(id_source& ids, duration table_timeout,
                         std::size_t inline_answer_bytes, std::uint64_t seed)
    : ids_(ids), table_timeout_(table_timeout),
      inline_answer_bytes_(inline_answer_bytes), jitter_(0, 0, seed)
{
}

void claim_store::open(request_id const& request, std::string key,
                       claim_row row, time_point deadline, time_point now,
                       action_list& actions)
{
    claim fresh;
    fresh.key = std::move(key);
    fresh.row = std::move(row);
    fresh.deadline = deadline;
    auto const [entry, added] = claims_.emplace(request, std::move(fresh));
    send_claim(*entry, now, actions);
}

void claim_store::end(request_id const& request, claim_stage stage,
                      std::optional<service_answer> answer, time_point now,
                      action_list& actions)
{
    auto const found = claims_.find(request);
    if (found == claims_.end())
        return;
    claim& ended = found->second;
    if (!ended.end || ended.settled)
        ++unwritten_;
    ended.settled = false;
    ended.end = wanted_end{stage, std::nullopt, nullptr};
    if (answer)
    {
        bool const large = answer->body.size() > inline_answer_bytes_;
        kept_answer kept{answer->status, answer->content_type, "", ""};
        if (large)
        {
            kept.object = answer_object_key(answer->body);
            ended.end->body =
                std::make_shared<std::string const>(std::move(answer->body));
        }
        else
            kept.body = std::move(answer->body);
        ended.end->answer = std::move(kept);
    }
    ended.retry_due = never;
    schedule(*found);
    // One operation of a claim at a time: what it finds decides what the end
    // is conditional on.
    if (ended.busy != step::idle)
        return;
    // All copies of the claim were refused for rate: none can land.
    if (stage == claim_stage::not_run && !ended.may_land)
        settle(*found);
    else
        resume(*found, now, actions);
}

void claim_store::forget(request_id const& request)
{
    auto const found = claims_.find(request);
    if (found == claims_.end())
        return;
    if (found->second.end && !found->second.settled)
        --unwritten_;
    operations_.erase(found->second.operation);
    due_.erase(request);
    claims_.erase(found);
}

bool claim_store::open(request_id const& request) const
{
    return claims_.count(request) != 0;
}

bool claim_store::settled(request_id const& request) const
{
    auto const found = claims_.find(request);
    return found != claims_.end() && found->second.settled;
}

bool claim_store::knows(operation_id operation) const
{
    return operations_.count(operation) != 0;
}

std::optional<claim_verdict> claim_store::on_table(table_reply const& reply,
                                                   time_point now,
                                                   action_list& actions)
{
    auto const operation = operations_.find(reply.operation);
    if (operation == operations_.end())
        return std::nullopt;
    auto const found = claims_.find(operation->second);
    return apply(*found, reply, now, actions);
}

std::optional<claim_verdict> claim_store::apply(claim_map::value_type& entry,
                                                table_reply const& reply,
                                                time_point now,
                                                action_list& actions)
{
    claim& own = entry.second;
    step const was = own.busy;
    finish_operation(entry);
    if (was == step::claiming && !own.end)
        return on_claim_reply(entry, reply, now, actions);
    if (was == step::claiming)
        on_abandoned_claim_reply(entry, reply, now, actions);
    else
        on_end_reply(entry, reply, now, actions);
    return claim_verdict{entry.first, claim_verdict::what::uncertain,
                         std::nullopt, own.condition};
}

std::optional<request_id> claim_store::on_object(object_reply const& reply,
                                                 time_point now,
                                                 action_list& actions)
{
    auto const operation = operations_.find(reply.operation);
    if (operation == operations_.end())
        return std::nullopt;
    auto const found = claims_.find(operation->second);
    finish_operation(*found);
    if (reply.outcome != object_outcome::done)
    {
        pacer_.failed();
        retry(*found, now);
        return found->first;
    }
    if (found->second.end)
        found->second.end->body = nullptr;
    resume(*found, now, actions);
    return found->first;
}

std::optional<claim_verdict> claim_store::tick(time_point now,
                                               action_list& actions)
{
    while (auto const request = due_.pop(now))
    {
        auto const found = claims_.find(*request);
        claim& own = found->second;
        if (own.busy == step::storing)
        {
            on_object({own.operation, object_outcome::unreachable, {}}, now,
                      actions);
            continue;
        }
        if (own.busy != step::idle)
            return apply(*found,
                         {own.operation, table_outcome::unreachable, {}}, now,
                         actions);
        if (own.end && !pacer_.try_take(now))
        {
            // Spread over the time that the backlog takes, so that a tick looks
            // at few of them.
            duration const backlog =
                std::min(pacer_.gap() * static_cast<duration::rep>(unwritten_),
                         end_retry_cap);
            own.retry_due =
                pacer_.next() + jitter_.backoff(1, backlog, backlog);
            schedule(*found);
            continue;
        }
        own.retry_due = never;
        resume(*found, now, actions);
    }
    return std::nullopt;
}

void claim_store::resume(claim_map::value_type& entry, time_point now,
                         action_list& actions)
{
    claim const& own = entry.second;
    if (!own.end)
        send_claim(entry, now, actions);
    else if (own.end->body)
        send_body(entry, now, actions);
    else
        send_end(entry, now, actions);
}

void claim_store::send_claim(claim_map::value_type& entry, time_point now,
                             action_list& actions)
{
    claim& own = entry.second;
    time_point const due = std::min(now + table_timeout_, own.deadline);
    begin(entry, step::claiming, due);
    actions.emplace_back(
        transact{own.operation,
                 {{{own.key, own.condition}}, {{own.key, encode(own.row)}}},
                 due});
}

// For a claim that was never certain the end `not_run` is written under the
// same condition as the claim itself: whichever lands first makes the other
// conflict, so that after it no copy of the claim can land any more.
void claim_store::send_end(claim_map::value_type& entry, time_point now,
                           action_list& actions)
{
    claim& own = entry.second;
    claim_row row = own.row;
    row.stage = own.end->stage;
    row.answer = own.end->answer;
    own.writing = row.stage;
    time_point const due = now + table_timeout_;
    begin(entry, step::writing, due);
    actions.emplace_back(
        transact{own.operation,
                 {{{own.key, own.condition}}, {{own.key, encode(row)}}},
                 due});
}

void claim_store::send_body(claim_map::value_type& entry, time_point now,
                            action_list& actions)
{
    claim& own = entry.second;
    time_point const due = now + table_timeout_;
    begin(entry, step::storing, due);
    actions.emplace_back(store_object{own.operation, own.end->answer->object,
                                      own.end->body, due});
}

void claim_store::begin(claim_map::value_type& entry, step what, time_point due)
{
    claim& own = entry.second;
    own.busy = what;
    own.operation = ids_.next_operation();
    own.reply_due = due + reply_grace;
    operations_.emplace(own.operation, entry.first);
    schedule(entry);
}

void claim_store::finish_operation(claim_map::value_type& entry)
{
    claim& own = entry.second;
    operations_.erase(own.operation);
    own.busy = step::idle;
    own.operation = operation_id();
    own.reply_due = never;
    schedule(entry);
}

void claim_store::schedule(claim_map::value_type const& entry)
{
    due_.set(entry.first,
             std::min(entry.second.reply_due, entry.second.retry_due));
}

void claim_store::retry(claim_map::value_type& entry, time_point now)
{
    claim& own = entry.second;
    ++own.tries;
    duration const cap = own.end ? end_retry_cap : claim_retry_cap;
    own.retry_due = now + jitter_.backoff(own.tries, retry_base, cap);
    schedule(entry);
}

void claim_store::settle(claim_map::value_type& entry)
{
    claim& own = entry.second;
    if (own.settled)
        return;
    own.settled = true;
    own.may_land = false;
    --unwritten_;
}

std::optional<claim_verdict>
claim_store::on_claim_reply(claim_map::value_type& entry,
                            table_reply const& reply, time_point now,
                            action_list& actions)
{
    claim& own = entry.second;
    claim_verdict verdict{entry.first, claim_verdict::what::uncertain,
                          std::nullopt, own.condition};
    table_row const* const row = row_of(reply, own.key);
    if (reply.outcome == table_outcome::done && row != nullptr)
    {
        own.condition = row->version;
        own.may_land = true;
        own.tries = 0;
        verdict.found = claim_verdict::what::ours;
        return verdict;
    }
    if (reply.outcome == table_outcome::conflict && row != nullptr)
        return on_claim_conflict(entry, reply, now, actions);
    retry(entry, now);
    // Refused for rate: it cannot land, and is repeated until the deadline.
    if (reply.outcome == table_outcome::refused)
        return verdict;
    own.may_land = true;
    ++own.unanswered;
    if (own.unanswered >= max_unanswered_tries)
        verdict.found = claim_verdict::what::exhausted;
    return verdict;
}

std::optional<claim_verdict>
claim_store::on_claim_conflict(claim_map::value_type& entry,
                               table_reply const& reply, time_point now,
                               action_list& actions)
{
    claim& own = entry.second;
    table_row const& row = *row_of(reply, own.key);
    claim_verdict verdict{entry.first, claim_verdict::what::held, std::nullopt,
                          row.version};
    if (row.version.none())
    {
        // Deleted since, by a sweep of old rows.
        own.condition = row.version;
        retry(entry, now);
        return std::nullopt;
    }
    // No copy of a claim sent so far can land while the row stands at another
    // version, since versions are never used twice.
    own.may_land = false;
    verdict.row = decode_claim_row(row.value);
    if (!verdict.row)
    {
        verdict.found = claim_verdict::what::unreadable;
        return verdict;
    }
    if (verdict.row->token == own.row.token)
    {
        // An earlier copy took effect and its answer was lost.
        own.condition = row.version;
        own.may_land = true;
        own.tries = 0;
        verdict.found = verdict.row->stage == claim_stage::claimed
                            ? claim_verdict::what::ours
                            : claim_verdict::what::closed;
        return verdict;
    }
    bool const free = verdict.row->stage == claim_stage::not_run &&
                      verdict.row->fingerprint == own.row.fingerprint;
    if (!free)
        return verdict;
    own.condition = row.version;
    send_claim(entry, now, actions);
    return std::nullopt;
}

void claim_store::on_abandoned_claim_reply(claim_map::value_type& entry,
                                           table_reply const& reply,
                                           time_point now, action_list& actions)
{
    claim& own = entry.second;
    table_row const* const row = row_of(reply, own.key);
    if (reply.outcome == table_outcome::done && row != nullptr)
    {
        own.condition = row->version;
        resume(entry, now, actions);
        return;
    }
    if (reply.outcome == table_outcome::conflict && row != nullptr)
    {
        on_end_conflict(entry, reply, now, actions);
        return;
    }
    if (reply.outcome == table_outcome::refused && !own.may_land)
    {
        settle(entry);
        return;
    }
    own.may_land = true;
    retry(entry, now);
}

void claim_store::on_end_reply(claim_map::value_type& entry,
                               table_reply const& reply, time_point now,
                               action_list& actions)
{
    claim& own = entry.second;
    table_row const* const row = row_of(reply, own.key);
    if (reply.outcome == table_outcome::conflict && row != nullptr)
    {
        pacer_.succeeded();
        on_end_conflict(entry, reply, now, actions);
        return;
    }
    if (reply.outcome != table_outcome::done || row == nullptr)
    {
        pacer_.failed();
        retry(entry, now);
        return;
    }
    pacer_.succeeded();
    own.condition = row->version;
    own.tries = 0;
    if (own.writing == own.end->stage)
        settle(entry);
    else
        resume(entry, now, actions);
}

void claim_store::on_end_conflict(claim_map::value_type& entry,
                                  table_reply const& reply, time_point now,
                                  action_list& actions)
{
    claim& own = entry.second;
    table_row const& row = *row_of(reply, own.key);
    auto const found = decode_claim_row(row.value);
    bool const absent = row.version.none();
    bool const own_row = found && found->token == own.row.token;
    if (!absent && !own_row)
    {
        // Another request's row: our claim is not there and cannot land.
        settle(entry);
        return;
    }
    own.condition = row.version;
    bool const written = !absent && (found->stage == own.end->stage ||
                                     !open_to_end(found->stage));
    if (written)
        settle(entry);
    else if (absent)
        retry(entry, now);
    else
        resume(entry, now, actions);
}

} // namespace mulberry
