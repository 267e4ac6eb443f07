/// Decides whose a request is, and whether it may be sent at all.
#ifndef MULBERRY_TEAM_DIRECTORY_HPP
#define MULBERRY_TEAM_DIRECTORY_HPP

#include "error_kind.hpp"
#include "routing_config.hpp"
#include "team.hpp"
#include "time_point.hpp"

#include <memory>
#include <optional>
#include <unordered_map>
#include <variant>

namespace mulberry
{

/// Until when what is known of keys may be used.
struct key_bounds
{
    /// A key that was taken away is used nowhere that long after it was. 0:
    /// there is no such bound.
    duration revocation{};
    /// A VM that may have missed a change for longer than that does not call a
    /// key unknown.
    duration unknown_key_max_age = std::chrono::milliseconds(1500);
    friend bool operator==(key_bounds const&, key_bounds const&) = default;
};

/// As of when the declarations are known.
struct declarations_known
{
    /// The store is known to have held no others then.
    time_point proven_at{};
    /// As far as can be told the store held no others then.
    time_point shown_at{};
};

/// Whose a request is; without a team where none is needed.
struct access_granted
{
    team const* holder = nullptr;
};

using access_decision = std::variant<access_granted, error>;

/// The teams of one configuration. Immutable. Thread safety: const calls from
/// any thread.
class team_directory
{
public:
    explicit team_directory(std::shared_ptr<routing_config const> config);

    /// Without teams callers need no key.
    bool empty() const { return config_->teams.empty(); }
    /// Null when no team has the key.
    team const* holder(key_digest const& key) const;

    /// Failure: a VM is cut off from the store, and a caller whose key was
    /// taken away is served there for as long as it is. So a key is used only
    /// while what the VM knows is known to be younger than the bound, and asked
    /// again before each send.
    access_decision decide(route const& matched,
                           std::optional<key_digest> const& key,
                           declarations_known const& known,
                           key_bounds const& bounds, time_point now) const;

private:
    std::shared_ptr<routing_config const> config_;
    std::unordered_map<key_digest, team const*> by_key_;
};

} // namespace mulberry

#endif
