/// Selects the VM that reads the store on behalf of others in its failure
/// domain.
#ifndef MULBERRY_READER_SELECTOR_HPP
#define MULBERRY_READER_SELECTOR_HPP

#include "ids.hpp"
#include "time_point.hpp"
#include "vm_rank.hpp"

#include <cstddef>
#include <map>
#include <vector>

namespace mulberry
{

/// Load it answers: a hundred VMs that each poll the store for the same rows
/// every second. Every VM selects the same few readers of its failure domain by
/// rank, without messages; the other VMs ask one of these. A reader that fails
/// is skipped for a while, and if none is left a VM reads the store itself: no
/// VM depends on another for longer than one question.
///
/// Thread safety: none. Pure: no I/O, no clock.
class reader_selector
{
public:
    explicit reader_selector(vm_id self) : self_(std::move(self)) {}

    /// Sets the VMs of this failure domain that may read for others, and the
    /// number of VMs in the domain including this one.
    void set_members(std::vector<ranked_vm> candidates, std::size_t vms);
    /// The VM to ask now; empty if this VM should read the store itself.
    vm_id choose(time_point now) const;
    void answered(vm_id const& reader);
    void failed(vm_id const& reader, time_point now);
    /// Forgets past failures once their cause is over, so that every reader may
    /// be asked again.
    void clear_failures() { failures_.clear(); }
    /// Whether other VMs read the store for this VM.
    bool uses_reader() const { return !readers_.empty(); }

private:
    struct failure_record
    {
        int failures = 0;
        time_point skip_until{};
    };

    vm_id self_;
    /// In the order in which this VM asks them; empty if it reads the store
    /// itself.
    std::vector<vm_id> readers_;
    std::map<vm_id, failure_record> failures_;
};

} // namespace mulberry

#endif
