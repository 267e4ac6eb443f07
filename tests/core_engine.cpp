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
/// Of a hundred events or orders, those that an enabled fault strikes.
constexpr std::size_t struck = 25;

order_result refused(order_id order, int status)
{
    return {order, order_result::outcome::refused, status, ""};
}

} // namespace

std::string encode_piece(answer_piece const& piece)
{
    return piece.written_for.str() + "|" + piece.name.str() + "|" +
           std::to_string(piece.offset) + "|" + std::to_string(piece.run) +
           (piece.last ? "|last" : "|");
}

answer_piece decode_piece(std::string const& text)
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
    around_->send(link, attempt_failure{link->attempt, failure_stage::refused,
                                        status, "", "", std::nullopt});
}

void core_engine::start(start_attempt const& what, core_link_ptr const& link)
{
    if (faults.unreachable)
        return around_->send(link, attempt_failure{link->attempt,
                                                   failure_stage::not_sent, 0,
                                                   "", "", std::nullopt});
    if (faults.silent_streams && around_->percent(struck))
    {
        link->silent = true;
        if (around_->percent(50))
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
    item->number = ++around_->runs;
    item->total = 1 + around_->below(6);
    item->to = link;
    runs_[item->request] = item;
    active_.push_back(item);
    begin_waiting();
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
    if (item.over)
        around_->send(link, attempt_end{link->attempt});
}

void core_engine::cancel(request_id const& request)
{
    auto const found = runs_.find(request);
    if (faults.unreachable || found == runs_.end())
        return;
    stop(found->second);
    runs_.erase(found);
}

void core_engine::begin_waiting()
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
        around_->seen.started_at_backend(root_of(each->request), each->name);
        next_event(each);
    }
}

void core_engine::next_event(run_ptr const& item)
{
    around_->time.after(
        around_->between(5, 40),
        [this, item]
        {
            if (item->stopped)
                return;
            write(*item, item->emitted++);
            if (item->emitted < item->total)
                return next_event(item);
            item->over = true;
            around_->seen.finished_at_backend(root_of(item->request));
            std::erase(active_, item);
            around_->send(item->to, attempt_end{item->to->attempt});
            begin_waiting();
        });
}

void core_engine::write(run const& item, std::uint64_t offset)
{
    core_link_ptr const to = item.to;
    bool const last = offset + 1 == item.total;
    answer_piece piece{item.request, item.name, offset, item.number, last};
    bool const strikes = around_->percent(struck);
    to->silent |= faults.silent_streams && strikes;
    if (faults.cut_streams && strikes)
        return around_->send(to, attempt_failure{to->attempt,
                                                 to->begun
                                                     ? failure_stage::answering
                                                     : failure_stage::sent,
                                                 0, "", "", std::nullopt});
    if (faults.skipped_events && strikes)
        return;
    if (faults.wrong_echo && strikes)
        piece.name = engine_name("other@1#1");
    if (faults.crossed_events && strikes && !active_.empty())
        piece.written_for = active_[around_->below(active_.size())]->request;
    to->begun = true;
    around_->send(to,
                  attempt_chunk{to->attempt, offset, piece.name,
                                piece.written_for, encode_piece(piece), last});
}

void core_engine::stop(run_ptr const& item)
{
    item->stopped = true;
    std::erase(active_, item);
    begin_waiting();
}

void core_engine::lose(run_ptr const& item)
{
    item->stopped = true;
    around_->send(item->to,
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
    bool const lost = faults.lost_orders && around_->percent(struck);
    if (lost)
        around_->time.at(
            what.deadline,
            [order = what.order, answer] {
                answer({order, order_result::outcome::unknown, 0, ""});
            });
    duration const takes = faults.slow_loads ? around_->between(200, 600)
                                             : around_->between(5, 40);
    around_->time.after(
        takes,
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
    bool const fails = faults.failed_loads && around_->percent(60);
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
    if (!faults.lost_orders || !around_->percent(struck))
        return answer(take_out(what));
    around_->time.at(what.deadline,
                     [order = what.order, answer] {
                         answer({order, order_result::outcome::unknown, 0, ""});
                     });
    if (around_->percent(50))
        around_->time.after(around_->between(1, 300),
                            [this, what] { take_out(what); });
}

order_result core_engine::take_out(unload_adapter const& what)
{
    if (loaded_.erase(what.name) == 0)
        return refused(what.order, status_not_found);
    std::vector<run_ptr> under;
    for (run_ptr const& each : active_)
        if (each->name == what.name)
            under.push_back(each);
    around_->seen.unloaded(what.name, under.size());
    for (run_ptr const& each : under)
    {
        stop(each);
        lose(each);
    }
    return {what.order, order_result::outcome::done, 200, ""};
}

engine_report core_engine::report() const
{
    engine_report shown;
    shown.worker = declared_.id;
    shown.boot = boot_id(std::to_string(boot_));
    shown.as_of = around_->time.now();
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
        lose(each);
}

} // namespace mulberry::tests
