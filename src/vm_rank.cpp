#include "vm_rank.hpp"

#include "placement.hpp"

#include <algorithm>
#include <cstdint>

namespace mulberry
{
namespace
{

std::uint64_t tie_break_hash(vm_id const& vm)
{
    return stable_hash("rows/" + vm.str());
}

bool ranks_before(ranked_vm const& left, ranked_vm const& right)
{
    if (left.millicores != right.millicores)
        return left.millicores > right.millicores;
    return tie_break_hash(left.vm) > tie_break_hash(right.vm);
}

} // namespace

std::vector<vm_id> by_rank(std::vector<ranked_vm> vms)
{
    std::sort(vms.begin(), vms.end(), ranks_before);
    std::vector<vm_id> names;
    names.reserve(vms.size());
    for (ranked_vm& each : vms)
        names.push_back(std::move(each.vm));
    return names;
}

} // namespace mulberry
