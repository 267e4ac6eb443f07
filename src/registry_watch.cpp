#include "registry_watch.hpp"

#include <algorithm>
#include <utility>

namespace mulberry
{
namespace
{

backend_entry without_weights(backend_entry entry)
{
    for (held_model& held : entry.models)
        held.weights = {};
    return entry;
}

} // namespace

registry_watch::registry_watch(relay_codec const& codec, event_log& log,
                               registry_listener listener)
    : codec_(codec), log_(log), listener_(std::move(listener))
{
}

void registry_watch::on_rows(row_set set, std::vector<stored_row> const& rows,
                             time_point now, time_point trusted_at)
{
    for (stored_row const& row : rows)
    {
        if (row.kind == row_kind::worker)
            on_worker_row(row, now, trusted_at);
        else if (row.kind == row_kind::configuration ||
                 row.kind == row_kind::adapter_release)
            on_declaration(row, now);
    }
    if (set == row_set::workers)
        publish_workers(now);
}

void registry_watch::on_declaration(stored_row const& row, time_point now)
{
    if (row.deleted)
        return on_declaration_deleted(row.key);
    std::string fault;
    if (row.kind == row_kind::adapter_release)
    {
        if (auto const release = codec_.decode_release(row.value, fault))
        {
            declared_[row.key] = release->target;
            return listener_.on_release(*release);
        }
    }
    else if (auto config = codec_.decode_config(row.value, fault))
    {
        // Answers may arrive in any order; an older configuration never
        // replaces a newer one.
        if (config->version <= config_version_)
            return;
        config_version_ = config->version;
        return listener_.on_config(
            std::make_shared<routing_config const>(std::move(*config)));
    }
    on_malformed_row("malformed declaration", row, fault, now);
}

void registry_watch::on_declaration_deleted(std::string const& key)
{
    auto const declared = declared_.extract(key);
    if (!declared.empty() && listener_.on_withdrawn)
        listener_.on_withdrawn(declared.mapped());
}

/// Failure: during a store outage the entries of live workers lapse. On the
/// store's return every worker looks gone for the seconds until it has written
/// its entry again, and requests are refused. So entries that are missing then
/// are kept until the grace period is over.
void registry_watch::on_worker_row(stored_row const& row, time_point now,
                                   time_point trusted_at)
{
    auto const known = listed_.find(row.key);
    if (known != listed_.end() && row.version < known->second.version)
        return;
    if (row.deleted)
        return on_worker_deleted(row.key, now, trusted_at);
    std::string fault;
    auto entry = codec_.decode_backend(row.key, row.value, fault);
    if (!entry)
    {
        // Another writer has overwritten the row. A worker that the row named
        // before writes its entry again within the grace period, or is gone.
        on_malformed_row("malformed worker entry", row, fault, now);
        return on_worker_deleted(row.key, now, now + lapse_grace);
    }
    if (known != listed_.end() && known->second.entry == *entry &&
        known->second.lapses_at == never)
    {
        known->second.version = row.version;
        return;
    }
    workers_changed_ = true;
    listed_[row.key] = {std::move(*entry), row.version, never};
}

void registry_watch::on_worker_deleted(std::string const& key, time_point now,
                                       time_point trusted_at)
{
    auto const known = listed_.find(key);
    if (known == listed_.end())
        return;
    if (now >= trusted_at || known->second.entry.draining)
    {
        workers_changed_ = true;
        listed_.erase(known);
    }
    else if (known->second.lapses_at == never)
    {
        workers_changed_ |=
            known->second.entry != without_weights(known->second.entry);
        known->second.lapses_at = trusted_at;
    }
}

void registry_watch::on_malformed_row(std::string_view event,
                                      stored_row const& row,
                                      std::string const& fault, time_point now)
{
    row_version& seen = malformed_[row.key];
    if (row.version <= seen)
        return;
    seen = row.version;
    ++malformed_rows_;
    log_.notable(event, log_fields().add("key", row.key).add("fault", fault),
                 now);
}

std::string registry_watch::metrics() const
{
    return "mulberry_malformed_rows_total " + std::to_string(malformed_rows_) +
           "\n";
}

time_point registry_watch::next_lapse() const
{
    time_point next = never;
    for (auto const& [key, worker] : listed_)
        next = std::min(next, worker.lapses_at);
    return next;
}

void registry_watch::publish_workers(time_point now)
{
    workers_changed_ |=
        std::erase_if(listed_, [now](auto const& each)
                      { return each.second.lapses_at <= now; }) > 0;
    if (!std::exchange(workers_changed_, false))
        return;
    std::vector<backend_entry> entries;
    for (auto const& [key, worker] : listed_)
    {
        // A worker whose entry is missing may have restarted meanwhile with
        // newer weights, so its weights are unknown.
        entries.push_back(worker.lapses_at == never
                              ? worker.entry
                              : without_weights(worker.entry));
    }
    listener_.on_backends(std::move(entries));
}

} // namespace mulberry
