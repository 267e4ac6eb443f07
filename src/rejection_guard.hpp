/// Keeps brittle workers from having to reject more requests than they
/// tolerate.
#ifndef MULBERRY_REJECTION_GUARD_HPP
#define MULBERRY_REJECTION_GUARD_HPP

#include "ids.hpp"
#include "jitter.hpp"
#include "rename_key.hpp"
#include "time_point.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace mulberry
{

/// A brittle worker rejected a request of a VM for want of room. Value.
struct rejection_notice
{
    worker_id worker;
    /// Rejections in a second that the worker tolerates.
    std::uint32_t tolerated = 0;
    /// The VM was within its share: the worker has less room than slots.
    bool within_share = false;
    friend bool operator==(rejection_notice const&,
                           rejection_notice const&) = default;
};

/// A worker as far as its room for requests of this VM is concerned. Value.
struct worker_room
{
    worker_id worker;
    /// Requests that the worker runs at a time, all VMs together.
    std::size_t slots = 0;
    /// Requests of this VM at the worker, including those it granted.
    std::size_t outstanding = 0;
    /// All requests go by this VM, which owns the worker.
    bool owned = false;
};

/// A brittle worker that rejects more than some number of requests in a second
/// crashes, whichever VMs sent them. So the VMs share the worker's slots by
/// rank: together they keep no more requests at it than it runs at a time.
/// Beyond its share a VM tries one request now and then, and keeps as many
/// there as were accepted a moment ago. Each rejection is told to the other
/// VMs; until it is known to them, all of them together try half as many as the
/// worker tolerates rejections: requests within the shares are rejected too,
/// where others took their room. Then no VM keeps more requests there than it
/// has for a moment, and none exceeds its share for a time that grows with the
/// number of VMs and falls with the rejections that the worker tolerates.
/// If requests are rejected within the shares, too, all VMs halve what they
/// keep there. A worker that starts again may have crashed of rejections that
/// no VM was told of: each VM fills its share there one request at a time.
///
/// What a worker states holds for workers of the service that have not answered
/// yet, such as one that starts again after a crash. Thread safety: none. Pure:
/// no I/O, no clock.
class rejection_guard
{
public:
    rejection_guard(vm_id self, std::uint64_t seed)
        : self_(std::move(self)), jitter_(seed)
    {
    }

    /// Sets the VMs that may send to the workers, this VM included.
    void set_vms(std::vector<vm_id> vms);
    /// Handles an answer of the worker to a call of this VM; `tolerated` is
    /// what the answer states, nullopt if the worker is not brittle. Returns
    /// whether that changed.
    bool on_answer(worker_id const& worker,
                   std::optional<std::uint32_t> tolerated, time_point sent_at,
                   time_point now);
    /// Rejections in a second that the worker tolerates; nullopt if it is not
    /// brittle.
    std::optional<std::uint32_t> tolerated_by(worker_id const& worker,
                                              time_point now) const;

    /// The worker started again, or is listed for the first time.
    void on_started(worker_id const& worker, time_point now);

    /// Whether this VM may send one more request to the worker.
    bool may_send(worker_room const& at, time_point now) const;
    /// A request is sent; `at` is the room before.
    void on_sent(ticket_id ticket, worker_room const& at, time_point now);
    /// The worker accepted the request.
    void on_accepted(ticket_id ticket, time_point now);
    /// The request of `from` is known as `to` from now on.
    void move(ticket_id from, ticket_id to) { rename_key(trials_, from, to); }
    /// The request was given up, or it is not known whether it was accepted.
    void on_given_up(ticket_id ticket) { trials_.erase(ticket); }
    /// The worker rejected a request for want of room; `at` counts it still.
    void on_rejected(ticket_id ticket, worker_room const& at, time_point now);
    /// The worker rejected a request of another VM.
    void on_notice(rejection_notice const& notice, worker_room const& at,
                   time_point now);

    /// Rejections to be told to the other VMs.
    std::vector<rejection_notice> take_notices();
    /// The VMs that may send to the worker, without this VM.
    std::vector<vm_id> others_at(worker_id const& worker) const;
    /// When a worker that gets no requests may get some again, the first one
    /// after `after`; `never` if there is none.
    time_point next_change(time_point after) const;
    /// Lets what was restricted grow again, and forgets workers of which
    /// nothing was heard for ten minutes.
    void update(time_point now);

private:
    struct statement
    {
        std::optional<std::uint32_t> tolerated;
        time_point heard_at{};
    };
    struct room_state
    {
        /// Nothing is sent before this time.
        time_point closed_until{};
        /// When this VM last heard of a rejection, and when the requests end
        /// that were beyond the shares before it.
        time_point rejected_at{};
        time_point excess_ends_at{};
        /// This VM tries no request beyond its share before this time.
        time_point next_trial_at{};
        /// Requests of this VM that the worker had at a time, and when it last
        /// had as many.
        std::size_t proven = 0;
        time_point proven_at{};
        /// Bound of the share after a rejection, and when it grows by one;
        /// slowly if the worker turned out to have less room than slots.
        std::optional<std::size_t> cap;
        time_point cap_grows_at{};
        bool grows_slowly = false;
    };
    /// A request beyond the share, neither accepted nor rejected yet.
    struct trial
    {
        worker_id worker;
        /// Requests of this VM at the worker, this one included.
        std::size_t count = 0;
        time_point sent_at{};
    };

    /// The VMs that may send to the worker.
    struct ranking
    {
        std::vector<vm_id> senders;
        /// This VM's place among them; nullopt if it may not send.
        std::optional<std::size_t> own;
    };

    ranking const& ranking_at(worker_id const& worker) const;
    std::size_t share_of(worker_room const& at) const;
    /// Requests that this VM may keep at the worker without a trial.
    std::size_t kept_at(worker_room const& at, time_point now) const;
    std::size_t sender_count() const;
    /// The time between two trials of this VM.
    duration trial_gap(std::uint32_t tolerated) const;
    /// The time in which all VMs send one request each, if they send half as
    /// many as the worker tolerates rejections.
    duration fleet_round(std::uint32_t tolerated) const;
    duration random_part(duration whole);
    /// `kept`: requests of this VM that the worker accepted.
    void close(rejection_notice const& notice, std::size_t kept,
               time_point now);
    /// Lets this VM keep no more requests than `kept` for a moment.
    void hold(room_state& known, std::size_t kept, std::uint32_t tolerated,
              time_point now);
    /// Lets no VM exceed its share for a while.
    void delay_trials(room_state& known, std::uint32_t tolerated,
                      time_point now);
    void grow_cap(worker_id const& worker, room_state& known, time_point now);

    vm_id const self_;
    jitter jitter_;
    std::vector<vm_id> vms_;
    /// Computed when first needed; valid for `vms_`.
    mutable std::map<worker_id, ranking> rankings_;
    std::map<worker_id, statement> statements_;
    /// The last statement of any worker of the service.
    statement last_;
    std::map<worker_id, room_state> rooms_;
    std::map<ticket_id, trial> trials_;
    std::vector<rejection_notice> notices_;
};

} // namespace mulberry

#endif
