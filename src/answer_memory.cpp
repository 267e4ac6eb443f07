#include "answer_memory.hpp"

#include <algorithm>

namespace mulberry
{

std::size_t answer_memory::limit(std::size_t largest) const
{
    if (!capacity_)
        return largest;
    std::size_t const left = *capacity_ - std::min(*capacity_, held());
    return std::min(largest, std::max(left, always_allowed));
}

} // namespace mulberry
