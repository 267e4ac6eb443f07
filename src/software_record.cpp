#include "software_record.hpp"

#include "row_json.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string_view>
#include <utility>

namespace mulberry
{
namespace
{

using std::chrono::milliseconds;

/// A version that is new in the list is recorded before streams can begin at
/// it.
constexpr milliseconds urgent_rank_delay{300};
/// By then the other VMs have read what the VM before them in rank wrote.
constexpr std::chrono::seconds rank_delay{4};
/// After a write that conflicted or whose outcome is unknown, the row is read
/// again within this time.
constexpr std::chrono::seconds reread_time{3};

/// A larger number in a row is not taken at its word: times would overflow.
constexpr std::uint64_t max_longest_stream_ms = 24 * 60 * 60 * 1000;

Json::Value version_list(std::set<software_version> const& versions)
{
    Json::Value json(Json::arrayValue);
    for (software_version const& each : versions)
        json.append(each.str());
    return json;
}

std::optional<std::set<software_version>>
parse_version_list(Json::Value const& json)
{
    if (!json.isArray() ||
        !std::all_of(json.begin(), json.end(),
                     [](Json::Value const& each) { return each.isString(); }))
        return std::nullopt;
    std::set<software_version> versions;
    for (Json::Value const& each : json)
        versions.insert(software_version(each.asString()));
    return versions;
}

bool includes(std::set<software_version> const& all,
              std::set<software_version> const& some)
{
    return std::includes(all.begin(), all.end(), some.begin(), some.end());
}

} // namespace

std::string software_record_key(service_id const& service)
{
    return software_record_prefix + service.str();
}

std::optional<service_id> parse_software_record_key(std::string const& key)
{
    std::string_view const prefix(software_record_prefix);
    if (!std::string_view(key).starts_with(prefix) ||
        key.size() == prefix.size())
        return std::nullopt;
    return service_id(key.substr(prefix.size()));
}

std::string software_record_text(software_record const& record)
{
    Json::Value json;
    json["complete"] = record.complete;
    json["established"] = version_list(record.established);
    json["longest_stream_ms"] = static_cast<Json::Int64>(
        std::chrono::ceil<milliseconds>(record.longest_stream).count());
    json["versions"] = version_list(record.versions);
    return to_row_text(json);
}

std::optional<software_record> parse_software_record(std::string const& text)
{
    auto const json = parse_row_text(text);
    if (!json)
        return std::nullopt;
    auto const complete = flag_member(*json, "complete");
    auto const established = parse_version_list((*json)["established"]);
    auto const versions = parse_version_list((*json)["versions"]);
    if (!complete || !established || !versions ||
        !includes(*versions, *established))
        return std::nullopt;
    milliseconds longest{};
    if (json->isMember("longest_stream_ms"))
    {
        auto const number = number_member(*json, "longest_stream_ms");
        if (!number)
            return std::nullopt;
        longest = milliseconds(std::min(*number, max_longest_stream_ms));
    }
    return software_record{*versions, *established, *complete, longest};
}

void software_record_writer::on_row(service_id const& service,
                                    std::optional<software_record> record,
                                    row_version version, time_point now)
{
    service_rows& rows = services_[service];
    rows.record = std::move(record);
    rows.version = version;
    review(rows, now);
}

void software_record_writer::set_view(service_id const& service,
                                      software_view const& view, time_point now)
{
    service_rows& rows = services_[service];
    if (rows.view && view.as_of > rows.view->as_of + view.max_gap)
        rows.unlisted_since.clear();
    rows.view = view;
    review(rows, now);
}

software_record const*
software_record_writer::find(service_id const& service) const
{
    auto const found = services_.find(service);
    return found == services_.end() || !found->second.record
               ? nullptr
               : &*found->second.record;
}

duration software_record_writer::retention(service_rows const& rows)
{
    duration const known = rows.view->longest_stream;
    duration const recorded =
        rows.record ? rows.record->longest_stream : duration();
    return rows.view->retention + std::max(recorded - known, duration());
}

/// A version is removed in two steps: at first streams no longer begin at it
/// without a wait. When it is removed all VMs have read that, so that none
/// begins streams at it by an older copy of the record.
software_record software_record_writer::merge(service_rows const& rows)
{
    software_view const& view = *rows.view;
    software_record merged = rows.record.value_or(software_record{});
    merged.versions.insert(view.listed.begin(), view.listed.end());
    merged.versions.insert(view.remembered.begin(), view.remembered.end());
    for (software_version const& each : view.established)
        if (merged.versions.count(each) > 0)
            merged.established.insert(each);
    merged.complete = merged.complete || view.complete;
    merged.longest_stream =
        std::max(merged.longest_stream, view.longest_stream);
    duration const kept = retention(rows);
    for (auto const& [version, since] : rows.unlisted_since)
        if (view.as_of >= since + kept &&
            merged.established.count(version) == 0)
        {
            merged.versions.erase(version);
            // Within that time all streams ended that began under a longer
            // timeout than this process has known.
            merged.longest_stream = view.longest_stream;
        }
        else if (view.as_of >= since + kept / 2)
            merged.established.erase(version);
    return merged;
}

void software_record_writer::review(service_rows& rows, time_point now) const
{
    if (!rows.view || rows.view->listed.empty())
    {
        rows.write_at = never;
        return;
    }
    time_point const removal_due = note_unlisted(rows);
    bool const is_urgent =
        !rows.record || !includes(rows.record->versions, rows.view->listed) ||
        !includes(rows.record->versions, rows.view->remembered);
    auto const rank = static_cast<int>(rank_);
    if (is_urgent)
        rows.write_at =
            std::min(rows.write_at, now + duration(urgent_rank_delay) * rank);
    else if (merge(rows) != *rows.record)
        rows.write_at =
            std::min(rows.write_at, now + duration(rank_delay) * rank);
    else
        rows.write_at = removal_due == never
                            ? never
                            : removal_due + duration(rank_delay) * rank;
}

/// Returns when a version is next to be removed from the record, or from those
/// that are established.
time_point software_record_writer::note_unlisted(service_rows& rows)
{
    software_record const recorded = rows.record.value_or(software_record{});
    software_view const& view = *rows.view;
    std::erase_if(rows.unlisted_since,
                  [&](auto const& each)
                  {
                      return view.listed.count(each.first) > 0 ||
                             recorded.versions.count(each.first) == 0;
                  });
    duration const kept = retention(rows);
    time_point next = never;
    for (software_version const& each : recorded.versions)
    {
        if (view.listed.count(each) > 0)
            continue;
        time_point const since =
            rows.unlisted_since.try_emplace(each, view.as_of).first->second;
        bool const is_established = recorded.established.count(each) > 0;
        next = std::min<time_point>(next,
                                    since + (is_established ? kept / 2 : kept));
    }
    return next;
}

std::optional<table_transaction>
software_record_writer::take_write(time_point now)
{
    if (in_progress_)
        return std::nullopt;
    table_transaction transaction;
    for (auto& [service, rows] : services_)
    {
        if (std::max(rows.write_at, rows.not_before) > now)
            continue;
        software_record merged = merge(rows);
        rows.write_at = never;
        rows.not_before = now + duration(reread_time);
        if (rows.record && merged == *rows.record)
            continue;
        std::string const key = software_record_key(service);
        transaction.conditions.push_back({key, rows.version});
        transaction.writes.push_back({key, software_record_text(merged)});
        rows.writing = std::move(merged);
        rows.replaced = rows.version;
        break;
    }
    if (transaction.writes.empty())
        return std::nullopt;
    in_progress_ = true;
    return transaction;
}

void software_record_writer::on_written(bool done)
{
    in_progress_ = false;
    for (auto& [service, rows] : services_)
        if (auto written = std::exchange(rows.writing, std::nullopt);
            written && done && rows.version == rows.replaced)
            rows.record = std::move(written);
}

time_point software_record_writer::next_due() const
{
    time_point next = never;
    if (in_progress_)
        return next;
    for (auto const& [service, rows] : services_)
        next = std::min(next, std::max(rows.write_at, rows.not_before));
    return next;
}

} // namespace mulberry
