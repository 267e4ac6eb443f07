// Performs the cores' actions with the fakes.
#include "core_simulation.hpp"

#include <utility>

namespace mulberry::tests
{
namespace
{

using namespace std::chrono_literals;

constexpr duration peer_silence_timeout = 400ms;
constexpr duration keep_alive_interval = 100ms;
/// Probability in percent that an enabled fault affects a service call.
constexpr std::size_t fault_percent = 40;

attempt_failure failure_of(core_link_ptr const& link, failure_stage stage)
{
    return {link->attempt, stage, 0, "", "", std::nullopt};
}

failure_stage failure_stage_of(core_link_ptr const& link)
{
    return link->begun ? failure_stage::answering : failure_stage::sent;
}

} // namespace

void core_simulation::perform(core_process_ptr const& process,
                              action const& what)
{
    std::visit([&](auto const& one) { on(process, one); }, what);
}

core_link_ptr core_simulation::connect(core_process_ptr const& client,
                                       attempt_id attempt,
                                       request_id const& request)
{
    auto const link = std::make_shared<core_link>();
    link->client = client;
    link->attempt = attempt;
    link->request = request;
    link->last_byte = time_.now();
    client->open[attempt] = link;
    return link;
}

void core_simulation::send(core_link_ptr const& link, core_event event)
{
    time_point const arrival =
        std::max(link->last_arrival, time_.now() + context_.latency());
    link->last_arrival = arrival;
    time_.at(arrival,
             [this, link, event = std::move(event)]
             {
                 if (!link->open || link->silent)
                     return;
                 link->last_byte = time_.now();
                 if (!std::holds_alternative<attempt_chunk>(event))
                 {
                     link->open = false;
                     link->client->open.erase(link->attempt);
                 }
                 feed(link->client, event);
             });
}

void core_simulation::break_link(core_link_ptr const& link)
{
    send(link, failure_of(link, failure_stage_of(link)));
}

/// Closes the link at the client's end. A peer that answers the request gets
/// client_disconnected.
void core_simulation::close_link(core_link_ptr const& link)
{
    link->open = false;
    link->client->open.erase(link->attempt);
    if (!link->server || link->silent)
        return;
    time_.after(context_.latency(),
                [this, link]
                {
                    core_process_ptr const server = link->server;
                    auto const found = server->writers.find(link->request);
                    if (found == server->writers.end() || found->second != link)
                        return;
                    server->writers.erase(found);
                    feed(server, client_disconnected{link->request});
                });
}

void core_simulation::record_late_send(core_process_ptr const& process,
                                       request_id const& request)
{
    // The request arrived at this VM under its own id or under that of a try.
    if (!process->late_requests.contains(request.str()) &&
        !process->late_requests.contains(root_of(request).str()))
        return;
    invariants_.seen.leaving(process->id.str());
    invariants_.seen.accepted(process->id.str(), request);
}

void core_simulation::on(core_process_ptr const& process,
                         start_attempt const& what)
{
    core_link_ptr const link = connect(process, what.attempt, what.request.id);
    if (!what.resume)
        record_late_send(process, what.request.id);
    time_.after(context_.latency(), [this, link, what]
                { engines_.at(what.worker).start(what, link); });
}

void core_simulation::on(core_process_ptr const& process,
                         cancel_attempt const& what)
{
    auto const found = process->open.find(what.attempt);
    if (found != process->open.end())
        close_link(core_link_ptr(found->second));
    if (what.stop_at_engine)
        time_.after(context_.latency(), [this, what]
                    { engines_.at(what.worker).cancel(what.request); });
}

void core_simulation::on(core_process_ptr const& process,
                         forward_request const& what)
{
    record_late_send(process, what.request.id);
    core_link_ptr const link = connect(process, what.attempt, what.request.id);
    std::size_t const vm = vm_of(what.owner);
    time_.after(context_.latency(), [this, link, vm, what]
                { on_forwarded_arrival(link, vm, what.worker, what.request); });
    watch_link(link);
}

void core_simulation::on_forwarded_arrival(core_link_ptr const& link,
                                           std::size_t vm,
                                           worker_id const& worker,
                                           model_request const& request)
{
    core_process_ptr const server = vms_[vm];
    if (!server->running)
        return send(link, failure_of(link, failure_stage::not_sent));
    link->server = server;
    server->writers[request.id] = link;
    feed(server, forwarded_request_arrived{worker, request});
    if (!link->open)
        close_link(link);
}

/// Imitates the shell's check of a peer's keep-alive comments: reports a
/// failure when none arrives for peer_silence_timeout.
void core_simulation::watch_link(core_link_ptr const& link)
{
    time_.after(
        keep_alive_interval,
        [this, link]
        {
            if (!link->open)
                return;
            core_process_ptr const server = link->server;
            if (server && server->running && !server->paused && !link->silent)
                link->last_byte = time_.now();
            if (time_.now() < link->last_byte + peer_silence_timeout)
                return watch_link(link);
            core_event const lost = failure_of(link, failure_stage_of(link));
            close_link(link);
            feed(link->client, lost);
        });
}

core_link_ptr core_simulation::remove_writer(core_process_ptr const& process,
                                             request_id const& request)
{
    auto const found = process->writers.find(request);
    if (found == process->writers.end())
        return nullptr;
    core_link_ptr const link = found->second;
    process->writers.erase(found);
    return link;
}

void core_simulation::on(core_process_ptr const& process,
                         deliver_event const& what)
{
    answer_piece const piece = decode_event(what.payload);
    if (process->caller_requests.contains(what.request))
    {
        answer_piece told = piece;
        told.written_for = root_of(piece.written_for);
        if (process->unanswered.contains(what.request) ||
            !outcomes_[what.request].empty())
            invariants_.seen.answer_event(what.request, told);
        return;
    }
    auto const response_writer = process->writers.find(what.request);
    if (response_writer == process->writers.end())
        return;
    core_link_ptr const link = response_writer->second;
    link->begun = true;
    send(link, attempt_chunk{link->attempt, what.offset, piece.name,
                             piece.written_for, what.payload, piece.last});
}

void core_simulation::on(core_process_ptr const& process,
                         deliver_end const& what)
{
    if (process->caller_requests.contains(what.request))
    {
        invariants_.seen.answered_whole(what.request);
        ++counts_.whole;
        finish(process, what.request, "whole");
    }
    else if (core_link_ptr const link = remove_writer(process, what.request))
        send(link, attempt_end{link->attempt});
}

void core_simulation::on(core_process_ptr const& process,
                         deliver_error const& what)
{
    if (process->caller_requests.contains(what.request))
    {
        invariants_.seen.answered_error(what.request, what.what);
        ++counts_.failed;
        finish(process, what.request,
               std::string(answer_of(what.what.kind()).name) + ": " +
                   what.what.text());
    }
    else if (core_link_ptr const link = remove_writer(process, what.request))
    {
        attempt_failure failure = failure_of(link, failure_stage::answering);
        failure.peer_error = what.what;
        send(link, failure);
    }
}

void core_simulation::on(core_process_ptr const& process,
                         deliver_service_answer const& what)
{
    invariants_.seen.answered_whole(what.request);
    ++counts_.service_answers;
    finish(process, what.request, "whole");
}

void core_simulation::on(core_process_ptr const& process,
                         load_adapter const& what)
{
    auto const answer = [this, process](order_result const& result)
    {
        time_.after(context_.latency(),
                    [this, process, result] { feed(process, result); });
    };
    time_.after(context_.latency(), [this, what, answer]
                { engines_.at(what.worker).load(what, answer); });
}

void core_simulation::on(core_process_ptr const& process,
                         unload_adapter const& what)
{
    auto const answer = [this, process](order_result const& result)
    {
        time_.after(context_.latency(),
                    [this, process, result] { feed(process, result); });
    };
    time_.after(context_.latency(), [this, what, answer]
                { engines_.at(what.worker).unload(what, answer); });
}

void core_simulation::answer_object(core_process_ptr const& process,
                                    object_reply reply, time_point deadline)
{
    time_point when = time_.now() + context_.latency();
    if (objects_down_)
    {
        reply.outcome = object_outcome::unreachable;
        reply.bytes.clear();
        when = std::max(deadline, when);
    }
    time_.at(when, [this, process, reply = std::move(reply)]
             { feed(process, reply); });
}

void core_simulation::on(core_process_ptr const& process,
                         fetch_object const& what)
{
    auto const found = objects_.find(what.key);
    object_reply reply{what.operation, object_outcome::absent, ""};
    if (found != objects_.end())
        reply = {what.operation, object_outcome::done, found->second};
    answer_object(process, std::move(reply), what.deadline);
}

void core_simulation::on(core_process_ptr const& process,
                         store_object const& what)
{
    if (!objects_down_ || context_.percent(50))
        objects_[what.key] = *what.bytes;
    answer_object(process, {what.operation, object_outcome::done, ""},
                  what.deadline);
}

void core_simulation::on(core_process_ptr const& process,
                         send_peer_message const& what)
{
    if (lose_messages_ && context_.percent(70))
        return;
    time_.after(context_.latency(),
                [this, vm = vm_of(what.to), from = process->id,
                 message = what.message] {
                    feed(vms_[vm], peer_message_received{from, message});
                });
}

void core_simulation::on(core_process_ptr const& process,
                         call_service const& what)
{
    record_late_send(process, what.request.id);
    core_link_ptr const link = connect(process, what.attempt, what.request.id);
    if (service_refuses_ && context_.percent(fault_percent))
        return send(link, failure_of(link, failure_stage::not_sent));
    time_.after(context_.latency() + context_.between(5, 40),
                [this, link, request = what.request]
                { run_service(link, request); });
}

void core_simulation::run_service(core_link_ptr const& link,
                                  service_request const& request)
{
    bool const fault_occurs = context_.percent(fault_percent);
    bool const before = context_.percent(50);
    link->silent |= service_silent_ && fault_occurs;
    bool const cut = service_cut_ && fault_occurs;
    if (!before || !(cut || link->silent))
        invariants_.seen.service_ran(request.key.str(), request.id);
    if (cut)
        return break_link(link);
    send(link, service_attempt_answer{
                   link->attempt, service_answer{200, "text/plain", "done"}});
}

template <class Other>
void core_simulation::on(core_process_ptr const& process, Other const& what)
{
    // Actions of the table. The fake table ignores all others: published events
    // need nothing done here.
    table_.submit(process->id, action(what),
                  [this, process](table_reply const& reply)
                  {
                      // On a slow network answers may arrive out of order.
                      time_.after(context_.latency(), [this, process, reply]
                                  { feed(process, reply); });
                  });
}

std::size_t core_simulation::vm_of(vm_id const& vm) const
{
    return std::stoul(vm.str().substr(2));
}

} // namespace mulberry::tests
