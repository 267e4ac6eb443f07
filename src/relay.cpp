#include "relay.hpp"

#include "boot_clock.hpp"

#include <asio/post.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace mulberry
{
namespace
{

using std::chrono::milliseconds;

/// How often idle connections and other slow things are looked at.
constexpr milliseconds sweep_interval{500};
/// A caller that named no deadline waits as long as its route allows.
constexpr std::chrono::seconds no_deadline{3600};
/// While a VM does not know its configuration, others may.
constexpr milliseconds not_ready_retry{200};
/// A worker answers an order within some ten milliseconds. One that leaves it
/// unanswered is asked again at once: the same order under the same number
/// takes effect once.
constexpr milliseconds order_timeout{80};
constexpr milliseconds report_timeout{400};
/// Grants that are over are told with the next question to their VM, or after
/// this: until then the worker's room counts as taken.
constexpr milliseconds tell_done_delay{30};
constexpr milliseconds tell_done_timeout{500};
constexpr milliseconds peer_connect_timeout{250};
/// A grant whose end was never told is over so long after its deadline.
constexpr milliseconds grant_slack{500};

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

std::string_view outcome_name(order_outcome outcome)
{
    switch (outcome)
    {
    case order_outcome::accepted:
        return "accepted";
    case order_outcome::holds:
        return "holds";
    case order_outcome::conflict:
        return "conflict";
    case order_outcome::fenced:
        return "fenced";
    case order_outcome::refused:
        return "refused";
    case order_outcome::other_worker:
        return "other worker";
    case order_outcome::unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace

/// Hears a worker's answer to an order, or that there is none in time.
class relay::order_reply final
    : public exchange_observer,
      public std::enable_shared_from_this<relay::order_reply>
{
public:
    order_reply(relay& of, service_id service, worker_order order)
        : of_(of), service_(std::move(service)), order_(std::move(order)),
          timer_(of.io_)
    {
    }
    void watch(std::shared_ptr<backend_exchange> running)
    {
        running_ = std::move(running);
        timer_.expires_after(order_timeout);
        timer_.async_wait(
            [self = shared_from_this()](asio::error_code const& cancelled)
            {
                if (cancelled || self->done_)
                    return;
                self->running_->cancel();
                self->tell(order_outcome::unknown);
            });
    }
    void on_head(int status, http_headers) override { status_ = status; }
    void on_body(std::string_view) override {}
    void on_end(bool) override { tell(of_.codec_.decode_order_reply(status_)); }
    void on_failure(call_stage, std::string const&) override
    {
        tell(order_outcome::unknown);
    }

private:
    void tell(order_outcome outcome)
    {
        if (std::exchange(done_, true))
            return;
        timer_.cancel();
        of_.on_order(service_, order_, outcome);
    }

    relay& of_;
    service_id service_;
    worker_order order_;
    asio::steady_timer timer_;
    std::shared_ptr<backend_exchange> running_;
    int status_ = 0;
    bool done_ = false;
};

class relay::report_reply final
    : public exchange_observer,
      public std::enable_shared_from_this<relay::report_reply>
{
public:
    report_reply(relay& of, service_id service, worker_id worker)
        : of_(of), service_(std::move(service)), worker_(std::move(worker)),
          timer_(of.io_)
    {
    }
    void watch(std::shared_ptr<backend_exchange> running)
    {
        running_ = std::move(running);
        timer_.expires_after(report_timeout);
        timer_.async_wait(
            [self = shared_from_this()](asio::error_code const& cancelled)
            {
                if (cancelled || self->done_)
                    return;
                self->running_->cancel();
                self->tell(std::nullopt);
            });
    }
    void on_head(int status, http_headers) override { status_ = status; }
    void on_body(std::string_view bytes) override { body_ += bytes; }
    void on_end(bool) override
    {
        tell(status_ == 200 ? of_.codec_.decode_report(body_) : std::nullopt);
    }
    void on_failure(call_stage, std::string const&) override
    {
        tell(std::nullopt);
    }

private:
    void tell(std::optional<worker_report> const& report)
    {
        if (std::exchange(done_, true))
            return;
        timer_.cancel();
        of_.on_report(service_, worker_, report);
    }

    relay& of_;
    service_id service_;
    worker_id worker_;
    asio::steady_timer timer_;
    std::shared_ptr<backend_exchange> running_;
    std::string body_;
    int status_ = 0;
    bool done_ = false;
};

/// Hears another VM's answer to a question, or that there is none in time.
class relay::ask_reply final
    : public exchange_observer,
      public std::enable_shared_from_this<relay::ask_reply>
{
public:
    ask_reply(relay& of, service_id service, ask_owner ask)
        : of_(of), service_(std::move(service)), ask_(std::move(ask)),
          timer_(of.io_)
    {
    }
    void watch(std::shared_ptr<backend_exchange> running)
    {
        running_ = std::move(running);
        wait();
    }
    void on_head(int status, http_headers) override
    {
        if (status == 200)
            of_.find(service_)->scheduler.on_owner_heard(ask_.ticket,
                                                         of_.now());
        wait();
    }
    void on_body(std::string_view bytes) override { body_ += bytes; }
    void on_end(bool) override
    {
        auto const reply = decode_peer_reply(body_);
        if (!reply)
            return tell(ask_outcome::unreachable, {});
        tell(reply->granted ? ask_outcome::granted : ask_outcome::refused,
             *reply);
    }
    void on_failure(call_stage, std::string const&) override
    {
        tell(ask_outcome::unreachable, {});
    }

private:
    /// The end moves on while the owner answers other questions.
    void wait()
    {
        time_point const at = of_.now();
        time_point const ends =
            of_.find(service_)->scheduler.ask_ends_at(ask_.ticket);
        if (ends <= at)
        {
            running_->cancel();
            return tell(ask_outcome::silent, {});
        }
        timer_.expires_after(ends - at);
        timer_.async_wait(
            [self = shared_from_this()](asio::error_code const& cancelled)
            {
                if (!cancelled && !self->done_)
                    self->wait();
            });
    }
    void tell(ask_outcome outcome, peer_reply const& reply)
    {
        if (std::exchange(done_, true))
            return;
        timer_.cancel();
        of_.on_ask(service_, ask_, outcome, reply);
    }

    relay& of_;
    service_id service_;
    ask_owner ask_;
    asio::steady_timer timer_;
    std::shared_ptr<backend_exchange> running_;
    std::string body_;
    bool done_ = false;
};

relay::relay(asio::io_context& io, relay_codec const& codec,
             relay_options options, event_log& log)
    : io_(io), codec_(codec), options_(std::move(options)), log_(log),
      pool_(io), timer_(io), random_(options_.seed)
{
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
    settings.seed = options_.seed;
    auto const made =
        services_.try_emplace(config.name, settings, config, options_.retries)
            .first;
    made->second.scheduler.set_members(members_);
    for (auto const& [target, version] : releases_)
        made->second.scheduler.on_release(target, version, now());
}

void relay::set_config(std::shared_ptr<routing_config const> config)
{
    if (config_ && config->version <= config_->version)
        return;
    config_ = std::move(config);
    for (auto const& [name, service] : config_->services)
        add_service(service);
    routes_ = std::make_unique<route_table>(config_);
    log_.notable("configuration taken",
                 log_fields()
                     .add("version", config_->version.value())
                     .add("routes", std::uint64_t{config_->routes.size()}),
                 now());
    share_backends();
}

void relay::set_backends(std::vector<backend_entry> entries)
{
    for (backend_entry const& entry : entries)
    {
        auto const before =
            std::find_if(backends_.begin(), backends_.end(),
                         [&](auto const& each) { return each.id == entry.id; });
        if (before == backends_.end() || before->draining != entry.draining)
            log_.notable(entry.draining ? "worker drains" : "worker listed",
                         log_fields()
                             .add("worker", entry.id.str())
                             .add("service", entry.service.str())
                             .add("domain", entry.domain.str()),
                         now());
    }
    for (backend_entry const& entry : backends_)
        if (std::none_of(entries.begin(), entries.end(),
                         [&](auto const& each) { return each.id == entry.id; }))
            log_.notable("worker gone",
                         log_fields().add("worker", entry.id.str()), now());
    backends_ = std::move(entries);
    share_backends();
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
    adapter_version& known = releases_[release.target];
    if (release.version <= known)
        return;
    known = release.version;
    log_.notable("adapter version taken",
                 log_fields()
                     .add("model", release.target.model.str())
                     .add("adapter", release.target.adapter.str())
                     .add("version", release.version.value()),
                 now());
    for (auto& [name, service] : services_)
        service.scheduler.on_release(release.target, release.version, now());
    run_soon();
}

void relay::set_grants(std::map<worker_id, order_grant> grants)
{
    grants_ = std::move(grants);
    for (auto& [name, service] : services_)
        service.scheduler.set_grants(grants_);
    run_soon();
}

void relay::set_members(std::vector<member_view> members)
{
    members_ = std::max<std::size_t>(members.size(), 1);
    for (auto& [name, service] : services_)
        service.scheduler.set_members(members_);
    std::map<vm_id, peer_link> links;
    for (member_view const& member : members)
    {
        auto const colon = member.address.rfind(':');
        if (member.vm == options_.vm || colon == std::string::npos)
            continue;
        peer_link& link = links[member.vm];
        link.address = {member.address.substr(0, colon),
                        static_cast<std::uint16_t>(std::strtoul(
                            member.address.c_str() + colon + 1, nullptr, 10))};
        if (auto const known = peers_.find(member.vm); known != peers_.end())
            link.done = std::move(known->second.done);
    }
    peers_ = std::move(links);
}

void relay::set_owners(std::map<worker_id, vm_id> owners)
{
    owners_ = std::move(owners);
    for (auto& [name, service] : services_)
        service.scheduler.set_owners(owners_);
    run_soon();
}

void relay::handle_peer(http_request const& received,
                        std::shared_ptr<http_answer> answer)
{
    auto const message = received.path == peer_path
                             ? decode_peer_call(received.body)
                             : std::nullopt;
    if (!message)
        return answer->respond({400, {}, {}});
    for (peer_done const& done : message->done)
        forget_peer_request(ticket_id(done.grant), done.not_held
                                                       ? send_outcome::not_held
                                                       : send_outcome::served);
    if (!message->ask)
        return answer->respond(json_response(200, "{}"));
    peer_ask const& ask = *message->ask;
    service_state* const service = find(ask.service);
    if (service == nullptr || !service->engine)
        return answer->respond(json_response(200, encode_peer_reply({})));
    // The answer begins at once and ends with the decision: the VM that asked
    // can tell a slow load from an owner that is gone.
    answer->start_stream(200, {});
    time_point const at = now();
    work_item item;
    item.ticket = ticket_id(++last_ticket_);
    item.target = ask.target;
    item.priority = ask.priority;
    item.arrived_at = at;
    item.give_up_at = at + ask.time_left;
    item.asked_for = ask.worker;
    ticket_id const ticket = item.ticket;
    due_.set(ticket, item.give_up_at + grant_slack);
    peer_requests_[ticket] = {ask.service, answer};
    service->scheduler.submit(std::move(item), at);
    answer->on_closed(
        [this, ticket]
        { forget_peer_request(ticket, send_outcome::abandoned); });
    run_soon();
}

/// Withdraws a request that waits, ends one that was granted.
void relay::forget_peer_request(ticket_id ticket, send_outcome outcome)
{
    auto const found = peer_requests_.find(ticket);
    if (found == peer_requests_.end())
        return;
    if (service_state* const service = find(found->second.service))
    {
        service->scheduler.withdraw(ticket);
        service->scheduler.ended(ticket, outcome, now());
    }
    due_.erase(ticket);
    peer_requests_.erase(found);
    run_soon();
}

void relay::answer_peer(ticket_id ticket, bool granted, worker_id const& worker,
                        double load)
{
    auto const found = peer_requests_.find(ticket);
    if (found == peer_requests_.end())
        return;
    auto const answer = std::exchange(found->second.answer, nullptr);
    if (answer)
    {
        answer->write(
            encode_peer_reply({granted, ticket.value(), worker, load}));
        answer->finish();
    }
    if (granted)
        return;
    due_.erase(ticket);
    peer_requests_.erase(found);
}

void relay::refuse_at_once(relay_request const& request, http_answer& answer,
                           error const& problem)
{
    ++counts_.refused;
    log_.notable("rejected",
                 log_fields()
                     .add("request", request.id.str())
                     .add("host", request.host)
                     .add("path", request.path)
                     .add("reason", problem.text())
                     .add("config", version().value()),
                 now());
    answer.respond(codec_.error_response(request, problem));
}

void relay::handle(http_request received, std::shared_ptr<http_answer> answer)
{
    ++counts_.requests;
    relay_request request = codec_.decode_request(std::move(received));
    if (!routes_)
        return refuse_at_once(request, *answer,
                              error(error_kind::configuration_stale,
                                    "no configuration is known yet", ran::no,
                                    not_ready_retry));
    route const* const matched = routes_->find(request.host, request.path);
    if (matched == nullptr)
        return refuse_at_once(
            request, *answer,
            error(error_kind::not_found, "no route has that host and path"));
    exchange_terms terms;
    terms.ticket = ticket_id(++last_ticket_);
    terms.service = route_table::choose_service(
        *matched, std::uniform_real_distribution<double>()(random_));
    terms.matched = matched;
    terms.config = config_;
    terms.arrived_at = now();
    terms.give_up_at =
        terms.arrived_at +
        std::min<duration>(matched->timeout,
                           request.time_left.value_or(no_deadline));
    service_state* const service = find(terms.service);
    if (service == nullptr)
        return refuse_at_once(request, *answer,
                              error(error_kind::back_end_unavailable,
                                    "the route's service is not known", ran::no,
                                    not_ready_retry));
    terms.engine = service->engine;
    service->retries.count_request(terms.arrived_at);
    ticket_id const ticket = terms.ticket;
    auto const exchange = std::make_shared<relay_exchange>(
        *this, std::move(terms), std::move(request), answer);
    exchanges_.emplace(ticket, exchange);
    exchange->start();
    answer->on_closed(
        [weak = std::weak_ptr(exchange)]
        {
            if (auto const open = weak.lock())
                open->on_caller_gone();
        });
}

void relay::wait_for_worker(relay_exchange& exchange,
                            std::set<worker_id> const& excluded)
{
    exchange_terms const& terms = exchange.terms();
    work_item item;
    item.ticket = terms.ticket;
    if (terms.engine)
        item.target = exchange.request().model;
    item.priority = terms.matched->priority;
    item.arrived_at = terms.arrived_at;
    item.give_up_at = terms.give_up_at;
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
    find(exchange.terms().service)->scheduler.withdraw(exchange.terms().ticket);
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
    find(exchange.terms().service)
        ->scheduler.ended(exchange.terms().ticket, outcome, now());
    if (auto const grant = held_grants_.find(exchange.terms().ticket);
        grant != held_grants_.end())
    {
        give_back(grant->second, outcome == send_outcome::not_held);
        held_grants_.erase(grant);
    }
    run_soon();
}

duration relay::patience(relay_exchange const& exchange) const
{
    auto const service = services_.find(exchange.terms().service);
    return service->second.scheduler.patience(exchange.worker());
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
    for (placement_action const& action : service.scheduler.run(now()))
        carry_out(service, action);
}

void relay::carry_out(service_state& service, placement_action const& action)
{
    if (auto const* placed = std::get_if<place_request>(&action))
    {
        auto const found = exchanges_.find(placed->ticket);
        if (found == exchanges_.end())
            return service.scheduler.ended(placed->ticket,
                                           send_outcome::abandoned, now());
        auto const exchange = found->second;
        return exchange->on_placed(placed->entry, placed->reason);
    }
    if (auto const* refused = std::get_if<refuse_request>(&action))
    {
        auto const found = exchanges_.find(refused->ticket);
        if (found == exchanges_.end())
            return answer_peer(refused->ticket, false, {}, 1);
        auto const exchange = found->second;
        // Spread, so that those turned away do not come back in one wave.
        duration const spread(static_cast<duration::rep>(
            std::uniform_real_distribution<double>(0, 0.5)(random_) *
            double(refused->retry_after.count())));
        return exchange->on_refused(
            refused->kind, refused->retry_after + spread, refused->reason);
    }
    if (auto const* ask = std::get_if<ask_owner>(&action))
        return send_ask(service, *ask);
    if (auto const* granted = std::get_if<grant_ask>(&action))
        return answer_peer(granted->ticket, true, granted->worker,
                           granted->load);
    if (auto const* order = std::get_if<give_order>(&action))
        return send_order(service, *order);
    send_report(service, std::get<ask_report>(action));
}

void relay::send_ask(service_state& service, ask_owner const& ask)
{
    auto const found = exchanges_.find(ask.ticket);
    auto const peer = peers_.find(ask.owner);
    if (found == exchanges_.end())
        return service.scheduler.withdraw(ask.ticket);
    service_id const name = found->second->terms().service;
    if (peer == peers_.end())
    {
        asio::post(io_, [this, name, ask]
                   { on_ask(name, ask, ask_outcome::unreachable, {}); });
        return;
    }
    peer_call message;
    message.ask = peer_ask{name, ask.worker, ask.target, ask.priority,
                           ask.give_up_at - now()};
    message.done = std::exchange(peer->second.done, {});
    auto const reply = std::make_shared<ask_reply>(*this, name, ask);
    exchange_options options;
    options.connect_timeout = peer_connect_timeout;
    options.max_idle = milliseconds(3000);
    auto const running = pool_.start(
        peer->second.address,
        encode_peer_call(message, peer->second.address.ip), options, reply);
    asks_[ask.ticket] = running;
    reply->watch(running);
}

void relay::on_ask(service_id const& service, ask_owner const& ask,
                   ask_outcome outcome, peer_reply const& reply)
{
    asks_.erase(ask.ticket);
    bool const wanted = exchanges_.count(ask.ticket) > 0;
    if (outcome == ask_outcome::granted)
    {
        if (!wanted)
            return give_back({ask.owner, reply.grant}, false);
        held_grants_[ask.ticket] = {ask.owner, reply.grant};
    }
    else if (outcome != ask_outcome::refused)
        log_.notable("owner does not answer",
                     log_fields()
                         .add("owner", ask.owner.str())
                         .add("worker", ask.worker.str())
                         .add("reason", outcome == ask_outcome::silent
                                            ? "silent"
                                            : "unreachable"),
                     now());
    bool const used = find(service)->scheduler.on_owner(
        ask.ticket, outcome, reply.worker, reply.load, now());
    if (!used && outcome == ask_outcome::granted)
    {
        give_back({ask.owner, reply.grant}, false);
        held_grants_.erase(ask.ticket);
    }
    run_soon();
}

void relay::give_back(held_grant const& grant, bool not_held)
{
    auto const peer = peers_.find(grant.owner);
    if (peer == peers_.end())
        return;
    peer->second.done.push_back({grant.number, not_held});
    tell_done_at_ = std::min(tell_done_at_, now() + tell_done_delay);
}

void relay::tell_done()
{
    /// Nothing follows from the answer: a grant that is not given back expires.
    class ignored final : public exchange_observer
    {
    public:
        void on_head(int, http_headers) override {}
        void on_body(std::string_view) override {}
        void on_end(bool) override {}
        void on_failure(call_stage, std::string const&) override {}
    };
    tell_done_at_ = never;
    for (auto& [vm, peer] : peers_)
    {
        if (peer.done.empty())
            continue;
        peer_call message;
        message.done = std::exchange(peer.done, {});
        exchange_options options;
        options.connect_timeout = peer_connect_timeout;
        options.max_idle = milliseconds(3000);
        auto const running = pool_.start(
            peer.address, encode_peer_call(message, peer.address.ip), options,
            std::make_shared<ignored>());
        auto const timer = std::make_shared<asio::steady_timer>(io_);
        timer->expires_after(tell_done_timeout);
        timer->async_wait([timer, running](asio::error_code const&)
                          { running->cancel(); });
    }
}

void relay::send_order(service_state&, give_order const& order)
{
    service_id const service = order.entry.service;
    if (options_.may_order && !options_.may_order(order.order.worker))
    {
        // The lease lapsed between the decision and now.
        asio::post(io_, [this, service, order = order.order]
                   { on_order(service, order, order_outcome::unknown); });
        return;
    }
    ++counts_.orders;
    auto const reply =
        std::make_shared<order_reply>(*this, service, order.order);
    exchange_options options;
    options.connect_timeout = order_timeout;
    reply->watch(pool_.start({order.entry.address, order.entry.port},
                             codec_.encode_order(order.order), options, reply));
}

void relay::send_report(service_state&, ask_report const& question)
{
    ++counts_.reports;
    auto const reply = std::make_shared<report_reply>(
        *this, question.entry.service, question.worker);
    exchange_options options;
    options.connect_timeout = report_timeout;
    reply->watch(pool_.start({question.entry.address, question.entry.port},
                             codec_.encode_report_request(), options, reply));
}

void relay::on_order(service_id const& service, worker_order const& order,
                     order_outcome outcome)
{
    counts_.orders_unknown += outcome == order_outcome::unknown;
    counts_.orders_conflict += outcome == order_outcome::conflict;
    bool const notable =
        outcome != order_outcome::accepted && outcome != order_outcome::holds;
    auto const fields = [&]
    {
        return log_fields()
            .add("worker", order.worker.str())
            .add("order", order.kind == order_kind::load ? "load" : "unload")
            .add("model", order.model.str())
            .add("adapter", order.adapter.str())
            .add("sequence", order.expected_sequence)
            .add("fence", order.fence.value())
            .add("outcome", outcome_name(outcome));
    };
    if (notable)
        log_.notable("order answered", fields(), now());
    if (service_state* const known = find(service))
        known->scheduler.on_order(order.worker, outcome, now());
    run_soon();
}

void relay::on_report(service_id const& service, worker_id const& worker,
                      std::optional<worker_report> const& report)
{
    log_.notable(
        "worker report",
        log_fields()
            .add("worker", worker.str())
            .add("outcome", report ? "read" : "none")
            .add("sequence", report ? report->sequence : std::uint64_t{0}),
        now());
    if (service_state* const known = find(service))
        known->scheduler.on_report(worker, report, now());
    run_soon();
}

void relay::arm_timer()
{
    time_point next = std::min(now() + sweep_interval, tell_done_at_);
    if (auto const due = due_.next())
        next = std::min(next, *due);
    for (auto const& [name, service] : services_)
        next = std::min(next, service.scheduler.next_due());
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

std::string relay::metrics() const
{
    std::string text;
    auto const add =
        [&text](std::string_view name, std::string_view labels, auto value)
    { text += fmt::format("mulberry_{}{} {}\n", name, labels, value); };
    auto const outcome = [&](std::string_view label, std::uint64_t value)
    { add("requests_total", fmt::format("{{outcome=\"{}\"}}", label), value); };
    outcome("served", counts_.served);
    outcome("worker_failed", counts_.worker_failed);
    outcome("rejected", counts_.refused);
    outcome("failed", counts_.failed);
    outcome("caller_gone", counts_.caller_gone);
    add("retries_total", "", counts_.retries);
    add("orders_total", "", counts_.orders);
    add("orders_unknown_total", "", counts_.orders_unknown);
    add("orders_conflict_total", "", counts_.orders_conflict);
    add("worker_reports_total", "", counts_.reports);
    add("connections_opened_total", "", pool_.connections_opened());
    add("log_lines_left_out_total", "", log_.left_out());
    add("config_version", "", version().value());
    add("members", "", members_);
    add("requests_in_progress", "", exchanges_.size());
    latency_summary const first = first_byte_.summary();
    add("first_byte_seconds", "{quantile=\"0.5\"}", first.median);
    add("first_byte_seconds", "{quantile=\"0.95\"}", first.p95);
    add("first_byte_seconds", "{quantile=\"0.99\"}", first.p99);
    add("first_byte_seconds_count", "", first.count);
    add("first_byte_seconds_sum", "", first.sum);
    for (auto const& [name, service] : services_)
    {
        scheduler_counts const counts = service.scheduler.counts();
        std::string const label = fmt::format("{{service=\"{}\"}}", name.str());
        add("waiting", label, counts.waiting);
        add("sent", label, counts.sent);
        add("placed_resident_total", label, counts.placed_resident);
        add("placed_after_load_total", label, counts.placed_after_load);
        add("placed_elsewhere_total", label, counts.placed_elsewhere);
        add("placed_granted_total", label, counts.placed_granted);
        add("granted_total", label, counts.granted);
        add("refused_total", label, counts.refused);
        add("cold_loads_total", label, counts.cold_loads);
        add("warm_loads_total", label, counts.warm_loads);
        add("evictions_total", label, counts.evictions);
    }
    return text;
}

} // namespace mulberry
