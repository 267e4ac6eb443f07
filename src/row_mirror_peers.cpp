// Rows that VMs tell each other.
#include "boot_clock.hpp"
#include "collected_exchange.hpp"
#include "crash_row.hpp"
#include "row_mirror.hpp"
#include "worker_row.hpp"

#include <algorithm>
#include <utility>

namespace mulberry
{
namespace
{

using std::chrono::milliseconds;

/// A question to another VM waits there for a third of the interval at which
/// workers are asked for: a reader that hangs is noticed in time to ask the
/// store within the bound on draining workers.
constexpr int reader_wait_part = 3;
/// A VM that was asked in the last seconds reads for itself, so that no VM
/// waits for one that waits for another.
constexpr milliseconds serving_duration{5000};
/// Changes that come close together are told together.
constexpr milliseconds answer_batch_delay{20};
/// The least time between two questions to a reader.
constexpr milliseconds min_query_interval{50};
/// Failure: a configuration of 1,500 routes takes 350 KB, and a reader on a
/// link of 20 Mbit/s sends it to a dozen VMs at once. Each gives its answer up
/// after a second and asks again, so that none ever gets it, and requests are
/// handled by the old configuration for five seconds. So what is larger than
/// this is told by its version only and read from the store, whose link carries
/// it to all VMs within a fraction of a second. A dozen rows of this size take
/// such a link less than a tenth of a second.
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
                    : std::max(which.told, which.copy.version());
        query.after.at(index) = which.requested_after;
    }
    query.wait = options_.worker_interval / reader_wait_part;
    collected_call call;
    call.to = address->second;
    call.bytes = encode_rows_query(query, call.to.ip);
    call.options.connect_timeout = reader_connect_timeout;
    call.options.max_idle = reader_max_idle;
    call.ends_at = [ends = std::chrono::steady_clock::now() + query.wait +
                           options_.worker_interval / reader_answer_part]
    { return ends; };
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

/// Failure: the reader is cut off from the store, and answers promptly with
/// rows that it read long ago; workers that left are used for as long as it is
/// cut off. An answer says how old it is; what is older than this VM's own
/// reading would be counts as a failure, and the store is asked.
void row_mirror::on_reader_answer(vm_id const& reader, time_point asked_at,
                                  std::optional<rows_answer> const& answer)
{
    time_point const now = boot_clock::now();
    reader_query_pending_ = false;
    bool current = answer.has_value();
    // Failure: this VM stands still, or the link is slow, and an answer is read
    // long after it was made; its rows are taken for those of now.
    duration const transit_time = std::max<duration>(
        duration(0),
        now - asked_at - options_.worker_interval / reader_wait_part);
    if (answer)
        for (std::size_t index = 0; index < sets_.size(); ++index)
        {
            row_set_changes news = answer->at(index);
            news.age += transit_time;
            current &=
                apply_reader_changes(sets_.at(index), news, asked_at, now);
        }
    if (current)
    {
        choice_.answered(reader);
        last_contact_at_ = now;
        if (std::exchange(store_lost_, false))
        {
            returned_at_ = now;
            log_.notable("store regained",
                         log_fields().add("reader", reader.str()), now);
        }
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
/// then for the first again; it hears of a configuration only after its bound.
/// So one reader that fails is enough to ask the store, while the next one is
/// asked: what a VM knows is never older than one question and one answer of
/// the store. Where the store does not answer either, it is being asked
/// already.
void row_mirror::query_store_instead()
{
    if (store_lost_)
        return;
    for (mirrored_set& each : sets_)
        query_store(each);
}

/// Whether the other VM's copy is recent enough.
bool row_mirror::apply_reader_changes(mirrored_set& which,
                                      row_set_changes const& news,
                                      time_point asked_at, time_point now)
{
    if (!news.read || news.age > max_age(which.set))
        return false;
    if (news.incomplete || (which.requested_beyond_copy() && !news.whole))
    {
        apply_incomplete(which, news);
        return true;
    }
    std::vector<stored_row> const changed =
        news.whole ? which.copy.replace(news.rows, news.version)
                   : which.copy.apply(news.rows, news.version);
    which.as_of = std::max(which.as_of, now - news.age);
    if (news.proven_before)
        which.proven_at = std::max(
            which.proven_at, std::min(now, asked_at - *news.proven_before));
    listener_.on_rows(which.set, changed);
    if (which.set == row_set::own)
        complete_refreshes(false);
    return true;
}

/// The copy stays at its version: asked for what changed after it, the store
/// tells what was left out here.
void row_mirror::apply_incomplete(mirrored_set& which,
                                  row_set_changes const& news)
{
    std::vector<stored_row> const changed =
        which.copy.apply(news.rows, which.copy.version());
    which.told = std::max(which.told, news.version);
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
        row_set_changes& news = answer.at(index);
        news.read = which.copy.read();
        news.version = which.copy.version();
        news.age = now - shown_at(which, now);
        if (which.proven_at != time_point())
            news.proven_before = arrived_at - which.proven_at;
        auto changed = which.copy.since(query.after.at(index));
        news.whole = !changed;
        news.rows = changed ? std::move(*changed) : which.copy.rows();
        if (!query.large_rows)
            news.incomplete = std::erase_if(news.rows, is_large) > 0;
    }
    return answer;
}

/// Heartbeats of VMs change their rows all the time; a reader tells of them
/// when it answers anyway.
bool row_mirror::is_urgent(stored_row const& row)
{
    return row.kind != row_kind::own || row.key.starts_with(worker_prefix) ||
           row.key.starts_with(crash_prefix);
}

/// Rows that others act on at once; see is_urgent().
bool row_mirror::has_urgent_changes(rows_query const& query) const
{
    for (std::size_t index = 0; index < sets_.size(); ++index)
    {
        auto const changed = sets_.at(index).copy.since(query.after.at(index));
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
