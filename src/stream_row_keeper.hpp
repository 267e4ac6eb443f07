/// Keeps records of streams in the metadata store.
#ifndef MULBERRY_STREAM_ROW_KEEPER_HPP
#define MULBERRY_STREAM_ROW_KEEPER_HPP

#include "event_log.hpp"
#include "row_store.hpp"
#include "stream_row_writer.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace mulberry
{

/// Calls of the store for rows of streams. The callbacks run on the thread that
/// made the call, not within it. Both members are set, or none.
struct stream_row_access
{
    /// Reads rows; see row_store::read().
    std::function<void(std::string const& prefix, std::string const& after,
                       store_callback const& done)>
        read;
    std::function<void(table_transaction const& transaction,
                       std::function<void(bool done)> const& done)>
        write;
};

/// Finds rows of streams that have ended long ago: the VM that would have
/// deleted them is gone. Thread safety: none. No I/O, no clock.
class stream_row_sweep
{
public:
    /// A row was read.
    void on_row(stored_row const& row, time_point now);
    /// All rows were read since the last call.
    void finish();
    /// Returns what deletes some of the obsolete rows; nullopt if there are
    /// none. To be called until there are none.
    std::optional<table_transaction> take_obsolete(time_point now);

private:
    struct seen_row
    {
        row_version version;
        time_point obsolete_at{};
        bool seen = true;
    };
    std::map<std::string, seen_row> rows_;
};

/// Thread safety: none; used on one thread, on which the callbacks of `access`
/// run, too.
class stream_row_keeper
{
public:
    /// `log` outlives this object, and this object outlives the callbacks.
    stream_row_keeper(stream_row_access access, event_log& log);

    /// Whether there is a store to keep records in.
    bool is_enabled() const { return access_.read != nullptr; }
    /// Queues a record to be written. Calls `done`, if it is set, when the
    /// store has the record or is known not to take records now; within this
    /// call if the record will not be written.
    void add(stream_record const& record, time_point now,
             std::function<void()> done = {});
    /// Whether the store took the last records, as far as is known.
    bool is_writing() const { return is_enabled() && !is_failing_; }
    /// See stream_row_writer.
    void set_writers(std::size_t vms) { writer_.set_writers(vms); }
    /// Whether find() may be called: the number of lookups in progress is
    /// bounded, so that they leave the store's reads to others.
    bool may_find() const { return is_enabled() && finding_ < max_lookups; }
    /// Calls `done` with the version at which the stream began; nullopt if the
    /// store has no record, or cannot be read. Never called within this call.
    /// Precondition: may_find().
    void find(request_id const& stream, service_id const& service,
              std::function<void(std::optional<software_version> const&)> done);
    /// Whether this VM deletes rows that VMs left behind.
    void set_sweeps(bool sweeps) { sweeps_ = sweeps; }

    /// Makes the calls that are due. To be called at next_due().
    void run(time_point now);
    time_point next_due() const;
    /// Prometheus lines.
    std::string metrics() const;

private:
    void write_due(time_point now);
    void on_written(bool done, std::size_t rows);
    /// Makes the calls of add() for records up to this number.
    void report_written(std::uint64_t first_unwritten);
    void read_page(std::string const& after);
    void on_page(store_reply const& reply);
    void delete_obsolete();

    static constexpr std::size_t max_lookups = 32;

    stream_row_access const access_;
    event_log& log_;
    stream_row_writer writer_;
    /// By the number of the record, ascending.
    std::deque<std::pair<std::uint64_t, std::function<void()>>> awaiting_;
    bool is_failing_ = false;
    stream_row_sweep sweep_;
    bool sweeps_ = false;
    bool sweep_in_progress_ = false;
    time_point sweep_at_{};
    std::size_t finding_ = 0;
    std::uint64_t lookups_ = 0;
    std::uint64_t found_ = 0;
    std::uint64_t written_ = 0;
    std::uint64_t failed_writes_ = 0;
    std::uint64_t swept_ = 0;
};

} // namespace mulberry

#endif
