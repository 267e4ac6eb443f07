/// Collects records of streams for the metadata store into few transactions.
#ifndef MULBERRY_STREAM_ROW_WRITER_HPP
#define MULBERRY_STREAM_ROW_WRITER_HPP

#include "stream_records.hpp"
#include "table.hpp"
#include "time_point.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace mulberry
{

/// Writes each record once, in the order of the calls, and deletes its row
/// after the stream has ended, in the same transactions where possible. One
/// transaction is in progress at a time. Of records that cannot be written for
/// long, those of streams that have ended give way first, then the oldest.
/// Thread safety: none. No I/O, no clock.
class stream_row_writer
{
public:
    stream_row_writer();

    /// How many VMs write, this one included, in place of as many as may:
    /// together they make no more than 160 calls a second, unless they fill
    /// them.
    void set_writers(std::size_t vms);
    /// Queues a record and returns its number, counted from 1. Records of
    /// streams that have ended, that name none or that are too long for a row
    /// are ignored and return 0.
    std::uint64_t add(stream_record record, time_point now);
    /// The number of the first record that is neither written nor given up.
    std::uint64_t first_unwritten() const;
    /// The transaction that is due; nullopt if there is none, or one is in
    /// progress. The caller reports its outcome to on_written().
    std::optional<table_transaction> take_write(time_point now);
    /// The transaction has ended. If it may have failed, its records are
    /// written again.
    void on_written(bool done, time_point now);
    /// When take_write() is to be called next; `never` if nothing is to be
    /// written.
    time_point next_due() const;
    /// The records that are not known to be written.
    std::size_t unwritten() const { return waiting_.size() + writing_.size(); }

private:
    using row_ends = std::multimap<time_point, std::string>;
    struct numbered_record
    {
        std::uint64_t number = 0;
        stream_record record;
    };

    void forget_ended(time_point now);

    duration write_interval_;
    std::uint64_t last_number_ = 0;
    std::deque<numbered_record> waiting_;
    /// Rows of this VM in the store, by the time at which they are obsolete.
    row_ends written_;
    /// What the transaction in progress writes and deletes.
    std::vector<numbered_record> writing_;
    std::vector<std::string> deleting_;
    bool in_progress_ = false;
    time_point write_at_{};
};

} // namespace mulberry

#endif
