#include "relay.hpp"

#include "boot_clock.hpp"
#include "pooled_limiter.hpp"

#include <algorithm>
#include <asio/post.hpp>
#include <string>
#include <utility>

namespace mulberry
{
namespace
{

using std::chrono::milliseconds;

/// How often idle connections and other slow things are looked at.
constexpr milliseconds sweep_interval{500};
/// Of the numbers that requests are given; half of what JSON can carry.
constexpr std::uint64_t highest_first = std::uint64_t{1} << 52U;

std::string_view outcome_name(relay_outcome outcome)
{
    switch (outcome)
    {
    case relay_outcome::served:
        return "served";
    case relay_outcome::worker_failed:
        return "worker failed";
    case relay_outcome::refused:
        return "rejected";
    case relay_outcome::failed:
        return "failed";
    case relay_outcome::caller_gone:
        return "caller gone";
    }
    return "failed";
}

/// MODEL@VERSION of each model that the worker holds.
std::string weights_text(backend_entry const& worker)
{
    std::string text;
    for (held_model const& held : worker.models)
        text += (text.empty() ? "" : ",") + held.model.str() + "@" +
                std::to_string(held.weights.value());
    return text;
}

} // namespace

relay::relay(asio::io_context& io, relay_codec const& codec,
             relay_options options, event_log& log)
    : io_(io), codec_(codec), options_(std::move(options)), log_(log),
      pool_(io), timer_(io), crashes_(io, *this, options_.crashes, log),
      start_(options_.start, boot_clock::now()), random_(options_.seed)
{
    // Failure: a VM restarts, and another tells it that a grant of its earlier
    // process is over; a grant of this one with the same number ends early.
    // Numbers that begin anywhere do not meet.
    std::uniform_int_distribution<std::uint64_t> anywhere(1, highest_first);
    last_ticket_ = anywhere(random_);
    allotments_ =
        std::make_unique<pooled_limiter>(options_.vm, options_.allotments);
}

relay::~relay() = default;

time_point relay::now() const
{
    return boot_clock::now();
}

config_version relay::version() const
{
    return config_ ? config_->version : config_version();
}

relay::service_state* relay::find(service_id const& service)
{
    auto const known = services_.find(service);
    return known == services_.end() ? nullptr : &known->second;
}

void relay::add_service(service_config const& config)
{
    if (service_state* const known = find(config.name))
        return known->scheduler.configure(config);
    scheduler_settings settings;
    settings.vm = options_.vm;
    settings.domain = options_.domain;
    settings.release_grace = options_.release_grace;
    settings.release_begin = options_.release_begin;
    auto const made =
        services_.try_emplace(config.name, settings, config, options_.retries)
            .first;
    made->second.scheduler.set_members(members_);
    releases_.for_each(
        [&made](model_target const& target, declared_version const& declared)
        {
            made->second.scheduler.on_release(target, declared.version,
                                              declared.heard_at);
        });
}

void relay::set_config(std::shared_ptr<routing_config const> config)
{
    if (config_ && config->version <= config_->version)
        return;
    config_ = std::move(config);
    for (auto const& [name, service] : config_->services)
        add_service(service);
    routes_ = std::make_unique<route_table>(config_);
    share_teams();
    log_fields taken;
    taken.add("version", config_->version.value())
        .add("routes", std::uint64_t{config_->routes.size()});
    if (!config_->teams.empty())
        taken.add("teams", std::uint64_t{config_->teams.size()});
    log_.notable("configuration taken", taken, now());
    share_backends();
    review_early();
}

void relay::note_worker(std::string_view event, backend_entry const& worker)
{
    log_.notable(event,
                 log_fields()
                     .add("worker", worker.id.str())
                     .add("service", worker.service.str())
                     .add("domain", worker.domain.str())
                     .add("started", worker.started.value())
                     .add("weights", weights_text(worker)),
                 now());
}

/// Tells whether an answer was made from memory that the worker itself did not
/// make, and under which weights each of the two ran.
void relay::note_copy(relay_exchange const& exchange,
                      place_request const& placed)
{
    backend_entry const& source = *placed.prefix_source;
    auto const& model = exchange.request().model;
    log_.routine("prompt copied",
                 log_fields()
                     .add("request", exchange.request().id.str())
                     .add("adapter", model ? model->adapter.str() : "")
                     .add("worker", placed.worker.str())
                     .add("started", placed.entry.started.value())
                     .add("weights", weights_text(placed.entry))
                     .add("from", source.id.str())
                     .add("from_started", source.started.value())
                     .add("from_weights", weights_text(source)),
                 now());
}

/// Tells why a request began on a replaced version: for how long this VM knew
/// that it was, and how old what it knows is.
void relay::note_replaced(relay_exchange const& exchange,
                          place_request const& placed)
{
    ++counts_.sent_to_replaced;
    replaced_copy const& copy = *placed.replaced;
    time_point const at = now();
    log_fields fields;
    fields.add("request", exchange.request().id.str())
        .add("adapter", exchange.request().model->adapter.str())
        .add("worker", placed.worker.str())
        .add("decided", placed.reason)
        .add("copy", copy.version.value())
        .add("named", placed.version.value())
        .add("newest", copy.newest.value())
        .add("replaced_ms_ago", at - copy.replaced_at)
        .add("newest_ms_ago", at - copy.newest_heard_at);
    if (options_.registry_as_of)
        fields.add("known_ms_ago", at - options_.registry_as_of().declarations);
    log_.notable("sent to replaced version", fields, at);
}

void relay::said_leaving(relay_exchange const& exchange)
{
    backend_entry const& worker = exchange.worker_entry();
    if (!find(exchange.terms().service)->scheduler.on_leaving(worker, now()))
        return;
    ++counts_.leaving_heard;
    log_.notable("worker says it leaves",
                 log_fields()
                     .add("request", exchange.request().id.str())
                     .add("worker", worker.id.str())
                     .add("service", worker.service.str()),
                 now());
    run_soon();
}

void relay::asked_for_rest(relay_exchange const& exchange, time_point until)
{
    time_point const at = now();
    worker_id const& worker = exchange.worker();
    if (!find(exchange.terms().service)->scheduler.on_rest(worker, until, at))
        return;
    ++counts_.rests;
    log_.notable("worker asks for rest",
                 log_fields()
                     .add("request", exchange.request().id.str())
                     .add("worker", worker.str())
                     .add("service", exchange.terms().service.str())
                     .add("rest_ms", until - at),
                 at);
}

void relay::set_backends(std::vector<backend_entry> entries)
{
    for (backend_entry const& entry : entries)
    {
        auto const before =
            std::find_if(backends_.begin(), backends_.end(),
                         [&](auto const& each) { return each.id == entry.id; });
        if (before == backends_.end() || before->draining != entry.draining)
            note_worker(entry.draining ? "worker drains" : "worker listed",
                        entry);
        else if (before->started != entry.started)
            note_worker("worker started again", entry);
        else if (weights_text(*before) != weights_text(entry))
            note_worker("worker weights listed", entry);
    }
    for (backend_entry const& entry : backends_)
        if (std::none_of(entries.begin(), entries.end(),
                         [&](auto const& each) { return each.id == entry.id; }))
            log_.notable("worker gone",
                         log_fields().add("worker", entry.id.str()), now());
    backends_ = std::move(entries);
    backends_known_ = true;
    share_backends();
    review_early();
}

void relay::share_backends()
{
    std::map<service_id, std::vector<backend_entry>> by_service;
    for (backend_entry const& entry : backends_)
        by_service[entry.service].push_back(entry);
    for (auto& [name, service] : services_)
    {
        service.scheduler.set_backends(by_service[name]);
        service.scheduler.set_grants(grants_);
        service.scheduler.set_owners(owners_);
    }
    run_soon();
}

void relay::on_release(adapter_release const& release)
{
    time_point const at = now();
    if (!releases_.declare(release.target,
                           {release.version, at, at + options_.release_grace}))
        return;
    log_.notable(release.target.adapter.empty() ? "weights version taken"
                                                : "adapter version taken",
                 log_fields()
                     .add("model", release.target.model.str())
                     .add("adapter", release.target.adapter.str())
                     .add("version", release.version.value()),
                 now());
    for (auto& [name, service] : services_)
        service.scheduler.on_release(release.target, release.version, at);
    run_soon();
}

void relay::set_grants(std::map<worker_id, order_grant> grants)
{
    grants_ = std::move(grants);
    for (auto& [name, service] : services_)
        service.scheduler.set_grants(grants_);
    run_soon();
}

void relay::wait_for_worker(relay_exchange& exchange,
                            std::set<worker_id> const& excluded)
{
    exchange_terms const& terms = exchange.terms();
    work_item item;
    item.ticket = terms.ticket;
    if (terms.engine)
    {
        item.target = exchange.request().model;
        item.prompt_tokens = exchange.request().prompt.tokens;
        item.prefix = prefix_of(exchange.request().prompt);
    }
    item.priority = terms.priority;
    item.streams = terms.matched->repeats == repeat_rule::stream;
    item.arrived_at = terms.arrived_at;
    item.give_up_at = terms.give_up_at;
    item.objective_at = terms.arrived_at + terms.matched->latency_objective;
    item.excluded = excluded;
    find(terms.service)->scheduler.submit(std::move(item), now());
    run_soon();
}

void relay::stop_waiting(relay_exchange& exchange)
{
    if (auto const ask = asks_.find(exchange.terms().ticket);
        ask != asks_.end())
    {
        ask->second->cancel();
        asks_.erase(ask);
    }
    allotments_->withdraw(exchange.terms().ticket);
    find(exchange.terms().service)
        ->scheduler.withdraw(exchange.terms().ticket, now());
}

void relay::first_byte(relay_exchange& exchange)
{
    time_point const at = now();
    find(exchange.terms().service)
        ->scheduler.first_byte(exchange.terms().ticket, at);
    first_byte_.add(at - exchange.terms().arrived_at);
}

void relay::send_ended(relay_exchange& exchange, send_outcome outcome)
{
    if (exchange.answered_whole() && !crashes_.has_no_suspects())
        crashes_.on_answered(exchange.identity());
    free_place(exchange, outcome);
}

void relay::free_place(relay_exchange const& exchange, send_outcome outcome)
{
    find(exchange.terms().service)
        ->scheduler.ended(exchange.terms().ticket, outcome, now());
    if (auto const grant = held_grants_.find(exchange.terms().ticket);
        grant != held_grants_.end())
    {
        give_back(grant->second, outcome);
        held_grants_.erase(grant);
    }
    run_soon();
}

/// A worker that leaves, or has left the registry, closes connections on
/// purpose.
void relay::broke_off(relay_exchange const& exchange)
{
    backend_entry const& worker = exchange.worker_entry();
    bool const stays =
        std::any_of(backends_.begin(), backends_.end(),
                    [&](backend_entry const& each)
                    { return each.id == worker.id && !each.draining; });
    if (stays)
        crashes_.on_connection_lost(exchange.request().id, exchange.identity(), worker,
                           exchange.sent_at());
    log_.notable("worker broke off",
                 log_fields()
                     .add("request", exchange.request().id.str())
                     .add("content", exchange.identity().content.str())
                     .add("worker", worker.id.str())
                     .add("started", worker.started.value())
                     .add("domain", worker.domain.str())
                     .add("sends", exchange.sends())
                     .add("ran_ms", now() - exchange.sent_at()),
                 now());
}

duration relay::patience(relay_exchange const& exchange) const
{
    auto const service = services_.find(exchange.terms().service);
    return service->second.scheduler.patience(exchange.worker());
}

duration relay::retry_after(relay_exchange const& exchange, duration least)
{
    std::optional<model_target> const target =
        exchange.terms().engine ? exchange.request().model : std::nullopt;
    return spread(std::max(
        least,
        find(exchange.terms().service)->scheduler.rest_left(target, now())));
}

bool relay::take_retry(relay_exchange const& exchange)
{
    bool const taken =
        find(exchange.terms().service)->retries.try_take(members_, now());
    counts_.retries += taken;
    return taken;
}

void relay::wake_at(relay_exchange& exchange, time_point when)
{
    due_.set(exchange.terms().ticket, when);
    if (when < timer_at_)
        run_soon();
}

void relay::note(relay_exchange const& exchange, std::string_view event,
                 std::string_view reason)
{
    time_point const at = now();
    log_.notable(
        event,
        log_fields()
            .add("request", exchange.request().id.str())
            .add("route", exchange.terms().matched->name)
            .add("worker", exchange.worker().str())
            .add("status", exchange.status())
            .add("reason", reason)
            .add("sends", exchange.sends())
            .add("waited_ms", exchange.waited())
            .add("adapter", exchange.request().model
                                ? exchange.request().model->adapter.str()
                                : "")
            .add("age_ms", at - exchange.terms().arrived_at)
            .add("left_ms", exchange.terms().give_up_at - at)
            .add("config", exchange.terms().config->version.value()),
        at);
}

void relay::finished(relay_exchange& exchange, relay_outcome outcome)
{
    switch (outcome)
    {
    case relay_outcome::served:
        ++counts_.served;
        break;
    case relay_outcome::worker_failed:
        ++counts_.worker_failed;
        break;
    case relay_outcome::refused:
        ++counts_.refused;
        break;
    case relay_outcome::failed:
        ++counts_.failed;
        break;
    case relay_outcome::caller_gone:
        ++counts_.caller_gone;
        break;
    }
    if (outcome == relay_outcome::caller_gone)
        note(exchange, outcome_name(outcome), "the connection closed");
    ticket_id const ticket = exchange.terms().ticket;
    if (auto const metered = metered_.extract(ticket);
        !metered.empty() && !metered.mapped().waits && exchange.never_ran())
        allotments_->give_back(metered.mapped().team, metered.mapped().units,
                               now());
    // The caller of this is still within the exchange.
    asio::post(io_, [this, ticket] { exchanges_.erase(ticket); });
}

/// Decisions are made once for all that happened in one turn of the loop.
void relay::run_soon()
{
    if (std::exchange(run_posted_, true))
        return;
    asio::post(io_,
               [this]
               {
                   run_posted_ = false;
                   run();
               });
}

void relay::run()
{
    time_point const at = now();
    while (auto const ticket = due_.pop(at))
    {
        if (auto const found = exchanges_.find(*ticket);
            found != exchanges_.end())
        {
            auto const exchange = found->second;
            exchange->on_due();
        }
        else
            forget_peer_request(*ticket, send_outcome::abandoned);
    }
    review_early();
    run_allotments();
    if (at >= tell_done_at_)
        tell_done();
    for (auto& [name, service] : services_)
        run_service(service);
    if (at >= sweep_at_)
    {
        pool_.sweep();
        sweep_at_ = at + sweep_interval;
    }
    arm_timer();
}

void relay::run_service(service_state& service)
{
    tell_registry_moment(service);
    for (placement_action const& action : service.scheduler.run(now()))
        carry_out(service, action);
}

void relay::tell_registry_moment(service_state& service) const
{
    if (options_.registry_as_of)
        service.scheduler.set_registry_moment(options_.registry_as_of());
}

/// Asked again for each send: while it waited, others may have crashed their
/// workers, its own earlier sends too, and its key may have been taken away.
void relay::place(service_state& service, place_request const& placed)
{
    auto const found = exchanges_.find(placed.ticket);
    if (found == exchanges_.end())
        return service.scheduler.ended(placed.ticket, send_outcome::abandoned,
                                       now());
    auto const exchange = found->second;
    auto refused = refused_for_crashes(*exchange);
    if (!refused)
        refused = refused_for_key(*exchange);
    if (refused)
    {
        free_place(*exchange, send_outcome::abandoned);
        return exchange->on_refused(*refused);
    }
    if (exchange->sends() == 0)
        waits_.add(now() - exchange->terms().arrived_at);
    if (placed.prefix_source)
        note_copy(*exchange, placed);
    if (placed.replaced && placed.version != placed.replaced->newest)
        note_replaced(*exchange, placed);

    exchange->on_placed(placed);
}

/// So that those turned away do not come back in one wave.
duration relay::spread(duration retry_after)
{
    double const part = std::uniform_real_distribution<double>(0, 0.5)(random_);
    return retry_after + duration(static_cast<duration::rep>(
                             part * double(retry_after.count())));
}

void relay::carry_out(service_state& service, placement_action const& action)
{
    if (auto const* placed = std::get_if<place_request>(&action))
        return place(service, *placed);
    if (auto const* refused = std::get_if<refuse_request>(&action))
    {
        auto const found = exchanges_.find(refused->ticket);
        if (found == exchanges_.end())
            return answer_peer(refused->ticket, false, {}, refused->load);
        auto const exchange = found->second;
        return exchange->on_refused(error(refused->kind,
                                          std::string(refused->reason), ran::no,
                                          spread(refused->retry_after)));
    }
    if (auto const* late = std::get_if<withdraw_request>(&action))
    {
        if (auto const found = exchanges_.find(late->ticket);
            found != exchanges_.end())
        {
            auto const exchange = found->second;
            exchange->on_withdrawn();
        }
        return;
    }
    if (auto const* ask = std::get_if<ask_owner>(&action))
        return send_ask(service, *ask);
    if (auto const* granted = std::get_if<grant_ask>(&action))
        return answer_peer(granted->ticket, true, granted->copy, granted->load);
    if (auto const* order = std::get_if<give_order>(&action))
        return send_order(*order);
    send_report(std::get<ask_report>(action));
}

void relay::arm_timer()
{
    time_point next = std::min({now() + duration(sweep_interval), tell_done_at_,
                                allotments_->next_due()});
    if (auto const due = due_.next())
        next = std::min(next, *due);
    for (auto const& [name, service] : services_)
        next = std::min(next, service.scheduler.next_due());
    for (early_request const& each : early_)
        next = std::min(next, each.keep_until);
    if (next == timer_at_)
        return;
    timer_at_ = next;
    timer_.expires_after(
        std::max<duration>(next - now(), std::chrono::milliseconds(1)));
    timer_.async_wait(
        [this](asio::error_code const& cancelled)
        {
            if (cancelled)
                return;
            timer_at_ = never;
            run();
        });
}

} // namespace mulberry
