#include "caller_memory.hpp"

#include <algorithm>

namespace mulberry
{

std::size_t caller_memory::held() const
{
    return connections_ + worker_connections_ + requests_ +
           (answers_ ? answers_() : 0);
}

std::optional<std::size_t> caller_memory::left() const
{
    if (!capacity_)
        return std::nullopt;
    return *capacity_ - std::min(*capacity_, held());
}

bool caller_memory::connection_fits(std::size_t bytes) const
{
    return !capacity_ ||
           (connections_ + bytes <= *capacity_ / 2 && bytes <= *left());
}

bool caller_memory::request_fits(std::size_t own, std::size_t bytes) const
{
    if (!capacity_)
        return true;
    std::size_t const room = *left();
    if (bytes > room)
        return false;
    bool const is_only = own == requests_;
    return is_only || own + bytes <= room - bytes;
}

bool caller_memory::make_room(request_memory const* asking, std::size_t size,
                              time_point now)
{
    request_memory* chosen = nullptr;
    bool chosen_stalls = false;
    for (auto const& [number, each] : receiving_)
    {
        if (each == asking)
            continue;
        bool const stalls = now - each->last_progress_ >= stall_time;
        if (!stalls && (chosen_stalls || each->bytes_ <= size))
            continue;
        bool const stalls_only = stalls && !chosen_stalls;
        if (chosen == nullptr || stalls_only || each->bytes_ > chosen->bytes_)
            chosen = each;
        chosen_stalls |= stalls;
    }
    if (chosen == nullptr)
        return false;
    ++counts_.yielded;
    chosen->yield();
    return true;
}

connection_memory::connection_memory(connection_memory&& other) noexcept
    : sum_(std::exchange(other.sum_, nullptr)), bytes_(other.bytes_)
{
}

connection_memory&
connection_memory::operator=(connection_memory&& other) noexcept
{
    std::swap(sum_, other.sum_);
    std::swap(bytes_, other.bytes_);
    return *this;
}

bool connection_memory::reserve(caller_memory& memory, std::size_t bytes,
                                time_point now)
{
    while (!memory.connection_fits(bytes))
    {
        // Requests that yield leave their connections open.
        bool const is_share_used =
            memory.connections_ + bytes > *memory.capacity_ / 2;
        if (is_share_used || !memory.make_room(nullptr, bytes, now))
            return false;
    }
    sum_ = &memory.connections_;
    bytes_ = bytes;
    *sum_ += bytes_;
    return true;
}

void connection_memory::hold_for_worker(caller_memory& memory,
                                        std::size_t bytes)
{
    sum_ = &memory.worker_connections_;
    bytes_ = bytes;
    *sum_ += bytes_;
}

void connection_memory::release()
{
    if (auto* const sum = std::exchange(sum_, nullptr))
        *sum -= bytes_;
}

request_memory::~request_memory()
{
    complete();
    memory_.requests_ -= bytes_;
}

bool request_memory::grow(std::size_t bytes, time_point now)
{
    if (!number_)
    {
        number_ = ++memory_.last_number_;
        memory_.receiving_.emplace(*number_, this);
    }
    last_progress_ = now;
    while (!memory_.request_fits(bytes_, bytes))
        if (!memory_.make_room(this, bytes_ + bytes, now))
        {
            ++memory_.counts_.refused;
            return false;
        }
    hold(bytes);
    return true;
}

void request_memory::hold(std::size_t bytes)
{
    bytes_ += bytes;
    memory_.requests_ += bytes;
}

void request_memory::complete()
{
    if (number_)
        memory_.receiving_.erase(*std::exchange(number_, std::nullopt));
}

void request_memory::yield()
{
    complete();
    memory_.requests_ -= std::exchange(bytes_, 0);
    holder_.yield_request();
}

} // namespace mulberry
