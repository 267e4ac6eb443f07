/// Who waits for which answer.
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

/// Whoever asked: a caller's or a peer's open connection. Called on the
/// decision thread; must not block.
class response_writer
{
public:
    virtual ~response_writer() = default;
    virtual void on_event(std::uint64_t offset, std::string const& payload) = 0;
    virtual void on_end() = 0;
    virtual void on_error(error const& what) = 0;
    virtual void on_service_answer(service_answer const& answer,
                                   bool replayed) = 0;
    /// Called now and then while the answer is outstanding.
    virtual void keep_alive() = 0;
};

/// Thread safe.
class pending_answers
{
public:
    /// False if an answer of that id is outstanding already.
    bool add(request_id const& request,
             std::shared_ptr<response_writer> writer);
    /// Null if nobody waits for it any more.
    std::shared_ptr<response_writer> find(request_id const& request) const;
    std::shared_ptr<response_writer> take(request_id const& request);
    void keep_all_alive();
    std::size_t size() const;

private:
    mutable std::mutex mutex_;
    std::unordered_map<request_id, std::shared_ptr<response_writer>> writers_;
};

} // namespace mulberry

#endif
