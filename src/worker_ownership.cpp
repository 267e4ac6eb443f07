#include "worker_ownership.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace mulberry
{
namespace
{

/// How long the removal of an intent may wait to be combined with another
/// write.
constexpr duration forget_delay = std::chrono::seconds(1);

std::string fence_text(fencing_number fence)
{
    return "fence " + std::to_string(fence.value());
}

} // namespace

worker_ownership::worker_ownership(worker_id worker,
                                   ownership_context const& context)
    : worker_(std::move(worker)), context_(context)
{
}

void worker_ownership::log_event(action_list& actions, std::string kind,
                                 std::string text) const
{
    actions.push_back(publish_event{"ownership", std::move(kind),
                                    worker_.str() + " " + std::move(text)});
}

incarnation_id worker_ownership::self() const
{
    return {context_.settings.vm, context_.registration.incarnation_number()};
}

bool worker_ownership::is_owner() const
{
    return row_ && context_.registration.registered() && row_->owner == self();
}

bool worker_ownership::is_own_process(incarnation_id const& who) const
{
    incarnation const first = context_.registration.process_first_incarnation();
    return who.vm == context_.settings.vm && !first.none() &&
           who.incarnation_number >= first;
}

bool worker_ownership::store(row_version version, worker_row const& row)
{
    if (!context_.rules.is_newer(version_, version))
        return false;
    bool const changed =
        !row_ || row_->owner != row.owner || row_->fence != row.fence;
    version_ = version;
    row_ = row;
    unreadable_since_ = time_point::min();
    // Earlier writes were conditional on an older version and cannot be applied
    // any more.
    outcome_unknown_ = false;
    return changed;
}

bool worker_ownership::store_unreadable(row_version version, time_point now)
{
    if (!context_.rules.is_newer(version_, version))
        return false;
    bool const changed = row_.has_value();
    version_ = version;
    row_.reset();
    unreadable_since_ = now;
    outcome_unknown_ = false;
    return changed;
}

void worker_ownership::update_ownership(time_point now, action_list& actions)
{
    bool const own = is_owner();
    if (owned_fence_ && (!own || row_->fence != *owned_fence_))
        give_up(actions);
    if (handover_ && (!own || row_->fence != handover_->previous_fence))
        handover_.reset();
    if (own && !owned_fence_ && !handover_ && declared_)
        gain(actions);
    if (owned_fence_ && !suspects_cleared_)
        clear_suspects(now, actions);
    if (!own || pending_write_ || outcome_unknown_)
        return;
    report_recorded_intents(*row_, actions);
    std::erase_if(intents_to_forget_, [this](engine_name const& name)
                  { return !has_intent(*row_, name); });
}

void worker_ownership::gain(action_list& actions)
{
    owned_fence_ = row_->fence;
    suspects_cleared_ = row_->suspects.empty();
    inherited_intents_ = {row_->intents.begin(), row_->intents.end()};
    ownership_grant const grant{row_->fence, !suspects_cleared_, row_->intents,
                                row_->first_incarnation};
    context_.events.push_back(worker_gained{worker_, grant});
    log_event(actions, "worker-gained", fence_text(row_->fence));
}

void worker_ownership::give_up(action_list& actions)
{
    handover_.reset();
    drop_intents();
    if (!owned_fence_)
        return;
    log_event(actions, "worker-lost", fence_text(*owned_fence_));
    owned_fence_.reset();
    remove_self_wanted_ = false;
    context_.events.push_back(worker_lost{worker_});
}

// For the failure that this prevents, see ownership_rules::has_stopped_sending.
// Requests that such an owner has sent may still run; the dispatcher waits for
// a worker report from a later moment.
void worker_ownership::clear_suspects(time_point now, action_list& actions)
{
    for (incarnation_id const& suspect : row_->suspects)
        if (!context_.members.has_stopped(suspect))
            return;
    suspects_cleared_ = true;
    context_.events.push_back(suspects_cleared{worker_, now});
    log_event(actions, "suspects-cleared", fence_text(row_->fence));
}

void worker_ownership::set_assignee(vm_id const& vm, time_point now)
{
    if (vm == assignee_)
        return;
    assignee_ = vm;
    assignee_stable_at_ = now + context_.settings.lease;
}

bool worker_ownership::assignee_stable(time_point now) const
{
    return now >= assignee_stable_at_;
}

bool worker_ownership::unowned() const
{
    return !row_ || row_->owner.vm.empty() ||
           context_.members.is_former_member(row_->owner);
}

void worker_ownership::hand_over(incarnation_id const& to)
{
    if (!is_owner())
        return;
    bool const sent = handover_ && handover_->sent;
    handover_ = handover{to, row_->fence, sent};
}

void worker_ownership::cancel_handover()
{
    if (owned_fence_ && handover_ && !handover_->sent)
        handover_.reset();
}

void worker_ownership::request_intent(order_id order, engine_name const& name,
                                      action_list& actions)
{
    if (!owned_fence_)
        return report_intent(order, false);
    intents_to_forget_.erase(name);
    requested_intents_[name].push_back(order);
    if (!pending_write_ && !outcome_unknown_)
        report_recorded_intents(*row_, actions);
}

void worker_ownership::forget_intent(engine_name const& name, time_point now)
{
    if (!owned_fence_)
        return;
    auto const waiting = requested_intents_.find(name);
    if (waiting != requested_intents_.end())
    {
        for (order_id const order : waiting->second)
            report_intent(order, false);
        requested_intents_.erase(waiting);
    }
    if (intents_to_forget_.empty())
        forget_at_ = now + forget_delay;
    intents_to_forget_.insert(name);
}

void worker_ownership::remove_self_from_suspects()
{
    remove_self_wanted_ = true;
}

void worker_ownership::report_intent(order_id order, bool recorded)
{
    context_.events.push_back(intent_settled{order, worker_, recorded});
}

// Precondition: the table has this row, and no write of this VM that may still
// be applied removes intents from the row.
void worker_ownership::report_recorded_intents(worker_row const& recorded,
                                               action_list& actions)
{
    for (auto each = requested_intents_.begin();
         each != requested_intents_.end();)
    {
        if (!has_intent(recorded, each->first))
        {
            ++each;
            continue;
        }
        log_event(actions, "intent-recorded", each->first.str());
        for (order_id const order : each->second)
            report_intent(order, true);
        each = requested_intents_.erase(each);
    }
}

// A write in progress may still record the intents. This is harmless: no unload
// is sent for them, and the next owner avoids adapters unnecessarily.
void worker_ownership::drop_intents()
{
    auto const dropped = std::exchange(requested_intents_, {});
    for (auto const& [name, orders] : dropped)
        for (order_id const order : orders)
            report_intent(order, false);
    intents_to_forget_.clear();
}

worker_row worker_ownership::last_row() const
{
    if (row_)
        return *row_;
    if (!version_.none())
        return row_after_unreadable();
    worker_row row;
    row.first_incarnation = incarnation_;
    return row;
}

// Any VM may have owned the worker under the unreadable row or one that it
// replaced. Each fencing number needed a write of the row, so the version is no
// lower than any of them.
worker_row worker_ownership::row_after_unreadable() const
{
    worker_row row;
    row.fence = fencing_number(version_.value());
    row.suspects = context_.members.possibly_running();
    if (remove_self_wanted_)
        std::erase_if(row.suspects, [this](incarnation_id const& who)
                      { return is_own_process(who); });
    row.intents = {engine_name(lost_intents)};
    return row;
}

worker_row worker_ownership::takeover_row() const
{
    worker_row row = last_row();
    if (!row.owner.vm.empty() && !context_.members.closed_cleanly(row.owner))
        add_suspect(row, row.owner);
    row.token = context_.random.next_token();
    row.owner = self();
    row.fence = context_.rules.next_fence(row.fence);
    row.intents = context_.rules.inherited(std::move(row.intents));
    return row;
}

table_condition worker_ownership::condition() const
{
    return {worker_key(worker_), version_};
}

bool worker_ownership::may_write(time_point now) const
{
    return !pending_write_ && now >= retry_at_;
}

bool worker_ownership::wants_write(time_point now) const
{
    if (!row_ || !may_want_write())
        return false;
    if (outcome_unknown_ && is_owner())
        return true;
    worker_row const wanted = next_row();
    if (wanted == *row_)
        return false;
    bool const only_forgets = requested_intents_.empty() && !handover_ &&
                              wanted.suspects == row_->suspects;
    return !only_forgets || now >= forget_at_;
}

// A cheap check, since tick() runs for each worker.
bool worker_ownership::may_want_write() const
{
    if (outcome_unknown_ || handover_ || !requested_intents_.empty() ||
        !intents_to_forget_.empty())
        return true;
    if (suspects_cleared_ && owned_fence_ && !row_->suspects.empty())
        return true;
    return remove_self_wanted_ &&
           std::any_of(row_->suspects.begin(), row_->suspects.end(),
                       [this](incarnation_id const& who)
                       { return is_own_process(who); });
}

// Keeps the token of the known row; tick() sets a new one.
worker_row worker_ownership::next_row() const
{
    worker_row row = *row_;
    if (remove_self_wanted_)
        std::erase_if(row.suspects, [this](incarnation_id const& who)
                      { return is_own_process(who); });
    if (is_owner())
        apply_owner_changes(row);
    return row;
}

bool worker_ownership::should_forget(engine_name const& name) const
{
    bool const inherited = inherited_intents_.count(name) > 0;
    return intents_to_forget_.count(name) > 0 &&
           context_.rules.may_forget(inherited, suspects_cleared_);
}

void worker_ownership::apply_owner_changes(worker_row& row) const
{
    std::erase_if(row.intents, [this](engine_name const& name)
                  { return should_forget(name); });
    if (suspects_cleared_ && owned_fence_)
        row.suspects.clear();
    if (!handover_)
    {
        for (auto const& [name, orders] : requested_intents_)
            add_intent(row, name);
        return;
    }
    add_suspect(row, row.owner);
    row.owner = handover_->to;
    row.fence = context_.rules.next_fence(row.fence);
}

void worker_ownership::tick(time_point now, action_list& actions)
{
    if (!may_write(now) || !wants_write(now))
        return;
    pending_write made{context_.ids.next_operation(), version_, next_row()};
    made.written.token = context_.random.next_token();
    if (handover_)
        handover_->sent = true;
    table_transaction transaction;
    if (context_.rules.writes_conditionally())
        transaction.conditions.push_back(condition());
    transaction.writes.push_back({worker_key(worker_), to_text(made.written)});
    actions.push_back(transact{made.operation, std::move(transaction),
                               now + context_.settings.table_timeout});
    pending_write_ = std::move(made);
}

bool worker_ownership::knows(operation_id operation) const
{
    return pending_write_ && pending_write_->operation == operation;
}

bool worker_ownership::on_table(table_reply const& reply, time_point now,
                                action_list& actions)
{
    pending_write const done = *std::exchange(pending_write_, std::nullopt);
    if (context_.rules.intent_recorded(reply.outcome))
        report_recorded_intents(done.written, actions);
    if (reply.outcome == table_outcome::unreachable)
        on_unknown_outcome(done, actions);
    row_version const before = version_;
    bool changed = false;
    for (table_row const& row : reply.rows)
        if (row.key == worker_key(worker_))
            changed |= store_reply(done, reply.outcome, row, now, actions);
    if (reply.outcome != table_outcome::done && version_ == before)
        retry_later(now);
    update_ownership(now, actions);
    return changed;
}

bool worker_ownership::store_reply(pending_write const& done,
                                   table_outcome outcome, table_row const& row,
                                   time_point now, action_list& actions)
{
    bool const applied = outcome == table_outcome::done;
    auto const read =
        applied ? std::optional(done.written) : read_worker_row(row);
    if (!read)
        return store_unreadable(row.version, now);
    bool const changed = store(row.version, *read);
    if (applied && handover_ && read->fence != handover_->previous_fence)
        log_event(actions, "worker-handed-over", "to " + read->owner.vm.str());
    if (handover_)
        handover_->sent = false;
    return changed;
}

// If the reply to a handover is lost, this VM must not admit requests for a
// worker that another VM may own already. The handover may have been applied,
// so this VM gives up the worker; it may not have been, so the write is
// repeated until the outcome is known.
void worker_ownership::on_unknown_outcome(pending_write const& done,
                                          action_list& actions)
{
    outcome_unknown_ = done.base == version_;
    if (!outcome_unknown_ || !handover_ ||
        done.written.fence == handover_->previous_fence)
        return;
    handover const kept = *handover_;
    give_up(actions);
    handover_ = kept;
}

void worker_ownership::retry_later(time_point now)
{
    retry_at_ = now + context_.random.jittered(context_.settings.heartbeat / 2);
}

} // namespace mulberry
