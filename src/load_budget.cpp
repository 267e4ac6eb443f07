#include "load_budget.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace mulberry
{
namespace
{

using seconds = std::chrono::duration<double>;

duration to_duration(double value)
{
    return std::chrono::duration_cast<duration>(seconds(value)) + duration(1);
}

/// Assumed longest interval between two calls of try_start(). Tokens are
/// consumed at ticks and events, not at the moment they accrue. A bucket that
/// held only one token would lose what accrues between ticks, and the store
/// would run at two thirds of its rate.
constexpr double polling_interval_seconds = 0.1;

/// A token bucket with a variable rate. The capacity is one token plus the
/// tokens that accrue during a polling interval, at most two in all.
class token_bucket
{
public:
    void set_rate(double rate, time_point now)
    {
        refill(now);
        rate_ = rate;
        capacity_ = 1 + std::min(1.0, rate * polling_interval_seconds);
        tokens_ = std::min(tokens_, capacity_);
    }

    bool try_consume(time_point now)
    {
        refill(now);
        if (tokens_ < one_token)
            return false;
        tokens_ -= 1;
        return true;
    }

    time_point next_token(time_point now) const
    {
        double const tokens = tokens_at(now);
        if (tokens >= one_token)
            return now;
        if (rate_ <= 0)
            return never;
        return now + to_duration((1 - tokens) / rate_);
    }

private:
    /// One token less a tolerance for rounding errors of the refill.
    static constexpr double one_token = 1 - 1e-9;

    double tokens_at(time_point now) const
    {
        double const elapsed = std::max(0.0, seconds(now - refilled_).count());
        return std::min(capacity_, tokens_ + elapsed * rate_);
    }

    void refill(time_point now)
    {
        tokens_ = tokens_at(now);
        refilled_ = std::max(refilled_, now);
    }

    double rate_ = 0;
    double capacity_ = 1;
    double tokens_ = 0;
    time_point refilled_{};
};

/// Gives each VM an equal share of the rate, whether the VM has loads or not.
/// Needs no messages and never exceeds the rate, but the shares of idle VMs
/// stay unused.
class even_split : public load_budget
{
public:
    void configure(store_declaration const& store) override
    {
        store_ = store;
        update_rate();
    }

    void set_members(std::size_t live_vms, time_point now) override
    {
        members_ = std::max<std::size_t>(live_vms, 1);
        now_ = std::max(now_, now);
        update_rate();
    }

    bool try_start(time_point now) override
    {
        now_ = std::max(now_, now);
        if (running_ >= max_running() || !bucket_.try_consume(now))
            return false;
        ++running_;
        ++started_;
        return true;
    }

    void finished(time_point) override
    {
        if (running_ > 0)
            --running_;
    }

    void set_waiting(std::size_t waiting, time_point) override
    {
        waiting_ = waiting;
    }

    void update_peer_counts(vm_id const&, load_counts const&,
                            time_point) override
    {
    }

    load_counts counts() const override
    {
        return {incarnation(), started_, waiting_, running_};
    }

    time_point next_permit(time_point now) const override
    {
        return bucket_.next_token(now);
    }

private:
    std::size_t max_running() const
    {
        // At least one: with more VMs than concurrent loads, an even share
        // would be zero and no VM could load.
        return std::max<std::size_t>(store_.loads_at_once / members_, 1);
    }

    void update_rate()
    {
        bucket_.set_rate(
            store_.loads_per_second / static_cast<double>(members_), now_);
    }

    store_declaration store_;
    std::size_t members_ = 1;
    time_point now_{};
    token_bucket bucket_;
    std::uint64_t started_ = 0;
    std::uint64_t waiting_ = 0;
    std::uint64_t running_ = 0;
};

/// A peer's latest counts and the time at which this VM received them.
struct peer_counts
{
    load_counts counts;
    time_point received_at{};
};

/// Gives a VM its even share of the rate, plus an equal part of the even shares
/// of the peers that recently reported no demand. Deciding locally on exchanged
/// counts follows the Gabion rate limiter (see docs/POLICY.md). Gabion's single
/// shared bucket is not used, since every VM could spend the same tokens
/// between two exchanges, which with N VMs allows N times the rate. Here an
/// idle peer's share may be used twice until the peer's new counts arrive: the
/// total stays below twice the rate for the duration of an exchange, and within
/// the rate while every VM receives all reports.
class exchanged_counts : public load_budget
{
public:
    void configure(store_declaration const& store) override
    {
        store_ = store;
        update_rate(now_);
    }

    void set_members(std::size_t live_vms, time_point now) override
    {
        members_ = std::max<std::size_t>(live_vms, 1);
        update_rate(now);
    }

    bool try_start(time_point now) override
    {
        update_rate(now);
        if (running_ + peers_running() >= max_running())
            return false;
        if (!bucket_.try_consume(now))
            return false;
        ++running_;
        ++started_;
        return true;
    }

    void finished(time_point now) override
    {
        if (running_ > 0)
            --running_;
        update_rate(now);
    }

    void set_waiting(std::size_t waiting, time_point now) override
    {
        waiting_ = waiting;
        update_rate(now);
    }

    void update_peer_counts(vm_id const& peer, load_counts const& counts,
                            time_point now) override
    {
        peer_counts& known = peers_[peer];
        bool const older =
            counts.vm_incarnation < known.counts.vm_incarnation ||
            (counts.vm_incarnation == known.counts.vm_incarnation &&
             counts.started < known.counts.started);
        if (older)
            return;
        known = {counts, now};
        update_rate(now);
    }

    load_counts counts() const override
    {
        return {incarnation(), started_, waiting_, running_};
    }

    time_point next_permit(time_point now) const override
    {
        return bucket_.next_token(now);
    }

private:
    /// A peer's counts are ignored once they are older than this.
    static constexpr duration peer_counts_lifetime = std::chrono::seconds(2);

    bool is_fresh(peer_counts const& peer, time_point now) const
    {
        return now - peer.received_at < peer_counts_lifetime;
    }

    static bool has_demand(load_counts const& counts)
    {
        return counts.waiting + counts.running > 0;
    }

    std::size_t peers_running() const
    {
        std::size_t sum = 0;
        for (auto const& [id, peer] : peers_)
            if (is_fresh(peer, now_))
                sum += peer.counts.running;
        return sum;
    }

    /// Limit on the concurrent loads of all VMs. The limit is doubled for a VM
    /// without a running load, since peers that keep the store at its limit
    /// would otherwise starve that VM. Beyond its limit the store is slower but
    /// refuses no load.
    std::size_t max_running() const
    {
        return running_ == 0 ? 2 * store_.loads_at_once : store_.loads_at_once;
    }

    /// Recomputes this VM's share of the rate. A peer without recent counts
    /// keeps its even share and is assumed to use its part of the idle peers'
    /// shares.
    void update_rate(time_point now)
    {
        now_ = std::max(now_, now);
        std::size_t idle_peers = 0;
        for (auto const& [id, peer] : peers_)
            if (is_fresh(peer, now_) && !has_demand(peer.counts))
                ++idle_peers;
        idle_peers = std::min(idle_peers, members_ - 1);
        double const even_share =
            store_.loads_per_second / static_cast<double>(members_);
        auto const sharing_vms = static_cast<double>(members_ - idle_peers);
        bucket_.set_rate(even_share + even_share *
                                          static_cast<double>(idle_peers) /
                                          sharing_vms,
                         now_);
    }

    store_declaration store_;
    std::size_t members_ = 1;
    time_point now_{};
    token_bucket bucket_;
    std::map<vm_id, peer_counts> peers_;
    std::uint64_t started_ = 0;
    std::uint64_t waiting_ = 0;
    std::uint64_t running_ = 0;
};

} // namespace

std::unique_ptr<load_budget> make_load_budget(std::string_view name)
{
    if (name == "even_split")
        return std::make_unique<even_split>();
    assert(name == "exchanged_counts");
    return std::make_unique<exchanged_counts>();
}

} // namespace mulberry
