/// An HTTP client that maps attempts to their calls, so that an attempt can be
/// cancelled by its id.
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

/// Thread safety: all methods may be called from any thread.
class call_registry
{
public:
    /// Starts the attempt's call. The observer calls ended() when the call is
    /// over.
    void start(attempt_id attempt, http_call call,
               std::shared_ptr<http_call_observer> observer)
    {
        // Locked during start(): if the call ends at once, ended() must wait
        // until the entry that it erases exists.
        std::lock_guard const lock(mutex_);
        calls_[attempt] = client_.start(std::move(call), std::move(observer));
    }

    /// Cancels the attempt's call; no effect if the call has ended.
    void cancel(attempt_id attempt)
    {
        std::lock_guard const lock(mutex_);
        auto const place = calls_.find(attempt);
        if (place == calls_.end())
            return;
        client_.cancel(place->second);
        calls_.erase(place);
    }

    /// Removes the entry of an attempt whose call has ended.
    void ended(attempt_id attempt)
    {
        std::lock_guard const lock(mutex_);
        calls_.erase(attempt);
    }

    /// The client itself, for calls that do not belong to an attempt.
    http_client& client() { return client_; }

private:
    std::mutex mutex_;
    std::unordered_map<attempt_id, call_handle> calls_;
    // Declared last, so that it is destroyed first: its thread, which calls
    // ended(), must be joined while the other members exist.
    http_client client_;
};

} // namespace mulberry

#endif
