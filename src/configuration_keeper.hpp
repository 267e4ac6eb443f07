/// The confirmed configuration of a VM: reads it, continues with it while the
/// table is unreachable, and confirms changes.
///
/// Row `configuration` holds {"token", "version", "digest", "object"}; the
/// object store holds the canonical declaration under `declarations/DIGEST`.
/// Row `confirmed/VERSION` keeps the row's text for each version, so that a
/// writer whose answer was lost finds its token even after later versions were
/// written.
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
    /// How long the configuration counts as known, from the time at which the
    /// last answered read was sent.
    duration staleness_bound = std::chrono::seconds(4);
    /// How long the table must be silent before peers are asked for promises.
    duration outage_after = std::chrono::milliseconds(1500);
    /// How long a promise holds. Must not be shorter than in the VM's previous
    /// incarnation, whose promises are assumed to hold for this long.
    duration promise_duration = std::chrono::seconds(3);
    duration table_timeout = std::chrono::milliseconds(1000);
    duration confirm_timeout = std::chrono::seconds(10);
    std::uint64_t seed = 1;
};

/// Event: a new version is in force on this VM.
struct configuration_in_force
{
    config_version version;
    std::shared_ptr<declaration const> value;
};

/// Event: the result of a confirm that an operator requested.
struct confirm_settled
{
    std::uint64_t ticket = 0;
    /// The version written, or the error. `outcome_unknown` when the write may
    /// have taken effect or may still do so.
    std::variant<config_version, error> result;
    /// For plan_outdated: the declaration now in force on this VM.
    std::shared_ptr<declaration const> current;
};

/// Event: this VM began or stopped continuing without the table.
struct outage_changed
{
    bool going_on = false;
};

using configuration_event =
    std::variant<configuration_in_force, confirm_settled, outage_changed>;

/// Keeps the confirmed configuration and guarantees that a confirmed version
/// is never reverted.
///
/// While the table is unreachable, a VM may continue with its configuration
/// only with outage promises of a majority of the members, itself among them.
/// A VM gives an outage promise only if it cannot reach the table either; while
/// the promise holds, the VM supports no confirm. A confirm needs confirm
/// promises of a majority. A VM gives one only if it reads the table; while the
/// promise holds, the VM does not support continuing without the table.
///
/// Two majorities have a member in common, and no member gives both promises
/// at once, so no version is confirmed while a VM continues with an older one.
/// No VM continues with an older one afterwards either: a VM that supported a
/// confirm does not support continuing with that confirm's base before a read
/// of the row that was sent after its promise ended is answered, and success is
/// reported only while the promises hold. Hence, `staleness_bound` after an
/// operator was told that a version is confirmed, is_known() is false on each
/// VM with an older version. If a single VM loses the table, it gets no
/// majority and stops taking new work at the staleness bound.
///
/// Promises are not persisted. A restarted VM gives none until those of its
/// previous incarnation have expired, and no outage promise before a read sent
/// after that is answered, unless this is the VM's first incarnation.
///
/// If the table is lost after VMs gave confirm promises and before their next
/// read, no VM can determine which version is current, and the VMs stop at the
/// staleness bound until the table is back.
///
/// Thread safety: none; owned by the decision core.
class configuration_keeper
{
public:
    configuration_keeper(configuration_settings settings,
                         safeguards const& checks, id_source& ids,
                         promise_rules const& rules = default_promise_rules());
    ~configuration_keeper();

    /// Begins with a linearizable read of the row.
    void start(time_point now, action_list& actions);
    /// Whether this object started the operation and awaits its reply.
    bool knows(operation_id operation) const;
    void on_table(table_reply const& reply, time_point now,
                  action_list& actions);
    void on_object(object_reply const& reply, time_point now,
                   action_list& actions);
    /// Sets the members as of the rows last read, this VM among them, with
    /// their incarnations. Incarnations count from 1, over all processes that
    /// ever ran under a VM's name.
    /// Precondition: a VM is removed only when it shut down or is known to be
    /// gone (the platform no longer lists it), not because it lost the table.
    /// Otherwise the VMs that reach the table could confirm among themselves
    /// while a majority of the previous members continues without it.
    void set_members(std::vector<std::pair<vm_id, incarnation>> const& members,
                     incarnation own_incarnation, time_point now);
    /// Handles configuration_hint, outage_* and confirm_*; ignores the rest.
    void on_peer(vm_id const& from, peer_message const& message, time_point now,
                 action_list& actions);
    /// The table answered another call of this VM, which was sent at
    /// `asked_at`.
    void on_table_answer(time_point asked_at);
    /// Confirms a declaration if `base` is still the current version. `ticket`
    /// is returned in confirm_settled. Precondition: `digest` is the digest of
    /// `canonical_text`.
    void confirm(std::uint64_t ticket, config_version base, std::string digest,
                 std::string canonical_text, time_point now,
                 action_list& actions);
    /// Does what is due at `now`: polls, retries and timeouts.
    void tick(time_point now, action_list& actions);
    /// Returns the events since the last call, in order.
    std::vector<configuration_event> take_events();

    /// The version in force on this VM; none before the first.
    config_version version() const;
    /// The declaration in force on this VM; null before the first.
    std::shared_ptr<declaration const> current() const;
    /// Whether the version in force on this VM is known to be the current one:
    /// by a recent read, or by promises of a majority.
    bool is_known(time_point now) const;
    /// Whether this VM continues without the table, on promises of a majority.
    bool going_on_without_table(time_point now) const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace mulberry

#endif
