/// Records which requests were in progress at workers that crashed, and decides
/// which requests are quarantined.
#ifndef MULBERRY_CRASH_RECORD_HPP
#define MULBERRY_CRASH_RECORD_HPP

#include "ids.hpp"
#include "time_point.hpp"

#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace mulberry
{

/// One process lifetime of a worker. Value.
struct worker_incarnation
{
    worker_id worker;
    worker_start started;
    friend auto operator<=>(worker_incarnation const&,
                            worker_incarnation const&) = default;
};

/// A request was in progress at a worker when the worker crashed. Value.
struct crash_observation
{
    request_digest request;
    worker_incarnation crashed;
    /// When the request was last sent to the worker.
    time_point sent_at{};
    /// When a VM detected the crash.
    time_point at{};
    friend bool operator==(crash_observation const&,
                           crash_observation const&) = default;
};

struct crash_limits
{
    /// Number of crashes after which a request is quarantined.
    std::size_t crashes = 3;
    /// How long a crash counts against a request.
    duration retention = std::chrono::minutes(10);
    /// Maximum number of requests kept, and of crashes kept. Beyond it,
    /// requests with the fewest crashes that count are forgotten first.
    std::size_t max_entries = 4096;
    /// How long a crash counts against a part of prompts: shorter, since no
    /// answer can clear a sound part once all requests with it are refused.
    duration part_retention = std::chrono::minutes(2);
    /// Number of crashes after which a part is quarantined that workers have
    /// answered within `answered_part_memory`.
    std::size_t answered_part_crashes = 6;
    duration answered_part_memory = std::chrono::minutes(1);
    friend bool operator==(crash_limits const&, crash_limits const&) = default;
};

/// Guards against a poison request: a request that crashes every worker that
/// runs it and that its caller sends again and again. A limit on the attempts
/// of one request does not stop it, since each repetition is a new request, and
/// each crash also fails all other requests in progress at that worker.
///
/// Other requests that were in progress at a crashed worker are suspects too,
/// until a worker answers them: a request is quarantined only if it was in
/// progress at each of the last crashes and no worker answered it in between.
/// Crashes within a short time may have a common cause, such as a power loss in
/// a failure domain, and count once; a worker that outlived another crash and
/// was sent the request after that crash counts separately. Observations of
/// several VMs may be merged in any order.
///
/// A part of a prompt is recorded like a request (see part_digest()). Common
/// parts are in progress at every crash, so a part is quarantined only once it
/// is confirmed: no VM knows of a complete answer to a request with it since
/// the crashes that count. Thread safety: none. No I/O, no clock.
class crash_record
{
public:
    explicit crash_record(crash_limits limits) : limits_(limits) {}

    /// Adds an observation, or merges it into a known one of the same request
    /// and worker: the earliest crash time and the latest send time are kept.
    /// Returns whether the observation is new and counts against the request;
    /// false for one that has expired or that an answer has cleared.
    bool add(crash_observation const& seen, time_point now);
    /// Removes the request's observations of crashes up to `at`, when a worker
    /// answered it completely; later add() calls for such crashes are ignored.
    /// Returns whether any observation was removed.
    bool clear(request_digest const& request, time_point at);
    /// Records when a worker last answered a request with the part completely,
    /// before or after crashes. Precondition: is_part(part).
    void note_answer(request_digest const& part, time_point at);
    /// Whether enough crashes count against the part to quarantine it once it
    /// is confirmed. Precondition: is_part(part).
    bool should_confirm(request_digest const& part, time_point now) const;
    void confirm(request_digest const& part);
    bool is_confirmed(request_digest const& part) const;
    /// How long a crash counts against the request or part.
    duration retention_of(request_digest const& request) const;
    /// Removes one observation.
    void remove(request_digest const& request,
                worker_incarnation const& crashed);
    /// Removes crashes older than the retention time.
    void expire(time_point now);

    /// Whether nothing is recorded, neither observations nor answers.
    bool empty() const { return suspects_.empty(); }
    /// Whether a crash of the worker is recorded.
    bool has_crashed(worker_incarnation const& worker) const
    {
        return crashes_.count(worker) > 0;
    }
    /// Whether any crash counts against the request.
    bool is_suspect(request_digest const& request) const;
    /// Whether an answer has cleared crashes of the request within the
    /// retention time.
    bool was_cleared(request_digest const& request) const;
    /// Number of crashes that count against the request; crashes that may have
    /// a common cause count once.
    std::size_t crashes(request_digest const& request, time_point now) const;
    /// When the request's quarantine ends; nullopt if it is not quarantined.
    std::optional<time_point> quarantined_until(request_digest const& request,
                                                time_point now) const;
    std::optional<crash_observation>
    find(request_digest const& request,
         worker_incarnation const& crashed) const;
    /// The request's observations, ordered by the time of the crash.
    std::vector<crash_observation>
    observations(request_digest const& request) const;
    /// Number of requests that any crash counts against.
    std::size_t suspect_count() const;
    /// Number of quarantined requests.
    std::size_t quarantined_count(time_point now) const;

private:
    struct suspect
    {
        /// The crashed workers, each with the time at which the request was
        /// last sent to it.
        std::map<worker_incarnation, time_point> crashes;
        /// When a worker last answered the request.
        time_point cleared_at = time_point::min();
        /// A part that is quarantined.
        bool confirmed = false;
    };

    /// A crash under a request.
    struct crash
    {
        worker_incarnation crashed;
        time_point at{};
        time_point sent_at{};
    };

    /// The crashes that count, in ascending order of their times.
    std::vector<crash> counted_crashes(request_digest const& request,
                                       suspect const& of, time_point now) const;
    /// Drops a crash of the request: the oldest that does not count, or the
    /// oldest if all count. Precondition: there is one.
    void drop_crash(request_digest const& request, suspect& of, time_point now);
    /// Number of crashes after which the request is quarantined.
    std::size_t threshold(request_digest const& request, suspect const& of,
                          time_point now) const;
    /// Evicts the least important entries if a limit is reached and `seen`
    /// needs a new one.
    void make_room(crash_observation const& seen, time_point now);
    void evict_requests(time_point now);
    void evict_crashes(request_digest const& crashed_again, time_point now);
    /// Drops crashes that are no longer recorded from all requests.
    void drop_unknown_crashes();

    crash_limits limits_;
    std::map<request_digest, suspect> suspects_;
    /// When each crash was first detected by any VM.
    std::map<worker_incarnation, time_point> crashes_;
};

} // namespace mulberry

#endif
