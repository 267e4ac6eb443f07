/// Detects worker crashes when connections to workers close, and quarantines
/// requests that crash workers.
#ifndef MULBERRY_CRASH_DETECTOR_HPP
#define MULBERRY_CRASH_DETECTOR_HPP

#include "answered_parts.hpp"
#include "backend_entry.hpp"
#include "connect_check.hpp"
#include "crash_replicator.hpp"
#include "event_log.hpp"
#include "relay_request.hpp"
#include "row_store.hpp"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mulberry
{

/// Connection to the other VMs.
class crash_peers
{
public:
    virtual ~crash_peers() = default;
    /// Sends `update` to all other VMs. Calls `done` later, never within this
    /// call: `by_all` is true if every other VM accepted the message and there
    /// is at least one other VM.
    virtual void broadcast(crash_update const& update,
                           std::function<void(bool by_all)> done) = 0;
    /// Asks all other VMs when workers last answered requests with the parts.
    /// Calls `done` later, never within this call, with what those know that
    /// answered in time.
    virtual void
    ask_part_answers(std::vector<request_digest> const& parts,
                     std::function<void(std::vector<part_answer>)> done) = 0;
    /// Checks whether this VM reaches any worker but `except`, of other failure
    /// domains first. Calls `done` later, never within this call; true also if
    /// there is no other worker.
    virtual void
    check_other_workers(backend_entry const& except,
                        std::function<void(bool reached)> done) = 0;
};

/// Executes a transaction on the rows that the product itself keeps in the
/// store. Calls back, on the thread of the io_context, whether it succeeded.
using crash_row_writer =
    std::function<void(table_transaction const&, std::function<void(bool)>)>;

struct crash_detector_options
{
    crash_limits limits;
    /// Seed of the random delays of writes and deletions.
    std::uint64_t seed = 1;
    /// Empty if there is no store.
    crash_row_writer write_rows;
    /// Local IP address of checks; empty: any.
    std::string source_address;
};

/// Why a request is refused. Value.
struct quarantine
{
    time_point until{};
    std::size_t crashes = 0;
    /// Ids of the workers that crashed while they ran the request, separated by
    /// spaces.
    std::string workers;
    friend bool operator==(quarantine const&, quarantine const&) = default;
};

/// Counters since the start of this process. Value.
struct crash_counts
{
    std::uint64_t crashes = 0;
    /// Checks after which a worker proved to be still reachable.
    std::uint64_t checks_answered = 0;
    /// Checks after which this VM proved to reach no worker.
    std::uint64_t checks_cut_off = 0;
    /// Requests refused because of a quarantine.
    std::uint64_t refused = 0;
    friend bool operator==(crash_counts const&, crash_counts const&) = default;
};

/// A connection that closes before the answer is complete may have been closed
/// by the network or by a worker that continues to run. The worker is
/// considered crashed if it accepts no new connection, and another worker
/// does: a VM that is cut off reaches none. Thread safety: none;
/// used on the thread that runs the io_context.
class crash_detector
{
public:
    /// `io`, `peers` and `log` must outlive this object.
    crash_detector(asio::io_context& io, crash_peers& peers,
                   crash_detector_options options, event_log& log);
    ~crash_detector();
    crash_detector(crash_detector const&) = delete;
    crash_detector& operator=(crash_detector const&) = delete;

    /// The connection closed while `worker`, which has not announced that it
    /// leaves, ran the request. Starts a check of the worker unless a check of
    /// it is in progress.
    void on_connection_lost(request_id const& request,
                            request_identity const& identity,
                            backend_entry const& worker, time_point sent_at);
    /// A worker answered the request completely.
    void on_answered(request_identity const& identity);
    /// A worker answered a request with the prompt completely and with success.
    void on_prompt_answered(prompt_shape const& prompt);
    /// When workers last answered requests with the parts, as far as known.
    std::vector<part_answer>
    part_answers(std::vector<request_digest> const& parts) const;
    /// True if nothing is recorded about any request; callers then need not
    /// compute a request's identity.
    bool has_no_suspects() const { return replicator_.record().empty(); }
    /// Whether the worker has crashed under a request, as far as this VM knows,
    /// or its connections broke and it is being checked.
    bool may_be_down(backend_entry const& worker) const;
    /// Returns nullopt if the request may be sent.
    std::optional<quarantine>
    find_quarantine(request_identity const& identity) const;
    void count_refused() { ++counts_.refused; }

    /// Another VM sent `update`.
    void on_crash_update(crash_update const& update);
    /// Rows of the store that were changed or deleted; rows that are not crash
    /// rows are ignored.
    void on_rows(std::vector<stored_row> const& rows);
    /// The metrics in the Prometheus text format.
    std::string metrics() const;

private:
    struct interrupted_request
    {
        request_id request;
        request_identity identity;
        time_point sent_at{};
    };
    struct suspected_crash
    {
        backend_entry worker;
        time_point at{};
        std::vector<interrupted_request> requests;
        std::shared_ptr<connect_check> check;
    };

    void on_checked(worker_incarnation const& checked_worker, bool reachable);
    void on_crash(suspected_crash const& crash);
    /// Ends the suspicion against requests and parts that were answered.
    void clear(std::vector<request_digest> const& answered);
    /// Passes on what is known of answers to the parts among the digests.
    void note_part_answers(std::vector<crash_observation> const& seen);
    void log_crash(suspected_crash const& crash);
    void log_confirmed(std::vector<request_digest> const& parts);
    void log_quarantines(std::vector<crash_observation> const& update,
                         std::string_view source);
    /// Ids of the workers that crashed while they ran the request, separated by
    /// spaces.
    std::string workers_crashed_under(request_digest const& request) const;
    void run();
    void execute(crash_action const& action);
    void arm_timer();

    asio::io_context& io_;
    crash_peers& peers_;
    crash_detector_options options_;
    event_log& log_;
    crash_replicator replicator_;
    answered_parts answered_;
    /// Workers that are being checked.
    std::map<worker_incarnation, suspected_crash> crashes_to_check_;
    /// Quarantines that have been logged, each with its end.
    std::map<request_digest, time_point> logged_quarantines_;
    asio::steady_timer timer_;
    crash_counts counts_;
};

} // namespace mulberry

#endif
