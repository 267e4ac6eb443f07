#include "fault_counts.hpp"

namespace mulberry::standins
{

fault_counts::fault_counts(std::initializer_list<std::string_view> names)
{
    for (std::string_view name : names)
        counts_.emplace(name, 0);
}

void fault_counts::set(Json::Value const& order)
{
    for (auto& [name, count] : counts_)
    {
        if (order.isMember(name))
            count = order[name].asUInt();
    }
}

bool fault_counts::take(std::string_view name)
{
    auto const found = counts_.find(name);
    if (found == counts_.end() || found->second == 0)
        return false;
    --found->second;
    return true;
}

} // namespace mulberry::standins
