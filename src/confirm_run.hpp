/// One confirm, from reading the row until its outcome is known.
#ifndef MULBERRY_CONFIRM_RUN_HPP
#define MULBERRY_CONFIRM_RUN_HPP

#include "action.hpp"
#include "configuration_keeper.hpp"
#include "configuration_peers.hpp"
#include "configuration_reader.hpp"
#include "configuration_row.hpp"
#include "jitter.hpp"
#include "promise_store.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace mulberry
{

/// Parts of the VM's configuration_keeper that a confirm uses. They outlive the
/// confirm_run.
struct confirm_context
{
    configuration_settings const& settings;
    promise_rules const& rules;
    id_source& ids;
    jitter& random;
    configuration_peers& peers;
    given_promises& given;
    configuration_reader& reader;
};

/// A change that an operator asked to confirm.
struct confirm_request
{
    std::uint64_t ticket = 0;
    config_version base;
    std::string digest;
    std::shared_ptr<std::string const> text;
    /// Unique; identifies the write of this run.
    std::string token;
};

/// Steps: read the row, store the object, gather promises, write the row on
/// condition of its version. After a write whose outcome is unknown, the row is
/// read and its token compared. If the row is unchanged, the write may still
/// take effect; the row is then rewritten with the same text, which changes its
/// version, so that the late write's condition can never be satisfied. Promises
/// are gathered last, so that other VMs are bound by them as briefly as
/// possible.
///
/// Success is reported to the operator only while the promises hold. If the
/// write is seen too late, success is reported after a majority has promised
/// again: each of these VMs continues without the table only after it has read
/// the row again.
///
/// Thread safety: none; part of a configuration_keeper.
class confirm_run
{
public:
    confirm_run(confirm_request request, confirm_context context);

    void begin(time_point now, action_list& actions);
    void tick(time_point now, action_list& actions);
    bool knows(operation_id operation) const;
    void on_table(table_reply const& reply, time_point now,
                  action_list& actions);
    void on_object(object_reply const& reply, time_point now,
                   action_list& actions);
    /// Ignores answers to questions of other runs.
    void on_answer(vm_id const& from, confirm_answer const& answer,
                   time_point now, action_list& actions);

    /// The result for the operator, returned once. `current` is not set, not
    /// even for plan_outdated.
    std::optional<confirm_settled> take_settled();
    /// For plan_outdated: the version read from the row.
    config_version found_version() const { return row_.version; }
    /// Whether the outcome is known and nothing is left to do.
    bool is_finished() const { return step_ == step::finished; }

private:
    enum class step
    {
        reading,
        storing,
        gathering,
        writing,
        invalidating,
        finished
    };

    void send(step next, table_transaction transaction, time_point deadline,
              time_point now, action_list& actions);
    void retry_later(time_point now);
    void read(time_point now, action_list& actions);
    void on_row_read(std::vector<table_row> const& rows, time_point now,
                     action_list& actions);
    void store(time_point now, action_list& actions);
    void gather_promises(time_point now, action_list& actions);
    void request_promises(time_point now, action_list& actions);
    void proceed_with_majority(time_point now, action_list& actions);
    void on_gather_timeout(time_point now, action_list& actions);
    void write(time_point now, action_list& actions);
    void invalidate_write(time_point now, action_list& actions);
    void on_write(table_reply const& reply, time_point now,
                  action_list& actions);
    void on_invalidated(table_reply const& reply, time_point now,
                        action_list& actions);
    void on_written(time_point now, action_list& actions);
    void on_deadline(action_list& actions);
    void succeed();
    void refuse(error why, action_list& actions);
    void set_result(std::variant<config_version, error> result);
    config_version target_version() const;
    time_point majority_end() const;

    confirm_request request_;
    confirm_context context_;
    collected_promises promises_;
    step step_ = step::reading;
    time_point deadline_{};
    operation_id operation_;
    time_point operation_expires_at_ = never;
    time_point retry_at_ = never;
    time_point next_request_at_ = never;
    time_point gather_deadline_ = never;
    /// The row as last read.
    configuration_row row_;
    bool object_stored_ = false;
    /// The row version that a write of unknown outcome has as its condition.
    std::optional<row_version> pending_write_version_;
    bool written_ = false;
    bool answered_ = false;
    std::optional<confirm_settled> settled_;
};

} // namespace mulberry

#endif
