// Keeps calls to workers within the limits that the workers name.
#include "collected_exchange.hpp"
#include "peer_allotment.hpp"
#include "relay.hpp"

#include <asio/post.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace mulberry
{
namespace
{

using std::chrono::milliseconds;

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
/// Longest wait for a pool; another worker may take the request meanwhile.
constexpr milliseconds max_admission_wait{400};
/// Short, since a pool answers from memory.
constexpr milliseconds pool_request_timeout{200};
constexpr milliseconds pool_connect_timeout{150};
constexpr milliseconds pool_connection_max_idle{3000};

} // namespace

void relay::on_limit_stated(relay_exchange const& exchange,
                            std::optional<double> per_second)
{
    if (limits_.on_answer(exchange.worker(), per_second, exchange.sent_at(),
                          now()))
        log_limit_changes();
}

void relay::on_limit_stated(worker_id const& worker, time_point sent_at,
                            collected_answer const& answer)
{
    if (answer.status == 0)
        return;
    limit_statement const stated = codec_.decode_limit(answer.headers);
    if (!stated.malformed &&
        limits_.on_answer(worker, stated.per_second, sent_at, now()))
        log_limit_changes();
}

void relay::on_tolerance_stated(service_id const& service,
                                worker_id const& worker, time_point sent_at,
                                std::optional<std::uint32_t> per_second)
{
    time_point const at = now();
    service_state* const known = find(service);
    if (known == nullptr ||
        !known->scheduler.on_tolerance(worker, per_second, sent_at, at))
        return;
    log_fields fields;
    fields.add("worker", worker.str()).add("service", service.str());
    if (per_second)
        fields.add("rejections_per_second", std::uint64_t{*per_second});
    log_.notable(per_second ? "worker is brittle" : "worker no longer brittle",
                 fields, at);
    schedule_run();
}

void relay::on_tolerance_stated(service_id const& service,
                                worker_id const& worker, time_point sent_at,
                                collected_answer const& answer)
{
    if (answer.status == 0)
        return;
    tolerance_statement const stated = codec_.decode_tolerance(answer.headers);
    if (!stated.malformed)
        on_tolerance_stated(service, worker, sent_at, stated.per_second);
}

void relay::log_limit_changes()
{
    time_point const at = now();
    for (worker_id const& worker : limits_.take_changed())
    {
        auto const limit = limits_.limit_of(worker);
        log_fields fields;
        fields.add("worker", worker.str());
        if (limit)
            fields.add("per_second", fmt::format("{}", *limit));
        log_.notable(limit ? "worker names a limit" : "worker limit ended",
                     fields, at);
        for (auto& [name, service] : services_)
            service.scheduler.on_limit_changed(worker);
    }
    schedule_run();
}

void relay::send_within_limit(ticket_id ticket, worker_id const& worker,
                              time_point give_up_at, pending_send send)
{
    if (!limits_.is_limited(worker))
        return send_pending(worker, send);
    time_point const at = now();
    if (auto const found = exchanges_.find(ticket); found != exchanges_.end())
        found->second->waits().begin(wait_cause::worker_limit, at);
    pending_sends_.emplace(ticket, std::move(send));
    limits_.request(ticket, worker,
                    std::min<time_point>(give_up_at, at + max_admission_wait),
                    at);
}

void relay::run_limits()
{
    for (worker_limit_action const& action : limits_.run(now()))
        if (auto const* ask = std::get_if<query_vm>(&action))
            send_limit_query(*ask);
        else
            on_send_decision(std::get<send_decision>(action));
}

void relay::on_send_decision(send_decision const& decision)
{
    auto const found = pending_sends_.extract(decision.ticket);
    if (found.empty())
        return;
    if (decision.admitted)
        return send_pending(decision.worker, found.mapped());
    postpone(found.mapped(), decision);
}

void relay::send_pending(worker_id const& worker, pending_send const& send)
{
    if (auto const* order = std::get_if<issue_order>(&send))
        return send_order(*order);
    if (auto const* question = std::get_if<request_report>(&send))
        return send_report_request(*question);
    auto const& placed = std::get<place_request>(send);
    service_state& service = *find(placed.entry.service);
    if (limits_.is_limited(worker) && !service.scheduler.is_open(worker, now()))
    {
        // The worker announced its shutdown or asked for a backoff meanwhile.
        limits_.give_back(worker, now());
        return postpone(send, {placed.ticket, worker, false, now(), {}});
    }
    send_placed(service, placed);
}

/// An order or a report request that was not sent counts as one without an
/// answer: it is sent again when the limit has room.
void relay::postpone(pending_send const& send, send_decision const& decision)
{
    time_point const at = now();
    for (auto& [name, service] : services_)
        service.scheduler.on_limit_reached(decision.worker,
                                           decision.available_at,
                                           at + decision.retry_after, at);
    if (auto const* order = std::get_if<issue_order>(&send))
        return on_order(order->entry.service, order->order,
                        order_outcome::unknown);
    if (auto const* question = std::get_if<request_report>(&send))
        return on_report(question->entry.service, question->worker,
                         std::nullopt);
    auto const& placed = std::get<place_request>(send);
    ++counts_.limit_reached;
    find(placed.entry.service)->scheduler.not_sent(placed.ticket, at);
    auto const found = exchanges_.find(placed.ticket);
    if (found == exchanges_.end())
        return;
    auto const exchange = found->second;
    log_.notable(
        "worker limit reached",
        log_fields()
            .add("request", exchange->request().id.str())
            .add("worker", decision.worker.str())
            .add("per_second",
                 fmt::format("{}",
                             limits_.limit_of(decision.worker).value_or(0)))
            .add("free_in_ms", decision.available_at - at)
            .add("age_ms", at - exchange->terms().arrived_at),
        at);
    release_worker_slot(placed.entry.service, placed.ticket,
                        send_outcome::abandoned);
    exchange->on_postponed();
}

bool relay::cancel_pending_send(relay_exchange const& exchange)
{
    ticket_id const ticket = exchange.terms().ticket;
    if (pending_sends_.erase(ticket) == 0)
        return false;
    limits_.withdraw(ticket);
    find(exchange.terms().service)->scheduler.not_sent(ticket, now());
    release_worker_slot(exchange.terms().service, ticket,
                        send_outcome::abandoned);
    return true;
}

void relay::send_limit_query(query_vm const& ask)
{
    auto const on_reply = [this, number = ask.number](
                              std::optional<worker_limit_reply> const& reply)
    {
        limits_.on_reply(number, reply, now());
        log_limit_changes();
    };
    auto const peer = peers_.find(ask.to);
    if (ask.to == options_.vm || peer == peers_.end())
        return asio::post(
            io_,
            [this, on_reply, ask]
            {
                on_reply(ask.to == options_.vm
                             ? std::optional(limits_.answer(ask.message, now()))
                             : std::nullopt);
            });
    collected_call call;
    call.to = peer->second.address;
    call.bytes = encode_worker_limit_query(ask.message, call.to.ip, now());
    call.options.connect_timeout = pool_connect_timeout;
    call.options.max_idle = pool_connection_max_idle;
    call.framed_only = true;
    call.current_deadline = [ends = std::chrono::steady_clock::now() +
                                    pool_request_timeout] { return ends; };
    call.on_end = [this, on_reply](collected_answer const& answer)
    {
        on_reply(answer.status == status_ok
                     ? decode_worker_limit_reply(answer.body, now())
                     : std::nullopt);
    };
    start_collected(io_, pool_, std::move(call));
}

void relay::handle_worker_limits(http_request const& received,
                                 http_answer& answer)
{
    time_point const at = now();
    auto const query = decode_worker_limit_query(received.body, at);
    if (!query)
        return answer.respond({status_bad_request, {}, {}});
    worker_limit_reply const reply = limits_.answer(*query, at);
    log_limit_changes();
    answer.respond(
        json_response(status_ok, encode_worker_limit_reply(reply, at)));
}

} // namespace mulberry
