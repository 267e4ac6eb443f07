/// An HTTP client that knows which call carries which attempt.
#ifndef MULBERRY_CALL_REGISTRY_HPP
#define MULBERRY_CALL_REGISTRY_HPP

#include "http_client.hpp"
#include "ids.hpp"

#include <memory>
#include <mutex>
#include <unordered_map>
#include <utility>

namespace mulberry
{

/// Thread safe.
class call_registry
{
public:
    void start(attempt_id attempt, http_call call,
               std::shared_ptr<http_call_observer> observer)
    {
        // Held over start(), so that an observer that ends at once finds its
        // entry to erase.
        std::lock_guard const lock(mutex_);
        calls_[attempt] = client_.start(std::move(call), std::move(observer));
    }

    /// Closes the attempt's connection if it is still open.
    void cancel(attempt_id attempt)
    {
        std::lock_guard const lock(mutex_);
        auto const place = calls_.find(attempt);
        if (place == calls_.end())
            return;
        client_.cancel(place->second);
        calls_.erase(place);
    }

    void ended(attempt_id attempt)
    {
        std::lock_guard const lock(mutex_);
        calls_.erase(attempt);
    }

    /// For calls that are no attempts.
    http_client& client() { return client_; }

private:
    std::mutex mutex_;
    std::unordered_map<attempt_id, call_handle> calls_;
    // Last, so that its thread, which calls ended(), is joined first.
    http_client client_;
};

} // namespace mulberry

#endif
