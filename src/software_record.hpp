/// Rows of the metadata store that say at which versions of the workers'
/// software the streams of a service may have begun.
#ifndef MULBERRY_SOFTWARE_RECORD_HPP
#define MULBERRY_SOFTWARE_RECORD_HPP

#include "ids.hpp"
#include "table.hpp"
#include "time_point.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace mulberry
{

inline constexpr char const* software_record_prefix = "software/";

/// Value.
struct software_record
{
    /// A version is added before a stream begins at it, and removed after all
    /// streams that began at it have ended.
    std::set<software_version> versions;
    /// Those at which any VM may begin streams.
    std::set<software_version> established;
    /// No running stream has begun before the record was kept.
    bool complete = false;
    /// Streams that began at these versions last at most this long; processes
    /// that start may know shorter timeouts only.
    duration longest_stream{};
    friend bool operator==(software_record const&,
                           software_record const&) = default;
};

/// Thread safety: any thread, as for the other functions of rows.
std::string software_record_key(service_id const& service);
/// Returns nullopt if `key` is not the key of such a row.
std::optional<service_id> parse_software_record_key(std::string const& key);
/// {"complete": BOOLEAN, "established": [TEXT], "longest_stream_ms": NUMBER,
/// "versions": [TEXT]}; rows of earlier software lack the time.
std::string software_record_text(software_record const& record);
/// Returns nullopt if the text is malformed.
std::optional<software_record> parse_software_record(std::string const& text);

/// What a VM itself knows of the versions of a service's workers. Value.
struct software_view
{
    std::set<software_version> listed;
    std::set<software_version> established;
    bool complete = false;
    /// A version is removed when it was not listed for so long.
    duration retention{};
    /// Versions at which running streams may have begun, listed or not.
    std::set<software_version> remembered;
    /// As of when the list is known.
    time_point as_of{};
    /// After a longer time without a list this VM does not know whether a
    /// version was listed meanwhile.
    duration max_gap{};
    /// Streams last at most this long, as far as this process knows.
    duration longest_stream{};
    friend bool operator==(software_view const&,
                           software_view const&) = default;
};

/// Keeps the rows in line with what the workers are listed with. All VMs try;
/// those of lower rank later, when they have normally read what the one before
/// them wrote. A row is written only as this VM read it. Thread safety: none.
/// No I/O, no clock.
class software_record_writer
{
public:
    /// Sets the number of VMs that are to write before this one.
    void set_rank(std::size_t rank) { rank_ = rank; }
    /// A row was read or written; `record`: nullopt if it is deleted or
    /// malformed.
    void on_row(service_id const& service,
                std::optional<software_record> record, row_version version,
                time_point now);
    void set_view(service_id const& service, software_view const& view,
                  time_point now);
    /// Null if no row was read, or if it is malformed.
    software_record const* find(service_id const& service) const;
    /// What is to be written now; nullopt if nothing is, or a write is in
    /// progress.
    std::optional<table_transaction> take_write(time_point now);
    /// The write has ended. Unless it failed, its rows count as read.
    void on_written(bool done);
    /// When take_write() is to be called next.
    time_point next_due() const;

private:
    struct service_rows
    {
        std::optional<software_record> record;
        row_version version;
        std::optional<software_view> view;
        /// Versions of the record that are not listed, and since when, by the
        /// time as of which the list is known.
        std::map<software_version, time_point> unlisted_since;
        time_point write_at = never;
        /// By then the row was read after the last write.
        time_point not_before{};
        std::optional<software_record> writing;
        /// The version of the row that the write replaces.
        row_version replaced;
    };

    void review(service_rows& rows, time_point now) const;
    static time_point note_unlisted(service_rows& rows);
    static software_record merge(service_rows const& rows);
    static duration retention(service_rows const& rows);

    std::map<service_id, service_rows> services_;
    std::size_t rank_ = 0;
    bool in_progress_ = false;
};

} // namespace mulberry

#endif
