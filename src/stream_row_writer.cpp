#include "stream_row_writer.hpp"

#include "stream_row.hpp"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

namespace mulberry
{
namespace
{

using std::chrono::milliseconds;

/// Interval between two transactions if a single VM writes. The rows lie in one
/// part of the store, which takes 200 transactions a second.
constexpr std::chrono::microseconds interval_per_writer{6250};
/// No more VMs write.
constexpr std::size_t max_writers = 16;
constexpr milliseconds retry_interval{500};
/// Obsolete rows wait this long for a transaction that writes.
constexpr std::chrono::seconds max_delete_delay{5};
/// Puts, and as many deletions, in one transaction; the store accepts a hundred
/// entries.
constexpr std::size_t max_row_changes = 50;
constexpr std::size_t max_waiting = 8192;
/// The store limits the bytes of a row and of a transaction. Of a stream with a
/// longer id, which the caller chooses, there is no row.
constexpr std::size_t max_record_bytes = 1024;

bool fits_in_row(stream_record const& record)
{
    return record.stream.str().size() + record.service.str().size() +
               record.software.str().size() <=
           max_record_bytes;
}

} // namespace

stream_row_writer::stream_row_writer()
    : write_interval_(interval_per_writer * max_writers)
{
}

void stream_row_writer::set_writers(std::size_t vms)
{
    write_interval_ =
        interval_per_writer * std::clamp<std::size_t>(vms, 1, max_writers);
}

std::uint64_t stream_row_writer::add(stream_record record, time_point now)
{
    if (record.stream.empty() || record.until <= now || !fits_in_row(record))
        return 0;
    if (waiting_.size() >= max_waiting)
        forget_ended(now);
    if (waiting_.size() >= max_waiting)
        waiting_.pop_front();
    waiting_.push_back({++last_number_, std::move(record)});
    return last_number_;
}

std::uint64_t stream_row_writer::first_unwritten() const
{
    return !writing_.empty()   ? writing_.front().number
           : !waiting_.empty() ? waiting_.front().number
                               : last_number_ + 1;
}

void stream_row_writer::forget_ended(time_point now)
{
    std::erase_if(waiting_, [now](numbered_record const& each)
                  { return each.record.until <= now; });
}

std::optional<table_transaction> stream_row_writer::take_write(time_point now)
{
    if (in_progress_ || now < next_due())
        return std::nullopt;
    forget_ended(now);
    table_transaction transaction;
    // A transaction names a row once: callers may use an id again.
    std::set<std::string> named;
    while (!waiting_.empty() && writing_.size() < max_row_changes)
    {
        numbered_record const next = std::move(waiting_.front());
        waiting_.pop_front();
        stream_record const& record = next.record;
        std::string const key = stream_row_key(record.stream, record.service);
        if (!named.insert(key).second)
            continue;
        transaction.writes.push_back({key, stream_row_text(record, now)});
        writing_.push_back(next);
    }
    while (!written_.empty() && written_.begin()->first <= now &&
           deleting_.size() < max_row_changes)
    {
        std::string const key = written_.extract(written_.begin()).mapped();
        if (!named.insert(key).second)
            continue;
        transaction.writes.push_back({key, std::nullopt});
        deleting_.push_back(key);
    }
    if (transaction.writes.empty())
        return std::nullopt;
    in_progress_ = true;
    write_at_ = now + write_interval_;
    return transaction;
}

void stream_row_writer::on_written(bool done, time_point now)
{
    in_progress_ = false;
    if (!done)
        write_at_ = now + duration(retry_interval);
    for (auto each = writing_.rbegin(); each != writing_.rend(); ++each)
    {
        stream_record const& record = each->record;
        // A write without an answer may have been carried out, too.
        written_.emplace(record.until,
                         stream_row_key(record.stream, record.service));
        if (!done)
            waiting_.push_front(std::move(*each));
    }
    for (std::string& each : deleting_)
        if (!done)
            written_.emplace(now, std::move(each));
    writing_.clear();
    deleting_.clear();
}

time_point stream_row_writer::next_due() const
{
    if (in_progress_)
        return never;
    time_point next = never;
    if (waiting_.size() >= max_row_changes)
        next = time_point();
    else if (!waiting_.empty())
        next = write_at_;
    if (!written_.empty())
        next =
            std::min(next, std::max(write_at_, written_.begin()->first +
                                                   duration(max_delete_delay)));
    return next;
}

} // namespace mulberry
