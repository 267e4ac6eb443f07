#include "relay.hpp"

#include "boot_clock.hpp"
#include "pooled_limiter.hpp"
#include "rename_key.hpp"

#include <algorithm>
#include <asio/post.hpp>
#include <string>
#include <utility>

namespace mulberry
{
namespace
{

using std::chrono::milliseconds;

/// A VM whose timers are later than this has no processor time to spare, and
/// forwards no calls of other VMs for a while.
constexpr milliseconds max_loop_lag{50};
constexpr int first_non_success_status = 300;
constexpr milliseconds overload_time{200};
/// Interval at which idle pooled connections are closed.
constexpr milliseconds sweep_interval{500};
/// Upper bound of the first ticket number: half of the integers that JSON
/// represents exactly.
constexpr std::uint64_t max_first_ticket = std::uint64_t{1} << 52U;

/// Some hundred bytes each; a VM keeps three times as many streams as it has
/// callers, for a few seconds longer than they last.
constexpr std::size_t max_stream_records = 8192;

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

/// Returns MODEL@VERSION of each model that the worker holds, separated by
/// commas.
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
      started_at_(boot_clock::now()),
      pool_(io, options_.source_address, options_.memory),
      answers_(options_.answer_bytes), timer_(io),
      crashes_(io, *this, options_.crashes, log), forwarders_(options_.domain),
      start_hold_(options_.start, started_at_),
      limits_(options_.vm, std::make_unique<pooled_limiter>(
                               options_.vm, worker_limit_terms())),
      streams_(max_stream_records), stream_rows_(options_.stream_rows, log),
      random_(options_.seed)
{
    // Failure: a VM restarts, and another VM reports that a grant of the
    // earlier process has ended; a grant of the new process with the same
    // number ends early. A random first number makes equal numbers unlikely.
    std::uniform_int_distribution<std::uint64_t> ticket_distribution(
        1, max_first_ticket);
    last_ticket_ = ticket_distribution(random_);
    allotments_ =
        std::make_unique<pooled_limiter>(options_.vm, options_.allotments);
    sending_vms_ = {options_.vm};
    if (options_.memory == nullptr)
        return;
    options_.memory->set_answers([this] { return answers_.held(); });
    answers_.set_shared_left([this] { return options_.memory->left(); });
}

relay::~relay()
{
    if (options_.memory != nullptr)
        options_.memory->set_answers({});
}

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
    {
        known->engine = config.engine.has_value();
        return known->scheduler.configure(config);
    }
    scheduler_settings settings;
    settings.vm = options_.vm;
    settings.domain = options_.domain;
    settings.started_at = started_at_;
    settings.release_grace = options_.release_grace;
    settings.release_begin = options_.release_begin;
    auto const added =
        services_
            .try_emplace(config.name, settings, config, options_.retries,
                         started_at_, options_.software_validity,
                         options_.write_own_rows != nullptr)
            .first;
    added->second.scheduler.set_members(members_);
    added->second.scheduler.set_vms(sending_vms_);
    added->second.retries.set_vms(members_, now());
    if (is_first_process_)
        added->second.retries.set_first_process();
    releases_.for_each(
        [&added](model_target const& target, declared_version const& declared)
        {
            added->second.scheduler.on_release(target, declared.version,
                                               declared.learned_at);
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
    for (auto& [name, service] : services_)
    {
        update_longest_stream(name, service);
        service.scheduler.schedule_by_objective(
            uses_objectives(options_.objectives, *config_, name));
        service.scheduler.admit_by_delay(
            delay_objective(options_.objectives, *config_, name));
    }
    update_teams();
    log_fields taken;
    taken.add("version", config_->version.value())
        .add("routes", std::uint64_t{config_->routes.size()});
    if (!config_->teams.empty())
        taken.add("teams", std::uint64_t{config_->teams.size()});
    log_.notable("configuration taken", taken, now());
    if (std::string const names = services_by_objective(); !names.empty())
        log_.notable("scheduled by objective",
                     log_fields()
                         .add("services", names)
                         .add("config", config_->version.value()),
                     now());
    update_schedulers();
    process_early_requests();
}

std::string relay::services_by_objective() const
{
    std::string names;
    for (auto const& [name, service] : services_)
        if (service.scheduler.by_objective())
            names += (names.empty() ? "" : ",") + name.str();
    return names;
}

void relay::log_worker(std::string_view event, backend_entry const& worker)
{
    log_.notable(event,
                 log_fields()
                     .add("worker", worker.id.str())
                     .add("service", worker.service.str())
                     .add("domain", worker.domain.str())
                     .add("started", worker.started.value())
                     .add("software", worker.software.str())
                     .add("weights", weights_text(worker)),
                 now());
}

/// Logs that a worker may reuse a prompt prefix computed by another worker, and
/// the weights of both workers.
void relay::log_prompt_copy(relay_exchange const& exchange,
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

/// Logs why a request was sent to a superseded version: how long this VM has
/// known of the newer version, and how old its knowledge is.
void relay::log_superseded_send(relay_exchange const& exchange,
                                place_request const& placed)
{
    ++counts_.sent_to_superseded;
    superseded_copy const& copy = *placed.superseded;
    time_point const at = now();
    log_fields fields;
    fields.add("request", exchange.request().id.str())
        .add("adapter", exchange.request().model->adapter.str())
        .add("worker", placed.worker.str())
        .add("decided", placed.reason)
        .add("copy", copy.version.value())
        .add("named", placed.version.value())
        .add("newest", copy.newest.value())
        .add("replaced_ms_ago", at - copy.superseded_at)
        .add("newest_ms_ago", at - copy.newest_learned_at);
    if (options_.registry_as_of)
        fields.add("known_ms_ago", at - options_.registry_as_of().declarations);
    log_.notable("sent to replaced version", fields, at);
}

void relay::on_worker_leaving(relay_exchange const& exchange)
{
    backend_entry const& worker = exchange.worker_entry();
    if (!find(exchange.terms().service)->scheduler.on_leaving(worker, now()))
        return;
    ++counts_.leaving_reported;
    log_.notable("worker says it leaves",
                 log_fields()
                     .add("request", exchange.request().id.str())
                     .add("worker", worker.id.str())
                     .add("service", worker.service.str()),
                 now());
    schedule_run();
}

void relay::on_backoff_requested(relay_exchange const& exchange,
                                 time_point until)
{
    time_point const at = now();
    worker_id const& worker = exchange.worker();
    if (!find(exchange.terms().service)
             ->scheduler.on_backoff_request(worker, until, at))
        return;
    ++counts_.backoffs;
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
            log_worker(entry.draining ? "worker drains" : "worker listed",
                       entry);
        else if (before->started != entry.started ||
                 before->software != entry.software)
            log_worker("worker started again", entry);
        else if (weights_text(*before) != weights_text(entry))
            log_worker("worker weights listed", entry);
    }
    for (backend_entry const& entry : backends_)
        if (std::none_of(entries.begin(), entries.end(),
                         [&](auto const& each) { return each.id == entry.id; }))
            log_.notable("worker gone",
                         log_fields().add("worker", entry.id.str()), now());
    backends_ = std::move(entries);
    backends_known_ = true;
    std::vector<worker_id> staying;
    for (backend_entry const& entry : backends_)
        if (!entry.draining)
            staying.push_back(entry.id);
    reachability_.set_workers(std::move(staying));
    update_schedulers();
    process_early_requests();
}

void relay::update_schedulers()
{
    std::map<service_id, std::vector<backend_entry>> by_service;
    for (backend_entry const& entry : backends_)
        by_service[entry.service].push_back(entry);
    for (auto& [name, service] : services_)
    {
        service.scheduler.set_backends(by_service[name]);
        if (backends_known_)
            update_software(name, service, by_service[name]);
        service.scheduler.set_owned_workers(owned_workers_);
        service.scheduler.set_owners(owners_);
    }
    schedule_run();
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
    schedule_run();
}

void relay::set_owned_workers(std::map<worker_id, owned_worker> grants)
{
    owned_workers_ = std::move(grants);
    for (auto& [name, service] : services_)
        service.scheduler.set_owned_workers(owned_workers_);
    schedule_run();
}

void relay::wait_for_worker(relay_exchange& exchange,
                            std::set<worker_id> const& excluded)
{
    exchange_terms const& terms = exchange.terms();
    work_item item;
    item.ticket = terms.ticket;
    exchange.waits().begin(wait_cause::batch_slot, now());
    if (terms.engine)
    {
        item.target = exchange.request().model;
        item.prompt_tokens = exchange.request().prompt.tokens;
        item.answer_tokens = exchange.request().prompt.answer_tokens;
        item.prefix = prefix_of(exchange.request().prompt);
    }
    item.priority = terms.priority;
    item.team = terms.team.value_or(team_id());
    item.team_weight = terms.team_weight;
    item.admitted = exchange.was_postponed() || exchange.has_begun();
    item.streams = terms.matched->repeats == repeat_rule::stream;
    item.arrived_at = terms.arrived_at;
    item.give_up_at = terms.give_up_at;
    service_scheduler& scheduler = find(terms.service)->scheduler;
    item.objective_at =
        scheduler.by_objective()
            ? terms.objective_at
            : terms.arrived_at + terms.matched->latency_objective;
    item.excluded = excluded;
    item.software = allowed_software(exchange);
    item.continues_stream = exchange.stream_version().has_value();
    scheduler.submit(std::move(item), now());
    schedule_run();
}

void relay::stop_waiting(relay_exchange& exchange)
{
    if (auto const ask = grant_requests_.find(exchange.terms().ticket);
        ask != grant_requests_.end())
    {
        ask->second->cancel();
        grant_requests_.erase(ask);
    }
    allotments_->withdraw(exchange.terms().ticket);
    if (cancel_pending_send(exchange))
        return;
    find(exchange.terms().service)
        ->scheduler.withdraw(exchange.terms().ticket, now());
}

void relay::on_first_byte(relay_exchange& exchange)
{
    time_point const at = now();
    find(exchange.terms().service)
        ->scheduler.first_byte(exchange.terms().ticket, at);
    first_byte_latency_.add(at - exchange.terms().arrived_at);
}

void relay::on_send_ended(relay_exchange& exchange, send_outcome outcome)
{
    if (exchange.answer_complete() &&
        exchange.status() < first_non_success_status)
        crashes_.on_prompt_answered(exchange.request().prompt);
    if (exchange.answer_complete() && !crashes_.has_no_suspects())
        crashes_.on_answered(exchange.identity());
    bool const direct = sent_through_.erase(exchange.send_ticket()) == 0;
    bool const failed = outcome == send_outcome::unreachable ||
                        outcome == send_outcome::broken ||
                        outcome == send_outcome::silent;
    if (direct && failed)
        on_call_failed(exchange.worker());
    release_worker_slot(exchange.terms().service, exchange.send_ticket(),
                        outcome);
    kept_sends_.erase(exchange.send_ticket());
}

void relay::on_worker_silent(relay_exchange const& exchange)
{
    if (sent_through_.count(exchange.send_ticket()) == 0)
        on_call_failed(exchange.worker());
}

ticket_id relay::keep_send(relay_exchange const& exchange)
{
    ticket_id const request = exchange.terms().ticket;
    ticket_id const kept(++last_ticket_);
    move_send(exchange.terms().service, request, kept);
    kept_sends_.emplace(kept, request);
    return kept;
}

void relay::restore_send(relay_exchange const& exchange, ticket_id kept)
{
    move_send(exchange.terms().service, kept, exchange.terms().ticket);
    kept_sends_.erase(kept);
}

void relay::move_send(service_id const& service, ticket_id from, ticket_id to)
{
    find(service)->scheduler.move_sent(from, to);
    rename_key(held_grants_, from, to);
    rename_key(sent_through_, from, to);
}

void relay::withdraw_send(ticket_id send)
{
    auto const kept = kept_sends_.find(send);
    auto const found =
        exchanges_.find(kept == kept_sends_.end() ? send : kept->second);
    if (found == exchanges_.end())
        return;
    auto const exchange = found->second;
    if (kept != kept_sends_.end())
        return exchange->on_kept_send_withdrawn(send);
    if (cancel_pending_send(*exchange))
        return exchange->on_postponed();
    exchange->on_withdrawn();
}

void relay::release_worker_slot(service_id const& service, ticket_id send,
                                send_outcome outcome)
{
    find(service)->scheduler.ended(send, outcome, now());
    if (auto const grant = held_grants_.find(send); grant != held_grants_.end())
    {
        return_grant(grant->second, outcome_for_owner(outcome));
        held_grants_.erase(grant);
    }
    schedule_run();
}

/// Only a connection lost by a worker that stays counts as a possible crash: a
/// worker that drains or has left the registry closes connections on purpose.
void relay::on_connection_lost(relay_exchange const& exchange)
{
    backend_entry const& worker = exchange.worker_entry();
    bool const stays =
        std::any_of(backends_.begin(), backends_.end(),
                    [&](backend_entry const& each)
                    { return each.id == worker.id && !each.draining; });
    if (stays)
        crashes_.on_connection_lost(exchange.request().id, exchange.identity(),
                                    worker, exchange.sent_at());
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

duration relay::first_byte_timeout(relay_exchange const& exchange) const
{
    auto const service = services_.find(exchange.terms().service);
    return service->second.scheduler.first_byte_timeout(exchange.worker());
}

void relay::wake_at(relay_exchange& exchange, time_point when)
{
    due_.set(exchange.terms().ticket, when);
    if (when < timer_at_)
        schedule_run();
}

void relay::log_request_event(relay_exchange const& exchange,
                              std::string_view event, std::string_view reason)
{
    time_point const at = now();
    log_.notable(
        event,
        log_fields()
            .add("request", exchange.request().id.str())
            .add("route", exchange.terms().matched->name)
            .add("worker", exchange.worker().str())
            .add("software", exchange.worker_entry().software.str())
            .add("status", exchange.status())
            .add("reason", reason)
            .add("sends", exchange.sends())
            .add("connection", exchange.place().connection)
            .add("carried", exchange.place().position)
            .add("waited_ms", exchange.queueing_delay())
            .add("waits", exchange.waits().text(at))
            .add("adapter", exchange.request().model
                                ? exchange.request().model->adapter.str()
                                : "")
            .add("age_ms", at - exchange.terms().arrived_at)
            .add("left_ms", exchange.terms().give_up_at - at)
            .add("config", exchange.terms().config->version.value()),
        at);
}

void relay::on_finished(relay_exchange& exchange, relay_outcome outcome)
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
    waits_.add(exchange.waits(), now());
    if (outcome == relay_outcome::caller_gone)
        log_request_event(exchange, outcome_name(outcome),
                          "the connection closed");
    ticket_id const ticket = exchange.terms().ticket;
    if (auto const metered = metered_requests_.extract(ticket);
        !metered.empty() && !metered.mapped().pending && exchange.never_ran())
        allotments_->give_back(allotment_key(metered.mapped().team),
                               metered.mapped().units, now());
    // The exchange is still on the call stack, so it is destroyed later.
    asio::post(io_, [this, ticket] { exchanges_.erase(ticket); });
}

/// All events of one turn of the event loop are decided on together.
void relay::schedule_run()
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
            end_peer_request(*ticket, send_outcome::abandoned);
    }
    process_early_requests();
    run_allotments();
    run_limits();
    run_probes();
    stream_rows_.run(at);
    release_held_events();
    review_software_records();
    if (at >= send_ended_grants_at_)
        send_ended_grants();
    for (auto& [name, service] : services_)
        run_service(service);
    run_limits();
    if (at >= sweep_at_)
    {
        pool_.sweep();
        sweep_at_ = at + sweep_interval;
    }
    arm_timer();
}

void relay::run_service(service_state& service)
{
    update_registry_moment(service);
    update_software_known(service);
    std::vector<placement_action> const actions = service.scheduler.run(now());
    update_waits(service);
    for (placement_action const& action : actions)
        execute(service, action);
    send_rejection_notices(service);
}

void relay::update_waits(service_state& service)
{
    time_point const at = now();
    for (auto const& [ticket, cause] : service.scheduler.take_wait_changes())
        if (auto const found = exchanges_.find(ticket);
            found != exchanges_.end())
            found->second->waits().begin(cause, at);
        else if (auto const peer = peer_requests_.find(ticket);
                 peer != peer_requests_.end())
            peer->second.waits.begin(cause, at);
}

void relay::update_registry_moment(service_state& service) const
{
    if (options_.registry_as_of)
        service.scheduler.set_registry_timestamps(options_.registry_as_of());
}

void relay::place(service_state& service, place_request const& placed)
{
    auto const found = exchanges_.find(placed.ticket);
    if (found == exchanges_.end())
        return service.scheduler.ended(placed.ticket, send_outcome::abandoned,
                                       now());
    send_within_limit(placed.ticket, placed.worker,
                      found->second->terms().give_up_at, placed);
}

/// Quarantine and key are checked again for each send: while the request
/// waited, workers may have crashed under requests like it or under its own
/// earlier sends, and its key may have been revoked.
void relay::send_placed(service_state& service, place_request const& placed)
{
    auto const found = exchanges_.find(placed.ticket);
    if (found == exchanges_.end())
        return service.scheduler.ended(placed.ticket, send_outcome::abandoned,
                                       now());
    auto const exchange = found->second;
    auto refused = check_quarantine(*exchange);
    if (!refused)
        refused = check_key(*exchange);
    if (!refused)
        refused = check_software_known(*exchange);
    if (refused)
    {
        release_worker_slot(placed.entry.service, placed.ticket,
                            send_outcome::abandoned);
        return exchange->on_refused(*refused);
    }
    if (!has_allowed_software(*exchange, placed.entry))
    {
        release_worker_slot(placed.entry.service, placed.ticket,
                            send_outcome::abandoned);
        return exchange->on_unsuitable(placed.worker);
    }
    if (exchange->sends() == 0)
        queueing_delays_.add(now() - exchange->terms().arrived_at);
    if (placed.prefix_source)
        log_prompt_copy(*exchange, placed);
    if (placed.superseded && placed.version != placed.superseded->newest)
        log_superseded_send(*exchange, placed);

    exchange->on_placed(placed);
}

/// Jitter keeps rejected callers from returning all at once.
duration relay::add_jitter(duration retry_after)
{
    double const part = std::uniform_real_distribution<double>(0, 0.5)(random_);
    return retry_after + duration(static_cast<duration::rep>(
                             part * double(retry_after.count())));
}

void relay::execute(service_state& service, placement_action const& action)
{
    if (auto const* placed = std::get_if<place_request>(&action))
        return place(service, *placed);
    if (auto const* refused = std::get_if<reject_request>(&action))
    {
        auto const found = exchanges_.find(refused->ticket);
        if (found == exchanges_.end())
            return answer_grant_request(refused->ticket, false, {},
                                        refused->load);
        auto const exchange = found->second;
        return exchange->on_refused(error(refused->kind,
                                          std::string(refused->reason), ran::no,
                                          add_jitter(refused->retry_after)));
    }
    if (auto const* withdrawn = std::get_if<withdraw_request>(&action))
        return withdraw_send(withdrawn->ticket);
    if (auto const* ask = std::get_if<request_owner_grant>(&action))
        return send_grant_request(service, *ask);
    if (auto const* granted = std::get_if<grant_peer_request>(&action))
        return answer_grant_request(granted->ticket, true, granted->copy,
                                    granted->load);
    if (auto const* order = std::get_if<issue_order>(&action))
        return send_within_limit(ticket_id(++last_ticket_), order->order.worker,
                                 never, *order);
    auto const& question = std::get<request_report>(action);
    send_within_limit(ticket_id(++last_ticket_), question.worker, never,
                      question);
}

void relay::arm_timer()
{
    time_point next =
        std::min({now() + duration(sweep_interval), send_ended_grants_at_,
                  allotments_->next_due(), limits_.next_due(),
                  reachability_.next_due(), stream_rows_.next_due()});
    if (auto const due = due_.next())
        next = std::min(next, *due);
    if (!held_events_.empty())
        next = std::min(next, held_events_.front().until);
    for (auto const& [name, service] : services_)
        next = std::min(next, service.scheduler.next_due());
    for (early_request const& each : early_requests_)
        next = std::min(next, each.keep_until);
    if (next == timer_at_)
        return;
    timer_at_ = next;
    duration const wait =
        std::max<duration>(next - now(), std::chrono::milliseconds(1));
    timer_.expires_after(wait);
    timer_.async_wait(
        [this, due = now() + wait](asio::error_code const& cancelled)
        {
            if (cancelled)
                return;
            timer_at_ = never;
            time_point const at = now();
            if (at <= due + max_loop_lag)
                return run();
            overloaded_until_ = at + overload_time;
            gate_.on_loop_lag(at - due, at);
            // Callers may have left meanwhile; their closes are read first.
            schedule_run();
        });
}

} // namespace mulberry
