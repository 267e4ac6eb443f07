/// Whose a key is and was, as far as several versions of a configuration tell.
#ifndef MULBERRY_KEY_HISTORY_HPP
#define MULBERRY_KEY_HISTORY_HPP

#include "routing_config.hpp"
#include "team_directory.hpp"

#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace mulberry
{

/// What the known versions say of one key. Value.
struct key_history
{
    key_digest key;
    /// The team that has it, or the last one that had it.
    std::optional<team> holder;
    /// The oldest and the newest of the versions, one after the other, in which
    /// it is that team's.
    config_version since;
    config_version until;
    /// The next older one, in which it is not; 0 where none is known.
    config_version absent_in;
    /// The next newer one, in which it is no team's; 0 where none is known.
    config_version removed_in;

    /// Whether the newest version has the key.
    bool in_force() const { return holder && removed_in.none(); }
    friend bool operator==(key_history const&, key_history const&) = default;
};

/// Immutable. Thread safety: const calls from any thread.
class configuration_versions
{
public:
    /// In any order. Precondition: at least one, and no two of one version.
    explicit configuration_versions(std::vector<routing_config> versions);

    routing_config const& newest() const { return *versions_.back().config; }
    /// Of all versions. `digits`: hexadecimal, in lower case.
    std::set<key_digest> keys_with_prefix(std::string_view digits) const;
    key_history history_of(key_digest const& key) const;

private:
    struct known_version
    {
        std::shared_ptr<routing_config const> config;
        team_directory teams;
    };

    /// The newest last.
    std::vector<known_version> versions_;
};

} // namespace mulberry

#endif
