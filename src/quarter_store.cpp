#include "quarter_store.hpp"

#include "quarter_forecast.hpp"
#include "quarter_ledger.hpp"
#include "quarter_row.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace mulberry
{

class quarter_store::implementation
{
public:
    implementation(quarter_settings settings, id_source& ids,
                   std::function<bool(vm_id const&, incarnation)> life_is_over)
        : settings_(std::move(settings)), ids_(&ids),
          life_is_over_(std::move(life_is_over))
    {
    }

    void configure(std::shared_ptr<declaration const> configuration);
    void set_life(incarnation life);
    void set_folds(bool folds) { folds_ = folds; }
    void set_quarter(std::string name, time_point ends, time_point now);

    void count_answer(application_id const& application,
                      std::optional<duration> took);
    void count_withdrawn(application_id const& application, duration waited);
    void count_stalls(application_id const& application, std::uint64_t count);
    void add_slot_time(application_id const& application, duration busy,
                       duration open);

    bool knows(operation_id operation) const;
    void on_table(table_reply const& reply, time_point now);
    void tick(time_point now, action_list& actions);
    void flush(time_point now, action_list& actions);
    bool flushed() const;

    std::string const& quarter() const { return quarter_; }
    std::vector<target_standing> standings(time_point now) const;

private:
    /// A ledger and when it is next written.
    struct own_row
    {
        quarter_ledger ledger;
        time_point next_write_at{};
    };
    struct found_row
    {
        table_row raw;
        quarter_key key;
        quarter_row held;
    };

    bool counts_for(application_id const& application) const;
    quarter_ledger& current();
    bool is_own(quarter_key const& key) const;
    void write(quarter_key const& key, own_row& row, time_point now,
               action_list& actions);
    void write_due(time_point now, action_list& actions);
    void read(time_point now, action_list& actions);
    void on_rows(table_reply const& reply, time_point now);
    void drop_finished();
    void sum_others();
    void fold(time_point now, action_list& actions);
    std::vector<found_row const*> foldable(std::string const& quarter) const;
    quarter_totals totals() const;

    quarter_settings settings_;
    id_source* ids_;
    std::function<bool(vm_id const&, incarnation)> life_is_over_;
    std::shared_ptr<declaration const> configuration_;
    /// The applications with targets, and the bounds of those.
    std::map<application_id, std::set<duration>> bounds_;

    incarnation life_;
    std::string quarter_;
    time_point ends_ = never;
    /// A quarter that is over, or a life, stays until all of it is written.
    std::map<quarter_key, own_row> own_;
    bool folds_ = false;
    bool flushing_ = false;

    operation_id scan_;
    time_point next_read_at_{};
    operation_id fold_;
    /// The rows as last read; to be folded once.
    std::vector<found_row> found_;
    bool may_fold_ = false;
    bool was_read_ = false;
    /// Of the current quarter, all but this process's own rows.
    quarter_totals others_;
    quarter_pace pace_;
};

void quarter_store::implementation::configure(
    std::shared_ptr<declaration const> configuration)
{
    configuration_ = std::move(configuration);
    bounds_.clear();
    for (target_declaration const& target : configuration_->targets)
    {
        std::set<duration>& bounds = bounds_[target.application];
        if (target.measure == target_measure::answered_within)
            bounds.insert(target.bound);
    }
}

void quarter_store::implementation::set_life(incarnation life)
{
    if (life.none() || life == life_)
        return;
    if (life_.none())
    {
        // Counted before the first registration.
        std::map<quarter_key, own_row> named;
        for (auto& [key, row] : own_)
            named.emplace(quarter_key{key.quarter, key.vm, life},
                          std::move(row));
        own_ = std::move(named);
    }
    life_ = life;
}

void quarter_store::implementation::set_quarter(std::string name,
                                                time_point ends, time_point now)
{
    ends_ = ends;
    if (name == quarter_)
        return;
    quarter_ = std::move(name);
    pace_.clear();
    sum_others();
    next_read_at_ = std::min(next_read_at_, now);
}

bool quarter_store::implementation::counts_for(
    application_id const& application) const
{
    return !quarter_.empty() && bounds_.contains(application);
}

quarter_ledger& quarter_store::implementation::current()
{
    return own_[{quarter_, settings_.vm, life_}].ledger;
}

void quarter_store::implementation::count_answer(
    application_id const& application, std::optional<duration> took)
{
    if (!counts_for(application))
        return;
    quarter_counts& counts = current().counts(application);
    ++counts.requests;
    for (duration const bound : bounds_.at(application))
    {
        bound_counts& each = counts.bounds[bound];
        ++each.counted;
        if (took && *took <= bound)
            ++each.within;
    }
}

void quarter_store::implementation::count_withdrawn(
    application_id const& application, duration waited)
{
    if (!counts_for(application))
        return;
    quarter_counts& counts = current().counts(application);
    ++counts.requests;
    for (duration const bound : bounds_.at(application))
        if (waited > bound)
            ++counts.bounds[bound].counted;
}

void quarter_store::implementation::count_stalls(
    application_id const& application, std::uint64_t count)
{
    if (count > 0 && counts_for(application))
        current().counts(application).stalled += count;
}

void quarter_store::implementation::add_slot_time(
    application_id const& application, duration busy, duration open)
{
    if (busy + open <= duration::zero() || !counts_for(application))
        return;
    quarter_counts& counts = current().counts(application);
    counts.busy_slot_time += busy;
    counts.open_slot_time += open;
}

bool quarter_store::implementation::is_own(quarter_key const& key) const
{
    return own_.contains(key) || (key.vm == settings_.vm && key.life == life_);
}

bool quarter_store::implementation::knows(operation_id operation) const
{
    if (operation.none())
        return false;
    return operation == scan_ || operation == fold_ ||
           std::any_of(own_.begin(), own_.end(),
                       [&](auto const& each)
                       { return each.second.ledger.knows(operation); });
}

void quarter_store::implementation::on_table(table_reply const& reply,
                                             time_point now)
{
    if (reply.operation == scan_)
    {
        scan_ = operation_id();
        if (reply.outcome == table_outcome::done)
            on_rows(reply, now);
        return;
    }
    if (reply.operation == fold_)
    {
        // Whatever became of it, the next read shows.
        fold_ = operation_id();
        return;
    }
    for (auto& [key, row] : own_)
    {
        if (!row.ledger.knows(reply.operation))
            continue;
        row.ledger.on_reply(key.str(), reply);
        if (!row.ledger.settled())
            row.next_write_at =
                std::min(row.next_write_at, now + settings_.retry_interval);
        return;
    }
}

void quarter_store::implementation::tick(time_point now, action_list& actions)
{
    write_due(now, actions);
    read(now, actions);
    fold(now, actions);
}

void quarter_store::implementation::write_due(time_point now,
                                              action_list& actions)
{
    if (life_.none())
        return;
    for (auto& [key, row] : own_)
        if (now >= row.next_write_at && row.ledger.idle() &&
            row.ledger.unwritten())
            write(key, row, now, actions);
}

void quarter_store::implementation::write(quarter_key const& key, own_row& row,
                                          time_point now, action_list& actions)
{
    row.next_write_at = now + settings_.write_interval;
    row.ledger.write(key.str(), ids_->next_operation(),
                     now + settings_.table_timeout, actions);
}

void quarter_store::implementation::flush(time_point now, action_list& actions)
{
    if (!std::exchange(flushing_, true))
        for (auto& [key, row] : own_)
        {
            row.ledger.mark();
            row.next_write_at = now;
        }
    write_due(now, actions);
}

bool quarter_store::implementation::flushed() const
{
    return std::all_of(own_.begin(), own_.end(),
                       [](auto const& each)
                       { return each.second.ledger.marked_written(); });
}

void quarter_store::implementation::read(time_point now, action_list& actions)
{
    if (quarter_.empty() || now < next_read_at_ || !scan_.none())
        return;
    next_read_at_ = now + settings_.read_interval;
    scan_ = ids_->next_operation();
    // Every quarter's: the last rows of one that is over are folded as well.
    actions.push_back(
        scan_rows{scan_, quarter_prefix, now + settings_.table_timeout});
}

void quarter_store::implementation::on_rows(table_reply const& reply,
                                            time_point now)
{
    found_.clear();
    for (table_row const& raw : reply.rows)
    {
        auto key = parse_quarter_key(raw.key);
        auto held = decode_quarter_row(raw.value);
        if (key && held)
            found_.push_back({raw, std::move(*key), std::move(*held)});
    }
    drop_finished();
    sum_others();
    may_fold_ = true;
    was_read_ = true;
    pace_.sample(totals(), now);
}

void quarter_store::implementation::drop_finished()
{
    std::erase_if(own_,
                  [this](auto const& each)
                  {
                      return each.first.life != life_ &&
                             each.second.ledger.idle() &&
                             !each.second.ledger.unwritten();
                  });
}

void quarter_store::implementation::sum_others()
{
    others_.clear();
    for (found_row const& row : found_)
        if (row.key.quarter == quarter_ && !is_own(row.key))
            add(others_, row.held.totals);
}

void quarter_store::implementation::fold(time_point now, action_list& actions)
{
    if (!folds_ || !may_fold_ || !fold_.none())
        return;
    may_fold_ = false;
    std::set<std::string> quarters;
    for (found_row const& row : found_)
        quarters.insert(row.key.quarter);
    for (std::string const& quarter : quarters)
    {
        auto const rows = foldable(quarter);
        if (rows.empty())
            continue;
        quarter_key const sum_key{quarter, {}, {}};
        quarter_row sum;
        // Two VMs that fold the same row, or one that folds from an old read,
        // would add it twice. A transaction takes effect only on the very rows
        // that were read, and the first one changes all of them.
        table_transaction change{{{sum_key.str(), row_version()}}, {}};
        for (found_row const& row : found_)
            if (row.key == sum_key)
            {
                sum = row.held;
                change.conditions.front().version = row.raw.version;
            }
        for (found_row const* const row : rows)
        {
            add(sum.totals, row->held.totals);
            change.conditions.push_back({row->raw.key, row->raw.version});
            change.writes.push_back({row->raw.key, std::nullopt});
        }
        change.writes.push_back({sum_key.str(), encode(sum)});
        fold_ = ids_->next_operation();
        actions.push_back(
            transact{fold_, std::move(change), now + settings_.table_timeout});
        return;
    }
}

std::vector<quarter_store::implementation::found_row const*>
quarter_store::implementation::foldable(std::string const& quarter) const
{
    std::vector<found_row const*> rows;
    for (found_row const& row : found_)
    {
        if (rows.size() == settings_.folds_at_once)
            break;
        if (row.key.quarter == quarter && !row.key.is_sum() &&
            !is_own(row.key) && life_is_over_(row.key.vm, row.key.life))
            rows.push_back(&row);
    }
    return rows;
}

quarter_totals quarter_store::implementation::totals() const
{
    quarter_totals sum = others_;
    for (auto const& [key, row] : own_)
        if (key.quarter == quarter_)
            add(sum, row.ledger.totals());
    return sum;
}

std::vector<target_standing>
quarter_store::implementation::standings(time_point now) const
{
    std::vector<target_standing> result;
    if (!configuration_)
        return result;
    quarter_totals const made = was_read_ ? totals() : quarter_totals();
    quarter_totals const expected = pace_.at_end(made, now, ends_);
    for (target_declaration const& target : configuration_->targets)
        result.push_back(standing_of(target, made, expected));
    return result;
}

quarter_store::quarter_store(
    quarter_settings settings, id_source& ids,
    std::function<bool(vm_id const&, incarnation)> life_is_over)
    : implementation_(std::make_unique<implementation>(std::move(settings), ids,
                                                       std::move(life_is_over)))
{
}

quarter_store::~quarter_store() = default;

void quarter_store::configure(std::shared_ptr<declaration const> configuration)
{
    implementation_->configure(std::move(configuration));
}

void quarter_store::set_life(incarnation life)
{
    implementation_->set_life(life);
}

void quarter_store::set_folds(bool folds)
{
    implementation_->set_folds(folds);
}

void quarter_store::set_quarter(std::string name, time_point ends,
                                time_point now)
{
    implementation_->set_quarter(std::move(name), ends, now);
}

void quarter_store::count_answer(application_id const& application,
                                 std::optional<duration> took)
{
    implementation_->count_answer(application, took);
}

void quarter_store::count_withdrawn(application_id const& application,
                                    duration waited)
{
    implementation_->count_withdrawn(application, waited);
}

void quarter_store::count_stalls(application_id const& application,
                                 std::uint64_t count)
{
    implementation_->count_stalls(application, count);
}

void quarter_store::add_slot_time(application_id const& application,
                                  duration busy, duration open)
{
    implementation_->add_slot_time(application, busy, open);
}

bool quarter_store::knows(operation_id operation) const
{
    return implementation_->knows(operation);
}

void quarter_store::on_table(table_reply const& reply, time_point now,
                             action_list&)
{
    implementation_->on_table(reply, now);
}

void quarter_store::tick(time_point now, action_list& actions)
{
    implementation_->tick(now, actions);
}

void quarter_store::flush(time_point now, action_list& actions)
{
    implementation_->flush(now, actions);
}

bool quarter_store::flushed() const
{
    return implementation_->flushed();
}

std::string const& quarter_store::quarter() const
{
    return implementation_->quarter();
}

std::vector<target_standing> quarter_store::standings(time_point now) const
{
    return implementation_->standings(now);
}

std::vector<application_id> quarter_store::at_risk(time_point now) const
{
    std::set<application_id> applications;
    for (target_standing const& standing : standings(now))
        if (standing.at_risk)
            applications.insert(standing.target.application);
    return {applications.begin(), applications.end()};
}

} // namespace mulberry
