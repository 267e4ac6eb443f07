#include "scheduler_world.hpp"

#include <algorithm>
#include <memory>

namespace mulberry::test
{
namespace
{

using std::chrono::milliseconds;

constexpr milliseconds load_time{250};
constexpr milliseconds run_time{120};
constexpr milliseconds step{5};
constexpr std::size_t max_loading = 4;
/// An order without an answer counts as unknown after this time.
constexpr milliseconds unanswered_after{80};
char const* const model = "base";

service_config engine_config(std::size_t adapter_slots, std::size_t batch_slots)
{
    service_config config;
    config.name = service_id("llm");
    engine_limits engine;
    engine.batch_slots = batch_slots;
    engine.adapter_slots = adapter_slots;
    engine.weight_loads_per_second = 9;
    engine.models.push_back({base_model_id(model), 3000, load_time, 0, 0});
    config.engine = engine;
    return config;
}

scheduler_settings settings_of()
{
    scheduler_settings settings;
    settings.vm = vm_id("vm-1");
    settings.domain = domain_id("a");
    return settings;
}

} // namespace

order_outcome scripted_worker::handle_order(worker_order const& order,
                                            time_point now)
{
    carry_out_late(now);
    if (delay_rule_)
        if (auto const delay = delay_rule_(order))
        {
            delayed_.emplace_back(now + *delay, order);
            return order_outcome::unknown;
        }
    order_outcome const outcome = carry_out(order, now);
    return loses_answers_ ? order_outcome::unknown : outcome;
}

void scripted_worker::carry_out_late(time_point now)
{
    std::vector<worker_order> due;
    std::erase_if(delayed_,
                  [&](auto const& each)
                  {
                      if (each.first > now)
                          return false;
                      due.push_back(each.second);
                      return true;
                  });
    for (worker_order const& order : due)
        carry_out(order, now);
}

void scripted_worker::restart()
{
    sequence_ = 0;
    resident_.clear();
    loading_.clear();
    used_.clear();
    unloading_.clear();
    model_from_.reset();
    model_load_started_.reset();
}

order_outcome scripted_worker::load_model(time_point now)
{
    if (!std::exchange(model_from_, model_from_.value_or(now + load_time)))
    {
        model_load_started_ = now;
        ++sequence_;
        return order_outcome::accepted;
    }
    return now < *model_from_ ? order_outcome::accepted
                              : order_outcome::already_applied;
}

order_outcome scripted_worker::carry_out(worker_order const& order,
                                         time_point now)
{
    std::string const adapter = order.adapter.str();
    if (order.kind == order_kind::load)
        ordered_[adapter] = order.version;
    for (auto coming = loading_.begin(); coming != loading_.end();)
        if (coming->second <= now)
        {
            resident_.insert(coming->first);
            coming = loading_.erase(coming);
        }
        else
            ++coming;
    std::erase_if(unloading_,
                  [&](auto const& each)
                  {
                      if (each.second > now)
                          return false;
                      resident_.erase(each.first);
                      return true;
                  });
    // As engines do: a load in progress is confirmed whatever the sequence
    // number.
    if (order.kind == order_kind::load && loading_.count(adapter) > 0)
        return order_outcome::accepted;
    bool const model_loads = model_from_ && now < *model_from_;
    if (adapter.empty() && model_loads)
        return order_outcome::accepted;
    if (order.expected_sequence != sequence_)
        return order_outcome::conflict;
    if (adapter.empty())
        return load_model(now);
    if (!model_from_ || model_loads)
        return order_outcome::refused;
    if (order.kind == order_kind::load)
    {
        if (resident_.count(adapter) > 0)
            return order_outcome::already_applied;
        if (loading_.size() >= max_loading)
            return order_outcome::conflict;
        ++sequence_;
        ++loads_[adapter];
        loading_.emplace(adapter, now + load_time);
        max_held_ = std::max(max_held_, held());
        return order_outcome::accepted;
    }
    if (used_.erase(adapter) > 0)
    {
        ++sequence_;
        unloading_[adapter] = now + run_time;
        return order_outcome::accepted;
    }
    if (unloading_.count(adapter) > 0)
        return order_outcome::accepted;
    if (resident_.erase(adapter) > 0)
        ++sequence_;
    return order_outcome::already_applied;
}

worker_report scripted_worker::report() const
{
    worker_report report;
    report.sequence = sequence_;
    if (!model_from_)
        return report;
    auto& held = report.models[base_model_id(model)];
    for (std::string const& adapter : resident_)
        held.emplace(adapter_id(adapter), adapter_version(1));
    for (auto const& [adapter, done] : loading_)
        report.loading_adapters.push_back(
            {base_model_id(model), adapter_id(adapter)});
    return report;
}

scheduler_world::scheduler_world(std::size_t count, std::size_t adapter_slots,
                                 std::size_t batch_slots)
    : config(engine_config(adapter_slots, batch_slots)),
      scheduler(settings_of(), config), batch_slots_(batch_slots)
{
    for (std::size_t number = 0; number < count; ++number)
        workers[name(number)];
    list_all();
    own_all();
    run(milliseconds(20));
}

worker_id scheduler_world::name(std::size_t number)
{
    return worker_id("w" + std::to_string(number));
}

backend_entry scheduler_world::entry(std::size_t number) const
{
    backend_entry made;
    made.id = name(number);
    made.service = config.name;
    made.address = "10.0.0.1";
    made.port = static_cast<std::uint16_t>(1000 + (same_address ? 0 : number));
    made.domain = domain_id("a");
    made.slots = batch_slots_;
    made.draining = draining.count(made.id) > 0;
    if (auto const start_time = start_times.find(made.id);
        start_time != start_times.end())
        made.started = start_time->second;
    if (auto const version = software.find(made.id); version != software.end())
        made.software = version->second;
    auto const held = weights.find(made.id);
    auto const listed = listed_adapters.find(made.id);
    made.models.push_back(
        {base_model_id(model),
         listed == listed_adapters.end()
             ? std::map<adapter_id, adapter_version>()
             : listed->second,
         held == weights.end() ? weights_version(1) : held->second});
    return made;
}

void scheduler_world::list_all()
{
    std::vector<backend_entry> entries;
    for (std::size_t number = 0; number < workers.size(); ++number)
        entries.push_back(entry(number));
    scheduler.set_backends(entries);
}

void scheduler_world::own_all()
{
    for (auto const& [id, worker] : workers)
        owned_workers[id] = {fencing_number(1), now, {}};
    scheduler.set_owned_workers(owned_workers);
}

void scheduler_world::replace_owner(worker_start first_incarnation)
{
    std::destroy_at(&scheduler);
    scheduler_settings settings = settings_of();
    settings.started_at = now;
    std::construct_at(&scheduler, settings, config);
    unanswered_.clear();
    list_all();
    ++owners_;
    for (auto& [id, grant] : owned_workers)
        grant = {fencing_number(owners_), now, first_incarnation};
    scheduler.set_owned_workers(owned_workers);
}

ticket_id scheduler_world::submit_request(std::string const& adapter,
                                          int priority, duration time_left,
                                          std::uint32_t prompt_tokens)
{
    work_item item;
    item.prompt_tokens = prompt_tokens;
    item.priority = priority;
    return submit(std::move(item), adapter, time_left);
}

ticket_id scheduler_world::submit_peer_request(std::string const& adapter,
                                               std::size_t worker,
                                               std::set<worker_id> excluded)
{
    work_item item;
    item.requested_worker = name(worker);
    item.excluded = std::move(excluded);
    return submit(std::move(item), adapter, std::chrono::seconds(5));
}

ticket_id scheduler_world::submit(work_item item, std::string const& adapter,
                                  duration time_left)
{
    ticket_id const ticket(++last_ticket_);
    item.ticket = ticket;
    item.target = model_target{base_model_id(model), adapter_id(adapter)};
    item.arrived_at = now;
    item.give_up_at = now + time_left;
    scheduler.submit(std::move(item), now);
    return ticket;
}

void scheduler_world::end(ticket_id ticket, send_outcome outcome)
{
    scheduler.ended(ticket, outcome, now);
}

void scheduler_world::run(duration span)
{
    time_point const until = now + span;
    for (;;)
    {
        std::vector<std::pair<time_point, worker_order>> due;
        std::erase_if(unanswered_,
                      [&](auto const& each)
                      {
                          if (each.first > now)
                              return false;
                          due.push_back(each);
                          return true;
                      });
        for (auto const& [at, order] : due)
            scheduler.on_order(order, order_outcome::unknown, now);
        for (auto& [id, worker] : workers)
            worker.carry_out_late(now);
        scheduler.set_registry_timestamps(
            {now - declarations_age, now - workers_age});
        // A worker's answer may allow the next order at once.
        for (int again = 0; again < 4; ++again)
            for (placement_action const& action : scheduler.run(now))
                carry_out(action);
        if (now >= until)
            return;
        now = std::min<time_point>(now + step, until);
    }
}

void scheduler_world::carry_out(placement_action const& action)
{
    if (auto const* placed = std::get_if<place_request>(&action))
    {
        placed_.emplace(placed->ticket, placed->worker);
        times_.emplace(placed->ticket, now);
        versions_.emplace(placed->ticket, placed->version);
        order_.push_back(placed->ticket);
        sources_.emplace(placed->ticket, placed->prefix_source);
        if (begins_at_once)
            scheduler.first_byte(placed->ticket, now);
    }
    else if (auto const* granted = std::get_if<grant_peer_request>(&action))
        granted_.emplace(granted->ticket, granted->copy);
    else if (auto const* refused = std::get_if<reject_request>(&action))
        refused_.emplace(refused->ticket, *refused);
    else if (auto const* late = std::get_if<withdraw_request>(&action))
        withdrawn_.insert(late->ticket);
    else if (auto const* grant_request =
                 std::get_if<request_owner_grant>(&action))
        grant_requests_.push_back(*grant_request);
    else if (auto const* report = std::get_if<request_report>(&action))
        scheduler.on_report(
            report->worker,
            reports ? std::optional(workers.at(report->worker).report())
                    : std::nullopt,
            now);
    else if (auto const* order = std::get_if<issue_order>(&action))
    {
        order_outcome const outcome =
            workers.at(order->order.worker).handle_order(order->order, now);
        if (outcome == order_outcome::unknown)
            unanswered_.emplace_back(now + unanswered_after, order->order);
        else
            scheduler.on_order(order->order, outcome, now);
    }
}

} // namespace mulberry::test
