#include "answer_memory.hpp"

#include <algorithm>

namespace mulberry
{

std::size_t answer_memory::limit(std::size_t largest) const
{
    if (!capacity_)
        return largest;
    std::size_t left = *capacity_ - std::min(*capacity_, held());
    if (shared_left_)
        left = std::min(left, shared_left_().value_or(left));
    return std::min(largest, std::max(left, always_allowed));
}

} // namespace mulberry
