/// The confirmed configuration: learning it, going on without the table, and
/// confirming a change.
///
/// Row `configuration`: {"token", "version", "digest", "object"}; the object
/// store holds the canonical declaration under `declarations/DIGEST`. Row
/// `confirmed/VERSION` keeps that text for each version, so that a writer
/// whose answer was lost finds its token also after later versions.
#ifndef MULBERRY_CONFIGURATION_KEEPER_HPP
#define MULBERRY_CONFIGURATION_KEEPER_HPP

#include "action.hpp"
#include "declaration.hpp"
#include "error_kind.hpp"
#include "ids.hpp"
#include "peer_message.hpp"
#include "promise_rules.hpp"
#include "safeguards.hpp"
#include "table.hpp"
#include "time_point.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace mulberry
{

struct configuration_settings
{
    vm_id vm;
    duration poll_interval = std::chrono::seconds(1);
    /// How long the configuration counts as known after the question that was
    /// last answered was asked.
    duration staleness_bound = std::chrono::seconds(4);
    /// How long without the table before peers are asked.
    duration outage_after = std::chrono::milliseconds(1500);
    /// How long a promise holds. On one VM not shorter than in its last life,
    /// which it takes to have promised that long.
    duration promise_duration = std::chrono::seconds(3);
    duration table_timeout = std::chrono::milliseconds(1000);
    duration confirm_timeout = std::chrono::seconds(10);
    std::uint64_t seed = 1;
};

/// A new version is in force on this VM.
struct configuration_in_force
{
    config_version version;
    std::shared_ptr<declaration const> value;
};

/// The end of a confirm that an operator asked for.
struct confirm_settled
{
    std::uint64_t ticket = 0;
    /// The version written, or why not. `outcome_unknown` while the write may
    /// still take effect.
    std::variant<config_version, error> result;
    /// For plan_outdated: the declaration now in force.
    std::shared_ptr<declaration const> current;
};

/// This VM went over to (or back from) going on without the table.
struct outage_changed
{
    bool going_on = false;
};

using configuration_event =
    std::variant<configuration_in_force, confirm_settled, outage_changed>;

/// Thread safety: none; owned by the decision core.
///
/// Without the table, a VM may go on with its configuration only on the
/// promises of a majority of the members (itself among them), each given by a
/// VM that has lost the table too and that will, while its promise holds, not
/// help any confirm. A confirm needs promises of a majority that read the table
/// and will not support going on without it. Two majorities share a member,
/// and a member never gives both promises at once: so no configuration is
/// confirmed while a VM goes on with an older one. Nor does one go on with an
/// older one later: a VM that helped a confirm helps nobody go on with that
/// base until it has read the row again, asked after its promise ended; and
/// success is told only while the promises hold. So `bound` after an operator
/// was told of a version, no VM says that it knows an older one to hold. A VM
/// that alone has lost the table gets no majority and stops taking new work at
/// the bound.
///
/// A restarted VM has forgotten its promises; its new life gives none until
/// they have run out, and none to go on before a read asked after that, but for
/// a VM in its first life.
///
/// When the table is lost between a confirm's promises and the next read of
/// those who gave them, nobody can tell which version holds, and the VMs stop
/// at the bound until the table is back.
class configuration_keeper
{
public:
    configuration_keeper(configuration_settings settings,
                         safeguards const& checks, id_source& ids,
                         promise_rules const& rules = default_promise_rules());
    ~configuration_keeper();

    /// First read: a transaction without writes, which does not lag.
    void start(time_point now, action_list& actions);
    bool knows(operation_id operation) const;
    void on_table(table_reply const& reply, time_point now,
                  action_list& actions);
    void on_object(object_reply const& reply, time_point now,
                   action_list& actions);
    /// Members by the rows last read, this VM among them, with their lives.
    /// Lives count from 1, over all processes that ever ran under a VM's name.
    /// Precondition: a VM drops out only when it closed itself or is known to
    /// be gone (the platform's list names it no more), not for having lost
    /// the table: else those that have it could confirm among themselves while
    /// a majority of the members before goes on without.
    void set_members(std::vector<std::pair<vm_id, incarnation>> const& members,
                     incarnation own_incarnation, time_point now);
    /// Takes configuration_hint, outage_* and confirm_*; ignores the rest.
    void on_peer(vm_id const& from, peer_message const& message, time_point now,
                 action_list& actions);
    /// Any other call of this VM's that the table answered, by the moment it
    /// was asked.
    void on_table_answer(time_point asked_at);
    /// Confirms a declaration if `base` is still the version in force. `ticket`
    /// comes back in confirm_settled. Precondition: the digest fits the text.
    void confirm(std::uint64_t ticket, config_version base, std::string digest,
                 std::string canonical_text, time_point now,
                 action_list& actions);
    void tick(time_point now, action_list& actions);
    std::vector<configuration_event> take_events();

    /// The version in force; none before the first.
    config_version version() const;
    /// Null before the first configuration.
    std::shared_ptr<declaration const> current() const;
    /// Whether this VM knows at this moment that its version still holds.
    bool is_known(time_point now) const;
    bool going_on_without_table(time_point now) const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace mulberry

#endif
