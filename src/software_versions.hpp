/// The versions of their software that the workers of one service have been
/// listed with.
#ifndef MULBERRY_SOFTWARE_VERSIONS_HPP
#define MULBERRY_SOFTWARE_VERSIONS_HPP

#include "ids.hpp"
#include "software_record.hpp"
#include "time_point.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace mulberry
{

/// Says at which versions streams may begin, and whether a stream that is still
/// running can have begun at one version only.
///
/// A version is established once it was listed for `validity`, as of which time
/// the registry is known. Every VM begins streams at established versions only,
/// and trusts its list for `validity`: so a VM that trusts its list knows each
/// version at which a stream has begun, although no VM tells another.
///
/// Where records are kept, streams begin only at versions that the record
/// names, so that a VM that has just started knows those of the past, too.
///
/// Thread safety: none. Pure: no clock.
class software_versions
{
public:
    /// `keeps_records`: set_record() is called.
    explicit software_versions(duration validity, bool keeps_records = false)
        : validity_(validity), keeps_records_(keeps_records)
    {
    }

    /// Streams last at most the longest time that was set.
    void set_longest_stream(duration time);
    /// Sets the versions of all listed workers.
    void set_listed(std::set<software_version> const& listed, time_point now);
    /// Sets as of when the list is known; an earlier time than before is
    /// ignored. `missed`: how often workers may have been listed and removed
    /// without this VM's notice.
    void set_known_as_of(time_point as_of, std::uint64_t missed,
                         time_point now);
    /// Sets what the store has recorded, as of `as_of`; nullopt: it has no
    /// record.
    void set_record(std::optional<software_record> record, time_point as_of);
    /// What this VM has to record.
    software_view view(time_point now) const;
    /// Another VM has established these versions.
    void learn_established(std::set<software_version> const& versions);
    /// Another VM knows, as of less than `validity` ago, that running streams
    /// can have begun at this version only.
    void learn_only(software_version const& version, time_point now);

    /// Whether the list is recent enough to go by.
    bool is_current(time_point now) const { return now < as_of_ + validity_; }
    /// The only version that a running stream can have begun at; nullopt if
    /// there may be another.
    std::optional<software_version> only_version(time_point now) const;
    /// Whether streams may begin at every listed version.
    bool are_all_established() const;
    /// Whether another VM has nothing to add: one version can have begun
    /// streams, or several are established.
    bool knows_history(time_point now) const;
    bool is_established(software_version const& version) const;
    std::set<software_version> established() const;

private:
    struct state
    {
        time_point listed_since{};
        /// `never` while the version is listed.
        time_point unlisted_at = never;
        /// As of when the last list that named the version was known.
        time_point last_listed{};
        /// As far as this VM's list tells.
        bool established = false;
        /// The only version of the first list.
        bool is_first = false;
    };

    /// The longest that this process or the record knows of.
    duration longest_stream() const;
    void forget_old(time_point now);
    /// Whether a version that is listed again counts as new.
    bool must_begin_anew(software_version const& version, state const& known,
                         time_point now) const;
    bool is_remembered(state const& known, time_point now) const;
    std::set<software_version> remembered(time_point now) const;
    /// Whether every version at which a running stream can have begun is
    /// remembered.
    bool is_complete(time_point now) const;
    /// Whether the record names the versions that came and went while this VM
    /// had no list.
    bool is_record_newer_than_gap() const;
    bool may_begin(software_version const& version, state const& known) const;

    duration const validity_;
    bool const keeps_records_;
    std::optional<software_record> record_;
    /// As of when the record is known; zero before it was read.
    time_point record_as_of_{};
    duration longest_stream_{std::chrono::seconds(1)};
    std::map<software_version, state> known_;
    /// All versions that were listed since then are known; `never` before the
    /// first list.
    time_point complete_since_ = never;
    time_point as_of_{};
    /// As of when the list was known again after it was too old to go by.
    time_point gap_end_{};
    std::uint64_t missed_ = 0;
};

} // namespace mulberry

#endif
