/// The versions of adapters that were declared, and until when each older one
/// may be used.
#ifndef MULBERRY_ADAPTER_RELEASES_HPP
#define MULBERRY_ADAPTER_RELEASES_HPP

#include "relay_request.hpp"
#include "time_point.hpp"

#include <functional>
#include <map>
#include <vector>

namespace mulberry
{

/// A version as this VM knows it. Value.
struct declared_version
{
    adapter_version version;
    time_point heard_at{};
    /// Until then a request may begin on an older one.
    time_point older_until{};
    friend bool operator==(declared_version const&,
                           declared_version const&) = default;
};

/// Each version has a deadline of its own for all that are older. Failure: with
/// one deadline for each adapter, every further version gives copies that were
/// replaced long ago more time. Thread safety: none. Pure: no I/O, no clock.
class adapter_releases
{
public:
    /// False for a version that is no newer than the newest known one.
    bool declare(model_target const& target, declared_version const& declared);
    /// 0 where none was declared.
    adapter_version newest(model_target const& target) const;
    /// When the newest was heard of; `never` where none was declared.
    time_point newest_heard_at(model_target const& target) const;
    /// When the first version that is newer than `copy` was heard of; `never`
    /// where there is none.
    time_point replaced_at(model_target const& target,
                           adapter_version copy) const;
    /// The oldest version that a request may begin on at that moment; 0 where
    /// any may be used.
    adapter_version oldest_allowed(model_target const& target,
                                   time_point at) const;
    /// Calls `what` with all known versions, the older ones of an adapter
    /// first.
    void for_each(
        std::function<void(model_target const&, declared_version const&)> const&
            what) const;

private:
    using history = std::vector<declared_version>;

    history const* find(model_target const& target) const;
    static void drop_passed(history& known, time_point now);

    /// Ascending versions, none empty.
    std::map<model_target, history> declared_;
};

} // namespace mulberry

#endif
