#include "claim_store.hpp"

#include <algorithm>
#include <utility>

namespace mulberry
{
namespace
{

/// A claim is given up before its deadline after this many tries without an
/// answer.
constexpr int max_unanswered_tries = 8;
constexpr duration retry_base = std::chrono::milliseconds(50);
constexpr duration claim_retry_cap = std::chrono::seconds(1);
constexpr duration outcome_retry_cap = std::chrono::seconds(5);
/// The I/O layer reports its own timeout first; this delay covers a lost
/// report.
constexpr duration reply_grace = std::chrono::milliseconds(100);

table_row const* find_row(table_reply const& reply, std::string const& key)
{
    auto const found =
        std::find_if(reply.rows.begin(), reply.rows.end(),
                     [&](table_row const& row) { return row.key == key; });
    return found == reply.rows.end() ? nullptr : &*found;
}

/// Returns whether an outcome may replace this stage of a claim of this VM.
bool accepts_outcome(claim_stage stage)
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

void claim_store::start_claim(request_id const& request, std::string key,
                              claim_row row, time_point deadline,
                              time_point now, action_list& actions)
{
    claim new_claim;
    new_claim.key = std::move(key);
    new_claim.row = std::move(row);
    new_claim.deadline = deadline;
    auto const [entry, added] = claims_.emplace(request, std::move(new_claim));
    send_claim(*entry, now, actions);
}

void claim_store::record_outcome(request_id const& request, claim_stage stage,
                                 std::optional<service_answer> answer,
                                 time_point now, action_list& actions)
{
    auto const found = claims_.find(request);
    if (found == claims_.end())
        return;
    claim& own = found->second;
    if (!own.outcome || own.outcome_recorded)
        ++unwritten_outcomes_;
    own.outcome_recorded = false;
    own.outcome = claim_outcome{stage, std::nullopt, nullptr};
    if (answer)
    {
        bool const large = answer->body.size() > inline_answer_bytes_;
        stored_answer stored{answer->status, answer->content_type, "", ""};
        if (large)
        {
            stored.object = answer_object_key(answer->body);
            own.outcome->body =
                std::make_shared<std::string const>(std::move(answer->body));
        }
        else
            stored.body = std::move(answer->body);
        own.outcome->answer = std::move(stored);
    }
    own.retry_due = never;
    schedule(*found);
    // Only one operation of a claim is in flight at a time, since its reply
    // decides the version on which the outcome is conditional.
    if (own.in_flight != operation_kind::idle)
        return;
    // All copies of the claim were refused because of the rate limit, so none
    // can take effect.
    if (stage == claim_stage::not_run && !own.may_take_effect)
        mark_recorded(*found);
    else
        send_next(*found, now, actions);
}

void claim_store::forget(request_id const& request)
{
    auto const found = claims_.find(request);
    if (found == claims_.end())
        return;
    if (found->second.outcome && !found->second.outcome_recorded)
        --unwritten_outcomes_;
    operations_.erase(found->second.operation);
    due_.erase(request);
    claims_.erase(found);
}

bool claim_store::has_claim(request_id const& request) const
{
    return claims_.count(request) != 0;
}

bool claim_store::outcome_recorded(request_id const& request) const
{
    auto const found = claims_.find(request);
    return found != claims_.end() && found->second.outcome_recorded;
}

bool claim_store::knows(operation_id operation) const
{
    return operations_.count(operation) != 0;
}

std::optional<claim_result> claim_store::on_table(table_reply const& reply,
                                                  time_point now,
                                                  action_list& actions)
{
    auto const operation = operations_.find(reply.operation);
    if (operation == operations_.end())
        return std::nullopt;
    auto const found = claims_.find(operation->second);
    return on_reply(*found, reply, now, actions);
}

std::optional<claim_result> claim_store::on_reply(claim_map::value_type& entry,
                                                  table_reply const& reply,
                                                  time_point now,
                                                  action_list& actions)
{
    claim& own = entry.second;
    operation_kind const ended_kind = own.in_flight;
    end_operation(entry);
    if (ended_kind == operation_kind::claiming && !own.outcome)
        return on_claim_reply(entry, reply, now, actions);
    if (ended_kind == operation_kind::claiming)
        on_abandoned_claim_reply(entry, reply, now, actions);
    else
        on_outcome_reply(entry, reply, now, actions);
    return claim_result{entry.first, claim_result::status_code::uncertain,
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
    end_operation(*found);
    if (reply.outcome != object_outcome::done)
    {
        pacer_.failed();
        schedule_retry(*found, now);
        return found->first;
    }
    if (found->second.outcome)
        found->second.outcome->body = nullptr;
    send_next(*found, now, actions);
    return found->first;
}

std::optional<claim_result> claim_store::tick(time_point now,
                                              action_list& actions)
{
    while (auto const request = due_.pop(now))
    {
        auto const found = claims_.find(*request);
        claim& own = found->second;
        if (own.in_flight == operation_kind::storing_body)
        {
            on_object({own.operation, object_outcome::unreachable, {}}, now,
                      actions);
            continue;
        }
        if (own.in_flight != operation_kind::idle)
            return on_reply(*found,
                            {own.operation, table_outcome::unreachable, {}},
                            now, actions);
        if (own.outcome && !pacer_.try_take(now))
        {
            // Spread over the time that the backlog takes, so that each tick
            // handles few claims.
            duration const backlog =
                std::min(pacer_.min_interval() *
                             static_cast<duration::rep>(unwritten_outcomes_),
                         outcome_retry_cap);
            own.retry_due =
                pacer_.next_write_at() + jitter_.backoff(1, backlog, backlog);
            schedule(*found);
            continue;
        }
        own.retry_due = never;
        send_next(*found, now, actions);
    }
    return std::nullopt;
}

void claim_store::send_next(claim_map::value_type& entry, time_point now,
                            action_list& actions)
{
    claim const& own = entry.second;
    if (!own.outcome)
        send_claim(entry, now, actions);
    else if (own.outcome->body)
        send_body(entry, now, actions);
    else
        send_outcome(entry, now, actions);
}

void claim_store::send_claim(claim_map::value_type& entry, time_point now,
                             action_list& actions)
{
    claim& own = entry.second;
    time_point const due = std::min(now + table_timeout_, own.deadline);
    start_operation(entry, operation_kind::claiming, due);
    actions.emplace_back(
        transact{own.operation,
                 {{{own.key, own.condition}}, {{own.key, encode(own.row)}}},
                 due});
}

// If it is not known whether the claim is recorded, the outcome `not_run` is
// written under the same condition as the claim. Whichever takes effect first
// makes the other one conflict, so that afterwards no copy of the claim can
// take effect.
void claim_store::send_outcome(claim_map::value_type& entry, time_point now,
                               action_list& actions)
{
    claim& own = entry.second;
    claim_row row = own.row;
    row.stage = own.outcome->stage;
    row.answer = own.outcome->answer;
    own.stage_in_flight = row.stage;
    time_point const due = now + table_timeout_;
    start_operation(entry, operation_kind::writing_outcome, due);
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
    start_operation(entry, operation_kind::storing_body, due);
    actions.emplace_back(store_object{
        own.operation, own.outcome->answer->object, own.outcome->body, due});
}

void claim_store::start_operation(claim_map::value_type& entry,
                                  operation_kind what, time_point due)
{
    claim& own = entry.second;
    own.in_flight = what;
    own.operation = ids_.next_operation();
    own.reply_due = due + reply_grace;
    operations_.emplace(own.operation, entry.first);
    schedule(entry);
}

void claim_store::end_operation(claim_map::value_type& entry)
{
    claim& own = entry.second;
    operations_.erase(own.operation);
    own.in_flight = operation_kind::idle;
    own.operation = operation_id();
    own.reply_due = never;
    schedule(entry);
}

void claim_store::schedule(claim_map::value_type const& entry)
{
    due_.set(entry.first,
             std::min(entry.second.reply_due, entry.second.retry_due));
}

void claim_store::schedule_retry(claim_map::value_type& entry, time_point now)
{
    claim& own = entry.second;
    ++own.tries;
    duration const cap = own.outcome ? outcome_retry_cap : claim_retry_cap;
    own.retry_due = now + jitter_.backoff(own.tries, retry_base, cap);
    schedule(entry);
}

void claim_store::mark_recorded(claim_map::value_type& entry)
{
    claim& own = entry.second;
    if (own.outcome_recorded)
        return;
    own.outcome_recorded = true;
    own.may_take_effect = false;
    --unwritten_outcomes_;
}

std::optional<claim_result>
claim_store::on_claim_reply(claim_map::value_type& entry,
                            table_reply const& reply, time_point now,
                            action_list& actions)
{
    claim& own = entry.second;
    claim_result result{entry.first, claim_result::status_code::uncertain,
                        std::nullopt, own.condition};
    table_row const* const row = find_row(reply, own.key);
    if (reply.outcome == table_outcome::done && row != nullptr)
    {
        own.condition = row->version;
        own.may_take_effect = true;
        own.tries = 0;
        result.status = claim_result::status_code::acquired;
        return result;
    }
    if (reply.outcome == table_outcome::conflict && row != nullptr)
        return on_claim_conflict(entry, reply, now, actions);
    schedule_retry(entry, now);
    // Refused because of the rate limit: this try cannot take effect, and is
    // repeated until the deadline.
    if (reply.outcome == table_outcome::refused)
        return result;
    own.may_take_effect = true;
    ++own.unanswered_tries;
    if (own.unanswered_tries >= max_unanswered_tries)
        result.status = claim_result::status_code::retries_exhausted;
    return result;
}

std::optional<claim_result>
claim_store::on_claim_conflict(claim_map::value_type& entry,
                               table_reply const& reply, time_point now,
                               action_list& actions)
{
    claim& own = entry.second;
    table_row const& row = *find_row(reply, own.key);
    claim_result result{entry.first, claim_result::status_code::held_by_other,
                        std::nullopt, row.version};
    if (row.version.none())
    {
        // The row was deleted in the meantime by a sweep of old rows.
        own.condition = row.version;
        schedule_retry(entry, now);
        return std::nullopt;
    }
    // No copy of a claim sent so far can take effect while the row has another
    // version, since versions are never reused.
    own.may_take_effect = false;
    result.row = decode_claim_row(row.value);
    if (!result.row)
    {
        result.status = claim_result::status_code::unreadable;
        return result;
    }
    if (result.row->token == own.row.token)
    {
        // An earlier copy took effect and its answer was lost.
        own.condition = row.version;
        own.may_take_effect = true;
        own.tries = 0;
        result.status = result.row->stage == claim_stage::claimed
                            ? claim_result::status_code::acquired
                            : claim_result::status_code::closed_by_other;
        return result;
    }
    bool const key_is_free = result.row->stage == claim_stage::not_run &&
                             result.row->fingerprint == own.row.fingerprint;
    if (!key_is_free)
        return result;
    own.condition = row.version;
    send_claim(entry, now, actions);
    return std::nullopt;
}

void claim_store::on_abandoned_claim_reply(claim_map::value_type& entry,
                                           table_reply const& reply,
                                           time_point now, action_list& actions)
{
    claim& own = entry.second;
    table_row const* const row = find_row(reply, own.key);
    if (reply.outcome == table_outcome::done && row != nullptr)
    {
        own.condition = row->version;
        send_next(entry, now, actions);
        return;
    }
    if (reply.outcome == table_outcome::conflict && row != nullptr)
    {
        on_outcome_conflict(entry, reply, now, actions);
        return;
    }
    if (reply.outcome == table_outcome::refused && !own.may_take_effect)
    {
        mark_recorded(entry);
        return;
    }
    own.may_take_effect = true;
    schedule_retry(entry, now);
}

void claim_store::on_outcome_reply(claim_map::value_type& entry,
                                   table_reply const& reply, time_point now,
                                   action_list& actions)
{
    claim& own = entry.second;
    table_row const* const row = find_row(reply, own.key);
    if (reply.outcome == table_outcome::conflict && row != nullptr)
    {
        pacer_.succeeded();
        on_outcome_conflict(entry, reply, now, actions);
        return;
    }
    if (reply.outcome != table_outcome::done || row == nullptr)
    {
        pacer_.failed();
        schedule_retry(entry, now);
        return;
    }
    pacer_.succeeded();
    own.condition = row->version;
    own.tries = 0;
    if (own.stage_in_flight == own.outcome->stage)
        mark_recorded(entry);
    else
        send_next(entry, now, actions);
}

void claim_store::on_outcome_conflict(claim_map::value_type& entry,
                                      table_reply const& reply, time_point now,
                                      action_list& actions)
{
    claim& own = entry.second;
    table_row const& row = *find_row(reply, own.key);
    auto const found = decode_claim_row(row.value);
    bool const absent = row.version.none();
    bool const is_own_row = found && found->token == own.row.token;
    if (!absent && !is_own_row)
    {
        // The row belongs to another request: the claim of this VM is not
        // recorded and cannot take effect.
        mark_recorded(entry);
        return;
    }
    own.condition = row.version;
    bool const written = !absent && (found->stage == own.outcome->stage ||
                                     !accepts_outcome(found->stage));
    if (written)
        mark_recorded(entry);
    else if (absent)
        schedule_retry(entry, now);
    else
        send_next(entry, now, actions);
}

} // namespace mulberry
