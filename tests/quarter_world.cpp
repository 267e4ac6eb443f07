#include "quarter_world.hpp"

#include <algorithm>

namespace mulberry::tests
{
namespace
{

using namespace std::chrono_literals;

constexpr duration step = 200ms;

std::uint64_t requests_in(std::string const& text)
{
    auto const row = decode_quarter_row(text);
    if (!row)
        return 0;
    auto const found = row->totals.find(notes);
    return found == row->totals.end() ? 0 : found->second.requests;
}

} // namespace

std::shared_ptr<declaration const>
with_targets(std::vector<target_declaration> targets)
{
    auto value = std::make_shared<declaration>();
    value->targets = std::move(targets);
    return value;
}

quarter_world::quarter_world(std::size_t vms, std::uint64_t seed,
                             store_mutant mutant)
    : table_(time_, seed), mutant_(mutant)
{
    for (std::size_t at = 0; at < vms; ++at)
    {
        vm one;
        one.id = vm_id("vm-" + std::to_string(at));
        one.incarnation_number = incarnation(1);
        vms_.push_back(std::move(one));
    }
    for (vm& one : vms_)
        start(one);
    tick();
}

void quarter_world::start(vm& one)
{
    ++one.process;
    one.counted.clear();
    one.acknowledged.clear();
    one.ids = std::make_unique<id_source>();
    quarter_settings settings;
    settings.vm = one.id;
    one.store = std::make_unique<quarter_store>(
        settings, *one.ids,
        [this](vm_id const& id, incarnation incarnation_number) {
            return ended_incarnations_.contains({id, incarnation_number});
        });
    one.store->configure(with_targets(
        {{notes, target_measure::answered_within, notes_bound, 0.9}}));
    one.store->set_incarnation(one.incarnation_number);
    // All VMs fold, so that concurrent folds race.
    one.store->set_folding_enabled(true);
    one.store->set_quarter(quarter_, time_.now() + 24h, time_.now());
}

void quarter_world::tick()
{
    for (vm& one : vms_)
    {
        action_list actions;
        one.store->tick(time_.now(), actions);
        if (one.leaving)
            one.store->flush(time_.now(), actions);
        for (action& each : actions)
            perform(one, std::move(each));
    }
    time_.after(step, [this] { tick(); });
}

void quarter_world::mutate(vm const& one, transact& request) const
{
    bool const is_fold = request.transaction.writes.size() > 1;
    table_write& first = request.transaction.writes.front();
    if (mutant_ == store_mutant::creates_with_counts && !is_fold &&
        request.transaction.conditions.front().version.none())
    {
        quarter_row row = *decode_quarter_row(*first.value);
        row.totals[notes].requests = one.counted.at(first.key);
        first.value = encode(row);
    }
    if (is_fold ? mutant_ == store_mutant::unconditional_folds
                : mutant_ == store_mutant::unconditional_writes)
        request.transaction.conditions.clear();
}

void quarter_world::perform(vm& one, action request)
{
    std::string key;
    std::uint64_t requests = 0;
    operation_id operation;
    time_point deadline{};
    if (auto* const change = std::get_if<transact>(&request))
    {
        mutate(one, *change);
        table_write const& first = change->transaction.writes.front();
        key = first.key;
        requests = requests_in(first.value.value_or(""));
        operation = change->operation;
        deadline = change->deadline;
    }
    auto const answered = std::make_shared<bool>(false);
    auto const deliver_reply = [this, &one, key, requests, answered,
                                process = one.process](table_reply const& reply)
    {
        if (std::exchange(*answered, true) || one.process != process)
            return;
        if (reply.outcome == table_outcome::done)
            one.acknowledged[key] = std::max(one.acknowledged[key], requests);
        action_list none;
        one.store->on_table(reply, time_.now(), none);
    };
    table_.submit(one.id, request, deliver_reply);
    // The fake table answers a delayed write only when the write takes effect,
    // so time out here at the deadline.
    if (!operation.none())
        time_.at(deadline,
                 [deliver_reply, operation] {
                     deliver_reply({operation, table_outcome::unreachable, {}});
                 });
}

void quarter_world::count_answers(std::size_t at, std::uint64_t count)
{
    vm& one = vms_.at(at);
    std::string const key =
        quarter_key{quarter_, one.id, one.incarnation_number}.str();
    for (std::uint64_t each = 0; each < count; ++each)
        one.store->count_answer(notes, 100ms);
    one.counted[key] += count;
    counted_ += count;
}

void quarter_world::crash(std::size_t at)
{
    vm& one = vms_.at(at);
    for (auto const& [key, count] : one.counted)
        max_lost_ += count - std::min(count, one.acknowledged[key]);
    ended_incarnations_.insert({one.id, one.incarnation_number});
    one.incarnation_number = incarnation(one.incarnation_number.value() + 1);
    start(one);
}

void quarter_world::reregister(std::size_t at)
{
    vm& one = vms_.at(at);
    ended_incarnations_.insert({one.id, one.incarnation_number});
    one.incarnation_number = incarnation(one.incarnation_number.value() + 1);
    one.store->set_incarnation(one.incarnation_number);
}

void quarter_world::begin_quarter(std::string const& name)
{
    quarter_ = name;
    for (vm& one : vms_)
        one.store->set_quarter(name, time_.now() + 24h, time_.now());
}

std::uint64_t quarter_world::stored(std::string const& quarter)
{
    std::string const prefix =
        quarter.empty() ? quarter_prefix : quarter_prefix + quarter + "/";
    std::uint64_t sum = 0;
    for (table_row const& row : table_.rows(prefix))
        sum += requests_in(row.value);
    return sum;
}

std::size_t quarter_world::incarnation_rows()
{
    auto const rows = table_.rows(quarter_prefix);
    return static_cast<std::size_t>(
        std::count_if(rows.begin(), rows.end(),
                      [](table_row const& row)
                      { return !parse_quarter_key(row.key)->is_sum(); }));
}

} // namespace mulberry::tests
