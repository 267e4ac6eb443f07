/// Decodes the store's rows of configuration, adapter versions and workers.
#ifndef MULBERRY_REGISTRY_WATCH_HPP
#define MULBERRY_REGISTRY_WATCH_HPP

#include "backend_entry.hpp"
#include "event_log.hpp"
#include "relay_codec.hpp"
#include "row_store.hpp"
#include "store_contact.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace mulberry
{

/// Callbacks for changes, called within on_rows().
struct registry_listener
{
    std::function<void(std::shared_ptr<routing_config const>)> on_config;
    std::function<void(adapter_release const&)> on_release;
    /// The declaration of the adapter's version was deleted.
    std::function<void(model_target const&)> on_withdrawn;
    std::function<void(std::vector<backend_entry>)> on_backends;
};

/// Thread safety: none; used on the thread of the mirror.
class registry_watch
{
public:
    /// The references outlive this object.
    registry_watch(relay_codec const& codec, event_log& log,
                   registry_listener listener);

    /// Number of malformed rows of workers and declarations, each version
    /// counted once.
    std::uint64_t malformed_rows() const { return malformed_rows_; }
    /// Prometheus text.
    std::string metrics() const;

    /// Handles changed rows of the declarations or the workers, deleted rows
    /// included. A worker whose entry is missing counts as gone from
    /// `trusted_at` on; before that, the entry may merely have lapsed during a
    /// store outage.
    void on_rows(row_set set, std::vector<stored_row> const& rows,
                 time_point now, time_point trusted_at);
    /// When the next worker whose entry is missing counts as gone.
    time_point next_lapse() const;
    /// Drops the workers whose entries are missing and that count as gone.
    void drop_lapsed(time_point now) { publish_workers(now); }

private:
    struct listed_worker
    {
        backend_entry entry;
        row_version version;
        /// If the worker's row is missing: when the worker is dropped.
        time_point lapses_at = never;
    };

    void on_worker_row(stored_row const& row, time_point now,
                       time_point trusted_at);
    void on_malformed_row(std::string_view event, stored_row const& row,
                          std::string const& fault, time_point now);
    void on_worker_deleted(std::string const& key, time_point now,
                           time_point trusted_at);
    void on_declaration(stored_row const& row, time_point now);
    void on_declaration_deleted(std::string const& key);
    void publish_workers(time_point now);

    relay_codec const& codec_;
    event_log& log_;
    registry_listener listener_;
    std::map<std::string, listed_worker> listed_;
    config_version config_version_;
    /// What the rows declare versions of.
    std::map<std::string, model_target> declared_;
    bool workers_changed_ = false;
    /// The last malformed version of each row, so that each version is logged
    /// once however often it is read.
    std::map<std::string, row_version> malformed_;
    std::uint64_t malformed_rows_ = 0;
};

} // namespace mulberry

#endif
