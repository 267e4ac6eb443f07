// The part of row_mirror that exchanges rows with other VMs.
#include "boot_clock.hpp"
#include "collected_exchange.hpp"
#include "crash_row.hpp"
#include "row_mirror.hpp"
#include "software_record.hpp"
#include "worker_row.hpp"

#include <algorithm>
#include <utility>

namespace mulberry
{
namespace
{

using std::chrono::milliseconds;

/// A query waits at the reader for worker_interval divided by this, so that a
/// reader that hangs is detected in time to query the store within the bound on
/// noticing draining workers.
constexpr int reader_wait_part = 3;
/// A VM that was queried within this time reads the store itself, so that
/// readers do not form chains.
constexpr milliseconds serving_duration{5000};
/// Changes within this time of each other are reported in one answer.
constexpr milliseconds answer_batch_delay{20};
/// About twice what rows of 5,800 workers (4 KB) and 18,000 adapters (300
/// bytes) take.
constexpr std::size_t max_rows_bytes = 64UL * 1024 * 1024;
/// Minimum interval between queries to a reader.
constexpr milliseconds min_query_interval{50};
/// Rows larger than this are reported by version only and read from the store,
/// whose link carries them to all VMs within a fraction of a second. Failure: a
/// configuration of 1,500 routes takes 350 KB, and a reader on a 20 Mbit/s link
/// sends it to a dozen VMs at once. Each VM times out after a second and
/// queries again, so none receives it, and requests are handled by the old
/// configuration for five seconds. A dozen rows of this size take such a link
/// less than a tenth of a second.
constexpr std::size_t max_peer_row_bytes = 16UL * 1024;
constexpr milliseconds reader_connect_timeout{250};
constexpr milliseconds reader_max_idle{3000};
constexpr int status_ok = 200;
constexpr int status_bad_request = 400;

bool is_large(stored_row const& row)
{
    return row.value.size() > max_peer_row_bytes;
}

} // namespace

void row_mirror::query_reader()
{
    auto const address = addresses_.find(reader_);
    if (reader_query_pending_ || address == addresses_.end())
        return;
    reader_query_pending_ = true;
    reader_timer_.cancel();
    rows_query query;
    for (std::size_t index = 0; index < sets_.size(); ++index)
    {
        mirrored_set& which = sets_.at(index);
        bool const refused = which.lacks_large_rows() && which.failures > 0;
        query.large_rows |= refused;
        which.requested_after =
            refused ? which.copy.version()
                    : std::max(which.announced_version, which.copy.version());
        query.after.at(index) = which.requested_after;
    }
    query.wait = options_.worker_interval / reader_wait_part;
    collected_call call;
    call.to = address->second;
    call.bytes = encode_rows_query(query, call.to.ip);
    call.options.connect_timeout = reader_connect_timeout;
    call.options.max_idle = reader_max_idle;
    call.framed_only = true;
    call.max_body_bytes = max_rows_bytes;
    call.current_deadline =
        [ends = std::chrono::steady_clock::now() + query.wait +
                options_.worker_interval / reader_answer_part] { return ends; };
    call.on_end = [this, reader = reader_,
                   asked_at = boot_clock::now()](collected_answer const& answer)
    {
        on_reader_answer(reader, asked_at,
                         answer.status == status_ok
                             ? decode_rows_answer(answer.body)
                             : std::nullopt);
    };
    start_collected(io_, pool_, std::move(call));
}

void row_mirror::query_reader_later(duration delay)
{
    reader_timer_.expires_after(delay);
    reader_timer_.async_wait(
        [this](asio::error_code const& cancelled)
        {
            if (!cancelled && !reader_.empty())
                query_reader();
        });
}

/// Failure: the reader is partitioned from the store and answers promptly with
/// stale rows, so workers that left stay in use during the partition. An answer
/// therefore carries the age of its rows; rows older than max_age() count as a
/// failure of the reader, and the store is queried.
void row_mirror::on_reader_answer(vm_id const& reader, time_point asked_at,
                                  std::optional<rows_answer> const& answer)
{
    time_point const now = boot_clock::now();
    reader_query_pending_ = false;
    bool current = answer.has_value();
    // Failure: this VM is suspended or the link is slow, and an answer is read
    // long after it was made; without this correction its rows would count as
    // current.
    duration const transit_time = std::max<duration>(
        duration(0),
        now - asked_at - options_.worker_interval / reader_wait_part);
    if (answer)
        for (std::size_t index = 0; index < sets_.size(); ++index)
        {
            row_set_changes changes = answer->at(index);
            changes.age += transit_time;
            current &=
                apply_reader_changes(sets_.at(index), changes, asked_at, now);
        }
    if (current)
    {
        choice_.answered(reader);
        // A long poll of the reader may show declarations as current though
        // the store has not answered since.
        if (contact_.on_answer(
                std::max(at(row_set::workers).as_of, at(row_set::own).as_of),
                now))
            log_.notable("store regained",
                         log_fields().add("reader", reader.str()), now);
    }
    else
    {
        choice_.failed(reader, now);
        log_.notable(
            "reader failed",
            log_fields()
                .add("reader", reader.str())
                .add("reason", answer ? "its rows are old" : "no answer"),
            now);
        query_store_instead();
    }
    choose_reader();
    if (!reader_.empty())
        query_reader_later(std::max<duration>(
            duration(0), asked_at + min_query_interval - now));
}

/// Failure: several readers hang, and a VM waits a second for each in turn,
/// then for the first again, and learns of a configuration only after its
/// bound. So the store is queried as soon as one reader fails, in parallel with
/// the next reader: a VM's rows are never older than one query to a reader and
/// one answer of the store. If the store does not answer either, it is being
/// retried already.
void row_mirror::query_store_instead()
{
    if (contact_.is_lost())
        return;
    for (mirrored_set& each : sets_)
        query_store(each);
}

/// Applies the reader's changes. Returns false if the reader's rows are too old
/// or not loaded.
bool row_mirror::apply_reader_changes(mirrored_set& which,
                                      row_set_changes const& changes,
                                      time_point asked_at, time_point now)
{
    if (!changes.read || changes.age > max_age(which.set) ||
        is_far_ahead(which, changes.version))
        return false;
    if (changes.incomplete ||
        (which.requested_beyond_copy() && !changes.is_snapshot))
    {
        apply_incomplete(which, changes);
        return true;
    }
    std::vector<stored_row> const changed =
        changes.is_snapshot
            ? which.copy.apply_snapshot(changes.rows, changes.version)
            : which.copy.apply(changes.rows, changes.version);
    // Another reader may have missed other rows.
    if (std::exchange(which.reader_missed, changes.missed) != changes.missed)
        which.copy.note_missed();
    time_point as_of = now - changes.age;
    if (changes.proven_before)
    {
        time_point const proven =
            std::min(now, asked_at - *changes.proven_before);
        which.proven_at = std::max(which.proven_at, proven);
        // Only a long poll shows more than the store's last answer does.
        if (which.set != row_set::declarations)
            as_of = std::min(as_of, proven);
    }
    which.as_of = std::max(which.as_of, as_of);
    listener_.on_rows(which.set, changed);
    if (which.set == row_set::own)
        complete_refreshes(false);
    return true;
}

/// Applies the small rows but leaves the replica at its version, so that the
/// store's changes after that version include the large rows that were left
/// out.
void row_mirror::apply_incomplete(mirrored_set& which,
                                  row_set_changes const& changes)
{
    std::vector<stored_row> const changed =
        which.copy.apply(changes.rows, which.copy.version());
    which.announced_version =
        std::max(which.announced_version, changes.version);
    listener_.on_rows(which.set, changed);
    if (!which.asking && which.failures == 0)
        read_later(which,
                   std::max<duration>(duration(0), which.asked_at +
                                                       min_large_read_interval -
                                                       boot_clock::now()));
}

void row_mirror::serve(http_request const& request,
                       std::shared_ptr<http_answer> answer)
{
    auto const query = decode_rows_query(request.body);
    if (!query)
        return answer->respond({status_bad_request, {}, {}});
    time_point const now = boot_clock::now();
    bool const began = now >= serves_until_;
    serves_until_ = now + serving_duration;
    if (began)
    {
        choose_reader();
        continue_reading(at(row_set::own));
    }
    if (has_urgent_changes(*query))
        return answer->respond(json_response(
            status_ok, encode_rows_answer(answer_to(*query, now))));
    pending_queries_.push_back(
        {*query, std::move(answer), now, now + query->wait});
    answer_pending();
}

rows_answer row_mirror::answer_to(rows_query const& query,
                                  time_point arrived_at) const
{
    time_point const now = boot_clock::now();
    rows_answer answer;
    for (std::size_t index = 0; index < sets_.size(); ++index)
    {
        mirrored_set const& which = sets_.at(index);
        row_set_changes& changes = answer.at(index);
        changes.read = which.copy.is_loaded();
        changes.version = which.copy.version();
        changes.age = now - shown_at(which, now);
        if (which.proven_at != time_point())
            changes.proven_before = arrived_at - which.proven_at;
        auto changed = which.copy.changes_since(query.after.at(index));
        changes.missed = which.copy.missed();
        changes.is_snapshot = !changed;
        changes.rows = changed ? std::move(*changed) : which.copy.rows();
        if (!query.large_rows)
            changes.incomplete = std::erase_if(changes.rows, is_large) > 0;
    }
    return answer;
}

/// Heartbeats change the VMs' rows all the time; a reader reports these changes
/// only with an answer that it sends anyway.
bool row_mirror::is_urgent(stored_row const& row)
{
    return row.kind != row_kind::own || row.key.starts_with(worker_prefix) ||
           row.key.starts_with(crash_prefix) ||
           row.key.starts_with(software_record_prefix);
}

/// Returns whether rows that other VMs act on at once have changed since the
/// query's versions, or whether these versions are too old to tell.
bool row_mirror::has_urgent_changes(rows_query const& query) const
{
    for (std::size_t index = 0; index < sets_.size(); ++index)
    {
        auto const changed =
            sets_.at(index).copy.changes_since(query.after.at(index));
        if (!changed ||
            std::any_of(changed->begin(), changed->end(), is_urgent))
            return true;
    }
    return false;
}

void row_mirror::schedule_pending_answers()
{
    if (pending_queries_.empty() || std::exchange(answers_scheduled_, true))
        return;
    pending_timer_.expires_after(answer_batch_delay);
    pending_timer_.async_wait(
        [this](asio::error_code const& cancelled)
        {
            if (cancelled)
                return;
            answers_scheduled_ = false;
            answer_pending();
        });
}

void row_mirror::answer_pending()
{
    time_point const now = boot_clock::now();
    std::vector<pending_query> waiting = std::exchange(pending_queries_, {});
    time_point next = never;
    for (pending_query& each : waiting)
    {
        if (now >= each.answer_at || has_urgent_changes(each.query))
        {
            each.answer->respond(json_response(
                status_ok,
                encode_rows_answer(answer_to(each.query, each.arrived_at))));
            continue;
        }
        next = std::min(next, each.answer_at);
        pending_queries_.push_back(std::move(each));
    }
    if (pending_queries_.empty() || answers_scheduled_)
        return;
    pending_timer_.expires_after(next - now);
    pending_timer_.async_wait(
        [this](asio::error_code const& cancelled)
        {
            if (!cancelled)
                answer_pending();
        });
}

} // namespace mulberry
