/// The declared versions of adapters, and until when each older version may be
/// used.
#ifndef MULBERRY_ADAPTER_VERSION_HISTORY_HPP
#define MULBERRY_ADAPTER_VERSION_HISTORY_HPP

#include "relay_request.hpp"
#include "time_point.hpp"

#include <functional>
#include <map>
#include <vector>

namespace mulberry
{

/// A declared version and when this VM learned of it. Value.
struct declared_version
{
    adapter_version version;
    time_point learned_at{};
    /// Until this time a request may begin on an older version.
    time_point older_allowed_until{};
    friend bool operator==(declared_version const&,
                           declared_version const&) = default;
};

/// Whether `version` exceeds `other` by more than versions do that are declared
/// one after the other: one of them is a wrong number.
bool is_far_ahead(adapter_version version, adapter_version other);

/// Each version sets its own deadline for all older versions. Failure: with a
/// single deadline for each adapter, every further version extends the time for
/// copies that were replaced long ago.
///
/// Thread safety: none. Pure: no I/O, no clock.
class adapter_version_history
{
public:
    /// Records a declared version. Returns false if it is not newer than the
    /// newest known version, unless that is a wrong number (is_far_ahead()),
    /// which is forgotten. The history is bounded: when it is full, a further
    /// version replaces the newest one and takes over its earlier deadline.
    bool declare(model_target const& target, declared_version const& declared);
    /// The newest declared version; 0 if none was declared.
    adapter_version newest(model_target const& target) const;
    /// When this VM learned of the newest version; `never` if none was
    /// declared.
    time_point newest_learned_at(model_target const& target) const;
    /// When this VM learned of the first version newer than `copy`; `never` if
    /// there is none.
    time_point superseded_at(model_target const& target,
                             adapter_version copy) const;
    /// The oldest version on which a request may begin at time `at`; 0 if any
    /// version may be used.
    adapter_version oldest_allowed(model_target const& target,
                                   time_point at) const;
    /// Calls `what` for each known version, for each adapter in ascending
    /// order.
    void for_each(
        std::function<void(model_target const&, declared_version const&)> const&
            what) const;

private:
    using history = std::vector<declared_version>;

    history const* find(model_target const& target) const;
    static void drop_expired(history& known, time_point now);

    /// Versions in ascending order; no history is empty.
    std::map<model_target, history> declared_;
};

} // namespace mulberry

#endif
