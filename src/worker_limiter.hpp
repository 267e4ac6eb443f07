/// Keeps the requests of all VMs to a worker within the limit that the worker
/// names.
#ifndef MULBERRY_WORKER_LIMITER_HPP
#define MULBERRY_WORKER_LIMITER_HPP

#include "allotment_limiter.hpp"
#include "worker_limits.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace mulberry
{

/// A query about allotments of workers, with what the sender heard of their
/// limits. Value.
struct worker_limit_query
{
    allotment_query query;
    std::vector<worker_limit_notice> notices;
    friend bool operator==(worker_limit_query const&,
                           worker_limit_query const&) = default;
};

/// Value.
struct worker_limit_reply
{
    allotment_reply reply;
    /// What the replying VM knows otherwise than the query says.
    std::vector<worker_limit_notice> notices;
    friend bool operator==(worker_limit_reply const&,
                           worker_limit_reply const&) = default;
};

/// Action: send `message` to the VM and pass the reply to on_reply().
struct query_vm
{
    vm_id to;
    std::uint64_t number = 0;
    worker_limit_query message;
};

/// Action: the request may be sent to the worker now, or not.
struct send_decision
{
    ticket_id ticket;
    worker_id worker;
    bool admitted = true;
    /// If not admitted: when to try again, and the Retry-After for callers.
    time_point available_at{};
    duration retry_after{};
};

using worker_limit_action = std::variant<query_vm, send_decision>;

/// Use of a worker's limit by this VM. Value.
struct worker_limit_usage
{
    /// Requests per second that all VMs may send.
    double per_second = 0;
    /// Requests that were admitted and refused since the limit was heard of.
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    friend bool operator==(worker_limit_usage const&,
                           worker_limit_usage const&) = default;
};

/// How far the requests to a worker may exceed its limit for short spans.
allotment_terms worker_limit_terms();

/// VMs share a limit as they share a team's allotment. A VM that hears of a
/// limit tells the VMs that pool the worker's units, and these tell all others:
/// the share of a VM that has not heard of the limit is used by nobody.
///
/// Thread safety: none. No I/O, no clock.
class worker_limiter
{
public:
    worker_limiter(vm_id self, std::unique_ptr<allotment_limiter> units);

    /// Handles an answer of the worker to a request of this VM; see
    /// worker_limits::on_answer(). Returns whether the worker's limit changed.
    bool on_answer(worker_id const& worker, std::optional<double> per_second,
                   time_point sent_at, time_point now);
    void set_members(allotment_members members, time_point now);
    std::optional<double> limit_of(worker_id const& worker) const
    {
        return limits_.limit_of(worker);
    }
    bool is_limited(worker_id const& worker) const
    {
        return limits_.is_limited(worker);
    }

    /// Requests a decision on a request to the worker. run() returns exactly
    /// one send_decision for the ticket, at `give_up_at` at the latest, unless
    /// the request is withdrawn. Precondition: the ticket is new.
    void request(ticket_id ticket, worker_id const& worker,
                 time_point give_up_at, time_point now);
    /// The request is cancelled; no decision follows.
    void withdraw(ticket_id ticket);
    /// The request was admitted but not sent.
    void give_back(worker_id const& worker, time_point now);

    /// Answers a query of another VM.
    worker_limit_reply answer(worker_limit_query const& query, time_point now);
    /// Reply to the query_vm action `number`; nullopt if the VM did not answer.
    void on_reply(std::uint64_t number,
                  std::optional<worker_limit_reply> const& reply,
                  time_point now);

    /// Returns the actions that are due. To be called after each event and at
    /// next_due().
    std::vector<worker_limit_action> run(time_point now);
    /// `never` while no worker names a limit.
    time_point next_due() const;

    /// Workers whose limit changed since the last call, by this VM's answers or
    /// by what other VMs heard.
    std::set<worker_id> take_changed();
    std::map<worker_id, worker_limit_usage> usage() const;

private:
    struct open_query
    {
        vm_id to;
        /// Number of the query in `units_`; 0 if it only carries notices.
        std::uint64_t units_number = 0;
        std::vector<worker_limit_notice> notices;
    };
    /// Which VMs know of a worker's limit.
    struct spread_state
    {
        std::set<vm_id> informed;
        /// VMs that this VM asked for units of the worker, or gave its share.
        std::set<vm_id> pools;
        /// Until then another VM's share is with this VM.
        time_point pooled_until{};
    };

    void on_limit_changed(worker_id const& worker, time_point now);
    void apply_notices(vm_id const& from,
                       std::vector<worker_limit_notice> const& notices,
                       time_point now);
    std::vector<worker_limit_notice>
    notices_about(allotment_query const& query) const;
    /// Tells of limits those VMs that need to know and have not confirmed it.
    void spread_notices(time_point now);
    std::set<vm_id> recipients(spread_state const& state, time_point now) const;
    void send(vm_id const& to, std::uint64_t units_number,
              worker_limit_query message);

    vm_id const self_;
    std::unique_ptr<allotment_limiter> const units_;
    worker_limits limits_;
    std::set<vm_id> others_;
    std::map<worker_id, spread_state> spread_;
    std::map<worker_id, worker_limit_usage> usage_;
    std::map<ticket_id, worker_id> pending_;
    std::map<std::uint64_t, open_query> open_queries_;
    std::uint64_t last_number_ = 0;
    time_point spread_at_ = never;
    std::set<worker_id> changed_;
    std::vector<worker_limit_action> actions_;
};

} // namespace mulberry

#endif
