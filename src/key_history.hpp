/// Which team holds a key, and since which version, according to several
/// versions of the configuration.
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

/// The history of one key in the known versions.
struct key_history
{
    key_digest key;
    /// The team that holds the key, or the last team that held it; empty if no
    /// known version has the key.
    std::optional<team> holder;
    /// The oldest and the newest version of the last unbroken run of known
    /// versions in which the key is that team's.
    config_version since;
    config_version until;
    /// The next older known version, in which the key is not that team's; 0 if
    /// none is known.
    config_version absent_in;
    /// The next newer known version, in which no team holds the key; 0 if none
    /// is known.
    config_version removed_in;

    /// Whether a team holds the key in the newest version.
    bool in_force() const { return holder && removed_in.none(); }
    friend bool operator==(key_history const&, key_history const&) = default;
};

/// Versions of the configuration that are searched for keys. Immutable.
/// Thread safety: const calls from any thread.
class configuration_versions
{
public:
    /// `versions` may be in any order. Precondition: at least one, and no two
    /// with the same version.
    explicit configuration_versions(std::vector<routing_config> versions);

    routing_config const& newest() const { return *versions_.back().config; }
    /// The keys of all versions whose digest begins with `digits` (hexadecimal,
    /// lower case).
    std::set<key_digest> keys_with_prefix(std::string_view digits) const;
    key_history history_of(key_digest const& key) const;

private:
    struct known_version
    {
        std::shared_ptr<routing_config const> config;
        team_directory teams;
    };

    /// Ordered by version, the newest last.
    std::vector<known_version> versions_;
};

} // namespace mulberry

#endif
