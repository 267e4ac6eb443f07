#include "reader_choice.hpp"

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
constexpr std::size_t vms_per_reader = 16;
/// A reader that failed is skipped for this time, twice as long after each
/// further failure: a restart takes one to some seconds.
constexpr milliseconds first_avoid{1000};
constexpr int most_doublings = 3;

} // namespace

void reader_choice::set_members(std::vector<ranked_vm> candidates,
                                std::size_t vms)
{
    readers_.clear();
    std::vector<vm_id> members = by_rank(std::move(candidates));
    std::erase_if(troubles_,
                  [&members](auto const& each)
                  {
                      return std::find(members.begin(), members.end(),
                                       each.first) == members.end();
                  });
    if (members.empty())
        return;
    std::size_t const wanted = (vms + vms_per_reader - 1) / vms_per_reader;
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

vm_id reader_choice::choose(time_point now) const
{
    for (vm_id const& reader : readers_)
    {
        auto const known = troubles_.find(reader);
        if (known == troubles_.end() || now >= known->second.avoid_until)
            return reader;
    }
    return {};
}

void reader_choice::answered(vm_id const& reader)
{
    troubles_.erase(reader);
}

void reader_choice::failed(vm_id const& reader, time_point now)
{
    trouble& known = troubles_[reader];
    int const doublings = std::min(known.failures++, most_doublings);
    known.avoid_until = now + first_avoid * (1 << doublings);
}

} // namespace mulberry
