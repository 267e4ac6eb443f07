#include "worker_ownership.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace mulberry
{
namespace
{

/// How long a forgotten intent may wait for a write that it can go along with.
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

void worker_ownership::note(action_list& actions, std::string kind,
                            std::string text) const
{
    actions.push_back(publish_event{"ownership", std::move(kind),
                                    worker_.str() + " " + std::move(text)});
}

vm_life worker_ownership::self() const
{
    return {context_.settings.vm, context_.registration.life()};
}

bool worker_ownership::mine() const
{
    return row_ && context_.registration.registered() && row_->owner == self();
}

bool worker_ownership::own_process(vm_life const& who) const
{
    incarnation const first = context_.registration.process_life();
    return who.vm == context_.settings.vm && !first.none() && who.life >= first;
}

bool worker_ownership::store(row_version version, worker_row const& row)
{
    if (!context_.rules.replaces(version_, version))
        return false;
    bool const changed =
        !row_ || row_->owner != row.owner || row_->fence != row.fence;
    version_ = version;
    row_ = row;
    // Whatever we wrote rested on an older version and cannot land any more.
    uncertain_ = false;
    return changed;
}

void worker_ownership::examine(time_point now, action_list& actions)
{
    bool const own = mine();
    if (held_ && (!own || row_->fence != *held_))
        lose(actions);
    if (handover_ && (!own || row_->fence != handover_->from))
        handover_.reset();
    if (own && !held_ && !handover_ && declared_)
        gain(actions);
    if (held_ && !cleared_)
        clear_suspects(now, actions);
    if (!own || call_ || uncertain_)
        return;
    settle_intents(*row_, actions);
    std::erase_if(forgets_, [this](engine_name const& name)
                  { return !has_intent(*row_, name); });
}

void worker_ownership::gain(action_list& actions)
{
    held_ = row_->fence;
    cleared_ = row_->suspects.empty();
    inherited_ = {row_->intents.begin(), row_->intents.end()};
    ownership_grant const grant{row_->fence, !cleared_, row_->intents};
    context_.events.push_back(worker_gained{worker_, grant});
    note(actions, "worker-gained", fence_text(row_->fence));
}

void worker_ownership::lose(action_list& actions)
{
    handover_.reset();
    drop_intents();
    if (!held_)
        return;
    note(actions, "worker-lost", fence_text(*held_));
    held_.reset();
    sign_off_ = false;
    context_.events.push_back(worker_lost{worker_});
}

// Failure, symptom and why this suffices: see ownership_rules::sends_no_more.
// What such an owner did send may still run; the dispatcher waits for a report
// of a later moment.
void worker_ownership::clear_suspects(time_point now, action_list& actions)
{
    for (vm_life const& suspect : row_->suspects)
        if (!context_.members.is_over(suspect))
            return;
    cleared_ = true;
    context_.events.push_back(suspects_cleared{worker_, now});
    note(actions, "suspects-cleared", fence_text(row_->fence));
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
           context_.members.ended(row_->owner);
}

void worker_ownership::hand_over(vm_life const& to)
{
    if (!mine())
        return;
    bool const sent = handover_ && handover_->sent;
    handover_ = handover{to, row_->fence, sent};
}

void worker_ownership::keep()
{
    if (held_ && handover_ && !handover_->sent)
        handover_.reset();
}

void worker_ownership::request_intent(order_id order, engine_name const& name,
                                      action_list& actions)
{
    if (!held_)
        return settle(order, false);
    forgets_.erase(name);
    intents_[name].push_back(order);
    if (!call_ && !uncertain_)
        settle_intents(*row_, actions);
}

void worker_ownership::forget_intent(engine_name const& name, time_point now)
{
    if (!held_)
        return;
    auto const waiting = intents_.find(name);
    if (waiting != intents_.end())
    {
        for (order_id const order : waiting->second)
            settle(order, false);
        intents_.erase(waiting);
    }
    if (forgets_.empty())
        forget_at_ = now + forget_delay;
    forgets_.insert(name);
}

void worker_ownership::sign_off()
{
    sign_off_ = true;
}

void worker_ownership::settle(order_id order, bool recorded)
{
    context_.events.push_back(intent_settled{order, worker_, recorded});
}

// Precondition: that row is the table's, and no write of ours that is still
// on its way takes anything from it.
void worker_ownership::settle_intents(worker_row const& recorded,
                                      action_list& actions)
{
    for (auto each = intents_.begin(); each != intents_.end();)
    {
        if (!has_intent(recorded, each->first))
        {
            ++each;
            continue;
        }
        note(actions, "intent-recorded", each->first.str());
        for (order_id const order : each->second)
            settle(order, true);
        each = intents_.erase(each);
    }
}

// A write that is on its way may still record them, but nothing is unloaded
// on it, and the next owner only avoids a name more than it must.
void worker_ownership::drop_intents()
{
    auto const dropped = std::exchange(intents_, {});
    for (auto const& [name, orders] : dropped)
        for (order_id const order : orders)
            settle(order, false);
    forgets_.clear();
}

worker_row worker_ownership::row_to_take() const
{
    worker_row row = row_ ? *row_ : worker_row{};
    if (!row.owner.vm.empty() && !context_.members.closed_itself(row.owner))
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
    return !call_ && now >= retry_at_;
}

bool worker_ownership::wants_write(time_point now) const
{
    if (!row_ || !may_want_write())
        return false;
    if (uncertain_ && mine())
        return true;
    worker_row const wanted = row_to_write();
    if (wanted == *row_)
        return false;
    bool const only_forgets =
        intents_.empty() && !handover_ && wanted.suspects == row_->suspects;
    return !only_forgets || now >= forget_at_;
}

// Cheap: asked for each worker at each tick.
bool worker_ownership::may_want_write() const
{
    if (uncertain_ || handover_ || !intents_.empty() || !forgets_.empty())
        return true;
    if (cleared_ && held_ && !row_->suspects.empty())
        return true;
    return sign_off_ &&
           std::any_of(row_->suspects.begin(), row_->suspects.end(),
                       [this](vm_life const& who) { return own_process(who); });
}

// The token stays; tick() sets a new one.
worker_row worker_ownership::row_to_write() const
{
    worker_row row = *row_;
    if (sign_off_)
        std::erase_if(row.suspects,
                      [this](vm_life const& who) { return own_process(who); });
    if (mine())
        write_owned(row);
    return row;
}

bool worker_ownership::forgets(engine_name const& name) const
{
    bool const inherited = inherited_.count(name) > 0;
    return forgets_.count(name) > 0 &&
           context_.rules.may_forget(inherited, cleared_);
}

void worker_ownership::write_owned(worker_row& row) const
{
    std::erase_if(row.intents,
                  [this](engine_name const& name) { return forgets(name); });
    if (cleared_ && held_)
        row.suspects.clear();
    if (!handover_)
    {
        for (auto const& [name, orders] : intents_)
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
    call made{context_.ids.next_operation(), version_, row_to_write()};
    made.written.token = context_.random.next_token();
    if (handover_)
        handover_->sent = true;
    table_transaction transaction;
    if (context_.rules.writes_conditionally())
        transaction.conditions.push_back(condition());
    transaction.writes.push_back({worker_key(worker_), to_text(made.written)});
    actions.push_back(transact{made.operation, std::move(transaction),
                               now + context_.settings.table_timeout});
    call_ = std::move(made);
}

bool worker_ownership::knows(operation_id operation) const
{
    return call_ && call_->operation == operation;
}

bool worker_ownership::on_table(table_reply const& reply, time_point now,
                                action_list& actions)
{
    call const done = *std::exchange(call_, std::nullopt);
    if (context_.rules.intent_recorded(reply.outcome))
        settle_intents(done.written, actions);
    if (reply.outcome == table_outcome::unreachable)
        on_unknown(done, actions);
    row_version const before = version_;
    bool changed = false;
    for (table_row const& row : reply.rows)
        if (row.key == worker_key(worker_))
            changed |= store_reply(done, reply.outcome, row, actions);
    if (reply.outcome != table_outcome::done && version_ == before)
        retry_later(now);
    examine(now, actions);
    return changed;
}

bool worker_ownership::store_reply(call const& done, table_outcome outcome,
                                   table_row const& row, action_list& actions)
{
    bool const applied = outcome == table_outcome::done;
    auto const read =
        applied ? std::optional(done.written) : parse_worker_row(row.value);
    if (!read)
        return false;
    bool const changed = store(row.version, *read);
    if (applied && handover_ && read->fence != handover_->from)
        note(actions, "worker-handed-over", "to " + read->owner.vm.str());
    if (handover_)
        handover_->sent = false;
    return changed;
}

// Failure: the answer to a handover is lost. Symptom: this VM admits requests
// for a worker that is another's already. It may have landed, so admitting
// ends; as it may not have, the write is repeated until the outcome is known.
void worker_ownership::on_unknown(call const& done, action_list& actions)
{
    uncertain_ = done.base == version_;
    if (!uncertain_ || !handover_ || done.written.fence == handover_->from)
        return;
    handover const kept = *handover_;
    lose(actions);
    handover_ = kept;
}

void worker_ownership::retry_later(time_point now)
{
    retry_at_ = now + context_.random.around(context_.settings.heartbeat / 2);
}

} // namespace mulberry
