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
    implementation(
        quarter_settings settings, id_source& ids,
        std::function<bool(vm_id const&, incarnation)> incarnation_ended)
        : settings_(std::move(settings)), ids_(&ids),
          incarnation_ended_(std::move(incarnation_ended))
    {
    }

    void configure(std::shared_ptr<declaration const> configuration);
    void set_incarnation(incarnation incarnation_number);
    void set_folding_enabled(bool folding_enabled)
    {
        folding_enabled_ = folding_enabled;
    }
    void set_quarter(std::string name, time_point quarter_end, time_point now);

    void count_answer(application_id const& application,
                      std::optional<duration> elapsed);
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
    /// A ledger and the time of its next write.
    struct own_row_state
    {
        quarter_ledger ledger;
        time_point next_write_at{};
    };
    struct scanned_row
    {
        table_row raw;
        quarter_key key;
        quarter_row stored_row;
    };

    bool is_counted(application_id const& application) const;
    quarter_ledger& current_ledger();
    bool is_own_row(quarter_key const& key) const;
    void write(quarter_key const& key, own_row_state& row, time_point now,
               action_list& actions);
    void write_due_rows(time_point now, action_list& actions);
    void scan_if_due(time_point now, action_list& actions);
    void on_rows(table_reply const& reply, time_point now);
    void erase_finished_rows();
    void sum_other_rows();
    void fold_ended_rows(time_point now, action_list& actions);
    std::vector<scanned_row const*>
    foldable_rows(std::string const& quarter) const;
    quarter_totals totals() const;

    quarter_settings settings_;
    id_source* ids_;
    std::function<bool(vm_id const&, incarnation)> incarnation_ended_;
    std::shared_ptr<declaration const> configuration_;
    /// The applications with targets, each with the bounds of its
    /// answered_within targets.
    std::map<application_id, std::set<duration>> bounds_by_application_;

    incarnation incarnation_number_;
    std::string quarter_;
    time_point quarter_end_ = never;
    /// Rows of this process. The row of an earlier incarnation stays until all
    /// its counts are written; rows of ended quarters stay as well.
    std::map<quarter_key, own_row_state> own_rows_;
    bool folding_enabled_ = false;
    bool flushing_ = false;

    operation_id scan_operation_;
    time_point next_scan_at_{};
    operation_id fold_operation_;
    /// The rows as last read. Each scan is used for one fold attempt at most.
    std::vector<scanned_row> scanned_rows_;
    bool fold_pending_ = false;
    bool has_read_rows_ = false;
    /// Totals of the current quarter in all rows but this process's own.
    quarter_totals other_totals_;
    totals_history totals_history_;
};

void quarter_store::implementation::configure(
    std::shared_ptr<declaration const> configuration)
{
    configuration_ = std::move(configuration);
    bounds_by_application_.clear();
    for (target_declaration const& target : configuration_->targets)
    {
        std::set<duration>& bounds = bounds_by_application_[target.application];
        if (target.measure == target_measure::answered_within)
            bounds.insert(target.bound);
    }
}

void quarter_store::implementation::set_incarnation(
    incarnation incarnation_number)
{
    if (incarnation_number.none() || incarnation_number == incarnation_number_)
        return;
    if (incarnation_number_.none())
    {
        // Assign counts from before the first registration to this
        // incarnation.
        std::map<quarter_key, own_row_state> renamed_rows;
        for (auto& [key, row] : own_rows_)
            renamed_rows.emplace(
                quarter_key{key.quarter, key.vm, incarnation_number},
                std::move(row));
        own_rows_ = std::move(renamed_rows);
    }
    incarnation_number_ = incarnation_number;
}

void quarter_store::implementation::set_quarter(std::string name,
                                                time_point quarter_end,
                                                time_point now)
{
    quarter_end_ = quarter_end;
    if (name == quarter_)
        return;
    quarter_ = std::move(name);
    totals_history_.clear();
    sum_other_rows();
    next_scan_at_ = std::min(next_scan_at_, now);
}

bool quarter_store::implementation::is_counted(
    application_id const& application) const
{
    return !quarter_.empty() && bounds_by_application_.contains(application);
}

quarter_ledger& quarter_store::implementation::current_ledger()
{
    return own_rows_[{quarter_, settings_.vm, incarnation_number_}].ledger;
}

void quarter_store::implementation::count_answer(
    application_id const& application, std::optional<duration> elapsed)
{
    if (!is_counted(application))
        return;
    quarter_counts& counts = current_ledger().counts(application);
    ++counts.requests;
    for (duration const bound : bounds_by_application_.at(application))
    {
        bound_counts& each = counts.bounds[bound];
        ++each.counted;
        if (elapsed && *elapsed <= bound)
            ++each.within;
    }
}

void quarter_store::implementation::count_withdrawn(
    application_id const& application, duration waited)
{
    if (!is_counted(application))
        return;
    quarter_counts& counts = current_ledger().counts(application);
    ++counts.requests;
    for (duration const bound : bounds_by_application_.at(application))
        if (waited > bound)
            ++counts.bounds[bound].counted;
}

void quarter_store::implementation::count_stalls(
    application_id const& application, std::uint64_t count)
{
    if (count > 0 && is_counted(application))
        current_ledger().counts(application).stalled += count;
}

void quarter_store::implementation::add_slot_time(
    application_id const& application, duration busy, duration open)
{
    if (busy + open <= duration::zero() || !is_counted(application))
        return;
    quarter_counts& counts = current_ledger().counts(application);
    counts.busy_slot_time += busy;
    counts.open_slot_time += open;
}

bool quarter_store::implementation::is_own_row(quarter_key const& key) const
{
    return own_rows_.contains(key) ||
           (key.vm == settings_.vm &&
            key.incarnation_number == incarnation_number_);
}

bool quarter_store::implementation::knows(operation_id operation) const
{
    if (operation.none())
        return false;
    return operation == scan_operation_ || operation == fold_operation_ ||
           std::any_of(own_rows_.begin(), own_rows_.end(),
                       [&](auto const& each)
                       { return each.second.ledger.knows(operation); });
}

void quarter_store::implementation::on_table(table_reply const& reply,
                                             time_point now)
{
    if (reply.operation == scan_operation_)
    {
        scan_operation_ = operation_id();
        if (reply.outcome == table_outcome::done)
            on_rows(reply, now);
        return;
    }
    if (reply.operation == fold_operation_)
    {
        // The next scan shows whether the fold took effect.
        fold_operation_ = operation_id();
        return;
    }
    for (auto& [key, row] : own_rows_)
    {
        if (!row.ledger.knows(reply.operation))
            continue;
        row.ledger.on_reply(key.str(), reply);
        if (!row.ledger.last_write_confirmed())
            row.next_write_at =
                std::min(row.next_write_at, now + settings_.retry_interval);
        return;
    }
}

void quarter_store::implementation::tick(time_point now, action_list& actions)
{
    write_due_rows(now, actions);
    scan_if_due(now, actions);
    fold_ended_rows(now, actions);
}

void quarter_store::implementation::write_due_rows(time_point now,
                                                   action_list& actions)
{
    if (incarnation_number_.none())
        return;
    for (auto& [key, row] : own_rows_)
        if (now >= row.next_write_at && row.ledger.idle() &&
            row.ledger.has_unwritten_changes())
            write(key, row, now, actions);
}

void quarter_store::implementation::write(quarter_key const& key,
                                          own_row_state& row, time_point now,
                                          action_list& actions)
{
    row.next_write_at = now + settings_.write_interval;
    row.ledger.write(key.str(), ids_->next_operation(),
                     now + settings_.table_timeout, actions);
}

void quarter_store::implementation::flush(time_point now, action_list& actions)
{
    if (!std::exchange(flushing_, true))
        for (auto& [key, row] : own_rows_)
        {
            row.ledger.mark_for_flush();
            row.next_write_at = now;
        }
    write_due_rows(now, actions);
}

bool quarter_store::implementation::flushed() const
{
    return std::all_of(own_rows_.begin(), own_rows_.end(),
                       [](auto const& each)
                       { return each.second.ledger.is_mark_written(); });
}

void quarter_store::implementation::scan_if_due(time_point now,
                                                action_list& actions)
{
    if (quarter_.empty() || now < next_scan_at_ || !scan_operation_.none())
        return;
    next_scan_at_ = now + settings_.read_interval;
    scan_operation_ = ids_->next_operation();
    // Scan the rows of all quarters: the last rows of an ended quarter are
    // folded as well.
    actions.push_back(scan_rows{scan_operation_, quarter_prefix,
                                now + settings_.table_timeout});
}

void quarter_store::implementation::on_rows(table_reply const& reply,
                                            time_point now)
{
    scanned_rows_.clear();
    for (table_row const& raw : reply.rows)
    {
        auto key = parse_quarter_key(raw.key);
        auto stored_row = decode_quarter_row(raw.value);
        if (key && stored_row)
            scanned_rows_.push_back(
                {raw, std::move(*key), std::move(*stored_row)});
    }
    erase_finished_rows();
    sum_other_rows();
    fold_pending_ = true;
    has_read_rows_ = true;
    totals_history_.sample(totals(), now);
}

void quarter_store::implementation::erase_finished_rows()
{
    std::erase_if(own_rows_,
                  [this](auto const& each)
                  {
                      return each.first.incarnation_number !=
                                 incarnation_number_ &&
                             each.second.ledger.idle() &&
                             !each.second.ledger.has_unwritten_changes();
                  });
}

void quarter_store::implementation::sum_other_rows()
{
    other_totals_.clear();
    for (scanned_row const& row : scanned_rows_)
        if (row.key.quarter == quarter_ && !is_own_row(row.key))
            add(other_totals_, row.stored_row.totals);
}

void quarter_store::implementation::fold_ended_rows(time_point now,
                                                    action_list& actions)
{
    if (!folding_enabled_ || !fold_pending_ || !fold_operation_.none())
        return;
    fold_pending_ = false;
    std::set<std::string> quarters;
    for (scanned_row const& row : scanned_rows_)
        quarters.insert(row.key.quarter);
    for (std::string const& quarter : quarters)
    {
        auto const rows = foldable_rows(quarter);
        if (rows.empty())
            continue;
        quarter_key const sum_key{quarter, {}, {}};
        quarter_row sum;
        // Two VMs that fold the same row, or a VM that folds from a stale read,
        // would add the row twice. The conditions let the transaction take
        // effect only if all rows still have the versions that were read, and
        // the first fold changes all of them.
        table_transaction change{{{sum_key.str(), row_version()}}, {}};
        for (scanned_row const& row : scanned_rows_)
            if (row.key == sum_key)
            {
                sum = row.stored_row;
                change.conditions.front().version = row.raw.version;
            }
        for (scanned_row const* const row : rows)
        {
            add(sum.totals, row->stored_row.totals);
            change.conditions.push_back({row->raw.key, row->raw.version});
            change.writes.push_back({row->raw.key, std::nullopt});
        }
        change.writes.push_back({sum_key.str(), encode(sum)});
        fold_operation_ = ids_->next_operation();
        actions.push_back(transact{fold_operation_, std::move(change),
                                   now + settings_.table_timeout});
        return;
    }
}

std::vector<quarter_store::implementation::scanned_row const*>
quarter_store::implementation::foldable_rows(std::string const& quarter) const
{
    std::vector<scanned_row const*> rows;
    for (scanned_row const& row : scanned_rows_)
    {
        if (rows.size() == settings_.max_rows_per_fold)
            break;
        if (row.key.quarter == quarter && !row.key.is_sum() &&
            !is_own_row(row.key) &&
            incarnation_ended_(row.key.vm, row.key.incarnation_number))
            rows.push_back(&row);
    }
    return rows;
}

quarter_totals quarter_store::implementation::totals() const
{
    quarter_totals sum = other_totals_;
    for (auto const& [key, row] : own_rows_)
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
    quarter_totals const current_totals =
        has_read_rows_ ? totals() : quarter_totals();
    quarter_totals const expected =
        totals_history_.project_totals(current_totals, now, quarter_end_);
    for (target_declaration const& target : configuration_->targets)
        result.push_back(evaluate_target(target, current_totals, expected));
    return result;
}

quarter_store::quarter_store(
    quarter_settings settings, id_source& ids,
    std::function<bool(vm_id const&, incarnation)> incarnation_ended)
    : implementation_(std::make_unique<implementation>(
          std::move(settings), ids, std::move(incarnation_ended)))
{
}

quarter_store::~quarter_store() = default;

void quarter_store::configure(std::shared_ptr<declaration const> configuration)
{
    implementation_->configure(std::move(configuration));
}

void quarter_store::set_incarnation(incarnation incarnation_number)
{
    implementation_->set_incarnation(incarnation_number);
}

void quarter_store::set_folding_enabled(bool folding_enabled)
{
    implementation_->set_folding_enabled(folding_enabled);
}

void quarter_store::set_quarter(std::string name, time_point quarter_end,
                                time_point now)
{
    implementation_->set_quarter(std::move(name), quarter_end, now);
}

void quarter_store::count_answer(application_id const& application,
                                 std::optional<duration> elapsed)
{
    implementation_->count_answer(application, elapsed);
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
