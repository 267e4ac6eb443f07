#include "row_mirror.hpp"

#include "boot_clock.hpp"

#include <asio/post.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace mulberry
{
namespace
{

using std::chrono::milliseconds;

constexpr int max_doublings = 4;
/// Timeout for a page of a complete read, doubled with each consecutive failure
/// up to max_read_timeout. Failure: a VM starts while the store does not
/// respond, and its first query hangs for a second after the store is back. An
/// answer takes some ten milliseconds, and a few hundred when the store is
/// slow.
constexpr milliseconds initial_read_timeout{400};
constexpr milliseconds max_read_timeout{1500};
/// A reader's rows may be older than its query interval by the interval divided
/// by this, which allows for the duration of a query.
constexpr int age_slack_part = 2;
/// An answer whose version is further ahead than this is malformed; no store
/// makes as many transactions between two answers.
constexpr std::uint64_t max_version_lead = 1ULL << 40;
/// In the order of row_set.
constexpr std::array<char const*, all_row_sets.size()> set_names{
    "declarations", "workers", "own"};

} // namespace

row_mirror::row_mirror(asio::io_context& io, row_store& store,
                       backend_pool& pool, row_mirror_options options,
                       event_log& log, row_listener listener)
    : io_(io), store_(store), pool_(pool), options_(std::move(options)),
      log_(log), listener_(std::move(listener)),
      sets_{mirrored_set(io, row_set::declarations, {}),
            mirrored_set(io, row_set::workers, options_.project_worker_row),
            mirrored_set(io, row_set::own, {})},
      choice_(options_.vm), reader_timer_(io), pending_timer_(io),
      contact_(options_.min_lapse_outage)
{
}

row_mirror::mirrored_set& row_mirror::at(row_set set)
{
    return sets_.at(static_cast<std::size_t>(set));
}

row_mirror::mirrored_set const& row_mirror::at(row_set set) const
{
    return sets_.at(static_cast<std::size_t>(set));
}

duration row_mirror::interval_of(row_set set) const
{
    switch (set)
    {
    case row_set::declarations:
        return options_.declaration_wait;
    case row_set::workers:
        return options_.worker_interval;
    case row_set::own:
    case row_set::streams:
        break;
    }
    return options_.own_interval;
}

duration row_mirror::max_age(row_set set) const
{
    if (set == row_set::declarations &&
        options_.max_declaration_age > duration(0))
        return options_.max_declaration_age;
    duration const interval = interval_of(set);
    return interval + interval / age_slack_part;
}

/// While a long poll waits at the store, the replica is current as long as the
/// store is known to be reachable. Failure: the VM is partitioned from the
/// store, or was suspended, while its long poll seems to wait for seconds more;
/// declarations of that time are missed, and stale rows count as current. The
/// other sets are polled all the time, so the absence of their answers shows
/// the loss of contact.
time_point row_mirror::shown_at(mirrored_set const& which, time_point now) const
{
    if (!which.asking || !which.waits_for_change || which.failures > 0)
        return which.as_of;
    time_point contact = which.as_of;
    for (mirrored_set const& each : sets_)
        contact = std::max(contact, each.as_of);
    duration const interval = options_.worker_interval;
    return now <= contact + interval + interval / reader_answer_part ? now
                                                                     : contact;
}

void row_mirror::start()
{
    for (mirrored_set& each : sets_)
        continue_reading(each);
}

void row_mirror::set_members(std::vector<member_view> const& members)
{
    std::vector<ranked_vm> candidates;
    std::size_t near = 0;
    addresses_.clear();
    for (member_view const& member : members)
    {
        if (member.domain != options_.domain ||
            member.state != member_state::live)
            continue;
        ++near;
        // A standby VM may be gone for long before other VMs notice.
        if (!member.stands_by)
            candidates.push_back({member.vm, member.millicores});
        if (auto const address = parse_address(member.address))
            addresses_.emplace(member.vm, *address);
    }
    choice_.set_members(std::move(candidates), near);
    choose_reader();
}

void row_mirror::choose_reader()
{
    time_point const now = boot_clock::now();
    bool const all_read = std::all_of(sets_.begin(), sets_.end(),
                                      [](mirrored_set const& each)
                                      { return each.copy.is_loaded(); });
    vm_id chosen =
        now < serves_until_ || !all_read ? vm_id() : choice_.choose(now);
    if (addresses_.count(chosen) == 0)
        chosen = {};
    if (chosen == reader_)
        return;
    reader_ = std::move(chosen);
    log_.notable("rows come from",
                 log_fields().add("reader", reader_.empty() ? "the store"
                                                            : reader_.str()),
                 now);
    if (!reader_.empty())
        return query_reader();
    for (mirrored_set& each : sets_)
        continue_reading(each);
}

/// Sends the next query to the store, unless the reader does. The own rows are
/// otherwise queried only on demand; see refresh_own().
void row_mirror::continue_reading(mirrored_set& which)
{
    bool const reported_by_reader = !reader_.empty() && which.copy.is_loaded();
    if (reported_by_reader && !which.lacks_large_rows())
    {
        which.probes = false;
        return;
    }
    if (which.set == row_set::own && !which.probes && which.copy.is_loaded() &&
        pending_queries_.empty() && refreshes_.empty() &&
        boot_clock::now() >= serves_until_)
        return;
    query_store(which);
}

void row_mirror::query_store(mirrored_set& which)
{
    if (which.asking)
        return;
    which.timer.cancel();
    which.asking = true;
    which.asked_at = boot_clock::now();
    which.waits_for_change = false;
    if (!which.needs_full_read)
        return watch(which);
    which.pages.clear();
    read_page(which, "");
}

void row_mirror::read_page(mirrored_set& which, std::string const& after)
{
    int const doublings = std::min(which.failures, max_doublings);
    duration const limit = std::min<duration>(
        initial_read_timeout * (1 << doublings), max_read_timeout);
    store_.read(which.set, "", after, limit,
                [this, &which](store_reply reply)
                {
                    asio::post(io_, [this, &which, reply = std::move(reply)]
                               { on_page(which, reply); });
                });
}

void row_mirror::watch(mirrored_set& which)
{
    // After a failure the query does not wait for a change: an immediate answer
    // shows that the store is back.
    bool const waits_for_change =
        which.set == row_set::declarations && which.failures == 0;
    duration const wait =
        waits_for_change ? options_.declaration_wait : duration(0);
    which.waits_for_change = wait > duration(0);
    store_.watch(which.set, which.copy.version(), wait,
                 wait + options_.answer_timeout,
                 [this, &which](store_reply reply)
                 {
                     asio::post(io_, [this, &which, reply = std::move(reply)]
                                { on_changes(which, reply); });
                 });
}

void row_mirror::read_later(mirrored_set& which, duration delay)
{
    which.timer.expires_after(delay);
    which.timer.async_wait(
        [this, &which](asio::error_code const& cancelled)
        {
            if (!cancelled)
                continue_reading(which);
        });
}

/// Returns whether the reply carries rows. If not, schedules the next query.
bool row_mirror::check_reply(mirrored_set& which, store_reply const& reply)
{
    time_point const now = boot_clock::now();
    bool const far_ahead = is_far_ahead(which, reply.newest);
    if (reply.outcome == store_outcome::done && !far_ahead)
    {
        which.failures = 0;
        which.probes = false;
        if (contact_.on_answer(made_at(which, reply), now))
        {
            log_.notable("store regained", log_fields(), now);
            // The readers failed because their rows were stale during the
            // outage, as this VM's rows were.
            choice_.clear_failures();
        }
        resume_others(which);
        return true;
    }
    which.asking = false;
    if (reply.outcome == store_outcome::history_lost)
    {
        log_.notable("store dropped its history",
                     log_fields().add("version", which.copy.version().value()),
                     now);
        which.needs_full_read = true;
        query_store(which);
        return false;
    }
    if (contact_.on_failure(now))
        log_.notable("store lost",
                     log_fields()
                         .add("reason", far_ahead ? "its version is far ahead"
                                                  : reply.failure)
                         .add("heard_ms_ago", now - contact_.known_at()),
                     now);
    probe_later(which);
    if (which.set == row_set::own)
        complete_refreshes(true);
    // Failure: the store refuses this VM, its reader fails once, and the VM
    // hears of nothing until the store answers again.
    choose_reader();
    return false;
}

/// After a failure only one set is retried; the other sets wait until the store
/// has answered. Failure: during a store outage, two hundred VMs each send
/// three queries twice a second, and the store meets this load when it returns.
void row_mirror::probe_later(mirrored_set& which)
{
    ++which.failures;
    which.probes = std::none_of(sets_.begin(), sets_.end(),
                                [&which](mirrored_set const& each)
                                { return &each != &which && each.probes; });
    if (which.probes)
        read_later(which, std::max<duration>(
                              duration(0), store_contact::retry_at(
                                               which.failures, which.asked_at) -
                                               boot_clock::now()));
}

/// Resumes the sets that waited for the store to answer another set's query.
void row_mirror::resume_others(mirrored_set const& answered)
{
    for (mirrored_set& each : sets_)
        if (&each != &answered && each.failures > 0 && !each.probes)
            read_later(each, duration(0));
}

/// Failure: one answer names a version that the store never reaches. All later
/// changes are older than that, so none is applied any more.
bool row_mirror::is_far_ahead(mirrored_set const& which, row_version version)
{
    return which.copy.is_loaded() && version > which.copy.version() &&
           version.value() - which.copy.version().value() > max_version_lead;
}

void row_mirror::on_page(mirrored_set& which, store_reply const& reply)
{
    if (!check_reply(which, reply))
        return;
    // Later pages may be newer than the first. The changes since the first page
    // are read again with the first watch; applying changes is idempotent.
    if (which.pages.empty())
    {
        which.first_page = reply.newest;
        which.first_page_at = made_at(which, reply);
    }
    which.pages.insert(which.pages.end(), reply.rows.begin(), reply.rows.end());
    if (reply.truncated && !reply.rows.empty())
        return read_page(which, reply.rows.back().key);
    which.needs_full_read = false;
    finish_read(which,
                which.copy.apply_snapshot(std::exchange(which.pages, {}),
                                          which.first_page),
                which.first_page_at);
}

void row_mirror::on_changes(mirrored_set& which, store_reply const& reply)
{
    if (check_reply(which, reply))
        finish_read(which, which.copy.apply(reply.rows, reply.newest),
                    made_at(which, reply));
}

time_point row_mirror::made_at(mirrored_set const& which,
                               store_reply const& reply)
{
    return store_clock_.made_at(reply.made_at, which.asked_at,
                                boot_clock::now());
}

void row_mirror::finish_read(mirrored_set& which,
                             std::vector<stored_row> const& changes,
                             time_point as_of)
{
    which.asking = false;
    which.as_of = as_of;
    which.proven_at = std::max(which.proven_at, as_of);
    if (which.lacks_large_rows())
        read_later(which, min_large_read_interval);
    else if (which.set == row_set::declarations)
        continue_reading(which);
    else
        read_later(which, which.set == row_set::own ? max_age(which.set)
                                                    : interval_of(which.set));
    listener_.on_rows(which.set, changes);
    if (which.set == row_set::own)
        complete_refreshes(false);
    if (std::any_of(changes.begin(), changes.end(), is_urgent))
        schedule_pending_answers();
    choose_reader();
}

void row_mirror::refresh_own(bool strict, refreshed done)
{
    time_point const now = boot_clock::now();
    mirrored_set& own = at(row_set::own);
    duration const slack =
        strict || reader_.empty() ? duration(0) : max_age(row_set::own);
    refreshes_.push_back({now - slack, std::move(done)});
    if (own.as_of < now - slack)
        return query_store(own);
    asio::post(io_, [this] { complete_refreshes(false); });
}

/// Completes the refreshes for which the replica is recent enough; after a
/// failure, all of them.
void row_mirror::complete_refreshes(bool failed)
{
    mirrored_set& own = at(row_set::own);
    std::vector<pending_refresh> waiting = std::exchange(refreshes_, {});
    std::vector<refreshed> due;
    for (pending_refresh& each : waiting)
    {
        bool const current = own.copy.is_loaded() && own.as_of >= each.as_of;
        if (current || failed)
            due.push_back(std::move(each.done));
        else
            refreshes_.push_back(std::move(each));
    }
    if (!refreshes_.empty())
        query_store(own);
    time_point const as_of = own.as_of;
    for (refreshed const& done : due)
        done(!failed, as_of);
}

std::string row_mirror::metrics() const
{
    time_point const now = boot_clock::now();
    std::string text;
    for (mirrored_set const& each : sets_)
        text += fmt::format(
            "mulberry_rows_age_seconds{{set=\"{}\"}} {}\n",
            set_names.at(static_cast<std::size_t>(each.set)),
            std::chrono::duration<double>(now - shown_at(each, now)).count());
    text += fmt::format("mulberry_rows_from_another_vm {}\n",
                        reader_.empty() ? 0 : 1);
    text += fmt::format("mulberry_rows_questions_waiting {}\n",
                        pending_queries_.size());
    return text;
}

} // namespace mulberry
