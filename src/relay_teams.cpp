// Checks callers' keys and charges requests to teams' allotments.
#include "boot_clock.hpp"
#include "collected_exchange.hpp"
#include "peer_allotment.hpp"
#include "relay.hpp"
#include "team_key.hpp"

#include <asio/post.hpp>

#include <algorithm>
#include <utility>

namespace mulberry
{
namespace
{

using std::chrono::milliseconds;

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
/// Short, since a pool answers from memory.
constexpr milliseconds pool_request_timeout{300};
constexpr milliseconds pool_connect_timeout{150};
constexpr milliseconds pool_connection_max_idle{3000};
/// A request may spend one part in this many of its objective on waiting for
/// its team's units; the rest is for its worker.
constexpr int allotment_wait_divisor = 4;
constexpr milliseconds min_allotment_wait{20};
constexpr milliseconds max_allotment_wait{200};

/// The same for all routes: a route whose requests wait longer would reserve
/// all units before those of the others.
duration early_refusal_wait(routing_config const& config)
{
    duration shortest = duration::max();
    for (route const& each : config.routes)
        shortest = std::min(shortest, each.latency_objective);
    return std::clamp<duration>(shortest / allotment_wait_divisor,
                                min_allotment_wait, max_allotment_wait);
}

std::uint64_t& refusal_counter(relay_counts& counts,
                               relay_request const& request, error_kind kind)
{
    if (kind == error_kind::configuration_stale)
        return counts.key_unverified;
    return request.key ? counts.key_unknown : counts.key_missing;
}

} // namespace

access_decision relay::check_access(relay_request const& request,
                                    route const& matched)
{
    time_point const at = now();
    declarations_known const known = options_.declarations_as_of
                                         ? options_.declarations_as_of()
                                         : declarations_known{at, at};
    access_decision decision =
        teams_->decide(matched, request.key, known, options_.keys, at);
    auto const* refused = std::get_if<error>(&decision);
    if (refused == nullptr)
        return decision;
    ++refusal_counter(counts_, request, refused->kind());
    log_.notable("key refused",
                 log_fields()
                     .add("request", request.id.str())
                     .add("key", request.key ? fingerprint(*request.key) : "")
                     .add("reason", refused->text())
                     .add("proven_ms_ago", at - known.proven_at)
                     .add("shown_ms_ago", at - known.shown_at)
                     .add("config", version().value()),
                 at);
    return decision;
}

std::optional<error> relay::check_key(relay_exchange const& exchange)
{
    auto const& team = exchange.terms().team;
    if (!team || team->empty())
        return std::nullopt;
    auto const access =
        check_access(exchange.request(), *exchange.terms().matched);
    if (auto const* refused = std::get_if<error>(&access))
        return *refused;
    auto const* const holder = std::get<access_granted>(access).holder;
    if (holder != nullptr && holder->name == *team)
        return std::nullopt;
    return error(error_kind::unauthorized,
                 "the key now belongs to another team");
}

void relay::update_teams()
{
    teams_ = std::make_unique<team_directory>(config_);
    std::map<allotment_id, allotment> limits;
    largest_team_weight_ = 0;
    for (team const& each : config_->teams)
        if (each.limit)
        {
            limits.emplace(allotment_key(each.name), *each.limit);
            largest_team_weight_ = std::max(
                largest_team_weight_, plain_requests_per_second(*each.limit));
        }
    if (largest_team_weight_ <= 0)
        largest_team_weight_ = 1;
    by_objective_ = limits_by_objective(options_.objectives, *config_);
    std::erase_if(usual_deadlines_,
                  [this](auto const& each)
                  {
                      return !by_objective_ ||
                             std::none_of(config_->routes.begin(),
                                          config_->routes.end(),
                                          [&each](route const& one)
                                          { return one.name == each.first; });
                  });
    allotments_->refuse_early(by_objective_
                                  ? std::optional(early_refusal_wait(*config_))
                                  : std::nullopt);
    allotments_->set_allotments(limits, now());
    schedule_run();
}

double relay::team_weight(team const* holder) const
{
    return holder != nullptr && holder->limit
               ? plain_requests_per_second(*holder->limit)
               : largest_team_weight_;
}

double relay::team_weight(team_id const& name) const
{
    auto const known =
        std::find_if(config_->teams.begin(), config_->teams.end(),
                     [&name](team const& each) { return each.name == name; });
    return known == config_->teams.end() ? 1 : team_weight(&*known);
}

void relay::acquire_allotment(std::shared_ptr<relay_exchange> const& exchange,
                              team const* holder)
{
    if (holder == nullptr || !holder->limit)
        return start_exchange(exchange);
    exchange_terms const& terms = exchange->terms();
    double const units = allotment_cost(exchange->request(), *holder->limit);
    metered_requests_[terms.ticket] = {holder->name, units};
    exchange->waits().begin(wait_cause::allotment, now());
    allotments_->request({terms.ticket, allotment_key(holder->name), units,
                          terms.give_up_at, terms.objective_at},
                         now());
    run_allotments();
    schedule_run();
}

void relay::run_allotments()
{
    for (allotment_action const& action : allotments_->run(now()))
        if (auto const* ask = std::get_if<query_pool>(&action))
            send_allotment_query(*ask);
        else
            on_allotment_decision(std::get<allotment_decision>(action));
}

void relay::on_allotment_decision(allotment_decision const& decision)
{
    auto const found = exchanges_.find(decision.ticket);
    auto const metered = metered_requests_.find(decision.ticket);
    if (found == exchanges_.end() || metered == metered_requests_.end())
        return;
    auto const exchange = found->second;
    if (!decision.refused)
    {
        metered->second.pending = false;
        return start_exchange(exchange);
    }
    error const& why = *decision.refused;
    ++(why.kind() == error_kind::over_allotment ? counts_.over_allotment
                                                : counts_.allotment_unknown);
    time_point const at = now();
    log_.notable("allotment refused",
                 log_fields()
                     .add("request", exchange->request().id.str())
                     .add("team", metered->second.team.str())
                     .add("units", static_cast<int>(metered->second.units))
                     .add("reason", why.text())
                     .add("fits_in_ms", why.retry_after().value_or(duration(0)))
                     .add("config", version().value()),
                 at);
    exchange->on_refused(
        error(why.kind(), why.text(), why.request_ran(),
              add_jitter(why.retry_after().value_or(duration(0)))));
}

/// A query to this VM's own pool is answered asynchronously too, but without
/// the network.
void relay::send_allotment_query(query_pool const& ask)
{
    auto const on_reply =
        [this, number = ask.number](std::optional<allotment_reply> const& reply)
    {
        allotments_->on_reply(number, reply, now());
        run_allotments();
        schedule_run();
    };
    auto const peer = peers_.find(ask.pool);
    if (ask.pool == options_.vm || peer == peers_.end())
        return asio::post(io_,
                          [this, on_reply, ask]
                          {
                              on_reply(ask.pool == options_.vm
                                           ? std::optional(allotments_->answer(
                                                 ask.query, now()))
                                           : std::nullopt);
                          });
    collected_call call;
    call.to = peer->second.address;
    call.bytes = encode_allotment_query(ask.query, call.to.ip);
    call.options.connect_timeout = pool_connect_timeout;
    call.options.max_idle = pool_connection_max_idle;
    call.framed_only = true;
    call.current_deadline = [ends = std::chrono::steady_clock::now() +
                                    pool_request_timeout] { return ends; };
    call.on_end = [on_reply](collected_answer const& answer)
    {
        on_reply(answer.status == status_ok
                     ? decode_allotment_reply(answer.body)
                     : std::nullopt);
    };
    start_collected(io_, pool_, std::move(call));
}

void relay::handle_allotment(http_request const& received, http_answer& answer)
{
    auto const query = decode_allotment_query(received.body);
    if (!query)
        return answer.respond({status_bad_request, {}, {}});
    answer.respond(json_response(
        status_ok, encode_allotment_reply(allotments_->answer(*query, now()))));
}

} // namespace mulberry
