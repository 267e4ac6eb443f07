#include "table_store.hpp"

namespace mulberry::standins
{
namespace
{

template <typename History>
std::optional<table_row> row_at(std::string const& key, History const& cells,
                                steady_time moment)
{
    for (auto cell = cells.rbegin(); cell != cells.rend(); ++cell)
    {
        if (cell->at > moment)
            continue;
        if (!cell->value)
            return std::nullopt;
        return table_row{key, cell->version, cell->value};
    }
    return std::nullopt;
}

} // namespace

transact_result
table_store::transact(std::vector<row_condition> const& conditions,
                      std::vector<row_write> const& writes, steady_time now)
{
    transact_result result{true, {}};
    for (row_condition const& condition : conditions)
    {
        result.rows.push_back(newest(condition.key));
        if (result.rows.back().version != condition.version)
            result.applied = false;
    }
    if (!result.applied || writes.empty())
        return result;
    result.rows.clear();
    for (row_write const& change : writes)
        result.rows.push_back(write(change, now));
    return result;
}

std::optional<table_row> table_store::read(std::string const& key,
                                           steady_time moment) const
{
    auto const found = rows_.find(key);
    if (found == rows_.end())
        return std::nullopt;
    return row_at(key, found->second, moment);
}

std::vector<table_row> table_store::scan(std::string_view prefix,
                                         steady_time moment) const
{
    std::vector<table_row> rows;
    for (auto row = rows_.lower_bound(prefix);
         row != rows_.end() && row->first.starts_with(prefix); ++row)
    {
        if (auto found = row_at(row->first, row->second, moment))
            rows.push_back(std::move(*found));
    }
    return rows;
}

table_row table_store::newest(std::string const& key) const
{
    return read(key, steady_time::max()).value_or(table_row{key, 0, {}});
}

table_row table_store::write(row_write const& write, steady_time now)
{
    std::uint64_t const version = ++last_version_;
    history& cells = rows_[write.key];
    cells.push_back({now, version, write.value});
    while (cells.size() > 1 && cells[1].at <= now - history_kept)
        cells.pop_front();
    return {write.key, write.value ? version : 0, write.value};
}

} // namespace mulberry::standins
