#include "registry_watch.hpp"

#include "boot_clock.hpp"

#include <asio/post.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace mulberry
{
namespace
{

using std::chrono::milliseconds;

/// After a question that failed, doubled with each failure in a row. The store
/// prices refused questions too.
constexpr milliseconds first_retry{100};
constexpr milliseconds longest_retry{600};
constexpr int most_doublings = 3;
constexpr milliseconds read_time_limit{1500};

} // namespace

registry_watch::registry_watch(asio::io_context& io, row_store& store,
                               relay_codec const& codec,
                               registry_watch_options options, event_log& log,
                               registry_listener listener)
    : io_(io), store_(store), codec_(codec), options_(options), log_(log),
      listener_(std::move(listener)),
      declarations_{
          row_set::declarations, asio::steady_timer(io), {}, false, {}, {}, 0},
      workers_{row_set::workers, asio::steady_timer(io), {}, false, {}, {}, 0}
{
}

void registry_watch::start()
{
    next(declarations_);
    next(workers_);
}

void registry_watch::next(followed_set& which)
{
    if (which.read)
        return watch(which);
    which.pages.clear();
    read_page(which, "");
}

void registry_watch::read_page(followed_set& which, std::string const& after)
{
    store_.read(which.set, "", after, read_time_limit,
                [this, &which](store_reply reply)
                {
                    asio::post(io_, [this, &which, reply = std::move(reply)]
                               { on_page(which, reply); });
                });
}

void registry_watch::watch(followed_set& which)
{
    duration const wait = which.set == row_set::declarations
                              ? options_.declaration_wait
                              : duration(0);
    store_.watch(which.set, which.version, wait, wait + options_.answer_time,
                 [this, &which](store_reply reply)
                 {
                     asio::post(io_, [this, &which, reply = std::move(reply)]
                                { on_changes(which, reply); });
                 });
}

void registry_watch::later(followed_set& which, duration delay)
{
    which.timer.expires_after(delay);
    which.timer.async_wait(
        [this, &which](asio::error_code const& cancelled)
        {
            if (!cancelled)
                next(which);
        });
}

/// False after an answer that says nothing; the next question is arranged.
bool registry_watch::usable(followed_set& which, store_reply const& reply)
{
    time_point const now = boot_clock::now();
    if (reply.outcome == store_outcome::done)
    {
        which.failures = 0;
        heard_at_ = now;
        if (std::exchange(lost_, false))
        {
            returned_at_ = now;
            log_.notable("store regained", log_fields(), now);
        }
        return true;
    }
    if (reply.outcome == store_outcome::history_lost)
    {
        log_.notable("store dropped its history",
                     log_fields().add("version", which.version.value()), now);
        which.read = false;
        next(which);
        return false;
    }
    if (!std::exchange(lost_, true))
        log_.notable("store lost",
                     log_fields()
                         .add("reason", reply.failure)
                         .add("heard_ms_ago", now - heard_at_),
                     now);
    int const doublings = std::min(which.failures++, most_doublings);
    later(which,
          std::min<duration>(first_retry * (1 << doublings), longest_retry));
    return false;
}

void registry_watch::on_page(followed_set& which, store_reply const& reply)
{
    if (!usable(which, reply))
        return;
    // Later pages may show later moments; the changes since the first page are
    // read again with the first watch, and applying them twice does no harm.
    if (which.pages.empty())
        which.first_page = reply.newest;
    which.pages.insert(which.pages.end(), reply.rows.begin(), reply.rows.end());
    if (reply.truncated && !reply.rows.empty())
        return read_page(which, reply.rows.back().key);
    which.version = which.first_page;
    which.read = true;
    if (which.set == row_set::workers)
        drop_missing();
    for (stored_row const& row : std::exchange(which.pages, {}))
        take_row(row);
    publish_workers();
    if (which.set == row_set::workers)
        return later(which, options_.worker_interval);
    next(which);
}

void registry_watch::on_changes(followed_set& which, store_reply const& reply)
{
    if (!usable(which, reply))
        return;
    which.version = std::max(which.version, reply.newest);
    for (stored_row const& row : reply.rows)
        take_row(row);
    publish_workers();
    if (which.set == row_set::workers)
        return later(which, options_.worker_interval);
    next(which);
}

void registry_watch::take_row(stored_row const& row)
{
    switch (row.kind)
    {
    case row_kind::worker:
        return take_worker(row);
    case row_kind::configuration:
    case row_kind::adapter_release:
        return take_declaration(row);
    case row_kind::own:
    case row_kind::other:
        return;
    }
}

void registry_watch::take_declaration(stored_row const& row)
{
    if (row.deleted)
        return;
    std::string fault;
    if (row.kind == row_kind::adapter_release)
    {
        if (auto const release = codec_.decode_release(row.value, fault))
            return listener_.on_release(*release);
    }
    else if (auto config = codec_.decode_config(row.value, fault))
    {
        // Never back to an older one, in whatever order answers arrive.
        if (config->version <= config_version_)
            return;
        config_version_ = config->version;
        return listener_.on_config(
            std::make_shared<routing_config const>(std::move(*config)));
    }
    log_.notable("malformed declaration",
                 log_fields().add("key", row.key).add("fault", fault),
                 boot_clock::now());
}

bool registry_watch::returned_lately(time_point now) const
{
    return lost_ || now < returned_at_ + options_.lapse_grace;
}

void registry_watch::take_worker(stored_row const& row)
{
    time_point const now = boot_clock::now();
    auto const known = listed_.find(row.key);
    if (known != listed_.end() && row.version < known->second.version)
        return;
    if (row.deleted)
    {
        if (known == listed_.end())
            return;
        workers_changed_ = true;
        if (!returned_lately(now) || known->second.entry.draining)
            listed_.erase(known);
        else if (known->second.lapses_at == never)
            known->second.lapses_at = returned_at_ + options_.lapse_grace;
        return;
    }
    std::string fault;
    auto entry = codec_.decode_backend(row.key, row.value, fault);
    if (!entry)
    {
        log_.notable("malformed worker entry",
                     log_fields().add("key", row.key).add("fault", fault), now);
        return;
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

/// After a whole read: rows that are not there any more are gone.
void registry_watch::drop_missing()
{
    std::set<std::string> present;
    for (stored_row const& row : workers_.pages)
        present.insert(row.key);
    std::vector<std::string> missing;
    for (auto const& [key, worker] : listed_)
        if (present.count(key) == 0)
            missing.push_back(key);
    for (std::string const& key : missing)
        take_worker({row_kind::worker, key, workers_.first_page, {}, true});
}

void registry_watch::publish_workers()
{
    time_point const now = boot_clock::now();
    workers_changed_ |=
        std::erase_if(listed_, [now](auto const& each)
                      { return each.second.lapses_at <= now; }) > 0;
    if (!std::exchange(workers_changed_, false))
        return;
    std::vector<backend_entry> entries;
    for (auto const& [key, worker] : listed_)
        entries.push_back(worker.entry);
    listener_.on_backends(std::move(entries));
}

} // namespace mulberry
