/// Which VM reads the store for which others of its failure domain.
#ifndef MULBERRY_READER_CHOICE_HPP
#define MULBERRY_READER_CHOICE_HPP

#include "ids.hpp"
#include "time_point.hpp"
#include "vm_rank.hpp"

#include <cstddef>
#include <map>
#include <vector>

namespace mulberry
{

/// Load it answers: a hundred VMs that each ask the store for the same rows
/// each second. Every VM names the same few readers of its failure domain by
/// their rank, without messages; the others ask one of them. A reader that
/// fails is passed over for a while, and when none is left a VM reads the store
/// itself: nobody depends on another VM for longer than one question. Thread
/// safety: none. Pure: no I/O, no clock.
class reader_choice
{
public:
    explicit reader_choice(vm_id self) : self_(std::move(self)) {}

    /// The VMs of this one's failure domain that may read for others, and how
    /// many VMs the domain has, this one among them.
    void set_members(std::vector<ranked_vm> candidates, std::size_t vms);
    /// The VM to ask now; empty: the store itself.
    vm_id choose(time_point now) const;
    void answered(vm_id const& reader);
    void failed(vm_id const& reader, time_point now);
    /// What made readers fail is over: any may be asked again.
    void forgive() { troubles_.clear(); }
    /// Whether other VMs read the store for this one.
    bool follows() const { return !readers_.empty(); }

private:
    struct trouble
    {
        int failures = 0;
        time_point avoid_until{};
    };

    vm_id self_;
    /// In the order in which this VM asks them; empty when it reads itself.
    std::vector<vm_id> readers_;
    std::map<vm_id, trouble> troubles_;
};

} // namespace mulberry

#endif
