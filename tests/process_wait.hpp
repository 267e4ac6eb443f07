/// Waits for a condition instead of sleeping for a fixed time.
#ifndef MULBERRY_PROCESS_WAIT_HPP
#define MULBERRY_PROCESS_WAIT_HPP

#include "process_child.hpp"

#include <chrono>
#include <thread>

namespace mulberry_test
{

/// Polls the condition until it holds or generous_wait has passed. Returns
/// whether the condition held.
template <class Condition>
bool eventually(Condition const& holds)
{
    constexpr std::chrono::milliseconds interval{20};
    auto const limit = std::chrono::steady_clock::now() + generous_wait;
    while (!holds())
    {
        if (std::chrono::steady_clock::now() > limit)
            return false;
        std::this_thread::sleep_for(interval);
    }
    return true;
}

} // namespace mulberry_test

#endif
