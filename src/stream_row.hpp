/// Rows of the metadata store that say at which version of the workers'
/// software streams began, so that the record outlives all VMs.
#ifndef MULBERRY_STREAM_ROW_HPP
#define MULBERRY_STREAM_ROW_HPP

#include "stream_records.hpp"
#include "time_point.hpp"

#include <optional>
#include <string>

namespace mulberry
{

/// A hash: callers choose the ids of streams, which may be long or hold any
/// bytes. Thread safety: any thread, as for all functions here.
std::string stream_row_key(request_id const& stream, service_id const& service);
/// {"left_ms": NUMBER, "service": TEXT, "software": TEXT, "stream": TEXT};
/// the stream has ended `left_ms` after `now`.
std::string stream_row_text(stream_record const& record, time_point now);
/// The record in a row that was read at `now`; nullopt if the row is malformed.
std::optional<stream_record> parse_stream_row(std::string const& text,
                                              time_point now);

} // namespace mulberry

#endif
