#include "rejection_guard.hpp"

#include "placement.hpp"

#include <algorithm>
#include <utility>

namespace mulberry
{
namespace
{

using std::chrono::milliseconds;

/// Only this many VMs use a worker, so that a rejection is told to few.
constexpr std::size_t max_senders = 32;
/// The worker counts rejections within this time.
constexpr std::chrono::seconds counted_time{1};
/// Within this time some of the requests that fill a worker end.
constexpr milliseconds drain_time{250};
/// Within this time a worker rejects a request and the other VMs know.
constexpr milliseconds notice_time{40};
/// Room that was not used for this long may be in use by another VM.
constexpr milliseconds proof_time{250};
/// No share is larger.
constexpr std::size_t max_cap = 256;
/// Statements that are not repeated for as long are forgotten.
constexpr std::chrono::minutes statement_memory{10};

} // namespace

/// Answers may overtake each other: a statement is withdrawn only by an answer
/// to a call that was sent after it was heard.
bool rejection_guard::on_answer(worker_id const& worker,
                                std::optional<std::uint32_t> tolerated,
                                time_point sent_at, time_point now)
{
    if (!tolerated && statements_.empty() && !last_.tolerated)
        return false;
    auto const before = tolerated_by(worker, now);
    statement& known = statements_[worker];
    if (tolerated || sent_at >= known.heard_at)
        known = {tolerated, now};
    if (tolerated || sent_at >= last_.heard_at)
        last_ = {tolerated, now};
    auto const after = tolerated_by(worker, now);
    if (after && !before)
        rooms_[worker].next_trial_at = now + random_part(trial_gap(*after));
    return after != before;
}

std::optional<std::uint32_t>
rejection_guard::tolerated_by(worker_id const& worker, time_point now) const
{
    auto const known = statements_.find(worker);
    statement const& stated =
        known == statements_.end() ? last_ : known->second;
    return now < stated.heard_at + statement_memory ? stated.tolerated
                                                    : std::nullopt;
}

void rejection_guard::set_vms(std::vector<vm_id> vms)
{
    if (vms == vms_)
        return;
    vms_ = std::move(vms);
    rankings_.clear();
}

/// All VMs compute the same order.
rejection_guard::ranking const&
rejection_guard::ranking_at(worker_id const& worker) const
{
    auto const known = rankings_.find(worker);
    if (known != rankings_.end())
        return known->second;
    std::vector<std::pair<std::uint64_t, vm_id>> by_rank;
    for (vm_id const& vm : vms_)
        by_rank.emplace_back(stable_hash(worker.str() + "@" + vm.str()), vm);
    std::sort(by_rank.begin(), by_rank.end());
    if (by_rank.size() > max_senders)
        by_rank.resize(max_senders);
    ranking made;
    for (auto const& [rank, vm] : by_rank)
    {
        if (vm == self_)
            made.own = made.senders.size();
        made.senders.push_back(vm);
    }
    return rankings_.emplace(worker, std::move(made)).first->second;
}

std::size_t rejection_guard::share_of(worker_room const& at) const
{
    if (at.owned)
        return at.slots;
    ranking const& ranks = ranking_at(at.worker);
    if (!ranks.own)
        return 0;
    std::size_t const senders = ranks.senders.size();
    return at.slots / senders + (*ranks.own < at.slots % senders ? 1 : 0);
}

std::size_t rejection_guard::kept_at(worker_room const& at,
                                     time_point now) const
{
    std::size_t const share = share_of(at);
    auto const found = rooms_.find(at.worker);
    if (found == rooms_.end())
        return share;
    room_state const& known = found->second;
    auto const unused =
        static_cast<std::size_t>((now - known.proven_at) / proof_time);
    std::size_t const proven = known.proven - std::min(known.proven, unused);
    return std::max(std::min(share, known.cap.value_or(share)), proven);
}

std::size_t rejection_guard::sender_count() const
{
    return std::clamp<std::size_t>(vms_.size(), 1, max_senders);
}

duration rejection_guard::trial_gap(std::uint32_t tolerated) const
{
    return std::max<duration>(
        notice_time, notice_time * 2 * static_cast<int>(sender_count()) /
                         static_cast<int>(std::max(tolerated, 1U)));
}

duration rejection_guard::fleet_round(std::uint32_t tolerated) const
{
    return duration(counted_time) * 2 * static_cast<int>(sender_count()) /
           static_cast<int>(std::max(tolerated, 1U));
}

duration rejection_guard::random_part(duration whole)
{
    return duration(static_cast<duration::rep>(
        jitter_.next() % static_cast<std::uint64_t>(whole.count())));
}

bool rejection_guard::may_send(worker_room const& at, time_point now) const
{

    auto const tolerated = tolerated_by(at.worker, now);
    if (!tolerated)
        return true;
    auto const found = rooms_.find(at.worker);
    if (found != rooms_.end() && now < found->second.closed_until)
        return false;
    if (at.outstanding < kept_at(at, now))
        return true;
    return *tolerated > 0 && ranking_at(at.worker).own &&
           (found == rooms_.end() || now >= found->second.next_trial_at);
}

void rejection_guard::on_sent(ticket_id ticket, worker_room const& at,
                              time_point now)
{
    auto const tolerated = tolerated_by(at.worker, now);
    if (!tolerated)
        return;
    room_state& known = rooms_[at.worker];
    std::size_t const count = at.outstanding + 1;
    if (count > kept_at(at, now))
    {
        trials_[ticket] = {at.worker, count, now};
        known.next_trial_at =
            std::max(known.next_trial_at, now + trial_gap(*tolerated));
    }
    else if (count >= known.proven)
    {
        known.proven = count;
        known.proven_at = now;
    }
}

/// What was tried before a rejection proves no room after it.
void rejection_guard::on_accepted(ticket_id ticket, time_point now)
{
    auto const accepted = trials_.extract(ticket);
    if (accepted.empty())
        return;
    room_state& known = rooms_[accepted.mapped().worker];
    if (accepted.mapped().count < known.proven ||
        accepted.mapped().sent_at < known.rejected_at)
        return;
    known.proven = accepted.mapped().count;
    known.proven_at = now;
}

/// Requests within the shares have room while no VM exceeds its own, unless the
/// worker has less room than slots. No VM exceeds its share from the end of the
/// requests that were beyond it until the first trial after the last rejection.
/// Meanwhile no VM keeps more than it has, so that those below their shares do
/// not run into the requests of those above.
void rejection_guard::close(rejection_notice const& notice, std::size_t kept,
                            time_point now)
{
    room_state& known = rooms_[notice.worker];
    bool const trials_closed = now < known.rejected_at + counted_time;
    bool const any_exceeds = !trials_closed || now < known.excess_ends_at;
    if (!trials_closed)
        known.excess_ends_at = now + duration(drain_time);
    known.rejected_at = now;
    delay_trials(known, notice.tolerated, now);
    if (any_exceeds)
    {
        // A second one may mean that the worker has lost room, and that each
        // further request would be rejected, too.
        if (trials_closed && notice.within_share)
            known.closed_until = known.excess_ends_at;
        return hold(known, kept, notice.tolerated, now);
    }
    if (!notice.within_share || now < known.closed_until)
        return;
    known.closed_until = now + duration(drain_time);
    known.cap = kept / 2;
    known.grows_slowly = true;
    known.cap_grows_at = now + duration(counted_time) +
                         random_part(fleet_round(notice.tolerated));
}

void rejection_guard::delay_trials(room_state& known, std::uint32_t tolerated,
                                   time_point now)
{
    known.proven = 0;
    known.next_trial_at =
        std::max(known.next_trial_at, now + duration(counted_time) +
                                          random_part(fleet_round(tolerated)));
}

/// Nothing is beyond the shares there, so the first rejection within them means
/// that the worker has less room than slots.
void rejection_guard::on_started(worker_id const& worker, time_point now)
{
    auto const tolerated = tolerated_by(worker, now);
    if (!tolerated)
        return;
    room_state& known = rooms_[worker];
    known.rejected_at = now;
    known.excess_ends_at = now;
    known.closed_until = time_point{};
    delay_trials(known, *tolerated, now);
    known.grows_slowly = false;
    hold(known, 0, *tolerated, now);
}

void rejection_guard::hold(room_state& known, std::size_t kept,
                           std::uint32_t tolerated, time_point now)
{
    if (known.cap && known.grows_slowly)
    {
        known.cap = std::min(*known.cap, kept);
        return;
    }
    known.cap = kept;
    known.grows_slowly = false;
    known.cap_grows_at =
        now + duration(drain_time) + random_part(trial_gap(tolerated));
}

void rejection_guard::on_rejected(ticket_id ticket, worker_room const& at,
                                  time_point now)
{
    bool const was_trial = trials_.erase(ticket) > 0;
    auto const tolerated = tolerated_by(at.worker, now);
    if (!tolerated)
        return;
    std::size_t const accepted = at.outstanding - (at.outstanding > 0 ? 1 : 0);
    bool const within_share = !was_trial && at.outstanding <= share_of(at);
    notices_.push_back({at.worker, *tolerated, within_share});
    close(notices_.back(), accepted, now);
}

void rejection_guard::on_notice(rejection_notice const& notice,
                                worker_room const& at, time_point now)
{
    statements_.try_emplace(notice.worker, statement{notice.tolerated, now});
    close(notice, at.outstanding, now);
}

std::vector<rejection_notice> rejection_guard::take_notices()
{
    return std::exchange(notices_, {});
}

std::vector<vm_id> rejection_guard::others_at(worker_id const& worker) const
{
    std::vector<vm_id> senders = ranking_at(worker).senders;
    std::erase(senders, self_);
    return senders;
}

time_point rejection_guard::next_change(time_point after) const
{
    time_point next = never;
    for (auto const& [worker, known] : rooms_)
        for (time_point const end : {known.closed_until, known.next_trial_at,
                                     known.cap ? known.cap_grows_at : never})
            if (end > after)
                next = std::min(next, end);
    return next;
}

void rejection_guard::grow_cap(worker_id const& worker, room_state& known,
                               time_point now)
{
    std::uint32_t const tolerated = tolerated_by(worker, now).value_or(1);
    ++*known.cap;
    known.cap_grows_at = now + (known.grows_slowly ? fleet_round(tolerated)
                                                   : trial_gap(tolerated));
    if (*known.cap >= max_cap)
        known.cap.reset();
}

void rejection_guard::update(time_point now)
{
    for (auto& [worker, known] : rooms_)
        if (known.cap && now >= known.cap_grows_at)
            grow_cap(worker, known, now);
    std::erase_if(statements_, [now](auto const& each)
                  { return now >= each.second.heard_at + statement_memory; });
    auto const is_sound = [&](auto const& each)
    { return !tolerated_by(each.first, now); };
    std::erase_if(rooms_, is_sound);
    std::erase_if(rankings_, is_sound);
}

} // namespace mulberry
