/// What the store's rows say of configuration, versions and workers.
#ifndef MULBERRY_REGISTRY_WATCH_HPP
#define MULBERRY_REGISTRY_WATCH_HPP

#include "backend_entry.hpp"
#include "event_log.hpp"
#include "relay_codec.hpp"
#include "row_store.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace mulberry
{

/// Told about what changed, within on_rows().
struct registry_listener
{
    std::function<void(std::shared_ptr<routing_config const>)> on_config;
    std::function<void(adapter_release const&)> on_release;
    std::function<void(std::vector<backend_entry>)> on_backends;
};

/// A worker's entry can lapse while the store is away. After the store's return
/// it has this long to be written again.
inline constexpr std::chrono::milliseconds lapse_grace{2000};

/// Thread safety: none; used on the thread of the mirror.
class registry_watch
{
public:
    /// The references outlive this object.
    registry_watch(relay_codec const& codec, event_log& log,
                   registry_listener listener);

    /// Rows that name no worker or declaration for want of sense, each version
    /// counted once.
    std::uint64_t malformed_rows() const { return malformed_rows_; }
    /// Prometheus text.
    std::string metrics() const;

    /// Rows of the declarations or the workers that changed, dropped ones
    /// among them. `trusted_at`: a worker's entry that is missing counts as
    /// gone from then on; before, it may have lapsed while the store was away.
    void on_rows(row_set set, std::vector<stored_row> const& rows,
                 time_point now, time_point trusted_at);

private:
    struct listed_worker
    {
        backend_entry entry;
        row_version version;
        /// Its row is gone; it is given up at that moment.
        time_point lapses_at = never;
    };

    void on_worker_row(stored_row const& row, time_point now,
                       time_point trusted_at);
    void on_malformed_row(std::string_view event, stored_row const& row,
                          std::string const& fault, time_point now);
    void on_worker_deleted(std::string const& key, time_point now,
                           time_point trusted_at);
    void on_declaration(stored_row const& row, time_point now);
    void publish_workers(time_point now);

    relay_codec const& codec_;
    event_log& log_;
    registry_listener listener_;
    std::map<std::string, listed_worker> listed_;
    config_version config_version_;
    bool workers_changed_ = false;
    /// The last version of each row that made no sense, so that it is logged
    /// once however often it is read.
    std::map<std::string, row_version> malformed_;
    std::uint64_t malformed_rows_ = 0;
};

} // namespace mulberry

#endif
