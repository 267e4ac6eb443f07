/// A bounded queue in a ring buffer: many producers, one consumer.
#ifndef MULBERRY_BOUNDED_RING_HPP
#define MULBERRY_BOUNDED_RING_HPP

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace mulberry
{

/// Passes values from producer threads to one consumer thread. Thread safety:
/// any thread may call every member except pop(), which only one thread may
/// call.
template <class T>
class bounded_ring
{
public:
    /// Precondition: capacity > 0.
    explicit bounded_ring(std::size_t capacity) : slots_(capacity) {}
    bounded_ring(bounded_ring const&) = delete;
    bounded_ring& operator=(bounded_ring const&) = delete;

    /// Adds a value without waiting for the consumer. Returns false and drops
    /// the value if the ring is full or closed.
    bool try_push(T value)
    {
        {
            std::lock_guard const lock(mutex_);
            if (closed_ || size_ == slots_.size())
                return false;
            slots_[(first_ + size_) % slots_.size()] = std::move(value);
            ++size_;
        }
        consumer_wakeup_.notify_one();
        return true;
    }

    /// Adds a value, waiting while the ring is full. Returns false and drops
    /// the value if the ring is closed. Precondition: not called by the
    /// consumer, which would deadlock on a full ring.
    bool push(T value)
    {
        {
            std::unique_lock lock(mutex_);
            not_full_.wait(lock,
                           [this] { return closed_ || size_ < slots_.size(); });
            if (closed_)
                return false;
            slots_[(first_ + size_) % slots_.size()] = std::move(value);
            ++size_;
        }
        consumer_wakeup_.notify_one();
        return true;
    }

    /// Removes and returns the oldest value, waiting while the ring is empty.
    /// Returns nullopt if the ring is still empty at the deadline, after
    /// wake(), or when the ring is closed.
    std::optional<T> pop(std::chrono::steady_clock::time_point deadline)
    {
        std::unique_lock lock(mutex_);
        consumer_wakeup_.wait_until(
            lock, deadline,
            [this] { return size_ > 0 || wake_requested_ || closed_; });
        wake_requested_ = false;
        if (size_ == 0)
            return std::nullopt;
        std::optional<T> value = std::exchange(slots_[first_], std::nullopt);
        first_ = (first_ + 1) % slots_.size();
        --size_;
        lock.unlock();
        not_full_.notify_one();
        return value;
    }

    /// Ends the wait of the current call of pop(), or of the next call if none
    /// is waiting.
    void wake()
    {
        {
            std::lock_guard const lock(mutex_);
            wake_requested_ = true;
        }
        consumer_wakeup_.notify_one();
    }

    /// Rejects further values; values in the ring can still be popped.
    void close()
    {
        {
            std::lock_guard const lock(mutex_);
            closed_ = true;
        }
        consumer_wakeup_.notify_one();
        not_full_.notify_all();
    }

    bool closed() const
    {
        std::lock_guard const lock(mutex_);
        return closed_;
    }

    std::size_t size() const
    {
        std::lock_guard const lock(mutex_);
        return size_;
    }

private:
    mutable std::mutex mutex_;
    std::condition_variable consumer_wakeup_;
    std::condition_variable not_full_;
    std::vector<std::optional<T>> slots_;
    std::size_t first_ = 0;
    std::size_t size_ = 0;
    bool wake_requested_ = false;
    bool closed_ = false;
};

} // namespace mulberry

#endif
