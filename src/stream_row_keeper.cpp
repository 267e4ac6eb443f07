#include "stream_row_keeper.hpp"

#include "boot_clock.hpp"
#include "stream_row.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <limits>
#include <utility>

namespace mulberry
{
namespace
{

constexpr std::chrono::seconds sweep_interval{60};
/// The VM that wrote a row deletes it within this time, if it is still there.
constexpr std::chrono::seconds own_delete_time{30};
/// Each deletion has a condition; the store accepts a hundred entries.
constexpr std::size_t max_swept_rows = 50;

} // namespace

void stream_row_sweep::on_row(stored_row const& row, time_point now)
{
    auto const [found, added] = rows_.try_emplace(row.key);
    seen_row& known = found->second;
    known.seen = true;
    if (!added && known.version == row.version)
        return;
    auto const record = parse_stream_row(row.value, now);
    known.version = row.version;
    known.obsolete_at =
        (record ? record->until : now) + duration(own_delete_time);
}

void stream_row_sweep::finish()
{
    std::erase_if(rows_, [](auto const& each) { return !each.second.seen; });
    for (auto& [key, row] : rows_)
        row.seen = false;
}

std::optional<table_transaction> stream_row_sweep::take_obsolete(time_point now)
{
    table_transaction transaction;
    for (auto each = rows_.begin();
         each != rows_.end() && transaction.writes.size() < max_swept_rows;)
    {
        auto const& [key, row] = *each;
        if (row.obsolete_at > now)
        {
            ++each;
            continue;
        }
        transaction.conditions.push_back({key, row.version});
        transaction.writes.push_back({key, std::nullopt});
        each = rows_.erase(each);
    }
    if (transaction.writes.empty())
        return std::nullopt;
    return transaction;
}

stream_row_keeper::stream_row_keeper(stream_row_access access, event_log& log)
    : access_(std::move(access)), log_(log)
{
}

void stream_row_keeper::add(stream_record const& record, time_point now,
                            std::function<void()> done)
{
    std::uint64_t const number = is_enabled() ? writer_.add(record, now) : 0;
    if (!done)
        return;
    if (number == 0 || is_failing_)
        return done();
    awaiting_.emplace_back(number, std::move(done));
}

void stream_row_keeper::find(
    request_id const& stream, service_id const& service,
    std::function<void(std::optional<software_version> const&)> done)
{
    ++lookups_;
    ++finding_;
    std::string const key = stream_row_key(stream, service);
    access_.read(key, "",
                 [this, key, stream, service,
                  done = std::move(done)](store_reply const& reply)
                 {
                     --finding_;
                     time_point const now = boot_clock::now();
                     for (stored_row const& row : reply.rows)
                     {
                         auto const record = parse_stream_row(row.value, now);
                         if (row.key != key || !record ||
                             record->stream != stream ||
                             record->service != service)
                             continue;
                         ++found_;
                         return done(record->software);
                     }
                     if (reply.outcome != store_outcome::done)
                         log_.notable("stream row not read",
                                      log_fields()
                                          .add("stream", stream.str())
                                          .add("reason", reply.failure),
                                      now);
                     done(std::nullopt);
                 });
}

void stream_row_keeper::run(time_point now)
{
    if (!is_enabled())
        return;
    write_due(now);
    if (!sweeps_ || sweep_in_progress_ || now < sweep_at_)
        return;
    sweep_in_progress_ = true;
    sweep_at_ = now + duration(sweep_interval);
    read_page("");
}

void stream_row_keeper::write_due(time_point now)
{
    auto const transaction = writer_.take_write(now);
    if (!transaction)
        return;
    access_.write(*transaction, [this, rows = transaction->writes.size()](
                                    bool done) { on_written(done, rows); });
}

void stream_row_keeper::on_written(bool done, std::size_t rows)
{
    time_point const at = boot_clock::now();
    writer_.on_written(done, at);
    is_failing_ = !done;
    written_ += done ? rows : 0;
    failed_writes_ += !done;
    if (!done)
        log_.notable("stream rows not written",
                     log_fields()
                         .add("rows", std::uint64_t{rows})
                         .add("waiting", std::uint64_t{writer_.unwritten()}),
                     at);
    report_written(done ? writer_.first_unwritten()
                        : std::numeric_limits<std::uint64_t>::max());
}

void stream_row_keeper::report_written(std::uint64_t first_unwritten)
{
    while (!awaiting_.empty() && awaiting_.front().first < first_unwritten)
    {
        auto const done = std::move(awaiting_.front().second);
        awaiting_.pop_front();
        done();
    }
}

void stream_row_keeper::read_page(std::string const& after)
{
    access_.read("", after,
                 [this](store_reply const& reply) { on_page(reply); });
}

void stream_row_keeper::on_page(store_reply const& reply)
{
    time_point const now = boot_clock::now();
    for (stored_row const& row : reply.rows)
        sweep_.on_row(row, now);
    if (reply.outcome == store_outcome::done && reply.truncated &&
        !reply.rows.empty())
        return read_page(reply.rows.back().key);
    sweep_in_progress_ = false;
    if (reply.outcome != store_outcome::done)
        return;
    sweep_.finish();
    delete_obsolete();
}

/// If one of the rows has changed meanwhile, all of its transaction are left to
/// the next sweep.
void stream_row_keeper::delete_obsolete()
{
    auto const transaction = sweep_.take_obsolete(boot_clock::now());
    if (!transaction)
        return;
    access_.write(*transaction,
                  [this, rows = transaction->writes.size()](bool done)
                  {
                      swept_ += done ? rows : 0;
                      if (done)
                          delete_obsolete();
                  });
}

time_point stream_row_keeper::next_due() const
{
    if (!is_enabled())
        return never;
    time_point const written = writer_.next_due();
    return sweeps_ && !sweep_in_progress_ ? std::min(written, sweep_at_)
                                          : written;
}

std::string stream_row_keeper::metrics() const
{
    return fmt::format("mulberry_stream_rows_unwritten {}\n"
                       "mulberry_stream_row_lookups_total {}\n"
                       "mulberry_stream_rows_found_total {}\n"
                       "mulberry_stream_rows_changed_total {}\n"
                       "mulberry_stream_row_write_failures_total {}\n"
                       "mulberry_stream_rows_swept_total {}\n",
                       writer_.unwritten(), lookups_, found_, written_,
                       failed_writes_, swept_);
}

} // namespace mulberry
