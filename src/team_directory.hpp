/// Finds the team whose key a request carries, and decides whether the request
/// may be sent.
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

/// How old the known declarations may be when keys are checked against them.
struct key_bounds
{
    /// Time after its revocation from which a key is accepted nowhere. 0: no
    /// bound.
    duration revocation{};
    /// A VM whose declarations may be out of date for longer than this does not
    /// reject a key as unknown, since the key may be new.
    duration unknown_key_max_age = std::chrono::milliseconds(1500);
    friend bool operator==(key_bounds const&, key_bounds const&) = default;
};

/// How recent the known declarations are.
struct declarations_known
{
    /// Latest time at which the store is proven to have held just these
    /// declarations.
    time_point proven_at{};
    /// Latest time at which the store held just these declarations as far as
    /// this VM knows.
    time_point shown_at{};
};

/// The request may be sent.
struct access_granted
{
    /// The team whose request it is; null if the route needs no team.
    team const* holder = nullptr;
};

using access_decision = std::variant<access_granted, error>;

/// The teams of one configuration, by key. Immutable. Thread safety: const
/// calls from any thread.
class team_directory
{
public:
    explicit team_directory(std::shared_ptr<routing_config const> config);

    /// Whether there are no teams; callers then need no key.
    bool empty() const { return config_->teams.empty(); }
    /// The team that has the key; null if there is none.
    team const* holder(key_digest const& key) const;

    /// Guards against a VM that is partitioned from the store and continues to
    /// accept a revoked key: a key is accepted only while the declarations are
    /// proven to be younger than `bounds.revocation`, and the relay calls this
    /// function again before each send. Errors: unauthorized if the key is
    /// missing or unknown, configuration_stale if the declarations are too old
    /// to decide.
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
