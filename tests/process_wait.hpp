/// Waiting for an event in place of sleeping for a time.
#ifndef MULBERRY_PROCESS_WAIT_HPP
#define MULBERRY_PROCESS_WAIT_HPP

#include "process_child.hpp"

#include <chrono>
#include <thread>

namespace mulberry_test
{

/// Looks until the condition holds, for as long as generous_wait; whether it
/// held.
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
