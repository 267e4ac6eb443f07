// Admission control: which callers' requests the relay accepts, and the errors
// for the others.
#include "placement.hpp"
#include "relay.hpp"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <string>
#include <utility>

namespace mulberry
{
namespace
{

using std::chrono::milliseconds;

/// For a caller that gave no deadline: only the route's timeout applies.
constexpr std::chrono::seconds default_time_left{3600};
/// Retry-After when a route names a service that is not known yet: a newer
/// configuration is about to arrive.
constexpr milliseconds unknown_service_retry_delay{200};
/// Callers that spent more than this part of their route's timeout were refused
/// before; they are told to return after half of their time. Callers may set
/// somewhat shorter limits of their own.
constexpr int returned_divisor = 4;
/// The same where callers usually wait for longer than the route's timeout, and
/// how long is known from their calls.
constexpr int returned_usual_divisor = 8;
/// Limit on the requests held while a VM starts; at a few kilobytes each they
/// take little of its memory.
constexpr std::size_t max_early_requests = 512;
/// Retry-After of a VM that leaves: other VMs accept the caller's next
/// connection at once.
constexpr milliseconds leaving_retry_delay{20};

error leaving_error()
{
    return error(error_kind::draining, "this VM is leaving", ran::no,
                 leaving_retry_delay);
}

} // namespace

/// All tries of a stream draw the same, at every VM: it goes on at the service
/// that began it.
double relay::draw_share(relay_request const& request, route const& matched)
{
    if (!matched.resumable)
        return std::uniform_real_distribution<double>()(random_);
    request_id const stream = request.resumes.value_or(request.id);
    return double(stable_hash(stream.str()) >> 1U) /
           double(std::numeric_limits<std::int64_t>::max());
}

void relay::reject_immediately(relay_request const& request,
                               http_answer& answer, error const& problem)
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
    if (rejects_new_requests_)
        return reject_immediately(request, *answer, leaving_error());
    bool const awaits =
        awaits_versions(request) &&
        start_hold_.hold_until(now(), request.time_left) > now();
    if (!is_initialized() || awaits)
        return hold_early_request(std::move(request), std::move(answer));
    admit(std::move(request), std::move(answer), now());
}

/// Failure: a VM is ready, but has yet to record the versions of the workers'
/// software; a stream that arrives in these milliseconds is rejected, since it
/// may begin at none.
bool relay::awaits_versions(relay_request const& request)
{
    route const* const matched =
        is_initialized() ? routes_->find(request.host, request.path) : nullptr;
    if (matched == nullptr || !matched->resumable || request.last_event ||
        request.resumes)
        return false;
    return std::any_of(matched->services.begin(), matched->services.end(),
                       [this](weighted_service const& target)
                       {
                           service_state const* const service =
                               find(target.service);
                           return service != nullptr &&
                                  service->scheduler.has_backends() &&
                                  service->software.established().empty();
                       });
}

/// See startup_hold.hpp.
void relay::hold_early_request(relay_request request,
                               std::shared_ptr<http_answer> answer)
{
    time_point const at = now();
    time_point const until = start_hold_.hold_until(at, request.time_left);
    early_request early{std::move(request), std::move(answer), at, until,
                        std::make_shared<bool>(false)};
    if (early.keep_until <= at || early_requests_.size() >= max_early_requests)
        return reject_early_request(early);
    // Dropped soon: its memory is not charged any more.
    early.answer->on_closed(
        [this, disconnected = early.disconnected]
        {
            *disconnected = true;
            schedule_run();
        });
    early_requests_.push_back(std::move(early));
    schedule_run();
}

void relay::reject_new_requests()
{
    if (!std::exchange(rejects_new_requests_, true))
        process_early_requests();
}

void relay::end_requests()
{
    error const leaving = leaving_error();
    // on_finished() erases an exchange in a later turn of the event loop.
    for (auto const& [ticket, exchange] : exchanges_)
        exchange->on_stopped(leaving);
}

void relay::reject_early_request(early_request const& early)
{
    reject_immediately(early.request, *early.answer,
                       error(error_kind::configuration_stale,
                             has_config() ? "the workers are not known yet"
                                          : "no configuration is known yet",
                             ran::no, start_hold_.retry_after(now())));
}

void relay::process_early_requests()
{
    time_point const at = now();
    std::vector<early_request> waiting = std::exchange(early_requests_, {});
    for (early_request& each : waiting)
    {
        if (*each.disconnected)
            ++counts_.caller_gone;
        else if (is_initialized() &&
                 (at >= each.keep_until || !awaits_versions(each.request)))
            admit(std::move(each.request), std::move(each.answer),
                  each.arrived_at);
        else if (at >= each.keep_until || rejects_new_requests_)
            reject_early_request(each);
        else
            early_requests_.push_back(std::move(each));
    }
}

/// Where objectives decide, a caller with far less time left than its route
/// allows, or than its callers usually have, is taken to have spent the rest
/// elsewhere: it was refused, and has returned.
time_point relay::objective_of(route const& matched,
                               relay_request const& request,
                               time_point arrived_at) const
{
    time_point const fresh = arrived_at + matched.latency_objective;
    if (!request.time_left || !by_objective_)
        return fresh;
    duration spent = matched.timeout - *request.time_left;
    duration tolerance = matched.timeout / returned_divisor;
    auto const usual = usual_deadlines_.find(matched.name);
    if (usual != usual_deadlines_.end() &&
        usual->second.value() > matched.timeout)
    {
        spent = *usual->second.value() - *request.time_left;
        tolerance =
            std::max<duration>(matched.latency_objective,
                               *usual->second.value() / returned_usual_divisor);
    }
    return spent > tolerance ? fresh - spent : fresh;
}

void relay::admit(relay_request request, std::shared_ptr<http_answer> answer,
                  time_point arrived_at)
{
    route const* const matched = routes_->find(request.host, request.path);
    if (matched == nullptr)
        return reject_immediately(
            request, *answer,
            error(error_kind::not_found, "no route has that host and path"));
    auto const access = check_access(request, *matched);
    if (auto const* refused = std::get_if<error>(&access))
        return reject_immediately(request, *answer, *refused);
    team const* const holder = std::get<access_granted>(access).holder;
    exchange_terms terms;
    if (!teams_->empty())
        terms.team = holder != nullptr ? holder->name : team_id();
    terms.team_weight = team_weight(holder);
    terms.priority = routes_->effective_priority(*matched, holder);
    terms.ticket = ticket_id(++last_ticket_);
    terms.service =
        route_table::choose_service(*matched, draw_share(request, *matched));
    terms.matched = matched;
    terms.config = config_;
    terms.arrived_at = arrived_at;
    terms.give_up_at =
        terms.arrived_at +
        std::min<duration>(matched->timeout,
                           request.time_left.value_or(default_time_left));
    if (by_objective_ && request.time_left)
        usual_deadlines_[matched->name].add(*request.time_left);
    terms.objective_at = objective_of(*matched, request, arrived_at);
    service_state* const service = find(terms.service);
    if (service == nullptr)
        return reject_immediately(request, *answer,
                                  error(error_kind::back_end_unavailable,
                                        "the route's service is not known",
                                        ran::no, unknown_service_retry_delay));
    terms.engine = service->engine;
    ticket_id const ticket = terms.ticket;
    auto const exchange = std::make_shared<relay_exchange>(
        *this, std::move(terms), std::move(request), answer);
    if (auto const refused = check_quarantine(*exchange))
        return reject_immediately(exchange->request(), *answer, *refused);
    service->retries.count_request(now());
    exchanges_.emplace(ticket, exchange);
    answer->on_closed(
        [weak = std::weak_ptr(exchange)]
        {
            if (auto const open = weak.lock())
                open->on_caller_gone();
        });
    if (!exchange->is_over())
        acquire_allotment(exchange, holder);
}

std::optional<error> relay::check_quarantine(relay_exchange const& exchange)
{
    if (crashes_.has_no_suspects())
        return std::nullopt;
    auto const active_quarantine =
        crashes_.find_quarantine(exchange.identity());
    if (!active_quarantine)
        return std::nullopt;
    crashes_.count_refused();
    time_point const at = now();
    log_.notable("request refused",
                 log_fields()
                     .add("request", exchange.request().id.str())
                     .add("content", exchange.identity().content.str())
                     .add("reason", "workers crashed under requests like it")
                     .add("crashes", std::uint64_t{active_quarantine->crashes})
                     .add("workers", active_quarantine->workers)
                     .add("for_ms", active_quarantine->until - at),
                 at);
    return error(error_kind::quarantined,
                 "workers crashed under requests like it", ran::no,
                 active_quarantine->until - at);
}

} // namespace mulberry
