/// Accounts for the tokens that requests hold in the memory (KV cache) of a
/// service's workers.
#ifndef MULBERRY_WORKER_MEMORY_HPP
#define MULBERRY_WORKER_MEMORY_HPP

#include "ids.hpp"
#include "relay_request.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace mulberry
{

/// Memory that a request is expected to hold until it ends, in tokens. Value.
struct memory_need
{
    /// The part of the prompt that no other request shares, and half of the
    /// longest answer.
    std::uint64_t own_tokens = 0;
    /// The part of the prompt that other requests may share; its key differs
    /// between adapters, since a cached prefix is valid only for the adapter
    /// that computed it.
    shared_prefix prefix;
    friend bool operator==(memory_need const&, memory_need const&) = default;
};

/// Returns the need of a request. Numbers of tokens that its caller did not
/// state are 0 and add nothing.
memory_need expected_need(std::optional<model_target> const& target,
                          std::uint32_t prompt_tokens,
                          std::uint32_t answer_tokens,
                          shared_prefix const& prefix);

/// Load it answers: requests of thousands of tokens at workers whose memory is
/// full before their batch is; a worker that runs out of memory crashes.
/// Thread safety: none. No I/O, no clock.
class worker_memory
{
public:
    /// Counts a request that is sent to the worker or granted for it until
    /// release(). Precondition: the ticket is not counted yet.
    void reserve(worker_id const& worker, ticket_id ticket,
                 memory_need const& need);
    /// Counts under `to` what was counted under `from`. Precondition: `to` is
    /// not counted.
    void move(ticket_id from, ticket_id to);
    /// The request has ended or will not be sent. Unknown tickets are ignored.
    void release(ticket_id ticket);
    /// The worker has restarted and holds nothing.
    void reset(worker_id const& worker);
    /// Keeps memory of the worker free for a request that does not fit now,
    /// until clear_claims(). Only the first claim on a worker counts.
    void claim(worker_id const& worker, memory_need const& need);
    void clear_claims();
    /// Whether the worker has memory for one more request. `capacity`: tokens
    /// of its whole memory; 0 if unknown, then each request fits. A request
    /// that needs more than all usable memory fits while the worker has no
    /// other request.
    bool fits(worker_id const& worker, memory_need const& need,
              std::uint64_t capacity) const;
    /// Tokens held at the worker.
    std::uint64_t held(worker_id const& worker) const;

private:
    struct prefix_use
    {
        std::size_t requests = 0;
        std::uint64_t tokens = 0;
    };
    struct account
    {
        std::size_t requests = 0;
        /// Own tokens of all requests, and the tokens of each prefix once.
        std::uint64_t tokens = 0;
        std::map<std::uint64_t, prefix_use> prefixes;
    };
    struct reservation
    {
        worker_id worker;
        memory_need need;
    };

    /// Tokens that the request adds to the account.
    static std::uint64_t added(account const& at, memory_need const& need);

    std::map<worker_id, account> accounts_;
    std::map<ticket_id, reservation> reservations_;
    std::map<worker_id, std::uint64_t> claims_;
};

} // namespace mulberry

#endif
