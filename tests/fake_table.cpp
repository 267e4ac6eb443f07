#include "fake_table.hpp"

#include <algorithm>
#include <utility>

namespace mulberry::tests
{

fake_table::fake_table(virtual_time& time, std::uint64_t seed)
    : time_(time), random_(seed)
{
}

void fake_table::set_reachable(vm_id const& from, bool reachable)
{
    if (reachable)
        cut_off_.erase(from);
    else
        cut_off_.insert(from);
}

bool fake_table::can_reach(vm_id const& from) const
{
    return !down_ && cut_off_.count(from) == 0;
}

bool fake_table::submit(vm_id const& from, action const& what, answer to)
{
    if (auto const* const call = std::get_if<transact>(&what))
        time_.after(latency_, [this, from, call = *call, to]
                    { on_transaction(from, call, to); });
    else if (auto const* const scan = std::get_if<scan_rows>(&what))
        time_.after(latency_,
                    [this, from, scan = *scan, to] {
                        on_read(from, scan.operation, scan.prefix, false,
                                scan.deadline, to);
                    });
    else if (auto const* const read = std::get_if<read_row>(&what))
        time_.after(latency_,
                    [this, from, read = *read, to] {
                        on_read(from, read.operation, read.key, true,
                                read.deadline, to);
                    });
    else
        return false;
    return true;
}

void fake_table::on_transaction(vm_id const& from, transact const& what,
                                answer const& to)
{
    if (!can_reach(from))
        return fail(what.operation, what.deadline, to);
    if (refuse_)
        return respond(from, {what.operation, table_outcome::refused, {}},
                       what.deadline, false, to);
    bool const lost = lose_answers_;
    auto const apply_and_respond = [this, from, what, lost, to]
    { respond(from, apply(what), what.deadline, lost, to); };
    if (write_delay_ == duration{})
        return apply_and_respond();
    time_.after(write_delay_, apply_and_respond);
}

table_reply fake_table::apply(transact const& what)
{
    ++transactions_;
    table_reply reply{what.operation, table_outcome::done, {}};
    bool conditions_hold = true;
    for (table_condition const& each : what.transaction.conditions)
    {
        table_row const* const known = row(each.key);
        row_version const version = known ? known->version : row_version();
        conditions_hold = conditions_hold && version == each.version;
        reply.rows.push_back(known ? *known : table_row{each.key, {}, {}});
    }
    if (!conditions_hold)
    {
        ++conflicts_;
        reply.outcome = table_outcome::conflict;
        return reply;
    }
    reply.rows.clear();
    for (table_write const& each : what.transaction.writes)
        write(each, reply);
    return reply;
}

void fake_table::write(table_write const& what, table_reply& reply)
{
    table_row const written{what.key, row_version(++last_version_),
                            what.value.value_or("")};
    table_row const* const known = row(what.key);
    std::optional<table_row> const before =
        known ? std::optional(*known) : std::nullopt;
    append(written, what.value.has_value());
    reply.rows.push_back(written);
    if (observer_)
        observer_(before, written);
}

void fake_table::append(table_row const& written, bool exists)
{
    std::vector<state>& states = history_[written.key];
    if (states.size() > 64)
        states.erase(states.begin(), states.begin() + 32);
    states.push_back(
        {time_.now(), exists ? std::optional(written) : std::nullopt});
}

void fake_table::put_foreign(std::string const& key, std::string const& value)
{
    append({key, row_version(++last_version_), value}, true);
}

void fake_table::on_read(vm_id const& from, operation_id operation,
                         std::string const& prefix, bool exact_key,
                         time_point deadline, answer const& to)
{
    if (!can_reach(from))
        return fail(operation, deadline, to);
    ++reads_;
    if (refuse_)
        return respond(from, {operation, table_outcome::refused, {}}, deadline,
                       false, to);
    duration lag{};
    if (read_lag_ > duration{})
        lag = duration(static_cast<duration::rep>(
            random_() % static_cast<std::uint64_t>(read_lag_.count())));
    table_reply reply{operation, table_outcome::done, {}};
    for (auto each = history_.lower_bound(prefix);
         each != history_.end() && each->first.starts_with(prefix); ++each)
    {
        auto const& states = each->second;
        auto const seen = std::find_if(
            states.rbegin(), states.rend(),
            [&](state const& s) { return s.since <= time_.now() - lag; });
        bool const wanted = !exact_key || each->first == prefix;
        if (wanted && seen != states.rend() && seen->row)
            reply.rows.push_back(*seen->row);
    }
    respond(from, reply, deadline, false, to);
}

void fake_table::respond(vm_id const& from, table_reply const& reply,
                         time_point deadline, bool lost, answer const& to)
{
    if (lost || time_.now() + latency_ > deadline)
        return fail(reply.operation, deadline, to);
    time_.after(latency_,
                [this, from, reply, deadline, to]
                {
                    if (can_reach(from))
                        return to(reply);
                    fail(reply.operation, deadline, to);
                });
}

void fake_table::fail(operation_id operation, time_point deadline,
                      answer const& to)
{
    time_.at(deadline,
             [operation, to] {
                 to({operation, table_outcome::unreachable, {}});
             });
}

table_row const* fake_table::row(std::string const& key) const
{
    auto const known = history_.find(key);
    if (known == history_.end() || !known->second.back().row)
        return nullptr;
    return &*known->second.back().row;
}

std::vector<table_row> fake_table::rows(std::string const& prefix) const
{
    std::vector<table_row> result;
    for (auto const& [key, states] : history_)
        if (key.starts_with(prefix) && states.back().row)
            result.push_back(*states.back().row);
    return result;
}

} // namespace mulberry::tests
