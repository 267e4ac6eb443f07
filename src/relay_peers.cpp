// What a relay and the other VMs say to each other.
#include "boot_clock.hpp"
#include "collected_exchange.hpp"
#include "relay.hpp"

#include <asio/post.hpp>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace mulberry
{
namespace
{

using std::chrono::milliseconds;

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
/// Grants that are over are told with the next question to their VM, or after
/// this: until then the worker's room counts as taken.
constexpr milliseconds tell_done_delay{30};
constexpr milliseconds tell_done_timeout{500};
constexpr milliseconds peer_connect_timeout{250};
constexpr milliseconds peer_idle{3000};
/// A grant whose end was never told is over so long after its deadline.
constexpr milliseconds grant_slack{500};

/// An answer that takes longer is always logged.
constexpr milliseconds slow_answer{200};

std::string_view outcome_name(ask_outcome outcome)
{
    switch (outcome)
    {
    case ask_outcome::granted:
        return "granted";
    case ask_outcome::refused:
        return "refused";
    case ask_outcome::unreachable:
        return "unreachable";
    case ask_outcome::silent:
        return "silent";
    }
    return "silent";
}

collected_call call_to(backend_address const& to, peer_call const& message)
{
    collected_call call;
    call.to = to;
    call.bytes = encode_peer_call(message, to.ip, boot_clock::now());
    call.options.connect_timeout = peer_connect_timeout;
    call.options.max_idle = peer_idle;
    return call;
}

} // namespace

void relay::share_members(std::vector<member_view> const& members,
                          bool registered)
{
    allotment_members shared;
    shared.count = members_;
    for (member_view const& member : members)
    {
        bool const self = member.vm == options_.vm;
        shared.joined |= self;
        shared.first_life |=
            self && registered && member.life == incarnation(1);
        if (member.state == member_state::live)
            shared.candidates.push_back({member.vm, member.millicores});
    }
    allotments_->set_members(std::move(shared), now());
}

void relay::set_members(std::vector<member_view> members, bool registered)
{
    members_ = std::max<std::size_t>(members.size(), 1);
    for (auto& [name, service] : services_)
        service.scheduler.set_members(members_);
    share_members(members, registered);
    std::map<vm_id, peer_link> links;
    for (member_view const& member : members)
    {
        auto const address = parse_address(member.address);
        if (member.vm == options_.vm || !address)
            continue;
        peer_link& link = links[member.vm];
        link.address = *address;
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
                             ? decode_peer_call(received.body, now())
                             : std::nullopt;
    if (!message)
        return answer->respond({status_bad_request, {}, {}});
    for (peer_completion const& done : message->done)
        forget_peer_request(ticket_id(done.grant), done.outcome);
    if (!message->crashes.empty())
        crashes_.on_news(message->crashes);
    if (!message->ask)
        return answer->respond(json_response(status_ok, encode_peer_reply({})));
    peer_grant_request const& ask = *message->ask;
    service_state* const service = find(ask.service);
    if (service == nullptr || !service->engine)
        return answer->respond(json_response(status_ok, encode_peer_reply({})));
    // The answer begins at once and ends with the decision: the VM that asked
    // can tell a slow load from an owner that is gone.
    answer->start_stream(status_ok, {});
    time_point const at = now();
    work_item item;
    item.ticket = ticket_id(++last_ticket_);
    item.target = ask.target;
    item.priority = ask.priority;
    item.arrived_at = at;
    item.give_up_at = at + ask.time_left;
    item.asked_for = ask.worker;
    item.excluded = ask.excluded;
    item.prompt_tokens = ask.prompt_tokens;
    item.prefix = ask.prefix;
    if (ask.objective_left)
        item.objective_at = at + *ask.objective_left;
    if (ask.start_delay_elsewhere)
        item.begins_elsewhere_at = at + *ask.start_delay_elsewhere;
    ticket_id const ticket = item.ticket;
    due_.set(ticket, item.give_up_at + grant_slack);
    peer_requests_[ticket] = {ask.service, answer, ask.request, ask.worker, at};
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
        service->scheduler.withdraw(ticket, now());
        service->scheduler.ended(ticket, outcome, now());
    }
    due_.erase(ticket);
    peer_requests_.erase(found);
    run_soon();
}

void relay::answer_peer(ticket_id ticket, bool granted,
                        granted_copy const& copy, double load)
{
    auto const found = peer_requests_.find(ticket);
    if (found == peer_requests_.end())
        return;
    auto const answer = std::exchange(found->second.answer, nullptr);
    time_point const at = now();
    auto const waited = at - found->second.arrived_at;
    auto const fields = [&]
    {
        return log_fields()
            .add("request", found->second.request.str())
            .add("worker", (granted ? copy.worker : found->second.worker).str())
            .add("outcome", granted ? "granted" : "refused")
            .add("waited_ms", waited)
            .add("load_percent", static_cast<int>(load * 100));
    };
    if (!granted || waited >= slow_answer)
        log_.notable("room for another VM", fields(), at);
    else
        log_.routine("room for another VM", fields(), at);
    if (answer)
    {
        answer->write(encode_peer_reply(
            {granted, ticket.value(), copy.worker, copy.version}));
        answer->finish();
    }
    if (granted)
        return;
    due_.erase(ticket);
    peer_requests_.erase(found);
}

/// May be called within a decision, so nothing is told before it is over.
void relay::send_ask(service_state& service, ask_owner const& ask)
{
    auto const found = exchanges_.find(ask.ticket);
    auto const peer = peers_.find(ask.owner);
    if (found == exchanges_.end())
        return service.scheduler.withdraw(ask.ticket, now());
    service_id const name = found->second->terms().service;
    if (peer == peers_.end())
    {
        asio::post(io_, [this, name, ask]
                   { on_ask(name, ask, now(), ask_outcome::unreachable, {}); });
        return;
    }
    peer_call message;
    message.ask = peer_grant_request{name,
                                     ask.worker,
                                     ask.target,
                                     ask.priority,
                                     ask.give_up_at - now(),
                                     found->second->request().id,
                                     ask.excluded,
                                     ask.prompt_tokens,
                                     ask.prefix,
                                     std::nullopt,
                                     std::nullopt};
    if (ask.objective_at != never)
        message.ask->objective_left =
            std::max<duration>(ask.objective_at - now(), duration(0));
    if (ask.begins_elsewhere_at != never)
        message.ask->start_delay_elsewhere = ask.begins_elsewhere_at - now();
    message.done = std::exchange(peer->second.done, {});
    collected_call call = call_to(peer->second.address, message);
    call.ends_at = [this, name, ticket = ask.ticket] {
        return boot_clock::to_steady(find(name)->scheduler.ask_ends_at(ticket));
    };
    call.on_head = [this, name, ticket = ask.ticket](int status)
    {
        if (status == status_ok)
            find(name)->scheduler.on_owner_heard(ticket, now());
    };
    call.on_end =
        [this, name, ask, asked_at = now()](collected_answer const& answer)
    {
        auto const reply = answer.status == status_ok
                               ? decode_peer_reply(answer.body)
                               : std::nullopt;
        ask_outcome const outcome = answer.timed_out ? ask_outcome::silent
                                    : !reply         ? ask_outcome::unreachable
                                    : reply->granted ? ask_outcome::granted
                                                     : ask_outcome::refused;
        on_ask(name, ask, asked_at, outcome, reply.value_or(peer_reply()));
    };
    asks_[ask.ticket] = start_collected(io_, pool_, std::move(call));
}

void relay::note_ask(ask_owner const& ask, time_point asked_at,
                     ask_outcome outcome, peer_reply const& reply)
{
    auto const found = exchanges_.find(ask.ticket);
    if (found == exchanges_.end())
        return;
    time_point const at = now();
    auto const fields = [&]
    {
        return log_fields()
            .add("request", found->second->request().id.str())
            .add("owner", ask.owner.str())
            .add("worker", ask.worker.str())
            .add("granted", reply.worker.str())
            .add("outcome", outcome_name(outcome))
            .add("took_ms", at - asked_at);
    };
    if (outcome != ask_outcome::granted || at - asked_at >= slow_answer)
        log_.notable("owner answered", fields(), at);
    else
        log_.routine("owner answered", fields(), at);
}

void relay::on_ask(service_id const& service, ask_owner const& ask,
                   time_point asked_at, ask_outcome outcome,
                   peer_reply const& reply)
{
    asks_.erase(ask.ticket);
    note_ask(ask, asked_at, outcome, reply);
    bool const wanted = exchanges_.count(ask.ticket) > 0;
    if (outcome == ask_outcome::granted)
    {
        if (!wanted)
            return give_back({ask.owner, reply.grant}, send_outcome::abandoned);
        held_grants_[ask.ticket] = {ask.owner, reply.grant};
    }
    service_state& state = *find(service);
    tell_registry_moment(state);
    bool const used = state.scheduler.on_owner(
        ask.ticket, outcome, {reply.worker, reply.version}, now());
    if (!used && outcome == ask_outcome::granted)
    {
        give_back({ask.owner, reply.grant}, send_outcome::abandoned);
        held_grants_.erase(ask.ticket);
    }
    run_soon();
}

void relay::tell_all(crash_news const& news,
                     std::function<void(bool by_all)> done)
{
    struct round
    {
        std::size_t open = 0;
        bool by_all = true;
        std::function<void(bool)> done;
    };
    if (peers_.empty())
        return asio::post(io_, [done = std::move(done)] { done(false); });
    auto const told = std::make_shared<round>();
    told->open = peers_.size();
    told->done = std::move(done);
    for (auto const& [vm, peer] : peers_)
    {
        peer_call message;
        message.crashes = news;
        collected_call call = call_to(peer.address, message);
        call.ends_at = [ends = std::chrono::steady_clock::now() +
                               tell_done_timeout] { return ends; };
        call.on_end = [told](collected_answer const& answer)
        {
            told->by_all &= answer.status == status_ok;
            if (--told->open == 0)
                told->done(told->by_all);
        };
        start_collected(io_, pool_, std::move(call));
    }
}

void relay::give_back(held_grant const& grant, send_outcome outcome)
{
    auto const peer = peers_.find(grant.owner);
    if (peer == peers_.end())
        return;
    peer->second.done.push_back({grant.number, outcome});
    tell_done_at_ = std::min(tell_done_at_, now() + tell_done_delay);
}

void relay::tell_done()
{
    tell_done_at_ = never;
    for (auto& [vm, peer] : peers_)
    {
        if (peer.done.empty())
            continue;
        peer_call message;
        message.done = std::exchange(peer.done, {});
        collected_call call = call_to(peer.address, message);
        call.ends_at = [ends = std::chrono::steady_clock::now() +
                               tell_done_timeout] { return ends; };
        // Nothing follows from it: a grant that is not given back expires.
        call.on_end = [](collected_answer const&) {};
        start_collected(io_, pool_, std::move(call));
    }
}

} // namespace mulberry
