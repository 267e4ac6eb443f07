/// What one life of a VM counted in one quarter, and the writing of its row.
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

/// Writes running totals, never increments: the same totals written twice
/// count once. Each write names the version that it replaces, and versions are
/// never used twice, so that a write whose answer was lost either takes effect
/// before the next one or never.
///
/// A row is created with no counts in it. A create names no version, so one
/// that was lost on the way can take effect after the row was written and
/// folded into the sum; counts in it would then be folded a second time.
///
/// Thread safety: none.
class quarter_ledger
{
public:
    /// The application's totals, to be raised by the caller.
    quarter_counts& counts(application_id const& application);
    /// What no fold has taken into the sum.
    quarter_totals const& totals() const { return totals_; }

    bool has_unwritten_changes() const { return changes_ != written_changes_; }
    /// Whether everything counted before mark_for_flush() is written.
    bool is_mark_written() const { return written_changes_ >= flush_mark_; }
    /// Called once.
    void mark_for_flush() { flush_mark_ = changes_; }

    bool idle() const { return operation_.none(); }
    bool knows(operation_id operation) const { return operation_ == operation; }
    /// Precondition: idle().
    void write(std::string const& key, operation_id operation,
               time_point deadline, action_list& actions);
    /// Precondition: knows(reply.operation).
    void on_reply(std::string const& key, table_reply const& reply);
    /// Whether the last write put its counts into the row for certain.
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

    /// The row as last known; no version: to be created.
    row_version version_;
    /// The newest of this ledger's writes that is known to be over.
    std::uint64_t last_finished_write_ = 0;
    std::uint64_t last_write_ = 0;
    bool last_write_confirmed_ = true;

    /// The write under way.
    operation_id operation_;
    bool creating_ = false;
    quarter_totals sent_totals_;
    std::uint64_t sent_changes_ = 0;

    /// The most that the row can hold: a write that was answered, or a later
    /// one that was not.
    quarter_totals max_totals_in_row_;
};

} // namespace mulberry

#endif
