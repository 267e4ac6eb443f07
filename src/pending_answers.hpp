/// Maps the ids of unanswered requests to the connections that wait for the
/// answers.
#ifndef MULBERRY_PENDING_ANSWERS_HPP
#define MULBERRY_PENDING_ANSWERS_HPP

#include "action.hpp"
#include "error_kind.hpp"
#include "ids.hpp"

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace mulberry
{

/// Writes the answer to a request to the open connection of a caller or peer.
/// All functions are called on the decision thread and must not block.
class response_writer
{
public:
    virtual ~response_writer() = default;
    virtual void on_event(std::uint64_t offset, std::string const& payload) = 0;
    virtual void on_end() = 0;
    virtual void on_error(error const& what) = 0;
    virtual void on_service_answer(service_answer const& answer,
                                   bool replayed) = 0;
    /// Called periodically until the answer is complete.
    virtual void keep_alive() = 0;
};

/// Thread safety: all functions may be called from any thread.
class pending_answers
{
public:
    /// Returns false, without a change, if `request` already has a writer.
    bool add(request_id const& request,
             std::shared_ptr<response_writer> writer);
    /// Returns null if no writer waits for the answer to `request`.
    std::shared_ptr<response_writer> find(request_id const& request) const;
    /// Removes and returns the writer of `request`; null if there is none.
    std::shared_ptr<response_writer> take(request_id const& request);
    /// Calls keep_alive() on every writer, without holding the lock.
    void keep_all_alive();
    std::size_t size() const;

private:
    mutable std::mutex mutex_;
    std::unordered_map<request_id, std::shared_ptr<response_writer>> writers_;
};

} // namespace mulberry

#endif
