/// Follows what the store says of configuration, versions and workers.
#ifndef MULBERRY_REGISTRY_WATCH_HPP
#define MULBERRY_REGISTRY_WATCH_HPP

#include "backend_entry.hpp"
#include "event_log.hpp"
#include "relay_codec.hpp"
#include "row_store.hpp"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mulberry
{

/// Told about what changed. Called on the watch's thread.
struct registry_listener
{
    std::function<void(std::shared_ptr<routing_config const>)> on_config;
    std::function<void(adapter_release const&)> on_release;
    std::function<void(std::vector<backend_entry>)> on_backends;
};

struct registry_watch_options
{
    /// How long a question about declarations waits at the store. A change is
    /// answered at once; the bound is there to notice a connection that went
    /// silent. It is about the time that a configuration has to come into
    /// force: each question costs the store a call.
    duration declaration_wait = std::chrono::milliseconds(2000);
    /// How long a question may take beyond its wait.
    duration answer_time = std::chrono::milliseconds(600);
    /// How often the workers are asked for. They heartbeat all the time, so a
    /// question that waits for a change would return at once, a call for each
    /// heartbeat. Half of the bound on draining workers leaves the other half
    /// for a question that fails and the one after it.
    duration worker_interval = std::chrono::milliseconds(1000);
    /// A worker's entry can lapse while the store is away. After the store's
    /// return it has this long to be written again.
    duration lapse_grace = std::chrono::milliseconds(2000);
};

/// Reads each set of rows whole, then its changes; whole again when the store
/// has dropped the history in between. Thread safety: none; used on the thread
/// that runs the io_context.
class registry_watch
{
public:
    /// The references outlive this object.
    registry_watch(asio::io_context& io, row_store& store,
                   relay_codec const& codec, registry_watch_options options,
                   event_log& log, registry_listener listener);

    void start();
    /// Both sets have been read.
    bool complete() const { return declarations_.read && workers_.read; }
    /// When the store last answered.
    time_point heard_at() const { return heard_at_; }

private:
    struct followed_set
    {
        row_set set;
        asio::steady_timer timer;
        /// The newest version seen; a watch goes on from it.
        row_version version;
        bool read = false;
        /// Rows gathered while a whole read goes on page by page.
        std::vector<stored_row> pages;
        row_version first_page;
        int failures = 0;
    };
    struct listed_worker
    {
        backend_entry entry;
        row_version version;
        /// Its row is gone; it is given up at that moment.
        time_point lapses_at = never;
    };

    void next(followed_set& which);
    void read_page(followed_set& which, std::string const& after);
    void watch(followed_set& which);
    void later(followed_set& which, duration delay);
    void on_page(followed_set& which, store_reply const& reply);
    void on_changes(followed_set& which, store_reply const& reply);
    bool usable(followed_set& which, store_reply const& reply);
    void take_row(stored_row const& row);
    void take_worker(stored_row const& row);
    void take_declaration(stored_row const& row);
    void drop_missing();
    void publish_workers();
    bool returned_lately(time_point now) const;

    asio::io_context& io_;
    row_store& store_;
    relay_codec const& codec_;
    registry_watch_options options_;
    event_log& log_;
    registry_listener listener_;
    followed_set declarations_;
    followed_set workers_;
    std::map<std::string, listed_worker> listed_;
    config_version config_version_;
    time_point heard_at_{};
    bool lost_ = false;
    time_point returned_at_{};
    bool workers_changed_ = false;
};

} // namespace mulberry

#endif
