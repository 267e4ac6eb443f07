#include "adapter_loader.hpp"

#include <algorithm>
#include <utility>

namespace mulberry
{
namespace
{

constexpr int status_not_found = 404;
constexpr int status_old_fence = 412;
constexpr char const* code_already_loaded = "already_loaded";
constexpr char const* code_no_free_slot = "no_free_slot";

bool contains(std::vector<adapter_ref> const& list, adapter_ref const& wanted)
{
    return std::find(list.begin(), list.end(), wanted) != list.end();
}

resident_state shown_state(slot_state state)
{
    switch (state)
    {
    case slot_state::loading:
    case slot_state::load_unknown:
        return resident_state::loading;
    case slot_state::ready:
        return resident_state::ready;
    case slot_state::recording:
    case slot_state::unloading:
    case slot_state::unload_unknown:
    case slot_state::unusable:
        break;
    }
    return resident_state::evicting;
}

} // namespace

adapter_loader::adapter_loader(worker_declaration const& worker,
                               ownership_grant const& grant,
                               dispatcher_limits const& limits,
                               routing_policy& policy, load_budget& budget,
                               safeguards const& checks, id_source& ids,
                               dispatch_meter& meter, time_point now)
    : worker_(worker.id), fence_(grant.fence), limits_(limits),
      policy_(&policy), budget_(&budget), ids_(&ids), meter_(&meter),
      slots_(worker.adapter_slots, grant, limits, checks, now)
{
}

void adapter_loader::set_may_evict(bool may)
{
    may_evict_ = may;
    // The slot of a drained adapter could not be freed without an eviction.
    if (!may)
        draining_adapter_.reset();
}

engine_name const* adapter_loader::sendable(adapter_ref const& adapter) const
{
    engine_name const* name = slots_.ready_name(adapter);
    return name && draining_adapter_ == *name ? nullptr : name;
}

std::optional<duration>
adapter_loader::load_retry_after(adapter_ref const& adapter,
                                 time_point now) const
{
    if (slots_.ready_name(adapter))
        return std::nullopt;
    auto const failed = load_not_before_.find(adapter);
    if (failed != load_not_before_.end() && failed->second > now)
        return failed->second - now;
    slot_state const* state = slots_.own_state(adapter);
    if (state && (*state == slot_state::load_unknown ||
                  *state == slot_state::unload_unknown))
        return limits_.settle_time;
    if (!state && loads_blocked())
        return limits_.load_backoff;
    return std::nullopt;
}

bool adapter_loader::loads_blocked() const
{
    return !may_evict_ && slots_.contents_known() && slots_.free_slots() == 0 &&
           unloads_in_progress() == 0;
}

bool adapter_loader::needs_load(adapter_ref const& adapter,
                                time_point now) const
{
    return !slots_.ready_name(adapter) && !slots_.own_state(adapter) &&
           !load_retry_after(adapter, now);
}

std::size_t adapter_loader::loads_wanted(request_queue const& queue) const
{
    auto const wanted = [this](auto const& each)
    { return !slots_.ready_name(each.first) && !slots_.own_state(each.first); };
    return static_cast<std::size_t>(std::count_if(
        queue.adapters().begin(), queue.adapters().end(), wanted));
}

std::size_t adapter_loader::queued_under(engine_name const& name,
                                         loaded_adapter const& item,
                                         request_queue const& queue) const
{
    engine_name const* sendable_name = sendable(item.adapter);
    if (!sendable_name || *sendable_name != name)
        return 0;
    return queue.waiting_for(item.adapter);
}

std::vector<resident_view> adapter_loader::residents(request_queue const& queue,
                                                     time_point now) const
{
    std::vector<resident_view> list;
    for (auto const& [name, item] : slots_.all())
    {
        if (item.slot_free)
            continue;
        resident_view shown;
        shown.adapter = item.adapter;
        shown.state = shown_state(item.state);
        shown.in_flight = slots_.requests(name);
        shown.queued = queued_under(name, item, queue);
        shown.pinned_by_previous_owner = slots_.pinned(name, now);
        shown.last_used = item.last_used;
        list.push_back(std::move(shown));
    }
    return list;
}

std::size_t adapter_loader::unloads_in_progress() const
{
    auto const leaving = [](auto const& each)
    {
        return each.second.state == slot_state::recording ||
               each.second.state == slot_state::unloading;
    };
    return static_cast<std::size_t>(
        std::count_if(slots_.all().begin(), slots_.all().end(), leaving));
}

worker_view
adapter_loader::view_with_residents(load_context const& context) const
{
    worker_view view = context.worker;
    view.residents = residents(context.queue, context.now);
    return view;
}

void adapter_loader::plan(load_context const& context, action_list& actions)
{
    std::erase_if(load_not_before_,
                  [&](auto const& each) { return each.second <= context.now; });
    if (draining_adapter_ &&
        (!slots_.find(*draining_adapter_) ||
         slots_.find(*draining_adapter_)->state != slot_state::ready))
        draining_adapter_.reset();
    if (stopped_ || !slots_.contents_known())
        return;
    load_for_queue(context, actions);
    if (context.cluster && loads_wanted(context.queue) == 0)
        preload(context, actions);
}

void adapter_loader::load_for_queue(load_context const& context,
                                    action_list& actions)
{
    time_point const now = context.now;
    std::size_t pending_unloads = unloads_in_progress();
    std::vector<adapter_ref> considered;
    auto const wanted = [&](queued_request const& item)
    {
        adapter_ref const& adapter = item.request.adapter;
        return !contains(considered, adapter) && needs_load(adapter, now);
    };
    while (true)
    {
        std::vector<waiting_request> const eligible =
            context.queue.select(wanted);
        if (eligible.empty())
        {
            // The adapter that another one is drained for is no longer needed
            // or has found a slot, so draining ends. Otherwise the drained
            // adapter would stay loaded without being sent requests, which
            // would wait until their deadlines.
            draining_adapter_.reset();
            return;
        }
        auto const next =
            policy_->choose_next(view_with_residents(context), eligible, now);
        if (!next)
            return;
        adapter_ref const& adapter = eligible[*next].adapter;
        considered.push_back(adapter);
        if (slots_.free_slots() > 0)
        {
            if (!start_load(adapter, now, actions))
                return;
        }
        else if (pending_unloads > 0)
            --pending_unloads;
        else
        {
            make_room(adapter, context, actions);
            return;
        }
    }
}

void adapter_loader::preload(load_context const& context, action_list& actions)
{
    time_point const now = context.now;
    std::vector<adapter_ref> const ahead = policy_->adapters_to_preload(
        view_with_residents(context), *context.cluster, now);
    for (adapter_ref const& adapter : ahead)
    {
        if (!needs_load(adapter, now))
            continue;
        if (slots_.free_slots() > 0)
        {
            if (!start_load(adapter, now, actions))
                return;
            continue;
        }
        if (unloads_in_progress() > 0)
            return;
        std::vector<engine_name> names = evictable(context);
        std::erase_if(names, [&](engine_name const& name)
                      { return contains(ahead, slots_.find(name)->adapter); });
        auto const victim = choose_victim(adapter, context, names);
        if (victim && budget_->next_permit(now) <= now)
            evict(*victim, std::nullopt, now, actions);
        return;
    }
}

bool adapter_loader::start_load(adapter_ref const& adapter, time_point now,
                                action_list& actions)
{
    if (!budget_->try_start(now))
        return false;
    order_id const id = ids_->next_order();
    engine_name const name = slots_.begin_load(adapter, id, now);
    time_point const deadline = now + limits_.order_timeout;
    orders_.emplace(id, order{name, deadline, {}});
    ++meter_->totals.loads;
    actions.push_back(
        load_adapter{id, worker_, adapter, name, fence_, deadline});
    add_event(actions, "adapter-loading", name);
    return true;
}

std::vector<engine_name>
adapter_loader::evictable(load_context const& context) const
{
    std::vector<engine_name> names;
    if (!may_evict_)
        return names;
    for (auto const& [name, item] : slots_.all())
    {
        std::size_t const queued = queued_under(name, item, context.queue);
        if (slots_.may_evict(name, queued, context.now))
            names.push_back(name);
    }
    return names;
}

std::optional<engine_name>
adapter_loader::choose_victim(adapter_ref const& incoming,
                              load_context const& context,
                              std::vector<engine_name> const& names) const
{
    if (names.empty())
        return std::nullopt;
    std::vector<resident_view> candidates;
    for (engine_name const& name : names)
    {
        loaded_adapter const& item = *slots_.find(name);
        // An adapter that no request may be routed to is evicted first.
        if (item.state == slot_state::unusable)
            return name;
        candidates.push_back(
            {item.adapter, resident_state::ready, slots_.requests(name),
             queued_under(name, item, context.queue), false, item.last_used});
    }
    auto const victim = policy_->choose_victim(
        view_with_residents(context), incoming, candidates, context.now);
    if (!victim)
        return std::nullopt;
    for (std::size_t each = 0; each < names.size(); ++each)
        if (candidates[each].adapter == *victim)
            return names[each];
    return std::nullopt;
}

void adapter_loader::make_room(adapter_ref const& incoming,
                               load_context const& context,
                               action_list& actions)
{
    time_point const now = context.now;
    if (!may_evict_ || now < evict_not_before_ ||
        budget_->next_permit(now) > now)
        return;
    std::vector<engine_name> const names = evictable(context);
    if (names.empty())
    {
        choose_adapter_to_drain(incoming, context);
        return;
    }
    bool const drained =
        draining_adapter_ && std::find(names.begin(), names.end(),
                                       *draining_adapter_) != names.end();
    auto const victim =
        drained ? draining_adapter_ : choose_victim(incoming, context, names);
    if (!victim)
        return;
    auto const make_room_for = drained ? std::optional(incoming) : std::nullopt;
    evict(*victim, make_room_for, now, actions);
}

void adapter_loader::choose_adapter_to_drain(adapter_ref const& incoming,
                                             load_context const& context)
{
    // Without draining, adapters that always have requests could never be
    // evicted, and a request for another adapter would starve until its
    // deadline. One busy adapter at a time is sent no more requests until
    // those it has have ended.
    if (draining_adapter_ || context.queue.oldest_arrival(incoming) >
                                 context.now - limits_.starvation_timeout)
        return;
    std::vector<engine_name> names;
    for (auto const& [name, item] : slots_.all())
        if (item.state == slot_state::ready &&
            !slots_.pinned(name, context.now))
            names.push_back(name);
    draining_adapter_ = choose_victim(incoming, context, names);
}

void adapter_loader::evict(engine_name const& name,
                           std::optional<adapter_ref> make_room_for,
                           time_point now, action_list& actions)
{
    if (draining_adapter_ == name)
        draining_adapter_.reset();
    // An owner that pauses here and loses the worker may send the unload order
    // late, when the next owner serves requests under the same name. The order
    // is therefore sent only after the intent is recorded in the worker's row,
    // which the next owner reads before it routes requests, so that the order
    // can only unload a name that is not in use.
    order_id const id = ids_->next_order();
    slots_.set_state(name, slot_state::recording, id, now);
    orders_.emplace(id, order{name, now + limits_.intent_timeout,
                              std::move(make_room_for)});
    actions.push_back(record_intent{id, worker_, name});
    add_event(actions, "adapter-evicting", name);
}

void adapter_loader::on_intent(order_id order, bool recorded,
                               request_queue const& queue, time_point now,
                               action_list& actions)
{
    auto const found = orders_.find(order);
    if (found == orders_.end())
        return;
    auto const eviction = found->second;
    orders_.erase(found);
    if (!recorded)
    {
        evict_not_before_ = now + limits_.load_backoff;
        slots_.restore(eviction.name, now);
    }
    else if (stopped_ || should_cancel_eviction(eviction, queue))
        cancel_eviction(eviction.name, now, actions);
    else
        send_unload(eviction.name, now, actions);
}

bool adapter_loader::should_cancel_eviction(order const& eviction,
                                            request_queue const& queue) const
{
    loaded_adapter const& item = *slots_.find(eviction.name);
    if (!slots_.routable(eviction.name) || queue.waiting_for(item.adapter) == 0)
        return false;
    // A drained adapter always has requests waiting. Cancelling its eviction
    // for them would starve the adapter that waits for the slot.
    return !eviction.makes_room_for ||
           queue.waiting_for(*eviction.makes_room_for) == 0;
}

void adapter_loader::cancel_eviction(engine_name const& name, time_point now,
                                     action_list& actions)
{
    slots_.restore(name, now);
    actions.push_back(forget_intent{worker_, name});
}

void adapter_loader::expire_intents(time_point now, action_list& actions)
{
    // Failure: the table becomes unreachable while an intent is being written.
    // Symptom: for the whole outage the adapter stays loaded, but its requests
    // wait until their deadlines. The eviction is therefore cancelled and the
    // adapter used again. If the intent's write takes effect later after all,
    // the row keeps a successor from using the name until the write that
    // forgets the intent. No unload follows, since an order is sent only for
    // an intent that is still tracked here.
    std::vector<order_id> late;
    for (auto const& [id, each] : orders_)
        if (each.deadline <= now &&
            slots_.find(each.name)->state == slot_state::recording)
            late.push_back(id);
    for (order_id const id : late)
    {
        engine_name const name = orders_.extract(id).mapped().name;
        evict_not_before_ = now + limits_.load_backoff;
        cancel_eviction(name, now, actions);
        add_event(actions, "eviction-given-up", name);
    }
}

void adapter_loader::send_unload(engine_name const& name, time_point now,
                                 action_list& actions)
{
    order_id const id = ids_->next_order();
    time_point const deadline = now + limits_.order_timeout;
    slots_.set_state(name, slot_state::unloading, id, now);
    orders_.emplace(id, order{name, deadline, {}});
    actions.push_back(unload_adapter{id, worker_, name, fence_, deadline});
}

load_changes adapter_loader::on_order(order_result const& event, time_point now,
                                      action_list& actions)
{
    load_changes changes;
    auto const found = orders_.find(event.order);
    if (found == orders_.end())
        return changes;
    engine_name const name = found->second.name;
    orders_.erase(found);
    changes.old_fence = event.what == order_result::outcome::refused &&
                        event.status == status_old_fence;
    if (slots_.find(name)->state == slot_state::loading)
        on_load_result(name, event, now, changes, actions);
    else
        on_unload_result(name, event, now, changes, actions);
    return changes;
}

void adapter_loader::on_load_result(engine_name const& name,
                                    order_result const& event, time_point now,
                                    load_changes& changes, action_list& actions)
{
    budget_->finished(now);
    adapter_ref const adapter = slots_.find(name)->adapter;
    using outcome = order_result::outcome;
    bool const loaded =
        event.what == outcome::done ||
        (event.what == outcome::refused && event.code == code_already_loaded);
    if (loaded)
    {
        slots_.set_state(name, slot_state::ready, {}, now);
        add_event(actions, "adapter-ready", name);
        return;
    }
    if (event.what == outcome::unknown)
        slots_.set_state(name, slot_state::load_unknown, {}, now);
    else
        slots_.remove(name, now);
    if (event.code == code_no_free_slot)
        slots_.invalidate(now);
    ++meter_->totals.failed_loads;
    load_not_before_[adapter] = now + limits_.load_backoff;
    changes.failed.push_back(adapter);
    add_event(actions, "adapter-load-failed", name);
}

void adapter_loader::on_unload_result(engine_name const& name,
                                      order_result const& event, time_point now,
                                      load_changes& changes,
                                      action_list& actions)
{
    using outcome = order_result::outcome;
    bool const gone =
        event.what == outcome::done ||
        (event.what == outcome::refused && event.status == status_not_found);
    if (gone)
    {
        ++meter_->totals.evictions;
        slots_.remove(name, now);
        actions.push_back(forget_intent{worker_, name});
        add_event(actions, "adapter-evicted", name);
        return;
    }
    if (event.what == outcome::refused)
    {
        // Refused for another reason: the order had no effect and will have
        // none later.
        evict_not_before_ = now + limits_.load_backoff;
        slots_.restore(name, now);
        actions.push_back(forget_intent{worker_, name});
        return;
    }
    slots_.set_state(name, slot_state::unload_unknown, {}, now);
    // Queued requests for this adapter can be served sooner by other workers.
    changes.failed.push_back(slots_.find(name)->adapter);
    add_event(actions, "adapter-unload-unknown", name);
}

void adapter_loader::on_report(engine_report const& report, time_point now,
                               action_list& actions)
{
    slot_changes const changes = slots_.on_report(report, now);
    for (engine_name const& name : changes.closed_intents)
        actions.push_back(forget_intent{worker_, name});
    // After this VM gave up the worker, a later owner has inherited these
    // intents and may unload the names.
    if (stopped_)
        return;
    for (engine_name const& name : changes.usable_again)
        actions.push_back(forget_intent{worker_, name});
    for (engine_name const& name : changes.still_loaded)
        send_unload(name, now, actions);
}

load_changes adapter_loader::tick(time_point now, action_list& actions)
{
    expire_intents(now, actions);
    load_changes all;
    std::vector<order_id> unanswered;
    for (auto const& [id, each] : orders_)
        if (slots_.find(each.name)->state != slot_state::recording &&
            each.deadline + limits_.settle_time < now)
            unanswered.push_back(id);
    for (order_id const id : unanswered)
    {
        load_changes const changes =
            on_order(order_result{id, order_result::outcome::unknown, 0, {}},
                     now, actions);
        all.failed.insert(all.failed.end(), changes.failed.begin(),
                          changes.failed.end());
    }
    return all;
}

void adapter_loader::add_event(action_list& actions, char const* kind,
                               engine_name const& name) const
{
    actions.push_back(
        publish_event{"dispatch", kind, worker_.str() + " " + name.str()});
}

} // namespace mulberry
