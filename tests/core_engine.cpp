#include "core_engine.hpp"

#include <utility>

namespace mulberry::tests
{
namespace
{

using namespace std::chrono_literals;

constexpr std::size_t max_waiting = 6;
constexpr int status_conflict = 409;
constexpr int status_not_found = 404;
constexpr int status_old_fence = 412;
constexpr int status_unavailable = 503;
/// Probability in percent that an enabled fault affects an event or order.
constexpr std::size_t fault_percent = 25;

order_result refused(order_id order, int status)
{
    return {order, order_result::outcome::refused, status, ""};
}

} // namespace

std::string encode_event(answer_piece const& piece)
{
    return piece.written_for.str() + "|" + piece.name.str() + "|" +
           std::to_string(piece.offset) + "|" + std::to_string(piece.run) +
           (piece.last ? "|last" : "|");
}

answer_piece decode_event(std::string const& text)
{
    std::vector<std::string> parts;
    std::size_t from = 0;
    for (std::size_t bar = text.find('|'); bar != std::string::npos;
         bar = text.find('|', from))
    {
        parts.push_back(text.substr(from, bar - from));
        from = bar + 1;
    }
    return {request_id(parts[0]), engine_name(parts[1]), std::stoull(parts[2]),
            std::stoull(parts[3]), text.substr(from) == "last"};
}

bool core_engine::fence_holds(fencing_number fence)
{
    if (declared_.checks_fence && fence < highest_fence_)
        return false;
    highest_fence_ = std::max(highest_fence_, fence);
    return true;
}

void core_engine::refuse(core_link_ptr const& link, int status)
{
    context_->send(link, attempt_failure{link->attempt, failure_stage::refused,
                                         status, "", "", std::nullopt});
}

void core_engine::start(start_attempt const& what, core_link_ptr const& link)
{
    if (faults.unreachable)
        return context_->send(link, attempt_failure{link->attempt,
                                                    failure_stage::not_sent, 0,
                                                    "", "", std::nullopt});
    if (faults.silent_streams && context_->percent(fault_percent))
    {
        link->silent = true;
        if (context_->percent(50))
            return;
    }
    if (what.resume)
        resume(what, link);
    else
        post(what, link);
}

void core_engine::post(start_attempt const& what, core_link_ptr const& link)
{
    if (!fence_holds(what.fence))
        return refuse(link, status_old_fence);
    if (active_.size() >= declared_.batch_slots + max_waiting)
        return refuse(link, status_unavailable);
    if (!loaded_.contains(what.name))
        return refuse(link, status_not_found);
    auto item = std::make_shared<run>();
    item->request = what.request.id;
    item->name = what.name;
    item->number = ++context_->runs;
    item->total = 1 + context_->below(6);
    item->to = link;
    runs_[item->request] = item;
    active_.push_back(item);
    start_waiting();
}

void core_engine::resume(start_attempt const& what, core_link_ptr const& link)
{
    auto const found = runs_.find(what.request.id);
    if (found == runs_.end())
        return refuse(link, status_not_found);
    run& item = *found->second;
    item.to = link;
    for (std::uint64_t each = what.offset; each < item.emitted; ++each)
        write(item, each);
    if (item.finished)
        context_->send(link, attempt_end{link->attempt});
}

void core_engine::cancel(request_id const& request)
{
    auto const found = runs_.find(request);
    if (faults.unreachable || found == runs_.end())
        return;
    stop(found->second);
    runs_.erase(found);
}

void core_engine::start_waiting()
{
    std::size_t running = 0;
    for (run_ptr const& each : active_)
        running += each->running;
    for (run_ptr const& each : active_)
    {
        if (each->running || running >= declared_.batch_slots)
            continue;
        ++running;
        each->running = true;
        context_->seen.started_at_backend(root_of(each->request), each->name);
        schedule_event(each);
    }
}

void core_engine::schedule_event(run_ptr const& item)
{
    context_->time.after(
        context_->between(5, 40),
        [this, item]
        {
            if (item->stopped)
                return;
            write(*item, item->emitted++);
            if (item->emitted < item->total)
                return schedule_event(item);
            item->finished = true;
            context_->seen.finished_at_backend(root_of(item->request));
            std::erase(active_, item);
            context_->send(item->to, attempt_end{item->to->attempt});
            start_waiting();
        });
}

void core_engine::write(run const& item, std::uint64_t offset)
{
    core_link_ptr const to = item.to;
    bool const last = offset + 1 == item.total;
    answer_piece piece{item.request, item.name, offset, item.number, last};
    bool const fault_occurs = context_->percent(fault_percent);
    to->silent |= faults.silent_streams && fault_occurs;
    if (faults.cut_streams && fault_occurs)
        return context_->send(to, attempt_failure{to->attempt,
                                                  to->begun
                                                      ? failure_stage::answering
                                                      : failure_stage::sent,
                                                  0, "", "", std::nullopt});
    if (faults.skipped_events && fault_occurs)
        return;
    if (faults.wrong_echo && fault_occurs)
        piece.name = engine_name("other@1#1");
    if (faults.crossed_events && fault_occurs && !active_.empty())
        piece.written_for = active_[context_->below(active_.size())]->request;
    to->begun = true;
    context_->send(to,
                   attempt_chunk{to->attempt, offset, piece.name,
                                 piece.written_for, encode_event(piece), last});
}

void core_engine::stop(run_ptr const& item)
{
    item->stopped = true;
    std::erase(active_, item);
    start_waiting();
}

void core_engine::fail_stream(run_ptr const& item)
{
    item->stopped = true;
    context_->send(item->to,
                   attempt_failure{item->to->attempt,
                                   item->to->begun ? failure_stage::answering
                                                   : failure_stage::sent,
                                   0, "", "", std::nullopt});
}

void core_engine::load(load_adapter const& what, order_answer const& answer)
{
    if (faults.unreachable)
        return answer(refused(what.order, 0));
    if (!fence_holds(what.fence))
        return answer(refused(what.order, status_old_fence));
    if (loaded_.contains(what.name) || loading_.contains(what.name) ||
        loaded_.size() + loading_.size() >= declared_.adapter_slots)
        return answer(refused(what.order, status_conflict));
    loading_.insert(what.name);
    bool const lost = faults.lost_orders && context_->percent(fault_percent);
    if (lost)
        context_->time.at(
            what.deadline,
            [order = what.order, answer] {
                answer({order, order_result::outcome::unknown, 0, ""});
            });
    duration const load_time = faults.slow_loads ? context_->between(200, 600)
                                                 : context_->between(5, 40);
    context_->time.after(
        load_time,
        [this, what, answer, lost, boot = boot_]
        {
            if (boot == boot_)
                finish_load(what, lost ? order_answer() : answer);
            else if (!lost)
                answer({what.order, order_result::outcome::unknown, 0, ""});
        });
}

void core_engine::finish_load(load_adapter const& what,
                              order_answer const& answer)
{
    loading_.erase(what.name);
    bool const fails = faults.failed_loads && context_->percent(60);
    if (!fails)
        loaded_.insert(what.name);
    if (!answer)
        return;
    if (fails)
        return answer(refused(what.order, status_unavailable));
    answer({what.order, order_result::outcome::done, 200, ""});
}

void core_engine::unload(unload_adapter const& what, order_answer const& answer)
{
    if (faults.unreachable)
        return answer(refused(what.order, 0));
    if (!fence_holds(what.fence))
        return answer(refused(what.order, status_old_fence));
    if (!faults.lost_orders || !context_->percent(fault_percent))
        return answer(remove_adapter(what));
    context_->time.at(
        what.deadline,
        [order = what.order, answer] {
            answer({order, order_result::outcome::unknown, 0, ""});
        });
    if (context_->percent(50))
        context_->time.after(context_->between(1, 300),
                             [this, what] { remove_adapter(what); });
}

order_result core_engine::remove_adapter(unload_adapter const& what)
{
    if (loaded_.erase(what.name) == 0)
        return refused(what.order, status_not_found);
    std::vector<run_ptr> affected;
    for (run_ptr const& each : active_)
        if (each->name == what.name)
            affected.push_back(each);
    context_->seen.unloaded(what.name, affected.size());
    for (run_ptr const& each : affected)
    {
        stop(each);
        fail_stream(each);
    }
    return {what.order, order_result::outcome::done, 200, ""};
}

engine_report core_engine::report() const
{
    engine_report shown;
    shown.worker = declared_.id;
    shown.boot = boot_id(std::to_string(boot_));
    shown.as_of = context_->time.now();
    for (engine_name const& name : loaded_)
        shown.adapters.push_back({name, 0});
    for (run_ptr const& each : active_)
    {
        ++(each->running ? shown.running : shown.waiting);
        for (auto& load : shown.adapters)
            load.running += load.name == each->name;
    }
    return shown;
}

void core_engine::restart()
{
    ++boot_;
    loaded_.clear();
    loading_.clear();
    runs_.clear();
    for (run_ptr const& each : std::exchange(active_, {}))
        fail_stream(each);
}

} // namespace mulberry::tests
