/// Messages with which VMs tell and ask each other at which version of the
/// workers' software a stream began.
///
///   POST /streams  {"service": S, "began": [[STREAM, VERSION, LEFT_MS], ...],
///                   "store": true, "stream": STREAM}
///   200            {"software": VERSION, "only": VERSION,
///                   "established": [VERSION, ...]}
///
/// `stream` is absent from a message that asks for no stream, `store` from one
/// whose records the receiver need not write to the store. Of the answer
/// `software` is absent if the VM has no record of the stream, and `only` if
/// running streams may have begun at several versions.
#ifndef MULBERRY_PEER_STREAMS_HPP
#define MULBERRY_PEER_STREAMS_HPP

#include "ids.hpp"
#include "stream_records.hpp"
#include "time_point.hpp"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mulberry
{

inline constexpr char const* streams_path = "/streams";

/// Value.
struct stream_message
{
    service_id service;
    /// Records that the receiver keeps.
    std::vector<stream_record> began;
    std::optional<request_id> asks_for;
    /// The receiver also writes the records to the metadata store.
    bool to_store = false;
    friend bool operator==(stream_message const&,
                           stream_message const&) = default;
};

/// Value.
struct stream_reply
{
    /// The version that began the stream that was asked for.
    std::optional<software_version> software;
    /// As software_versions::only_version().
    std::optional<software_version> only;
    std::set<software_version> established;
    friend bool operator==(stream_reply const&, stream_reply const&) = default;
};

/// Returns a complete HTTP request. Times are sent as what is left from `now`.
std::string encode_stream_message(stream_message const& message,
                                  std::string const& host, time_point now);
/// The decoders return nullopt if the text is malformed.
std::optional<stream_message> decode_stream_message(std::string const& body,
                                                    time_point now);
std::string encode_stream_reply(stream_reply const& reply);
std::optional<stream_reply> decode_stream_reply(std::string const& body);

} // namespace mulberry

#endif
