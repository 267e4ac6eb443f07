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
    // Nobody can be given the place that it was to make.
    if (!may)
        yielding_.reset();
}

engine_name const* adapter_loader::sendable(adapter_ref const& adapter) const
{
    engine_name const* name = slots_.usable(adapter);
    return name && yielding_ == *name ? nullptr : name;
}

std::optional<duration> adapter_loader::refused_for(adapter_ref const& adapter,
                                                    time_point now) const
{
    if (slots_.usable(adapter))
        return std::nullopt;
    auto const failed = not_before_.find(adapter);
    if (failed != not_before_.end() && failed->second > now)
        return failed->second - now;
    slot_state const* state = slots_.own_state(adapter);
    if (state && (*state == slot_state::load_unknown ||
                  *state == slot_state::unload_unknown))
        return limits_.settle_time;
    if (!state && shut())
        return limits_.load_backoff;
    return std::nullopt;
}

bool adapter_loader::shut() const
{
    return !may_evict_ && slots_.known() && slots_.free_slots() == 0 &&
           unloads_in_progress() == 0;
}

bool adapter_loader::needs_load(adapter_ref const& adapter,
                                time_point now) const
{
    return !slots_.usable(adapter) && !slots_.own_state(adapter) &&
           !refused_for(adapter, now);
}

std::size_t adapter_loader::loads_wanted(request_queue const& queue) const
{
    auto const wanted = [this](auto const& each)
    { return !slots_.usable(each.first) && !slots_.own_state(each.first); };
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
        shown.suspected = slots_.pinned(name, now);
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
adapter_loader::with_residents(load_situation const& situation) const
{
    worker_view view = situation.worker;
    view.residents = residents(situation.queue, situation.now);
    return view;
}

void adapter_loader::plan(load_situation const& situation, action_list& actions)
{
    std::erase_if(not_before_, [&](auto const& each)
                  { return each.second <= situation.now; });
    if (yielding_ && (!slots_.find(*yielding_) ||
                      slots_.find(*yielding_)->state != slot_state::ready))
        yielding_.reset();
    if (stopped_ || !slots_.known())
        return;
    load_for_queue(situation, actions);
    if (situation.cluster && loads_wanted(situation.queue) == 0)
        load_ahead(situation, actions);
}

void adapter_loader::load_for_queue(load_situation const& situation,
                                    action_list& actions)
{
    time_point const now = situation.now;
    std::size_t coming = unloads_in_progress();
    std::vector<adapter_ref> seen_to;
    auto const wanted = [&](queued_request const& item)
    {
        adapter_ref const& adapter = item.request.adapter;
        return !contains(seen_to, adapter) && needs_load(adapter, now);
    };
    while (true)
    {
        std::vector<waiting_request> const eligible =
            situation.queue.select(wanted);
        if (eligible.empty())
        {
            // Whoever an adapter was to make room for has gone or found room
            // elsewhere. Left yielding, the adapter would stay loaded and be
            // sent nothing, and requests for it would wait out their deadlines.
            yielding_.reset();
            return;
        }
        auto const next =
            policy_->next(with_residents(situation), eligible, now);
        if (!next)
            return;
        adapter_ref const& adapter = eligible[*next].adapter;
        seen_to.push_back(adapter);
        if (slots_.free_slots() > 0)
        {
            if (!start_load(adapter, now, actions))
                return;
        }
        else if (coming > 0)
            --coming;
        else
        {
            make_room(adapter, situation, actions);
            return;
        }
    }
}

void adapter_loader::load_ahead(load_situation const& situation,
                                action_list& actions)
{
    time_point const now = situation.now;
    std::vector<adapter_ref> const ahead =
        policy_->ahead(with_residents(situation), *situation.cluster, now);
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
        std::vector<engine_name> names = evictable(situation);
        std::erase_if(names, [&](engine_name const& name)
                      { return contains(ahead, slots_.find(name)->adapter); });
        auto const victim = choose_victim(adapter, situation, names);
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
    note(actions, "adapter-loading", name);
    return true;
}

std::vector<engine_name>
adapter_loader::evictable(load_situation const& situation) const
{
    std::vector<engine_name> names;
    if (!may_evict_)
        return names;
    for (auto const& [name, item] : slots_.all())
    {
        std::size_t const queued = queued_under(name, item, situation.queue);
        if (slots_.may_evict(name, queued, situation.now))
            names.push_back(name);
    }
    return names;
}

std::optional<engine_name>
adapter_loader::choose_victim(adapter_ref const& incoming,
                              load_situation const& situation,
                              std::vector<engine_name> const& names) const
{
    if (names.empty())
        return std::nullopt;
    std::vector<resident_view> candidates;
    for (engine_name const& name : names)
    {
        loaded_adapter const& item = *slots_.find(name);
        // What nothing may be routed to goes first: no decision is needed.
        if (item.state == slot_state::unusable)
            return name;
        candidates.push_back(
            {item.adapter, resident_state::ready, slots_.requests(name),
             queued_under(name, item, situation.queue), false, item.last_used});
    }
    auto const victim = policy_->victim(with_residents(situation), incoming,
                                        candidates, situation.now);
    if (!victim)
        return std::nullopt;
    for (std::size_t each = 0; each < names.size(); ++each)
        if (candidates[each].adapter == *victim)
            return names[each];
    return std::nullopt;
}

void adapter_loader::make_room(adapter_ref const& incoming,
                               load_situation const& situation,
                               action_list& actions)
{
    time_point const now = situation.now;
    if (!may_evict_ || now < evict_not_before_ ||
        budget_->next_permit(now) > now)
        return;
    std::vector<engine_name> const names = evictable(situation);
    if (names.empty())
    {
        choose_yielding(incoming, situation);
        return;
    }
    bool const yielded = yielding_ && std::find(names.begin(), names.end(),
                                                *yielding_) != names.end();
    auto const victim =
        yielded ? yielding_ : choose_victim(incoming, situation, names);
    if (!victim)
        return;
    auto const busy_for = yielded ? std::optional(incoming) : std::nullopt;
    evict(*victim, busy_for, now, actions);
}

void adapter_loader::choose_yielding(adapter_ref const& incoming,
                                     load_situation const& situation)
{
    // While every slot's adapter always has a request, none could ever be
    // evicted, and a request for another adapter would wait until its deadline
    // however few they are. One busy adapter at a time is sent no more until
    // its requests have ended.
    if (yielding_ || situation.queue.oldest_for(incoming) >
                         situation.now - limits_.fair_wait)
        return;
    std::vector<engine_name> names;
    for (auto const& [name, item] : slots_.all())
        if (item.state == slot_state::ready &&
            !slots_.pinned(name, situation.now))
            names.push_back(name);
    yielding_ = choose_victim(incoming, situation, names);
}

void adapter_loader::evict(engine_name const& name,
                           std::optional<adapter_ref> busy_for, time_point now,
                           action_list& actions)
{
    if (yielding_ == name)
        yielding_.reset();
    // An owner that pauses here and loses the worker may send the order when
    // the next owner serves requests under the same name. Sent only after the
    // intent stands in the row, which the next owner reads before it routes,
    // the order can only meet a name that nobody uses.
    order_id const id = ids_->next_order();
    slots_.enter(name, slot_state::recording, id, now);
    orders_.emplace(
        id, order{name, now + limits_.intent_timeout, std::move(busy_for)});
    actions.push_back(record_intent{id, worker_, name});
    note(actions, "adapter-evicting", name);
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
    else if (stopped_ || wanted_again(eviction, queue))
        keep(eviction.name, now, actions);
    else
        send_unload(eviction.name, now, actions);
}

bool adapter_loader::wanted_again(order const& eviction,
                                  request_queue const& queue) const
{
    loaded_adapter const& item = *slots_.find(eviction.name);
    if (!slots_.routable(eviction.name) || queue.waiting_for(item.adapter) == 0)
        return false;
    // A busy adapter is always wanted again. Kept for that, it would never make
    // room for the one that has waited for its slot.
    return !eviction.makes_room_for ||
           queue.waiting_for(*eviction.makes_room_for) == 0;
}

void adapter_loader::keep(engine_name const& name, time_point now,
                          action_list& actions)
{
    slots_.restore(name, now);
    actions.push_back(forget_intent{worker_, name});
}

void adapter_loader::give_up_late_intents(time_point now, action_list& actions)
{
    // Failure: the table is lost with an intent on its way. Symptom: for the
    // whole outage the adapter is loaded and its requests wait out their
    // deadlines. The intent is given up and the adapter used again. Its write
    // may land later all the same: then the row keeps a successor from the
    // name until the write that forgets it, and no unload follows, since an
    // order is sent only for an intent that is still known here.
    std::vector<order_id> late;
    for (auto const& [id, each] : orders_)
        if (each.deadline <= now &&
            slots_.find(each.name)->state == slot_state::recording)
            late.push_back(id);
    for (order_id const id : late)
    {
        engine_name const name = orders_.extract(id).mapped().name;
        evict_not_before_ = now + limits_.load_backoff;
        keep(name, now, actions);
        note(actions, "eviction-given-up", name);
    }
}

void adapter_loader::send_unload(engine_name const& name, time_point now,
                                 action_list& actions)
{
    order_id const id = ids_->next_order();
    time_point const deadline = now + limits_.order_timeout;
    slots_.enter(name, slot_state::unloading, id, now);
    orders_.emplace(id, order{name, deadline, {}});
    actions.push_back(unload_adapter{id, worker_, name, fence_, deadline});
}

loader_news adapter_loader::on_order(order_result const& event, time_point now,
                                     action_list& actions)
{
    loader_news news;
    auto const found = orders_.find(event.order);
    if (found == orders_.end())
        return news;
    engine_name const name = found->second.name;
    orders_.erase(found);
    news.old_fence = event.what == order_result::outcome::refused &&
                     event.status == status_old_fence;
    if (slots_.find(name)->state == slot_state::loading)
        load_over(name, event, now, news, actions);
    else
        unload_over(name, event, now, news, actions);
    return news;
}

void adapter_loader::load_over(engine_name const& name,
                               order_result const& event, time_point now,
                               loader_news& news, action_list& actions)
{
    budget_->finished(now);
    adapter_ref const adapter = slots_.find(name)->adapter;
    using outcome = order_result::outcome;
    bool const loaded =
        event.what == outcome::done ||
        (event.what == outcome::refused && event.code == code_already_loaded);
    if (loaded)
    {
        slots_.enter(name, slot_state::ready, {}, now);
        note(actions, "adapter-ready", name);
        return;
    }
    if (event.what == outcome::unknown)
        slots_.enter(name, slot_state::load_unknown, {}, now);
    else
        slots_.remove(name, now);
    if (event.code == code_no_free_slot)
        slots_.doubt(now);
    ++meter_->totals.failed_loads;
    not_before_[adapter] = now + limits_.load_backoff;
    news.failed.push_back(adapter);
    note(actions, "adapter-load-failed", name);
}

void adapter_loader::unload_over(engine_name const& name,
                                 order_result const& event, time_point now,
                                 loader_news& news, action_list& actions)
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
        note(actions, "adapter-evicted", name);
        return;
    }
    if (event.what == outcome::refused)
    {
        // Refused otherwise: it did nothing and cannot do anything later.
        evict_not_before_ = now + limits_.load_backoff;
        slots_.restore(name, now);
        actions.push_back(forget_intent{worker_, name});
        return;
    }
    slots_.enter(name, slot_state::unload_unknown, {}, now);
    // Those waiting for the same adapter are better served elsewhere.
    news.failed.push_back(slots_.find(name)->adapter);
    note(actions, "adapter-unload-unknown", name);
}

void adapter_loader::on_report(engine_report const& report, time_point now,
                               action_list& actions)
{
    slot_changes const changes = slots_.on_report(report, now);
    for (engine_name const& name : changes.closed_intents)
        actions.push_back(forget_intent{worker_, name});
    // Given up, the worker has an owner after this one, who may unload those
    // names: it has inherited their intents.
    if (stopped_)
        return;
    for (engine_name const& name : changes.usable_again)
        actions.push_back(forget_intent{worker_, name});
    for (engine_name const& name : changes.still_loaded)
        send_unload(name, now, actions);
}

loader_news adapter_loader::tick(time_point now, action_list& actions)
{
    give_up_late_intents(now, actions);
    loader_news all;
    std::vector<order_id> unanswered;
    for (auto const& [id, each] : orders_)
        if (slots_.find(each.name)->state != slot_state::recording &&
            each.deadline + limits_.settle_time < now)
            unanswered.push_back(id);
    for (order_id const id : unanswered)
    {
        loader_news const news =
            on_order(order_result{id, order_result::outcome::unknown, 0, {}},
                     now, actions);
        all.failed.insert(all.failed.end(), news.failed.begin(),
                          news.failed.end());
    }
    return all;
}

void adapter_loader::note(action_list& actions, char const* kind,
                          engine_name const& name) const
{
    actions.push_back(
        publish_event{"dispatch", kind, worker_.str() + " " + name.str()});
}

} // namespace mulberry
