#include "quarter_ledger.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace mulberry
{
namespace
{

table_row const* row_of(table_reply const& reply, std::string const& key)
{
    auto const found =
        std::find_if(reply.rows.begin(), reply.rows.end(),
                     [&](table_row const& row) { return row.key == key; });
    if (found == reply.rows.end() || found->version.none())
        return nullptr;
    return &*found;
}

} // namespace

quarter_counts& quarter_ledger::counts(application_id const& application)
{
    ++changes_;
    return totals_[application];
}

void quarter_ledger::write(std::string const& key, operation_id operation,
                           time_point deadline, action_list& actions)
{
    operation_ = operation;
    creating_ = version_.none();
    quarter_row row;
    row.write_number = ++last_write_;
    if (!creating_)
    {
        sent_totals_ = totals_;
        sent_changes_ = changes_;
        row.totals = totals_;
    }
    actions.push_back(transact{
        operation, {{{key, version_}}, {{key, encode(row)}}}, deadline});
}

void quarter_ledger::on_reply(std::string const& key, table_reply const& reply)
{
    operation_ = operation_id();
    last_write_confirmed_ = reply.outcome == table_outcome::done && !creating_;
    switch (reply.outcome)
    {
    case table_outcome::done:
        return on_done(key, reply);
    case table_outcome::conflict:
        return on_conflict(key, reply);
    case table_outcome::unreachable:
        // A conflict of the next write shows whether this write took effect.
        return record_possible_write();
    case table_outcome::refused:
        return;
    }
}

void quarter_ledger::record_possible_write()
{
    if (creating_)
        return;
    max_totals_in_row_ = sent_totals_;
}

void quarter_ledger::on_done(std::string const& key, table_reply const& reply)
{
    if (table_row const* const row = row_of(reply, key))
        version_ = row->version;
    last_finished_write_ = last_write_;
    record_possible_write();
    if (!creating_)
        written_changes_ = sent_changes_;
}

void quarter_ledger::on_conflict(std::string const& key,
                                 table_reply const& reply)
{
    table_row const* const row = row_of(reply, key);
    std::optional<quarter_row> const stored_row =
        row ? decode_quarter_row(row->value) : std::nullopt;
    if (creating_)
    {
        // An earlier create of this ledger took effect. All writes since the
        // row's version was last known are creates, so none contains counts.
        if (stored_row)
        {
            version_ = row->version;
            last_finished_write_ = last_write_;
        }
        return;
    }
    if (stored_row && stored_row->write_number > last_finished_write_)
    {
        version_ = row->version;
        last_finished_write_ = stored_row->write_number;
        max_totals_in_row_ = stored_row->totals;
        return;
    }
    // The row was deleted, or a delayed create has recreated it.
    on_row_folded();
}

void quarter_ledger::on_row_folded()
{
    // Another VM considered this incarnation ended and folded the row. The sum
    // now includes the row's totals: those of the last answered write or of a
    // later unanswered write. Subtract the larger totals, because subtracting
    // too little would count requests twice.
    totals_ = difference(totals_, max_totals_in_row_);
    max_totals_in_row_.clear();
    version_ = row_version();
}

} // namespace mulberry
