/// One confirm, from reading the row to a certain outcome.
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

/// What a confirm uses of its VM's keeper; outlives the run.
struct confirm_surroundings
{
    configuration_settings const& settings;
    promise_rules const& rules;
    id_source& ids;
    jitter& random;
    configuration_peers& peers;
    given_promises& given;
    configuration_reader& reader;
};

/// What an operator wants confirmed.
struct confirm_order
{
    std::uint64_t ticket = 0;
    config_version base;
    std::string digest;
    std::shared_ptr<std::string const> text;
    /// Unique; marks the write as this run's.
    std::string token;
};

/// Steps: read the row; store the object; gather promises; write, conditional
/// on the row's version. After a write whose outcome is unknown: read back
/// under the token; when the row still is as before the write, which may then
/// yet land, write it anew unchanged, so that the late write's condition can
/// never hold. Promises are gathered last, so that others are held up for the
/// shortest time.
///
/// The operator is told success only while the promises hold. A write seen
/// too late for that is told after another majority has promised: each of
/// these VMs goes on without the table only once it has read the row again.
///
/// Thread safety: none; part of a configuration_keeper.
class confirm_run
{
public:
    confirm_run(confirm_order order, confirm_surroundings around);

    void begin(time_point now, action_list& actions);
    void tick(time_point now, action_list& actions);
    bool knows(operation_id operation) const;
    void on_table(table_reply const& reply, time_point now,
                  action_list& actions);
    void on_object(object_reply const& reply, time_point now,
                   action_list& actions);
    /// Answers to other runs' questions are ignored.
    void on_answer(vm_id const& from, confirm_answer const& answer,
                   time_point now, action_list& actions);

    /// The operator's answer, once. `plan_outdated` leaves `current` open.
    std::optional<confirm_settled> take_settled();
    /// For plan_outdated: the version found in the row.
    config_version found() const { return row_.version; }
    /// Whether nothing is left to do or to find out.
    bool over() const { return step_ == step::over; }

private:
    enum class step
    {
        reading,
        storing,
        gathering,
        writing,
        fencing,
        over
    };

    void send(step next, table_transaction transaction, time_point deadline,
              time_point now, action_list& actions);
    void retry_later(time_point now);
    void read(time_point now, action_list& actions);
    void decide(std::vector<table_row> const& rows, time_point now,
                action_list& actions);
    void store(time_point now, action_list& actions);
    void gather(time_point now, action_list& actions);
    void ask(time_point now, action_list& actions);
    void use_majority(time_point now, action_list& actions);
    void gathered_too_few(time_point now, action_list& actions);
    void write(time_point now, action_list& actions);
    void fence(time_point now, action_list& actions);
    void on_write(table_reply const& reply, time_point now,
                  action_list& actions);
    void on_fence(table_reply const& reply, time_point now,
                  action_list& actions);
    void landed(time_point now, action_list& actions);
    void time_out(action_list& actions);
    void succeed();
    void refuse(error why, action_list& actions);
    void settle(std::variant<config_version, error> result);
    config_version wanted() const;
    time_point promises_end() const;

    confirm_order order_;
    confirm_surroundings around_;
    collected_promises promises_;
    step step_ = step::reading;
    time_point deadline_{};
    operation_id operation_;
    time_point operation_overdue_ = never;
    time_point retry_at_ = never;
    time_point ask_again_ = never;
    time_point gather_until_ = never;
    /// The row as last read.
    configuration_row row_;
    bool stored_ = false;
    /// The row's version under which a write of unknown outcome was sent.
    std::optional<row_version> written_under_;
    bool landed_ = false;
    bool told_ = false;
    std::optional<confirm_settled> settled_;
};

} // namespace mulberry

#endif
