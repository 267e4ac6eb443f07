/// Counts of one incarnation of a VM in one quarter, and the writes of its row.
#ifndef MULBERRY_QUARTER_LEDGER_HPP
#define MULBERRY_QUARTER_LEDGER_HPP

#include "action.hpp"
#include "ids.hpp"
#include "quarter_counts.hpp"
#include "quarter_row.hpp"
#include "table.hpp"
#include "time_point.hpp"

#include <cstdint>
#include <string>

namespace mulberry
{

/// Writes running totals rather than increments, so that writes are idempotent.
/// Each write is conditional on the row version that it replaces, and versions
/// are never reused. A write whose answer was lost therefore takes effect
/// before the next write or never.
///
/// A row is created without counts. A create is conditional on no version, so
/// that a delayed create can take effect after the row was written and folded
/// into the sum; any counts in the create would then be folded a second time.
///
/// Thread safety: none.
class quarter_ledger
{
public:
    /// The application's totals, for the caller to increase. Each call counts
    /// as a change that must be written.
    quarter_counts& counts(application_id const& application);
    /// The totals that no fold has added to the sum row.
    quarter_totals const& totals() const { return totals_; }

    bool has_unwritten_changes() const { return changes_ != written_changes_; }
    /// Whether everything counted before mark_for_flush() is written.
    bool is_mark_written() const { return written_changes_ >= flush_mark_; }
    /// Marks the counts so far as those that a flush must write. Call once.
    void mark_for_flush() { flush_mark_ = changes_; }

    bool idle() const { return operation_.none(); }
    bool knows(operation_id operation) const { return operation_ == operation; }
    /// Starts a write of the totals, or of an empty row if the row's version is
    /// unknown. Precondition: idle().
    void write(std::string const& key, operation_id operation,
               time_point deadline, action_list& actions);
    /// Handles the reply to the pending write. Precondition:
    /// knows(reply.operation).
    void on_reply(std::string const& key, table_reply const& reply);
    /// Whether the last write is known to have stored its counts in the row.
    /// False after a create.
    bool last_write_confirmed() const { return last_write_confirmed_; }

private:
    void on_done(std::string const& key, table_reply const& reply);
    void on_conflict(std::string const& key, table_reply const& reply);
    void record_possible_write();
    void on_row_folded();

    quarter_totals totals_;
    std::uint64_t changes_ = 0;
    std::uint64_t written_changes_ = 0;
    std::uint64_t flush_mark_ = 0;

    /// The row's last known version; empty if the row must be created.
    row_version version_;
    /// Number of this ledger's newest write whose outcome is known.
    std::uint64_t last_finished_write_ = 0;
    std::uint64_t last_write_ = 0;
    bool last_write_confirmed_ = true;

    /// The pending write.
    operation_id operation_;
    bool creating_ = false;
    quarter_totals sent_totals_;
    std::uint64_t sent_changes_ = 0;

    /// Upper bound of the totals in the row: those of the last answered write,
    /// or of a later unanswered write.
    quarter_totals max_totals_in_row_;
};

} // namespace mulberry

#endif
