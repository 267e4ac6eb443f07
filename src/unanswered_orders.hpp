/// Orders to a worker that got no answer, and the room that they may yet take.
#ifndef MULBERRY_UNANSWERED_ORDERS_HPP
#define MULBERRY_UNANSWERED_ORDERS_HPP

#include "relay_request.hpp"
#include "time_point.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace mulberry
{

/// How long unanswered orders are taken into account.
struct late_order_limits
{
    /// Orders this old or younger may be carried out one after the other: each
    /// load makes the next order's sequence number come up.
    duration burst_window = std::chrono::seconds(15);
    /// An older order may still be carried out, by itself.
    duration retention = std::chrono::minutes(10);
};

/// The orders to one worker that got no answer, in all of its incarnations.
///
/// Failure: an order names the number of orders that the worker must have
/// accepted before it, but not the worker's incarnation. A worker that restarts
/// under its id counts from zero, and carries out an unanswered load of its
/// earlier incarnation when that number comes up again. If all its slots are
/// taken by then, it crashes. So slots are kept free for such loads. Orders are
/// forgotten by their age only: the oldest have the lowest numbers, which come
/// up first after a restart.
///
/// Thread safety: none. Pure: no I/O, no clock.
class unanswered_orders
{
public:
    explicit unanswered_orders(late_order_limits limits = {}) : limits_(limits)
    {
    }

    /// The order was sent; it counts as unanswered until on_answered().
    void on_sent(worker_order const& order, time_point now);
    /// The last send of the order was answered. Earlier sends of it may still
    /// be carried out.
    void on_answered(worker_order const& order);
    /// Forgets orders that are older than the retention time.
    void expire(time_point now);

    /// Number of slots that unanswered loads may take if the worker has
    /// accepted `sequence` orders and gets no other order.
    std::size_t reserved_slots(std::uint64_t sequence, time_point now) const;
    /// Whether another order with the same sequence number is unanswered, and
    /// so may have been carried out in this order's place.
    bool may_be_displaced(worker_order const& order) const;
    bool empty() const { return orders_.empty(); }
    /// Number of orders kept.
    std::size_t size() const { return count_; }

private:
    struct entry
    {
        worker_order order;
        /// Sends without an answer.
        std::size_t unanswered = 0;
        time_point sent_at{};
    };

    bool is_recent(entry const& each, time_point now) const
    {
        return now <= each.sent_at + limits_.burst_window;
    }

    static constexpr std::size_t min_expired_count = 256;

    late_order_limits limits_;
    /// By expected sequence number.
    std::map<std::uint64_t, std::vector<entry>> orders_;
    std::size_t count_ = 0;
    /// Expired orders are forgotten when this number is reached, which is twice
    /// the number that remained the last time.
    std::size_t expire_at_count_ = min_expired_count;
};

} // namespace mulberry

#endif
