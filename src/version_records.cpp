#include "version_records.hpp"

#include "adapter_version_history.hpp"
#include "row_json.hpp"

#include <algorithm>
#include <chrono>
#include <string_view>
#include <utility>

namespace mulberry
{
namespace
{

/// By then the other VMs have read what the VM before them in rank wrote.
constexpr std::chrono::seconds rank_delay{4};
/// After a write whose outcome is unknown or that conflicted, the rows are read
/// again within this time.
constexpr std::chrono::seconds reread_time{3};
/// The store accepts a hundred entries, conditions and writes together.
constexpr std::size_t max_records = 50;

std::optional<model_target> parse_key(std::string const& key)
{
    std::string_view rest(key);
    if (!rest.starts_with(version_record_prefix))
        return std::nullopt;
    rest.remove_prefix(std::string_view(version_record_prefix).size());
    auto const slash = rest.find('/');
    if (slash == std::string_view::npos || slash == 0)
        return std::nullopt;
    return model_target{base_model_id(std::string(rest.substr(0, slash))),
                        adapter_id(std::string(rest.substr(slash + 1)))};
}

std::string record_text(adapter_version version)
{
    Json::Value json;
    json["version"] = Json::UInt64(version.value());
    return to_row_text(json);
}

} // namespace

std::string version_record_key(model_target const& target)
{
    return version_record_prefix + target.model.str() + "/" +
           target.adapter.str();
}

void version_records::on_declared(adapter_release const& declared,
                                  time_point now)
{
    adapter_state& state = adapters_[declared.target];
    state.declared = declared.version;
    review(declared.target, state, now);
}

void version_records::on_withdrawn(model_target const& target, time_point now)
{
    auto const known = adapters_.find(target);
    if (known == adapters_.end())
        return;
    known->second.declared.reset();
    if (!known->second.recorded)
        adapters_.erase(known);
    else
        schedule_write(known->second, now);
}

bool version_records::on_row(stored_row const& row, time_point now)
{
    auto const target = parse_key(row.key);
    if (!target)
        return !row.key.starts_with(version_record_prefix);
    auto const json = row.deleted ? std::nullopt : parse_row_text(row.value);
    auto const version = json ? number_member(*json, "version") : std::nullopt;
    adapter_state& state = adapters_[*target];
    state.record_row = row.deleted ? row_version() : row.version;
    state.recorded.reset();
    if (version)
        state.recorded = adapter_version(*version);
    review(*target, state, now);
    if (row.deleted && !state.declared)
        adapters_.erase(*target);
    return row.deleted || version.has_value();
}

void version_records::review(model_target const& target, adapter_state& state,
                             time_point now)
{
    if (!state.declared)
        return;
    adapter_version in_force = *state.declared;
    if (state.recorded && *state.recorded > in_force &&
        !is_far_ahead(*state.recorded, in_force))
        in_force = *state.recorded;
    if (in_force > state.newest || is_far_ahead(state.newest, in_force))
    {
        state.newest = in_force;
        changes_.push_back({target, in_force});
    }
    if (state.recorded == state.newest)
        state.write_at = never;
    else
        schedule_write(state, now);
}

void version_records::schedule_write(adapter_state& state, time_point now) const
{
    state.write_at = std::min<time_point>(
        state.write_at, now + duration(rank_delay) * static_cast<int>(rank_));
}

adapter_version version_records::declared(model_target const& target) const
{
    auto const known = adapters_.find(target);
    return known == adapters_.end()
               ? adapter_version()
               : known->second.declared.value_or(adapter_version());
}

adapter_version version_records::newest(model_target const& target) const
{
    auto const known = adapters_.find(target);
    return known == adapters_.end() ? adapter_version() : known->second.newest;
}

void version_records::set_rank(std::size_t rank)
{
    rank_ = rank;
}

std::vector<adapter_release> version_records::take_changes()
{
    return std::exchange(changes_, {});
}

std::optional<table_transaction> version_records::take_write(time_point now)
{
    if (writes_)
        return std::nullopt;
    table_transaction transaction;
    for (auto& [target, state] : adapters_)
    {
        if (state.write_at > now || transaction.writes.size() >= max_records)
            continue;
        std::string const key = version_record_key(target);
        transaction.conditions.push_back({key, state.record_row});
        transaction.writes.push_back(
            {key, state.declared ? std::optional(record_text(state.newest))
                                 : std::nullopt});
        state.write_at = now + duration(reread_time);
    }
    if (transaction.writes.empty())
        return std::nullopt;
    writes_ = true;
    return transaction;
}

time_point version_records::next_due() const
{
    time_point next = never;
    if (writes_)
        return next;
    for (auto const& [target, state] : adapters_)
        next = std::min(next, state.write_at);
    return next;
}

} // namespace mulberry
