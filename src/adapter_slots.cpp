#include "adapter_slots.hpp"

#include <algorithm>

namespace mulberry
{

adapter_slots::adapter_slots(std::size_t slots, ownership_grant const& grant,
                             dispatcher_limits const& limits,
                             safeguards const& checks, time_point now)
    : slots_(slots), fence_(grant.fence), limits_(limits), checks_(&checks),
      had_suspects_(grant.has_suspects),
      suspects_stopped_(grant.has_suspects ? std::nullopt : std::optional(now)),
      open_intents_(grant.open_intents.begin(), grant.open_intents.end())
{
}

void adapter_slots::invalidate(time_point now)
{
    contents_known_ = false;
    invalidated_at_ = now;
}

std::size_t adapter_slots::free_slots() const
{
    auto const taken = static_cast<std::size_t>(
        std::count_if(adapters_.begin(), adapters_.end(),
                      [](auto const& each) { return !each.second.slot_free; }));
    return slots_ > taken ? slots_ - taken : 0;
}

loaded_adapter const* adapter_slots::find(engine_name const& name) const
{
    auto const found = adapters_.find(name);
    return found == adapters_.end() ? nullptr : &found->second;
}

engine_name const* adapter_slots::ready_name(adapter_ref const& adapter) const
{
    auto const found = ready_names_.find(adapter);
    return found == ready_names_.end() ? nullptr : &found->second;
}

engine_name adapter_slots::own_name(adapter_ref const& adapter) const
{
    return engine_name_for(adapter, fence_);
}

slot_state const* adapter_slots::own_state(adapter_ref const& adapter) const
{
    loaded_adapter const* item = find(own_name(adapter));
    return item ? &item->state : nullptr;
}

engine_name adapter_slots::begin_load(adapter_ref const& adapter,
                                      order_id order, time_point now)
{
    engine_name name = own_name(adapter);
    loaded_adapter& item = adapters_[name];
    item.adapter = adapter;
    item.fence = fence_;
    item.state = slot_state::loading;
    item.order = order;
    item.since = now;
    item.last_used = now;
    return name;
}

void adapter_slots::set_state(engine_name const& name, slot_state state,
                              order_id order, time_point now)
{
    loaded_adapter& item = adapters_.at(name);
    item.state = state;
    item.order = order;
    item.since = now;
    update_ready_name(item.adapter);
}

void adapter_slots::restore(engine_name const& name, time_point now)
{
    slot_state const state =
        routable(name) ? slot_state::ready : slot_state::unusable;
    set_state(name, state, {}, now);
    // An intent that is still in the row is confirmed as recorded at once. If
    // the reasons to evict and to keep the adapter both persisted, a single
    // call would record and cancel the same intent forever.
    adapters_.at(name).evictable_from = now + limits_.load_backoff;
}

bool adapter_slots::routable(engine_name const& name) const
{
    return find(name)->fence <= fence_ && !open_intents_.contains(name);
}

bool adapter_slots::pinned(engine_name const& name, time_point now) const
{
    auto const pin = pins_.find(name);
    if (pin == pins_.end())
        return false;
    if (pin->second == never)
        return true;
    return now <= pin->second + limits_.max_deadline + limits_.settle_time;
}

bool adapter_slots::has_abandoned_requests(time_point now) const
{
    return std::any_of(pins_.begin(), pins_.end(),
                       [&](auto const& pin) {
                           return pin.second != never && pinned(pin.first, now);
                       });
}

void adapter_slots::remove(engine_name const& name, time_point now)
{
    auto const found = adapters_.find(name);
    adapter_ref const adapter = found->second.adapter;
    adapters_.erase(found);
    removed_[name] = now;
    update_ready_name(adapter);
}

void adapter_slots::add_request(engine_name const& name, time_point now)
{
    ++requests_[name];
    auto const found = adapters_.find(name);
    if (found != adapters_.end())
        found->second.last_used = now;
}

void adapter_slots::end_request(engine_name const& name, bool end_confirmed,
                                time_point now)
{
    auto const count = requests_.find(name);
    if (count != requests_.end() && --count->second == 0)
        requests_.erase(count);
    auto const found = adapters_.find(name);
    if (found != adapters_.end())
        found->second.last_used = now;
    // The engine may continue a request whose connection was given up, and the
    // cancel message may be lost. Evicting the adapter meanwhile would unload
    // it under a running request. A pin until a later report shows nothing
    // running is sufficient, since no byte of the request arrives after the
    // settle time.
    if (!end_confirmed)
        pin(name, now);
}

void adapter_slots::pin(engine_name const& name, time_point since)
{
    time_point& pinned_since = pins_.try_emplace(name, since).first->second;
    pinned_since = std::max(pinned_since, since);
}

std::size_t adapter_slots::requests(engine_name const& name) const
{
    auto const count = requests_.find(name);
    return count == requests_.end() ? 0 : count->second;
}

bool adapter_slots::may_evict(engine_name const& name, std::size_t queued,
                              time_point now) const
{
    loaded_adapter const* item = find(name);
    if (!item)
        return false;
    bool const evictable =
        item->state == slot_state::ready ||
        (item->state == slot_state::unusable && open_intents_.contains(name));
    if (!evictable || now < item->evictable_from)
        return false;
    return checks_->may_evict({requests(name), queued, pinned(name, now)});
}

slot_changes adapter_slots::on_report(engine_report const& report,
                                      time_point now)
{
    slot_changes changes;
    if (report.as_of < last_report_ || report.as_of <= invalidated_at_)
        return changes;
    last_report_ = report.as_of;
    contents_known_ = true;
    std::map<engine_name, std::size_t> reported;
    for (engine_report::adapter_load const& load : report.adapters)
        reported[load.name] = load.running;
    clear_pins(report, reported);
    for (auto item = adapters_.begin(); item != adapters_.end();)
    {
        auto const next = std::next(item);
        auto const found = reported.find(item->first);
        reconcile(item->first, item->second,
                  found == reported.end() ? nullptr : &found->second, report,
                  now, changes);
        item = next;
    }
    for (auto const& [name, running] : reported)
        if (!adapters_.contains(name))
            adopt(name, report, now);
    std::erase_if(removed_,
                  [&](auto const& each) { return each.second < report.as_of; });
    close_earlier_intents(report, reported, now, changes);
    return changes;
}

void adapter_slots::clear_pins(
    engine_report const& report,
    std::map<engine_name, std::size_t> const& reported)
{
    // An untracked request no longer runs under a name if a report from after
    // the last moment at which such a request could arrive shows no request
    // running under the name and none waiting inside the engine.
    std::erase_if(pins_,
                  [&](auto const& pin)
                  {
                      if (pin.second == never)
                          return false;
                      time_point const settled =
                          pin.second + limits_.settle_time;
                      if (report.as_of <= settled)
                          return false;
                      if (report.as_of > settled + limits_.max_deadline)
                          return true;
                      auto const found = reported.find(pin.first);
                      bool const idle =
                          found == reported.end() || found->second == 0;
                      return idle && report.waiting == 0;
                  });
}

void adapter_slots::reconcile(engine_name const& name, loaded_adapter& item,
                              std::size_t const* running,
                              engine_report const& report, time_point now,
                              slot_changes& changes)
{
    if (report.as_of <= item.since)
        return;
    bool const settled = report.as_of > item.since + limits_.settle_time;
    switch (item.state)
    {
    case slot_state::ready:
    case slot_state::unusable:
        if (running)
            return;
        remove(name, now);
        return;
    case slot_state::load_unknown:
        if (running)
            set_state(name, slot_state::ready, {}, now);
        else if (settled)
            remove(name, now);
        return;
    case slot_state::unload_unknown:
        item.slot_free = !running;
        if (!settled)
            return;
        if (running)
        {
            changes.still_loaded.push_back(name);
            return;
        }
        // No order sent earlier can still arrive, so the name may be loaded
        // again.
        changes.closed_intents.push_back(name);
        remove(name, now);
        return;
    case slot_state::loading:
    case slot_state::recording:
    case slot_state::unloading:
        return;
    }
}

void adapter_slots::adopt(engine_name const& name, engine_report const& report,
                          time_point now)
{
    auto const removed = removed_.find(name);
    if (removed != removed_.end() && report.as_of <= removed->second)
        return;
    loaded_adapter item;
    item.since = report.as_of;
    item.last_used = now;
    auto const parts = parse_engine_name(name.str());
    if (parts)
    {
        item.adapter = parts->adapter;
        item.fence = parts->fence;
    }
    if (parts && parts->fence < fence_ &&
        open_intents_.contains(engine_name(lost_intents)))
        open_intents_.insert(name);
    // An earlier owner that was paused may still send an unload order whose
    // intent it recorded, and a request routed to that name would lose its
    // adapter while it runs. All such names are in the row that this owner
    // read, since an earlier owner can no longer record an intent. Therefore
    // excluding these names is sufficient.
    bool const barred =
        !parts || parts->fence > fence_ || open_intents_.contains(name);
    item.state = barred ? slot_state::unusable : slot_state::ready;
    if (had_suspects_ && (!parts || parts->fence < fence_))
        pin(name, suspects_stopped_.value_or(never));
    adapters_.emplace(name, item);
    update_ready_name(item.adapter);
}

// Failure: an earlier owner confirms that it stopped, or ends, just after it
// sent an unload order, which the engine executes later. Symptom: the name is
// used again and unloaded under a request. The connection of an order is closed
// after the order timeout, and the order takes effect within the settle time
// after that. A report from after both times, counted from the last moment at
// which an order could be sent, shows the effects of all orders.
bool adapter_slots::earlier_orders_settled(engine_report const& report) const
{
    return suspects_stopped_ && report.as_of > *suspects_stopped_ +
                                                   limits_.order_timeout +
                                                   limits_.settle_time;
}

// Failure: an earlier owner ended after it recorded an intent and before it
// sent the unload order. Symptom: the adapter stays loaded without serving
// requests until another adapter needs its slot, and the intent stays in the
// row as long. If a report from after the last order can have arrived still
// shows the name, it was not unloaded and only this owner can order that now,
// so the name is used again, unless this owner has begun to evict it.
void adapter_slots::close_earlier_intents(
    engine_report const& report,
    std::map<engine_name, std::size_t> const& reported, time_point now,
    slot_changes& changes)
{
    if (!earlier_orders_settled(report))
        return;
    std::set<engine_name> const open = open_intents_;
    for (engine_name const& name : open)
    {
        loaded_adapter const* const item = find(name);
        if (item == nullptr)
        {
            changes.closed_intents.push_back(name);
            open_intents_.erase(name);
            continue;
        }
        bool const ours =
            parse_engine_name(name.str()) && item->fence <= fence_;
        if (item->state != slot_state::unusable || !ours ||
            !reported.contains(name))
            continue;
        changes.usable_again.push_back(name);
        open_intents_.erase(name);
        set_state(name, slot_state::ready, {}, now);
    }
}

void adapter_slots::suspects_stopped(time_point stopped_at)
{
    suspects_stopped_ = stopped_at;
    for (auto& [name, since] : pins_)
        if (since == never)
            since = stopped_at;
}

void adapter_slots::update_ready_name(adapter_ref const& adapter)
{
    ready_names_.erase(adapter);
    for (auto const& [name, item] : adapters_)
        if (item.adapter == adapter && item.state == slot_state::ready)
            ready_names_.insert_or_assign(adapter, name);
}

} // namespace mulberry
