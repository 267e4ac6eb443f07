// Which callers' requests the relay takes, and what it tells the others.
#include "relay.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace mulberry
{
namespace
{

using std::chrono::milliseconds;

/// A caller that named no deadline waits as long as its route allows.
constexpr std::chrono::seconds no_deadline{3600};
/// A route names a service that is not known yet: a configuration is on its
/// way.
constexpr milliseconds not_ready_retry{200};
/// Requests kept while a VM starts; at a few kilobytes each they are the least
/// part of its memory.
constexpr std::size_t most_early = 512;
/// Other VMs take the caller's next connection at once.
constexpr milliseconds leaving_retry{20};

} // namespace

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
    if (refuses_new_)
        return refuse_at_once(request, *answer,
                              error(error_kind::draining, "this VM is leaving",
                                    ran::no, leaving_retry));
    if (!informed())
        return keep_early(std::move(request), std::move(answer));
    admit(std::move(request), std::move(answer), now());
}

/// See start_hold.hpp.
void relay::keep_early(relay_request request,
                       std::shared_ptr<http_answer> answer)
{
    time_point const at = now();
    time_point const until = start_.keep_until(at, request.time_left);
    early_request early{std::move(request), std::move(answer), at, until,
                        std::make_shared<bool>(false)};
    if (early.keep_until <= at || early_.size() >= most_early)
        return refuse_uninformed(early);
    early.answer->on_closed([gone = early.gone] { *gone = true; });
    early_.push_back(std::move(early));
    run_soon();
}

void relay::refuse_uninformed(early_request const& early)
{
    refuse_at_once(early.request, *early.answer,
                   error(error_kind::configuration_stale,
                         has_config() ? "the workers are not known yet"
                                      : "no configuration is known yet",
                         ran::no, start_.retry_after(now())));
}

/// Those that wait for what is known now are decided on, those that have waited
/// long enough are turned away.
void relay::review_early()
{
    time_point const at = now();
    std::vector<early_request> waiting = std::exchange(early_, {});
    for (early_request& each : waiting)
    {
        if (*each.gone)
            ++counts_.caller_gone;
        else if (informed())
            admit(std::move(each.request), std::move(each.answer),
                  each.arrived_at);
        else if (at >= each.keep_until || refuses_new_)
            refuse_uninformed(each);
        else
            early_.push_back(std::move(each));
    }
}

void relay::admit(relay_request request, std::shared_ptr<http_answer> answer,
                  time_point arrived_at)
{
    route const* const matched = routes_->find(request.host, request.path);
    if (matched == nullptr)
        return refuse_at_once(
            request, *answer,
            error(error_kind::not_found, "no route has that host and path"));
    auto const access = access_to(request, *matched);
    if (auto const* refused = std::get_if<error>(&access))
        return refuse_at_once(request, *answer, *refused);
    team const* const holder = std::get<access_granted>(access).holder;
    exchange_terms terms;
    if (!teams_->empty())
        terms.team = holder != nullptr ? holder->name : team_id();
    terms.priority = routes_->urgency(*matched, holder);
    terms.ticket = ticket_id(++last_ticket_);
    terms.service = route_table::choose_service(
        *matched, std::uniform_real_distribution<double>()(random_));
    terms.matched = matched;
    terms.config = config_;
    terms.arrived_at = arrived_at;
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
    ticket_id const ticket = terms.ticket;
    auto const exchange = std::make_shared<relay_exchange>(
        *this, std::move(terms), std::move(request), answer);
    if (auto const refused = refused_for_crashes(*exchange))
        return refuse_at_once(exchange->request(), *answer, *refused);
    service->retries.count_request(now());
    exchanges_.emplace(ticket, exchange);
    answer->on_closed(
        [weak = std::weak_ptr(exchange)]
        {
            if (auto const open = weak.lock())
                open->on_caller_gone();
        });
    start_metered(exchange, holder);
}

std::optional<error> relay::refused_for_crashes(relay_exchange const& exchange)
{
    if (crashes_.has_no_suspects())
        return std::nullopt;
    auto const held = crashes_.find_quarantine(exchange.identity());
    if (!held)
        return std::nullopt;
    crashes_.count_refused();
    time_point const at = now();
    log_.notable("request refused",
                 log_fields()
                     .add("request", exchange.request().id.str())
                     .add("content", exchange.identity().content.str())
                     .add("reason", "workers crashed under requests like it")
                     .add("crashes", std::uint64_t{held->crashes})
                     .add("workers", held->workers)
                     .add("for_ms", held->until - at),
                 at);
    return error(error_kind::quarantined,
                 "workers crashed under requests like it", ran::no,
                 held->until - at);
}

} // namespace mulberry
