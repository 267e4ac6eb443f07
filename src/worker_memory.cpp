#include "worker_memory.hpp"

#include "placement.hpp"
#include "rename_key.hpp"

#include <algorithm>

namespace mulberry
{
namespace
{

/// One part in this many of the memory is kept free for answers that are longer
/// than expected.
constexpr std::uint64_t spare_divisor = 10;
/// Answers are expected to have one part in this many of their longest length.
constexpr std::uint32_t answer_divisor = 2;

} // namespace

memory_need expected_need(std::optional<model_target> const& target,
                          std::uint32_t prompt_tokens,
                          std::uint32_t answer_tokens,
                          shared_prefix const& prefix)
{
    memory_need need;
    if (prefix.key != 0)
    {
        need.prefix.key = prefix.key;
        if (target)
            need.prefix.key ^= stable_hash(target->model.str()) ^
                               (stable_hash(target->adapter.str()) << 1U);
        need.prefix.tokens = std::min(prefix.tokens, prompt_tokens);
    }
    need.own_tokens = std::uint64_t{prompt_tokens} - need.prefix.tokens +
                      answer_tokens / answer_divisor;
    return need;
}

std::uint64_t worker_memory::added(account const& at, memory_need const& need)
{
    auto const shared = at.prefixes.find(need.prefix.key);
    std::uint64_t const cached =
        shared == at.prefixes.end() ? 0 : shared->second.tokens;
    return need.own_tokens + need.prefix.tokens -
           std::min<std::uint64_t>(need.prefix.tokens, cached);
}

void worker_memory::reserve(worker_id const& worker, ticket_id ticket,
                            memory_need const& need)
{
    if (!reservations_.try_emplace(ticket, reservation{worker, need}).second)
        return;
    account& at = accounts_[worker];
    at.tokens += added(at, need);
    ++at.requests;
    if (need.prefix.tokens == 0)
        return;
    prefix_use& shared = at.prefixes[need.prefix.key];
    ++shared.requests;
    shared.tokens = std::max<std::uint64_t>(shared.tokens, need.prefix.tokens);
}

void worker_memory::move(ticket_id from, ticket_id to)
{
    rename_key(reservations_, from, to);
}

void worker_memory::release(ticket_id ticket)
{
    auto const found = reservations_.find(ticket);
    if (found == reservations_.end())
        return;
    reservation const ended = found->second;
    reservations_.erase(found);
    auto const known = accounts_.find(ended.worker);
    account& at = known->second;
    at.tokens -= ended.need.own_tokens;
    if (ended.need.prefix.tokens > 0)
    {
        auto const shared = at.prefixes.find(ended.need.prefix.key);
        if (--shared->second.requests == 0)
        {
            at.tokens -= shared->second.tokens;
            at.prefixes.erase(shared);
        }
    }
    if (--at.requests == 0)
        accounts_.erase(known);
}

void worker_memory::reset(worker_id const& worker)
{
    std::erase_if(reservations_, [&worker](auto const& each)
                  { return each.second.worker == worker; });
    accounts_.erase(worker);
}

void worker_memory::claim(worker_id const& worker, memory_need const& need)
{
    claims_.try_emplace(worker, need.own_tokens + need.prefix.tokens);
}

void worker_memory::clear_claims()
{
    claims_.clear();
}

bool worker_memory::fits(worker_id const& worker, memory_need const& need,
                         std::uint64_t capacity) const
{
    if (capacity == 0)
        return true;
    auto const known = accounts_.find(worker);
    if (known == accounts_.end())
        return true;
    auto const claimed = claims_.find(worker);
    std::uint64_t const kept = claimed == claims_.end() ? 0 : claimed->second;
    return known->second.tokens + kept + added(known->second, need) <=
           capacity - capacity / spare_divisor;
}

std::uint64_t worker_memory::held(worker_id const& worker) const
{
    auto const known = accounts_.find(worker);
    return known == accounts_.end() ? 0 : known->second.tokens;
}

} // namespace mulberry
