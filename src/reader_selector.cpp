#include "reader_selector.hpp"

#include "placement.hpp"

#include <algorithm>
#include <cstddef>

namespace mulberry
{
namespace
{

using std::chrono::milliseconds;

/// Maximum number of VMs per reader. A reader's outgoing traffic grows with
/// this number, and its link and processor are those of any other VM: some 10
/// KB/s per VM in a domain of a hundred VMs, mostly heartbeats.
constexpr std::size_t max_vms_per_reader = 16;
/// A reader that failed is skipped for this time, twice as long after each
/// further failure: a restart takes one to some seconds.
constexpr milliseconds initial_backoff{1000};
constexpr int max_doublings = 3;

} // namespace

void reader_selector::set_members(std::vector<ranked_vm> candidates,
                                  std::size_t vms)
{
    readers_.clear();
    std::vector<vm_id> members = by_rank(std::move(candidates));
    std::erase_if(failures_,
                  [&members](auto const& each)
                  {
                      return std::find(members.begin(), members.end(),
                                       each.first) == members.end();
                  });
    if (members.empty())
        return;
    std::size_t const wanted =
        (vms + max_vms_per_reader - 1) / max_vms_per_reader;
    members.resize(std::min(members.size(), wanted));
    if (std::find(members.begin(), members.end(), self_) != members.end())
        return;
    // Spread the VMs over the readers; if the first reader fails, the next ones
    // in this order follow.
    auto const first =
        static_cast<std::ptrdiff_t>(stable_hash(self_.str()) % members.size());
    std::rotate(members.begin(), members.begin() + first, members.end());
    readers_ = std::move(members);
}

vm_id reader_selector::choose(time_point now) const
{
    for (vm_id const& reader : readers_)
    {
        auto const known = failures_.find(reader);
        if (known == failures_.end() || now >= known->second.skip_until)
            return reader;
    }
    return {};
}

void reader_selector::answered(vm_id const& reader)
{
    failures_.erase(reader);
}

void reader_selector::failed(vm_id const& reader, time_point now)
{
    failure_record& known = failures_[reader];
    int const doublings = std::min(known.failures++, max_doublings);
    known.skip_until = now + initial_backoff * (1 << doublings);
}

} // namespace mulberry
