/// At which version of the workers' software streams began.
#ifndef MULBERRY_STREAM_RECORDS_HPP
#define MULBERRY_STREAM_RECORDS_HPP

#include "ids.hpp"
#include "time_point.hpp"

#include <cstddef>
#include <list>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace mulberry
{

/// Names a stream by the caller's try that began it. Value.
struct stream_record
{
    request_id stream;
    service_id service;
    software_version software;
    /// The stream has ended by then.
    time_point until{};
    friend bool operator==(stream_record const&,
                           stream_record const&) = default;
};

/// A bounded set of records. Those of streams that have ended give way first,
/// then the oldest. Thread safety: none.
class stream_records
{
public:
    /// Precondition: `capacity` is positive.
    explicit stream_records(std::size_t capacity) : capacity_(capacity) {}
    stream_records(stream_records const&) = delete;
    stream_records& operator=(stream_records const&) = delete;

    /// Adds a record. A record of the same stream that is still valid stays as
    /// it is: the first one tells what began the stream.
    void add(stream_record record, time_point now);
    std::optional<software_version> find(request_id const& stream,
                                         service_id const& service,
                                         time_point now) const;
    std::size_t size() const { return records_.size(); }

private:
    /// Precondition: there is a record of the stream.
    void forget(request_id const& stream);

    std::size_t const capacity_;
    /// In the order in which they were added.
    std::list<stream_record> order_;
    std::unordered_map<request_id, std::list<stream_record>::iterator> records_;
    std::set<std::pair<time_point, request_id>> ends_;
};

/// The VMs that keep the record of a stream, by rendezvous hashing: the same
/// on every VM that knows the same VMs. The first one also writes it to the
/// metadata store.
std::vector<vm_id> record_keepers(request_id const& stream,
                                  std::vector<vm_id> vms);

} // namespace mulberry

#endif
