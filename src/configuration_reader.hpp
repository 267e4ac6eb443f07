/// Reads the confirmed configuration from the table and the object store, and
/// decides how long the last read counts as recent and whether the table is
/// reachable.
#ifndef MULBERRY_CONFIGURATION_READER_HPP
#define MULBERRY_CONFIGURATION_READER_HPP

#include "action.hpp"
#include "configuration_keeper.hpp"
#include "configuration_row.hpp"
#include "jitter.hpp"
#include "promise_rules.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mulberry
{

/// Thread safety: none; part of a configuration_keeper.
class configuration_reader
{
public:
    configuration_reader(configuration_settings const& settings,
                         safeguards const& checks, promise_rules const& rules,
                         id_source& ids);

    void start(time_point now, action_list& actions);
    void tick(time_point now, action_list& actions);
    bool knows(operation_id operation) const;
    void on_table(table_reply const& reply, time_point now,
                  action_list& actions);
    void on_object(object_reply const& reply, time_point now,
                   action_list& actions);
    /// Reads the row without waiting for the next poll.
    void read_now(time_point now, action_list& actions);
    /// Reads the row, and sends a second read if the first is not answered
    /// soon.
    void read_with_retry(time_point now, action_list& actions);
    /// A peer reported this version. The row is read if the version is higher
    /// than all known ones; the report itself never puts a version in force.
    void on_version_reported(config_version version, time_point now,
                             action_list& actions);
    /// The table answered a call that was sent at `asked_at`.
    void on_table_answer(time_point asked_at);
    /// Keeps a declaration's text, so that it need not be fetched.
    void cache_text(std::string digest,
                    std::shared_ptr<std::string const> text);

    config_version version() const { return in_force_; }
    std::shared_ptr<declaration const> current() const { return declaration_; }
    /// The highest version that this VM read or that a peer reported. A
    /// reported version counts until a read that was sent later is answered.
    config_version highest() const;
    /// Whether the last read that showed the version in force was sent less
    /// than the staleness bound ago.
    bool is_fresh(time_point now) const;
    /// Whether the table answered a call that was sent recently.
    bool is_table_reachable(time_point now) const;
    /// Whether at least two reads are unanswered or have failed, and no call
    /// sent within the last `outage_after` was answered. False before the first
    /// answer.
    bool is_table_unreachable(time_point now) const;
    /// When the newest answered read of the row was sent.
    std::optional<time_point> last_read_asked_at() const
    {
        return last_read_asked_at_;
    }
    /// Returns the versions that came into force since the last call, in order.
    std::vector<configuration_in_force> take_in_force();

private:
    struct pending_read
    {
        time_point asked_at;
        time_point expires_at;
    };

    duration overdue_after() const;
    bool is_overdue(pending_read const& read, time_point now) const;
    void drop_overdue_reads(time_point now);
    void count_failure(pending_read const& read);
    void finish_read(pending_read const& read, table_reply const& reply,
                     time_point now, action_list& actions);
    void on_row(configuration_row const& row, time_point asked_at,
                time_point now, action_list& actions);
    void fetch(time_point now, action_list& actions);
    void load(configuration_row const& row, std::string const& text,
              time_point now, action_list& actions);
    void retry_fetch(configuration_row const& row, std::string const& why,
                     time_point now, action_list& actions);
    void log_fault(std::string const& text, action_list& actions);

    configuration_settings const& settings_;
    safeguards const& checks_;
    promise_rules const& rules_;
    id_source& ids_;
    jitter jitter_;

    std::map<operation_id, pending_read> reads_;
    time_point next_poll_ = never;
    /// When the last poll is repeated unless it is answered.
    time_point retry_read_at_ = never;
    std::optional<time_point> last_read_asked_at_;
    std::optional<time_point> last_answer_asked_at_;
    /// Failed reads that were sent after last_answer_asked_at_.
    std::size_t failures_ = 0;
    /// When the newest read that showed the version in force was sent.
    std::optional<time_point> last_agreeing_read_at_;

    config_version in_force_;
    std::shared_ptr<declaration const> declaration_;
    /// The row with the highest version read, and when the newest read that
    /// returned this version was sent.
    configuration_row latest_row_;
    time_point latest_row_read_at_{};
    config_version reported_version_;
    time_point reported_at_{};

    std::map<operation_id, configuration_row> fetches_;
    time_point next_fetch_ = never;
    std::string logged_fault_;
    std::string cached_digest_;
    std::shared_ptr<std::string const> cached_text_;
    std::vector<configuration_in_force> activated_;
};

} // namespace mulberry

#endif
