#include "forwarder_selector.hpp"

#include <array>
#include <tuple>
#include <utility>

namespace mulberry
{
namespace
{

using std::chrono::milliseconds;

/// Limit on the calls of one VM that another VM forwards at a time.
constexpr std::size_t max_calls_per_forwarder = 128;
/// How long a VM is not asked again.
constexpr milliseconds busy_pause{100};
constexpr milliseconds failure_pause{1000};

constexpr std::array<std::pair<forward_refusal, std::string_view>, 5> names{
    {{forward_refusal::unreachable, "unreachable"},
     {forward_refusal::cut_off, "cut_off"},
     {forward_refusal::busy, "busy"},
     {forward_refusal::unavailable, "unavailable"},
     {forward_refusal::unknown_worker, "unknown_worker"}}};

} // namespace

std::string_view name_of(forward_refusal refusal)
{
    return names.at(static_cast<std::size_t>(refusal)).second;
}

forward_refusal parse_forward_refusal(std::string_view name)
{
    for (auto const& [refusal, known] : names)
        if (known == name)
            return refusal;
    return forward_refusal::unavailable;
}

void forwarder_selector::set_vms(std::map<vm_id, domain_id> const& vms)
{
    std::map<vm_id, forwarder> current;
    for (auto const& [vm, domain] : vms)
    {
        auto const known = vms_.find(vm);
        forwarder& added = current[vm];
        if (known != vms_.end())
            added = known->second;
        added.same_domain = domain == domain_;
    }
    vms_ = std::move(current);
}

std::optional<vm_id> forwarder_selector::choose(std::set<vm_id> const& tried,
                                                time_point now) const
{
    auto const order = [](forwarder const& each)
    { return std::tuple(each.in_progress, !each.same_domain); };
    forwarder const* best = nullptr;
    std::optional<vm_id> chosen;
    for (auto const& [vm, each] : vms_)
    {
        if (now < each.usable_at || tried.count(vm) > 0 ||
            each.in_progress >= max_calls_per_forwarder ||
            (best != nullptr && order(each) >= order(*best)))
            continue;
        best = &each;
        chosen = vm;
    }
    return chosen;
}

void forwarder_selector::on_started(vm_id const& vm)
{
    if (auto const found = vms_.find(vm); found != vms_.end())
        ++found->second.in_progress;
}

void forwarder_selector::on_ended(vm_id const& vm)
{
    auto const found = vms_.find(vm);
    if (found != vms_.end() && found->second.in_progress > 0)
        --found->second.in_progress;
}

void forwarder_selector::on_refused(vm_id const& vm, forward_refusal reason,
                                    time_point now)
{
    auto const found = vms_.find(vm);
    if (found == vms_.end() || reason == forward_refusal::unknown_worker)
        return;
    duration const pause =
        reason == forward_refusal::busy ? busy_pause : failure_pause;
    found->second.usable_at = now + pause;
}

} // namespace mulberry
