#include "stream_records.hpp"

#include "placement.hpp"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <string>
#include <utility>

namespace mulberry
{
namespace
{

/// One of them may be the VM that began the stream, and another may be lost
/// with it.
constexpr std::size_t keepers_of_stream = 3;
/// Streams of one group have the same keepers, of which the first writes their
/// records to the store: however many VMs there are, no more than this number
/// write.
constexpr std::uint64_t keeper_groups = 16;

} // namespace

void stream_records::add(stream_record record, time_point now)
{
    if (record.stream.empty() || record.until <= now)
        return;
    while (!ends_.empty() && ends_.begin()->first <= now)
        forget(ends_.begin()->second);
    if (records_.contains(record.stream))
        return;
    if (records_.size() >= capacity_)
        forget(order_.front().stream);
    ends_.emplace(record.until, record.stream);
    order_.push_back(std::move(record));
    records_.emplace(order_.back().stream, std::prev(order_.end()));
}

void stream_records::forget(request_id const& stream)
{
    auto const found = records_.find(stream);
    auto const record = found->second;
    records_.erase(found);
    ends_.erase(ends_.find({record->until, record->stream}));
    order_.erase(record);
}

std::optional<software_version> stream_records::find(request_id const& stream,
                                                     service_id const& service,
                                                     time_point now) const
{
    auto const found = records_.find(stream);
    if (found == records_.end() || found->second->service != service ||
        found->second->until <= now)
        return std::nullopt;
    return found->second->software;
}

std::vector<vm_id> record_keepers(request_id const& stream,
                                  std::vector<vm_id> vms)
{
    std::string const group =
        std::to_string(stable_hash(stream.str()) % keeper_groups);
    auto const rank = [&group](vm_id const& vm)
    { return stable_hash(group + "@" + vm.str()); };
    std::sort(vms.begin(), vms.end(),
              [&rank](vm_id const& a, vm_id const& b)
              { return std::pair(rank(a), a) > std::pair(rank(b), b); });
    vms.resize(std::min(vms.size(), keepers_of_stream));
    return vms;
}

} // namespace mulberry
