#include "crash_world.hpp"

#include <algorithm>

namespace mulberry_test
{
namespace
{

using namespace mulberry;
using namespace std::chrono_literals;

constexpr duration message_time = 3ms;
constexpr duration peer_timeout = 500ms;
constexpr duration store_time = 10ms;
/// How often a VM reads the rows, as with an order gap of three seconds.
constexpr duration row_interval = 2s;
constexpr duration run_time = 60ms;
constexpr duration step = 1ms;

} // namespace

crash_world::crash_world(std::size_t vms, crash_limits limits)
    : limits_(limits), answered_(vms), seen_rows_(vms)
{
    for (std::size_t vm = 0; vm < vms; ++vm)
    {
        vms_.push_back(std::make_unique<crash_replicator>(limits_, vm + 1));
        // Spreads the reads of the VMs over the interval.
        schedule(row_interval * static_cast<int>(vm) / static_cast<int>(vms),
                 [this, vm] { read_rows(vm); });
    }
}

void crash_world::schedule(duration delay, std::function<void()> callback)
{
    events_.push_back({now_ + delay, std::move(callback)});
}

void crash_world::pass(duration time)
{
    for (time_point const end = now_ + time; now_ < end; now_ += step)
    {
        std::vector<event> due;
        auto const first = std::stable_partition(events_.begin(), events_.end(),
                                                 [this](event const& each)
                                                 { return each.at > now_; });
        std::move(first, events_.end(), std::back_inserter(due));
        events_.erase(first, events_.end());
        for (event const& each : due)
            each.callback();
        for (std::size_t vm = 0; vm < vms_.size(); ++vm)
            if (vms_[vm]->next_due() <= now_)
                run(vm);
    }
}

void crash_world::crash(std::size_t vm, int worker,
                        std::vector<std::string> const& requests)
{
    std::vector<crash_observation> seen;
    for (std::string const& each : requests)
        seen.push_back(
            {request_digest(each),
             {worker_id("w" + std::to_string(worker)), worker_start(1)},
             now_ - run_time,
             now_});
    note_answers(vm, seen);
    vms_.at(vm)->on_crash(seen, now_);
    run(vm);
}

void crash_world::answer(std::size_t vm, std::string const& request)
{
    vms_.at(vm)->on_answered(request_digest(request), now_);
    run(vm);
}

void crash_world::answer_part(std::size_t vm, std::string const& part)
{
    answered_.at(vm).add(request_digest(part), now_);
    answer(vm, part);
}

void crash_world::note_answers(std::size_t vm,
                               std::vector<crash_observation> const& seen)
{
    for (crash_observation const& each : seen)
        if (auto const at = answered_.at(vm).answered_at(each.request))
            vms_.at(vm)->note_answer(each.request, *at);
}

void crash_world::ask(std::size_t from, ask_part_answers const& question)
{
    ++questions_;
    auto const answers = std::make_shared<std::vector<part_answer>>();
    for (std::size_t to = 0; to < vms_.size(); ++to)
        if (to == from || isolated_.count(from) + isolated_.count(to) == 0)
            schedule(message_time,
                     [this, to, question, answers]
                     {
                         for (request_digest const& part : question.parts)
                             if (auto const at =
                                     answered_[to].answered_at(part))
                                 answers->push_back({part, *at});
                     });
    schedule(isolated_.empty() ? message_time * 2 : peer_timeout,
             [this, from, question, answers]
             {
                 vms_[from]->on_part_answers(question, *answers, now_);
                 run(from);
             });
}

bool crash_world::is_refused(std::size_t vm, std::string const& request) const
{
    return vms_.at(vm)
        ->record()
        .quarantined_until(request_digest(request), now_)
        .has_value();
}

bool crash_world::is_refused_by_all(std::string const& request) const
{
    for (std::size_t vm = 0; vm < vms_.size(); ++vm)
        if (!is_refused(vm, request))
            return false;
    return true;
}

bool crash_world::is_refused_by_any(std::string const& request) const
{
    for (std::size_t vm = 0; vm < vms_.size(); ++vm)
        if (is_refused(vm, request))
            return true;
    return false;
}

void crash_world::restart(std::size_t vm)
{
    vms_.at(vm) = std::make_unique<crash_replicator>(limits_, vm + 100);
    answered_.at(vm) = answered_parts();
    seen_rows_.at(vm).clear();
    if (reaches_store(vm))
        for (auto const& [key, seen] : rows_)
        {
            seen_rows_[vm].insert(key);
            vms_[vm]->on_row(seen, now_);
        }
    run(vm);
}

bool crash_world::reaches_store(std::size_t vm) const
{
    return !store_unavailable_ && cut_from_store_.count(vm) == 0;
}

void crash_world::run(std::size_t vm)
{
    for (crash_action const& action : vms_[vm]->run(now_))
    {
        if (auto const* sent = std::get_if<send_crash_update>(&action))
            send_update(vm, sent->update);
        else if (auto const* question = std::get_if<ask_part_answers>(&action))
            ask(vm, *question);
        else
            write(vm, std::get<write_crash_rows>(action));
    }
}

void crash_world::send_update(std::size_t from, crash_update const& update)
{
    bool by_all = vms_.size() > 1;
    for (std::size_t to = 0; to < vms_.size(); ++to)
    {
        if (to == from)
            continue;
        ++messages_;
        if (isolated_.count(from) + isolated_.count(to) > 0)
        {
            by_all = false;
            continue;
        }
        schedule(message_time,
                 [this, to, update]
                 {
                     note_answers(to, update.seen);
                     vms_[to]->on_crash_update(update, now_);
                     run(to);
                 });
    }
    schedule(by_all ? message_time * 2 : peer_timeout,
             [this, from, update, by_all]
             {
                 vms_[from]->on_update_sent(update, by_all, now_);
                 run(from);
             });
}

void crash_world::write(std::size_t vm, write_crash_rows const& changes)
{
    ++writes_;
    bool const done = reaches_store(vm);
    if (done)
    {
        for (crash_observation const& each : changes.put)
            rows_[{each.request, each.crashed}] = each;
        for (crash_key const& each : changes.drop)
            rows_.erase(each);
    }
    schedule(store_time,
             [this, vm, done]
             {
                 vms_[vm]->on_written(done, now_);
                 run(vm);
             });
}

void crash_world::read_rows(std::size_t vm)
{
    schedule(row_interval, [this, vm] { read_rows(vm); });
    if (!reaches_store(vm))
        return;
    std::set<crash_key> present;
    bool changed = false;
    for (auto const& [key, seen] : rows_)
    {
        present.insert(key);
        changed |= seen_rows_[vm].count(key) == 0;
        vms_[vm]->on_row(seen, now_);
    }
    for (crash_key const& each : seen_rows_[vm])
        if (present.count(each) == 0)
        {
            vms_[vm]->on_row_deleted(each);
            changed = true;
        }
    seen_rows_[vm] = std::move(present);
    // A VM is told of changes only, and does nothing without one.
    if (changed)
        run(vm);
}

} // namespace mulberry_test
