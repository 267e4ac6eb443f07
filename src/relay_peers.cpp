// Messages between the relays of the VMs: grant requests, ended grants and
// requests that crash workers.
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
/// Ended grants are reported with the next grant request to their VM, or after
/// this delay. Until then the owner counts the worker's slot as in use.
constexpr milliseconds ended_grants_delay{30};
constexpr milliseconds peer_update_timeout{500};
/// A VM answers from memory.
constexpr milliseconds part_answer_timeout{300};
constexpr milliseconds peer_connect_timeout{250};
constexpr milliseconds peer_max_idle{3000};
/// A grant whose end was never reported expires this long after its deadline.
constexpr milliseconds grant_expiry_margin{500};

/// Answers that take longer are always logged.
constexpr milliseconds slow_answer_threshold{200};

std::string_view outcome_name(grant_outcome outcome)
{
    switch (outcome)
    {
    case grant_outcome::granted:
        return "granted";
    case grant_outcome::refused:
        return "refused";
    case grant_outcome::unreachable:
        return "unreachable";
    case grant_outcome::silent:
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
    call.options.max_idle = peer_max_idle;
    call.framed_only = true;
    return call;
}

} // namespace

void relay::update_allotment_members(std::vector<member_view> const& members,
                                     bool registered)
{
    allotment_members shared;
    shared.count = members_;
    for (member_view const& member : members)
    {
        bool const self = member.vm == options_.vm;
        shared.joined |= self;
        shared.first_incarnation |=
            self && registered && member.incarnation_number == incarnation(1);
        if (member.state == member_state::live)
            shared.candidates.push_back({member.vm, member.millicores});
    }
    limits_.set_members(shared, now());
    allotments_->set_members(std::move(shared), now());
}

void relay::set_members(std::vector<member_view> members, bool registered)
{
    members_ = std::max<std::size_t>(members.size(), 1);
    update_allotment_members(members, registered);
    for (auto& [name, service] : services_)
    {
        service.scheduler.set_members(members_);
        service.retries.set_vms(members_, now());
    }
    std::map<vm_id, domain_id> forwarders;
    std::map<vm_id, peer_state> states;
    for (member_view const& member : members)
    {
        auto const address = parse_address(member.address);
        if (member.vm == options_.vm || !address)
            continue;
        peer_state& state = states[member.vm];
        state.address = *address;
        if (member.state == member_state::live && !member.cut_off)
            forwarders.emplace(member.vm, member.domain);
        if (auto const known = peers_.find(member.vm); known != peers_.end())
            state.done = std::move(known->second.done);
    }
    peers_ = std::move(states);
    forwarders_.set_vms(forwarders);
    live_vms_.clear();
    for (member_view const& member : members)
        if (member.state == member_state::live)
            live_vms_.push_back(member.vm);
    std::vector<vm_id> senders{options_.vm};
    for (auto const& [vm, domain] : forwarders)
        senders.push_back(vm);
    std::sort(senders.begin(), senders.end());
    sending_vms_ = std::move(senders);
    for (auto& [name, service] : services_)
    {
        service.scheduler.set_vms(sending_vms_);
        ask_for_versions(name, service);
    }
}

void relay::set_owners(std::map<worker_id, vm_id> owners)
{
    owners_ = std::move(owners);
    for (auto& [name, service] : services_)
        service.scheduler.set_owners(owners_);
    schedule_run();
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
        end_peer_request(ticket_id(done.grant), done.outcome);
    if (!message->crashes.empty())
        crashes_.on_crash_update(message->crashes);
    for (rejection_notice const& notice : message->rejections)
        on_rejection_notice(notice);
    if (!message->ask)
    {
        peer_reply reply;
        reply.part_answers = crashes_.part_answers(message->asked_parts);
        return answer->respond(
            json_response(status_ok, encode_peer_reply(reply, now())));
    }
    peer_grant_request const& ask = *message->ask;
    service_state* const service = find(ask.service);
    if (service == nullptr || !service->engine)
        return answer->respond(
            json_response(status_ok, encode_peer_reply({}, now())));
    // The head of the answer is sent at once, the decision when it is made: the
    // requesting VM can then tell a slow load from an owner that is gone.
    answer->start_stream(status_ok, {});
    time_point const at = now();
    work_item item;
    item.ticket = ticket_id(++last_ticket_);
    item.target = ask.target;
    item.priority = ask.priority;
    item.arrived_at = at;
    item.give_up_at = at + ask.time_left;
    item.requested_worker = ask.worker;
    item.excluded = ask.excluded;
    item.software = ask.software;
    item.continues_stream = ask.continues_stream;
    item.prompt_tokens = ask.prompt_tokens;
    item.answer_tokens = ask.answer_tokens;
    item.team = ask.team;
    item.team_weight = team_weight(ask.team);
    item.prefix = ask.prefix;
    if (ask.objective_left)
        item.objective_at = at + *ask.objective_left;
    if (ask.start_delay_elsewhere)
        item.begins_elsewhere_at = at + *ask.start_delay_elsewhere;
    ticket_id const ticket = item.ticket;
    due_.set(ticket, item.give_up_at + grant_expiry_margin);
    peer_request waiting{ask.service, answer, ask.request, ask.worker, at, {}};
    waiting.waits.begin(wait_cause::batch_slot, at);
    peer_requests_[ticket] = std::move(waiting);
    service->scheduler.submit(std::move(item), at);
    answer->on_closed([this, ticket]
                      { end_peer_request(ticket, send_outcome::abandoned); });
    schedule_run();
}

void relay::end_peer_request(ticket_id ticket, send_outcome outcome)
{
    auto const found = peer_requests_.find(ticket);
    if (found == peer_requests_.end())
        return;
    if (service_state* const service = find(found->second.service))
    {
        service->scheduler.withdraw(ticket, now());
        service->scheduler.ended(ticket, outcome, now());
    }
    if (found->second.answer)
        grant_waits_.add(found->second.waits, now());
    due_.erase(ticket);
    peer_requests_.erase(found);
    schedule_run();
}

void relay::answer_grant_request(ticket_id ticket, bool granted,
                                 granted_copy const& copy, double load)
{
    auto const found = peer_requests_.find(ticket);
    if (found == peer_requests_.end())
        return;
    auto const answer = std::exchange(found->second.answer, nullptr);
    time_point const at = now();
    auto const waited = at - found->second.arrived_at;
    found->second.waits.end(at);
    grant_waits_.add(found->second.waits, at);
    auto const fields = [&]
    {
        return log_fields()
            .add("request", found->second.request.str())
            .add("worker", (granted ? copy.worker : found->second.worker).str())
            .add("outcome", granted ? "granted" : "refused")
            .add("waited_ms", waited)
            .add("waits", found->second.waits.text(at))
            .add("load_percent", static_cast<int>(load * 100));
    };
    if (!granted || waited >= slow_answer_threshold)
        log_.notable("room for another VM", fields(), at);
    else
        log_.routine("room for another VM", fields(), at);
    if (answer)
    {
        answer->write(encode_peer_reply(
            {granted, ticket.value(), copy.worker, copy.version, {}}, at));
        answer->finish();
    }
    if (granted)
        return;
    due_.erase(ticket);
    peer_requests_.erase(found);
}

/// May be called while the scheduler makes decisions, so no result is reported
/// before this call returns.
void relay::send_grant_request(service_state& service,
                               request_owner_grant const& ask)
{
    auto const found = exchanges_.find(ask.ticket);
    auto const peer = peers_.find(ask.owner);
    if (found == exchanges_.end())
        return service.scheduler.withdraw(ask.ticket, now());
    service_id const name = found->second->terms().service;
    if (peer == peers_.end())
    {
        asio::post(io_,
                   [this, name, ask] {
                       on_grant_reply(name, ask, now(),
                                      grant_outcome::unreachable, {});
                   });
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
                                     std::nullopt,
                                     ask.software,
                                     ask.team,
                                     ask.answer_tokens,
                                     ask.continues_stream};
    if (ask.objective_at != never)
        message.ask->objective_left =
            std::max<duration>(ask.objective_at - now(), duration(0));
    if (ask.begins_elsewhere_at != never)
        message.ask->start_delay_elsewhere = ask.begins_elsewhere_at - now();
    message.done = std::exchange(peer->second.done, {});
    collected_call call = call_to(peer->second.address, message);
    call.current_deadline = [this, name, ticket = ask.ticket] {
        return boot_clock::to_steady(
            find(name)->scheduler.grant_deadline(ticket));
    };
    call.on_head = [this, name, ticket = ask.ticket](int status)
    {
        if (status == status_ok)
            find(name)->scheduler.on_grant_answer_started(ticket, now());
    };
    call.on_end =
        [this, name, ask, asked_at = now()](collected_answer const& answer)
    {
        auto const reply = answer.status == status_ok
                               ? decode_peer_reply(answer.body, now())
                               : std::nullopt;
        grant_outcome const outcome = answer.timed_out ? grant_outcome::silent
                                      : !reply ? grant_outcome::unreachable
                                      : reply->granted ? grant_outcome::granted
                                                       : grant_outcome::refused;
        on_grant_reply(name, ask, asked_at, outcome,
                       reply.value_or(peer_reply()));
    };
    grant_requests_[ask.ticket] = start_collected(io_, pool_, std::move(call));
}

void relay::log_grant_reply(request_owner_grant const& ask, time_point asked_at,
                            grant_outcome outcome, peer_reply const& reply)
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
    if (outcome != grant_outcome::granted ||
        at - asked_at >= slow_answer_threshold)
        log_.notable("owner answered", fields(), at);
    else
        log_.routine("owner answered", fields(), at);
}

void relay::on_grant_reply(service_id const& service,
                           request_owner_grant const& ask, time_point asked_at,
                           grant_outcome outcome, peer_reply const& reply)
{
    grant_requests_.erase(ask.ticket);
    log_grant_reply(ask, asked_at, outcome, reply);
    bool const still_waiting = exchanges_.count(ask.ticket) > 0;
    if (outcome == grant_outcome::granted)
    {
        if (!still_waiting)
            return return_grant({ask.owner, reply.grant},
                                send_outcome::abandoned);
        held_grants_[ask.ticket] = {ask.owner, reply.grant};
    }
    service_state& state = *find(service);
    update_registry_moment(state);
    bool const accepted = state.scheduler.on_grant_answer(
        ask.ticket, outcome, {reply.worker, reply.version}, now());
    if (!accepted && outcome == grant_outcome::granted)
    {
        return_grant({ask.owner, reply.grant}, send_outcome::abandoned);
        held_grants_.erase(ask.ticket);
    }
    schedule_run();
}

void relay::broadcast(crash_update const& news,
                      std::function<void(bool by_all)> done)
{
    struct pending_broadcast
    {
        std::size_t open = 0;
        bool by_all = true;
        std::function<void(bool)> done;
    };
    if (peers_.empty())
        return asio::post(io_, [done = std::move(done)] { done(false); });
    auto const broadcast_state = std::make_shared<pending_broadcast>();
    broadcast_state->open = peers_.size();
    broadcast_state->done = std::move(done);
    for (auto const& [vm, peer] : peers_)
    {
        peer_call message;
        message.crashes = news;
        collected_call call = call_to(peer.address, message);
        call.current_deadline =
            [deadline = std::chrono::steady_clock::now() + peer_update_timeout]
        { return deadline; };
        call.on_end = [broadcast_state](collected_answer const& answer)
        {
            broadcast_state->by_all &= answer.status == status_ok;
            if (--broadcast_state->open == 0)
                broadcast_state->done(broadcast_state->by_all);
        };
        start_collected(io_, pool_, std::move(call));
    }
}

void relay::ask_part_answers(std::vector<request_digest> const& parts,
                             std::function<void(std::vector<part_answer>)> done)
{
    struct open_question
    {
        std::size_t open = 0;
        std::vector<part_answer> answers;
        std::function<void(std::vector<part_answer>)> done;
    };
    if (peers_.empty())
        return asio::post(io_, [done = std::move(done)] { done({}); });
    auto const question = std::make_shared<open_question>();
    question->open = peers_.size();
    question->done = std::move(done);
    for (auto const& [vm, peer] : peers_)
    {
        peer_call message;
        message.asked_parts = parts;
        collected_call call = call_to(peer.address, message);
        call.current_deadline =
            [deadline = std::chrono::steady_clock::now() + part_answer_timeout]
        { return deadline; };
        call.on_end = [this, question](collected_answer const& answer)
        {
            auto const reply = answer.status == status_ok
                                   ? decode_peer_reply(answer.body, now())
                                   : std::nullopt;
            if (reply)
                question->answers.insert(question->answers.end(),
                                         reply->part_answers.begin(),
                                         reply->part_answers.end());
            if (--question->open == 0)
                question->done(std::move(question->answers));
        };
        start_collected(io_, pool_, std::move(call));
    }
}

void relay::on_rejection_notice(rejection_notice const& notice)
{
    auto const known = std::find_if(backends_.begin(), backends_.end(),
                                    [&](backend_entry const& each)
                                    { return each.id == notice.worker; });
    if (known == backends_.end())
        return;
    if (service_state* const service = find(known->service))
        service->scheduler.on_rejection_notice(notice, now());
}

void relay::send_rejection_notices(service_state& service)
{
    std::map<vm_id, std::vector<rejection_notice>> by_vm;
    for (auto const& [notice, vms] : service.scheduler.take_rejection_notices())
    {
        log_.notable("brittle worker rejected a request",
                     log_fields().add("worker", notice.worker.str()), now());
        for (vm_id const& vm : vms)
            by_vm[vm].push_back(notice);
    }
    for (auto& [vm, notices] : by_vm)
    {
        auto const peer = peers_.find(vm);
        if (peer == peers_.end())
            continue;
        peer_call message;
        message.rejections = std::move(notices);
        collected_call call = call_to(peer->second.address, message);
        call.current_deadline =
            [deadline = std::chrono::steady_clock::now() + peer_update_timeout]
        { return deadline; };
        // The result is ignored: a VM that was not told is rejected itself.
        call.on_end = [](collected_answer const&) {};
        start_collected(io_, pool_, std::move(call));
    }
}

void relay::return_grant(held_grant const& grant, send_outcome outcome)
{
    auto const peer = peers_.find(grant.owner);
    if (peer == peers_.end())
        return;
    peer->second.done.push_back({grant.number, outcome});
    send_ended_grants_at_ =
        std::min(send_ended_grants_at_, now() + ended_grants_delay);
}

void relay::send_ended_grants()
{
    send_ended_grants_at_ = never;
    for (auto& [vm, peer] : peers_)
    {
        if (peer.done.empty())
            continue;
        peer_call message;
        message.done = std::exchange(peer.done, {});
        collected_call call = call_to(peer.address, message);
        call.current_deadline =
            [deadline = std::chrono::steady_clock::now() + peer_update_timeout]
        { return deadline; };
        // The result is ignored: a grant that is not reported as ended expires.
        call.on_end = [](collected_answer const&) {};
        start_collected(io_, pool_, std::move(call));
    }
}

} // namespace mulberry
