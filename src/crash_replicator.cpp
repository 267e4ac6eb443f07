#include "crash_replicator.hpp"

#include "relay_request.hpp"

#include <algorithm>

namespace mulberry
{
namespace
{

using std::chrono::milliseconds;

/// Collects all requests that fail with one worker into one message.
constexpr milliseconds send_delay{10};
constexpr milliseconds write_retry{500};
constexpr std::chrono::seconds expire_interval{10};
/// Obsolete rows are deleted after a random delay, so that usually only one VM
/// deletes each: rows of expired crashes, and rows of crashes that an answer
/// cleared.
constexpr std::chrono::seconds expired_row_delete_delay{60};
constexpr std::chrono::seconds cleared_row_delete_delay{1};
/// Delay before a VM writes an observation that it only received. By then the
/// VM that made the observation has normally written it and the others have
/// read the row.
constexpr std::chrono::seconds received_write_delay{10};
/// Puts, and as many deletions, in one transaction; the store accepts a
/// hundred changes.
constexpr std::size_t max_row_changes = 50;
/// From this number of crashes on the request may be the cause, and its
/// observations are written to the store.
constexpr std::size_t write_threshold = 2;

} // namespace

void crash_replicator::add_observation(crash_observation const& seen,
                                       time_point now)
{
    if (!record_.add(seen, now))
        return;
    expire_at_ = std::min(expire_at_, now + expire_interval);
    send_kept_answer(seen.request, now);
    schedule_write_if_repeated(seen.request, now);
}

void crash_replicator::keep_answer(crash_observation const& last)
{
    if (!is_part(last.request) && kept_answers_.size() < limits_.max_entries)
        kept_answers_.insert_or_assign(last.request, last);
}

void crash_replicator::send_kept_answer(request_digest const& request,
                                        time_point now)
{
    auto const kept = kept_answers_.extract(request);
    if (kept.empty())
        return;
    outbox_.cleared.push_back(kept.mapped());
    send_at_ = std::min(send_at_, now + send_delay);
}

/// The crash's time as known here tells which crashes the answer followed: the
/// times of messages are later by the time of their transport.
void crash_replicator::on_cleared(crash_observation const& last, time_point now)
{
    auto const known = record_.find(last.request, last.crashed);
    clear(last.request, known ? known->at : last.at, now);
}

void crash_replicator::clear(request_digest const& request, time_point at,
                             time_point now)
{
    bool const seen_here = observed_here_.count(request) > 0;
    record_.clear(request, at);
    if (!record_.is_suspect(request))
        discard_pending(request);
    for (auto row = stored_rows_.lower_bound({request, {}});
         row != stored_rows_.end() && row->first.request == request; ++row)
        if (!record_.find(request, row->first.crashed))
            drop_row_at(row->second, seen_here
                                         ? now
                                         : now + jitter_.equal_jitter(
                                                     cleared_row_delete_delay));
}

void crash_replicator::drop_row_at(time_point& drop_at, time_point at)
{
    drop_at = std::min(drop_at, at);
    next_drop_at_ = std::min(next_drop_at_, drop_at);
}

bool crash_replicator::is_published(request_digest const& request) const
{
    return is_part(request)
               ? record_.is_confirmed(request)
               : record_.observations(request).size() >= write_threshold;
}

void crash_replicator::review_part(request_digest const& part, time_point now)
{
    if (record_.is_confirmed(part) || asked_.count(part) > 0 ||
        observed_here_.count(part) == 0 || !record_.should_confirm(part, now))
        return;
    asked_.insert(part);
    questions_.push_back(part);
}

void crash_replicator::on_part_answers(ask_part_answers const& asked,
                                       std::vector<part_answer> const& answers,
                                       time_point now)
{
    for (part_answer const& each : answers)
        record_.note_answer(each.part, each.at);
    for (request_digest const& part : asked.parts)
    {
        asked_.erase(part);
        if (record_.should_confirm(part, now))
            confirm(part, now);
    }
}

void crash_replicator::confirm(request_digest const& part, time_point now)
{
    record_.confirm(part);
    schedule_write_if_repeated(part, now);
    outbox_.confirmed.push_back(part);
    for (crash_observation const& each : record_.observations(part))
        outbox_.seen.push_back(each);
    send_at_ = std::min(send_at_, now);
}

void crash_replicator::on_crash(std::vector<crash_observation> const& seen,
                                time_point now)
{
    for (crash_observation const& each : seen)
    {
        observed_here_.insert(each.request);
        outbox_.seen.push_back(each);
        add_observation(each, now);
    }
    for (crash_observation const& each : seen)
        if (is_part(each.request))
            review_part(each.request, now);
    if (!outbox_.empty())
        send_at_ = std::min(send_at_, now + send_delay);
}

void crash_replicator::schedule_write(crash_key const& key, time_point at)
{
    if (stored_rows_.count(key) > 0)
        return;
    time_point& write_at = pending_rows_.try_emplace(key, never).first->second;
    write_at = std::min(write_at, at);
}

void crash_replicator::schedule_write_if_repeated(request_digest const& request,
                                                  time_point now)
{
    std::vector<crash_observation> const seen = record_.observations(request);
    if (!is_published(request))
        return;
    time_point const at =
        observed_here_.count(request) > 0
            ? now
            : now + jitter_.equal_jitter(received_write_delay);
    for (crash_observation const& each : seen)
        schedule_write({request, each.crashed}, at);
}

void crash_replicator::discard_pending(request_digest const& request)
{
    observed_here_.erase(request);
    std::erase_if(outbox_.seen, [&](crash_observation const& each)
                  { return each.request == request; });
    std::erase_if(pending_rows_, [&](auto const& each)
                  { return each.first.request == request; });
}

void crash_replicator::on_answered(request_digest const& request,
                                   time_point now)
{
    if (!record_.is_suspect(request))
        return;
    // Other VMs may have counted crashes whose answers they are not told of.
    bool const known_to_others =
        is_published(request) ||
        (!is_part(request) && record_.was_cleared(request));
    if (!known_to_others)
        keep_answer(record_.observations(request).back());
    // The VM that has the answer deletes the rows.
    observed_here_.insert(request);
    clear(request, now, now);
    if (!known_to_others)
        return;
    outbox_.answered.push_back(request);
    send_at_ = std::min(send_at_, now + send_delay);
}

void crash_replicator::on_crash_update(crash_update const& update,
                                       time_point now)
{
    for (crash_observation const& each : update.seen)
        add_observation(each, now);
    for (request_digest const& each : update.confirmed)
    {
        record_.confirm(each);
        schedule_write_if_repeated(each, now);
    }
    for (crash_observation const& each : update.seen)
        if (is_part(each.request))
            review_part(each.request, now);
    for (request_digest const& each : update.answered)
        clear(each, now, now);
    for (crash_observation const& each : update.cleared)
        on_cleared(each, now);
}

void crash_replicator::on_update_sent(crash_update const& update, bool by_all,
                                      time_point now)
{
    if (by_all)
        return;
    for (crash_observation const& each : update.seen)
        if (record_.is_suspect(each.request) &&
            (!is_part(each.request) || is_published(each.request)))
            schedule_write({each.request, each.crashed}, now);
}

void crash_replicator::on_row(crash_observation const& seen, time_point now)
{
    crash_key const key{seen.request, seen.crashed};
    pending_rows_.erase(key);
    if (stored_rows_.count(key) > 0)
        return;
    add_observation(seen, now);
    if (is_part(seen.request))
        record_.confirm(seen.request);
    expire_at_ = std::min(expire_at_, now + expire_interval);
    bool const counts = record_.find(seen.request, seen.crashed).has_value();
    drop_row_at(stored_rows_.emplace(key, never).first->second,
                counts ? seen.at + record_.retention_of(seen.request) +
                             jitter_.equal_jitter(expired_row_delete_delay)
                       : now + jitter_.equal_jitter(cleared_row_delete_delay));
}

void crash_replicator::on_row_deleted(crash_key const& key)
{
    if (stored_rows_.erase(key) > 0)
        record_.remove(key.request, key.crashed);
}

void crash_replicator::on_written(bool done, time_point now)
{
    write_in_progress_ = false;
    if (!done)
    {
        write_at_ = now + write_retry;
        return;
    }
    for (crash_observation const& each : current_write_.put)
    {
        crash_key const key{each.request, each.crashed};
        pending_rows_.erase(key);
        // A worker may have answered the request during the write.
        drop_row_at(stored_rows_.emplace(key, never).first->second,
                    record_.find(each.request, each.crashed)
                        ? each.at + record_.retention_of(each.request) +
                              jitter_.equal_jitter(expired_row_delete_delay)
                        : now);
    }
    for (crash_key const& each : current_write_.drop)
        stored_rows_.erase(each);
}

write_crash_rows crash_replicator::due_changes(time_point now) const
{
    write_crash_rows made;
    for (auto const& [key, write_at] : pending_rows_)
        if (write_at <= now && made.put.size() < max_row_changes)
            if (auto const seen = record_.find(key.request, key.crashed))
                made.put.push_back(*seen);
    for (auto const& [key, drop_at] : stored_rows_)
        if (drop_at <= now && made.drop.size() < max_row_changes)
            made.drop.push_back(key);
    return made;
}

/// Rows that are due and remain, beyond the size of a transaction or since it
/// fails, are due again.
time_point crash_replicator::next_drop_after(time_point now) const
{
    time_point next = never;
    for (auto const& [key, drop_at] : stored_rows_)
        next = std::min(next, std::max(drop_at, now + duration(write_retry)));
    return next;
}

std::vector<crash_action> crash_replicator::run(time_point now)
{
    std::vector<crash_action> actions;
    if (now >= expire_at_)
    {
        record_.expire(now);
        auto const counts = [this](request_digest const& request)
        { return record_.is_suspect(request); };
        std::erase_if(observed_here_,
                      [&](auto const& each) { return !counts(each); });
        std::erase_if(kept_answers_, [&](auto const& each)
                      { return each.second.at + limits_.retention <= now; });
        expire_at_ = record_.empty() && stored_rows_.empty()
                         ? never
                         : now + expire_interval;
    }
    if (now >= send_at_)
    {
        send_at_ = never;
        if (!outbox_.empty())
            actions.push_back(send_crash_update{std::exchange(outbox_, {})});
    }
    if (!questions_.empty())
        actions.push_back(ask_part_answers{std::exchange(questions_, {})});
    if (write_in_progress_ || now < write_at_)
        return actions;
    std::erase_if(
        pending_rows_, [this](auto const& each)
        { return !record_.find(each.first.request, each.first.crashed); });
    current_write_ = due_changes(now);
    if (now >= next_drop_at_)
        next_drop_at_ = next_drop_after(now);
    write_in_progress_ =
        !current_write_.put.empty() || !current_write_.drop.empty();
    if (write_in_progress_)
        actions.push_back(current_write_);
    return actions;
}

time_point crash_replicator::next_due() const
{
    time_point next = std::min(send_at_, expire_at_);
    if (write_in_progress_)
        return next;
    if (next_drop_at_ != never)
        next = std::min(next, std::max(next_drop_at_, write_at_));
    for (auto const& [key, write_at] : pending_rows_)
        next = std::min(next, std::max(write_at, write_at_));
    return next;
}

} // namespace mulberry
