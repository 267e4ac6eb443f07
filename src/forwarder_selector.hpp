/// Chooses other VMs that forward calls to workers for a VM that is cut off.
#ifndef MULBERRY_FORWARDER_SELECTOR_HPP
#define MULBERRY_FORWARDER_SELECTOR_HPP

#include "ids.hpp"
#include "time_point.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string_view>

namespace mulberry
{

/// Why a VM did not forward a call. Nothing was sent to the worker.
enum class forward_refusal
{
    /// No connection, or no answer.
    unreachable,
    /// The VM is cut off from the workers itself.
    cut_off,
    /// The VM has too much to do.
    busy,
    /// The VM leaves.
    unavailable,
    /// The VM does not know the worker; it forwards calls to others.
    unknown_worker
};

std::string_view name_of(forward_refusal refusal);
/// Returns unavailable for an unknown name.
forward_refusal parse_forward_refusal(std::string_view name);

/// Spreads calls evenly over the VMs that can forward them: the one with the
/// fewest calls of this VM in progress is next, of equals one in the same
/// failure domain. Thread safety: none. Pure: no I/O, no clock.
class forwarder_selector
{
public:
    explicit forwarder_selector(domain_id domain) : domain_(std::move(domain))
    {
    }

    /// Sets the other VMs that are live, with their failure domains.
    void set_vms(std::map<vm_id, domain_id> const& vms);
    /// Returns a VM that is not in `tried`; nullopt if no VM can forward a call
    /// now.
    std::optional<vm_id> choose(std::set<vm_id> const& tried,
                                time_point now) const;
    void on_started(vm_id const& vm);
    void on_ended(vm_id const& vm);
    void on_refused(vm_id const& vm, forward_refusal reason, time_point now);
    bool can_forward(time_point now) const
    {
        return choose({}, now).has_value();
    }

private:
    struct forwarder
    {
        bool same_domain = false;
        std::size_t in_progress = 0;
        time_point usable_at{};
    };

    domain_id domain_;
    std::map<vm_id, forwarder> vms_;
};

} // namespace mulberry

#endif
