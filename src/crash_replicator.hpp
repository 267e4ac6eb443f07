/// Replicates observations of worker crashes between the VMs and the store.
#ifndef MULBERRY_CRASH_REPLICATOR_HPP
#define MULBERRY_CRASH_REPLICATOR_HPP

#include "crash_record.hpp"
#include "jitter.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <variant>
#include <vector>

namespace mulberry
{

/// What VMs send each other about crashes. Value.
struct crash_update
{
    std::vector<crash_observation> seen;
    /// Requests that a worker answered completely although crashes counted
    /// against them.
    std::vector<request_digest> answered;
    /// Parts of prompts that are quarantined; `seen` has their crashes.
    std::vector<request_digest> confirmed;
    /// Crashes after which a worker answered the request completely, each the
    /// last one before that answer.
    std::vector<crash_observation> cleared;

    bool empty() const
    {
        return seen.empty() && answered.empty() && confirmed.empty() &&
               cleared.empty();
    }
    friend bool operator==(crash_update const&, crash_update const&) = default;
};

/// Identifies an observation and its row in the store. Value.
struct crash_key
{
    request_digest request;
    worker_incarnation crashed;
    friend auto operator<=>(crash_key const&, crash_key const&) = default;
};

/// Send `update` to every other VM and report the outcome to on_update_sent().
struct send_crash_update
{
    crash_update update;
};

/// When a worker last answered a request with a part completely. Value.
struct part_answer
{
    request_digest part;
    time_point at{};
    friend bool operator==(part_answer const&, part_answer const&) = default;
};

/// Ask every other VM when workers last answered requests with the parts, and
/// report the outcome to on_part_answers().
struct ask_part_answers
{
    std::vector<request_digest> parts;
};

/// Change rows of the store in one transaction and report the outcome to
/// on_written(). At most one is pending at a time.
struct write_crash_rows
{
    std::vector<crash_observation> put;
    std::vector<crash_key> drop;
};

using crash_action =
    std::variant<send_crash_update, ask_part_answers, write_crash_rows>;

/// An observation is sent to the other VMs at once. It is written to the store
/// when a second crash counts against its request, so that restarted VMs learn
/// of it, and when a VM could not be reached, since that VM may still reach the
/// store. A VM that only received the observation writes it later, and only if
/// no other VM has written it by then. An answer after a single crash is told
/// to the others when a second crash follows it. Requests that were in progress
/// at no crash cause no messages.
///
/// A part of prompts against which enough crashes count is confirmed by a VM
/// that saw one of the crashes, after the other VMs have told when workers last
/// answered requests with it. That VM tells the others, and writes rows; parts
/// that are not confirmed have none. Thread safety: none. No I/O, no clock.
class crash_replicator
{
public:
    crash_replicator(crash_limits limits, std::uint64_t seed)
        : record_(limits), limits_(limits), jitter_(seed)
    {
    }

    /// A worker crashed with requests of this VM in progress.
    void on_crash(std::vector<crash_observation> const& seen, time_point now);
    /// A worker answered a request with the part completely, before any crash
    /// that is reported later.
    void note_answer(request_digest const& part, time_point at)
    {
        record_.note_answer(part, at);
    }
    /// Outcome of ask_part_answers: what all VMs that answered in time know.
    void on_part_answers(ask_part_answers const& asked,
                         std::vector<part_answer> const& answers,
                         time_point now);
    /// A worker answered a request of this VM completely.
    void on_answered(request_digest const& request, time_point now);
    /// Another VM sent `update`.
    void on_crash_update(crash_update const& update, time_point now);
    /// Outcome of send_crash_update. `by_all`: every other VM accepted
    /// `update`, and there is at least one other VM.
    void on_update_sent(crash_update const& update, bool by_all,
                        time_point now);
    /// A row was read from the store.
    void on_row(crash_observation const& seen, time_point now);
    /// A row was deleted from the store.
    void on_row_deleted(crash_key const& key);
    /// Outcome of write_crash_rows; a write that failed is retried.
    void on_written(bool done, time_point now);

    /// Returns the actions that are due. To be called after each event and at
    /// next_due().
    std::vector<crash_action> run(time_point now);
    /// When run() is to be called next if no event occurs before; `never` if
    /// there is nothing to wait for.
    time_point next_due() const;

    crash_record const& record() const { return record_; }

private:
    void add_observation(crash_observation const& seen, time_point now);
    /// Keeps an answer that no other VM is told of yet; `last` is the last
    /// crash before it.
    void keep_answer(crash_observation const& last);
    /// Tells the other VMs of an answer that preceded a further crash.
    void send_kept_answer(request_digest const& request, time_point now);
    void on_cleared(crash_observation const& last, time_point now);
    /// Ends the suspicion by crashes up to `at` and schedules the deletion of
    /// their rows: at once if this VM saw one of the crashes or the answer,
    /// otherwise later, if they are still there.
    void clear(request_digest const& request, time_point at, time_point now);
    /// Schedules the deletion of a row, or makes it earlier.
    void drop_row_at(time_point& drop_at, time_point at);
    time_point next_drop_after(time_point now) const;
    /// Whether other VMs and the store know of the request's crashes.
    bool is_published(request_digest const& request) const;
    /// Asks the other VMs about the part if it may have to be quarantined.
    void review_part(request_digest const& part, time_point now);
    void confirm(request_digest const& part, time_point now);
    void schedule_write_if_repeated(request_digest const& request,
                                    time_point now);
    /// Schedules a write of the row, at `at` or earlier.
    void schedule_write(crash_key const& key, time_point at);
    /// Drops what is queued to be sent or written about the request.
    void discard_pending(request_digest const& request);
    /// The row changes that are due.
    write_crash_rows due_changes(time_point now) const;

    crash_record record_;
    crash_limits const limits_;
    jitter jitter_;
    crash_update outbox_;
    /// Parts to ask about, and those that the other VMs were asked about.
    std::vector<request_digest> questions_;
    std::set<request_digest> asked_;
    time_point send_at_ = never;
    /// Requests of this VM that were in progress at a crash.
    std::set<request_digest> observed_here_;
    /// Requests that were answered after crashes that no VM counted yet, each
    /// with the last of these crashes.
    std::map<request_digest, crash_observation> kept_answers_;
    /// Rows to be written, each with the earliest time of the write.
    std::map<crash_key, time_point> pending_rows_;
    /// Rows in the store, each with the time at which this VM deletes it. All
    /// of them, however many there are: a row that is ignored may be one of a
    /// quarantined request.
    std::map<crash_key, time_point> stored_rows_;
    /// Not after the first deletion of a row.
    time_point next_drop_at_ = never;
    /// The transaction in progress, if `write_in_progress_`.
    write_crash_rows current_write_;
    bool write_in_progress_ = false;
    /// No write is started before this time.
    time_point write_at_{};
    time_point expire_at_ = never;
};

} // namespace mulberry

#endif
