/// What a process of this machine has used, from /proc.
#ifndef MULBERRY_PROCESS_USAGE_HPP
#define MULBERRY_PROCESS_USAGE_HPP

#include <chrono>
#include <cstddef>

#include <sys/types.h>

namespace mulberry
{

struct process_usage
{
    std::chrono::microseconds processor_time{0};
    std::size_t resident_kib = 0;
};

/// Zeros if there is no such process.
process_usage usage_of(pid_t process);

} // namespace mulberry

#endif
