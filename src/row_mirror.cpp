#include "row_mirror.hpp"

#include "boot_clock.hpp"
#include "collected_exchange.hpp"
#include "crash_row.hpp"
#include "worker_row.hpp"

#include <asio/post.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace mulberry
{
namespace
{

using std::chrono::milliseconds;

/// After a question that failed, doubled with each failure in a row, up to
/// longest_store_retry. Failure: the store is away, and two hundred VMs ask it
/// three questions twice a second each; the first thing that it meets on its
/// return is that crowd. So one question asks for all.
constexpr milliseconds first_retry{100};
constexpr int most_doublings = 4;
/// How long a whole read may take, doubled with each that failed in a row, up
/// to the longest. Failure: a VM starts while the store says nothing; its first
/// question hangs for a second after the store is back. An answer takes some
/// ten milliseconds, and a few hundred when the store is slow.
constexpr milliseconds first_read_limit{400};
constexpr milliseconds longest_read_limit{1500};
/// A question to another VM waits there for a third of the interval at which
/// workers are asked for, and may take a fifth of it more: a reader that hangs
/// is noticed in time to ask the store within the bound on draining workers.
constexpr int reader_wait_part = 3;
constexpr int reader_answer_part = 5;
/// A reader's copy may be older than the interval at which it asks by this
/// part, for the time that a question takes.
constexpr int age_slack_part = 2;
/// A VM that was asked in the last seconds reads for itself, so that no VM
/// waits for one that waits for another.
constexpr milliseconds serving_span{5000};
/// Changes that come close together are told together.
constexpr milliseconds news_delay{20};
/// The least time between two questions to a reader.
constexpr milliseconds least_question_gap{50};
/// Failure: a configuration of 1,500 routes takes 350 KB, and a reader on a
/// link of 20 Mbit/s sends it to a dozen VMs at once. Each gives its answer up
/// after a second and asks again, so that none ever gets it, and requests are
/// handled by the old configuration for five seconds. So what is larger than
/// this is told by its version only and read from the store, whose link carries
/// it to all VMs within a fraction of a second. A dozen rows of this size take
/// such a link less than a tenth of a second.
constexpr std::size_t largest_told_row = 16UL * 1024;
/// The least time between two readings of large rows: one takes a small VM's
/// link and processor a fifth of a second each, and versions may follow each
/// other faster.
constexpr milliseconds large_row_pause{500};
constexpr milliseconds reader_connect_timeout{250};
constexpr milliseconds reader_idle{3000};
/// In the order of row_set.
constexpr std::array<char const*, all_row_sets.size()> set_names{
    "declarations", "workers", "own"};
constexpr int status_ok = 200;
constexpr int status_bad_request = 400;

/// Heartbeats of VMs change their rows all the time; a reader tells of them
/// when it answers anyway.
bool urgent(stored_row const& row)
{
    return row.kind != row_kind::own || row.key.starts_with(worker_prefix) ||
           row.key.starts_with(crash_prefix);
}

bool is_large(stored_row const& row)
{
    return row.value.size() > largest_told_row;
}

} // namespace

row_mirror::row_mirror(asio::io_context& io, row_store& store,
                       backend_pool& pool, row_mirror_options options,
                       event_log& log, row_listener listener)
    : io_(io), store_(store), pool_(pool), options_(std::move(options)),
      log_(log), listener_(std::move(listener)),
      sets_{followed_set(io, row_set::declarations, {}),
            followed_set(io, row_set::workers, options_.worker_essence),
            followed_set(io, row_set::own, {})},
      choice_(options_.vm), reader_timer_(io), held_timer_(io)
{
}

row_mirror::followed_set& row_mirror::at(row_set set)
{
    return sets_.at(static_cast<std::size_t>(set));
}

row_mirror::followed_set const& row_mirror::at(row_set set) const
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
        break;
    }
    return options_.own_interval;
}

duration row_mirror::oldest(row_set set) const
{
    if (set == row_set::declarations &&
        options_.oldest_declarations > duration(0))
        return options_.oldest_declarations;
    duration const interval = interval_of(set);
    return interval + interval / age_slack_part;
}

/// While a question waits at the store for a change, the copy shows the rows
/// as they are, as long as the store is heard of. Failure: the VM is cut off,
/// or stood still, and the question looks as if it waited for seconds after
/// that; what was declared meanwhile is not heard of, and what is known is
/// taken for current. The other sets are asked for all the time, and their
/// answers stop.
time_point row_mirror::shown_at(followed_set const& which, time_point now) const
{
    if (!which.asking || !which.waits || which.failures > 0)
        return which.as_of;
    time_point contact = which.as_of;
    for (followed_set const& each : sets_)
        contact = std::max(contact, each.as_of);
    duration const interval = options_.worker_interval;
    return now <= contact + interval + interval / reader_answer_part ? now
                                                                     : contact;
}

void row_mirror::start()
{
    for (followed_set& each : sets_)
        go_on(each);
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
        // A VM that stands by may be gone for long before others know.
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
    bool const all_read =
        std::all_of(sets_.begin(), sets_.end(),
                    [](followed_set const& each) { return each.copy.read(); });
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
        return ask_reader();
    for (followed_set& each : sets_)
        go_on(each);
}

/// The next question to the store, unless another VM asks it. The own rows are
/// asked for by whoever needs them; see refresh_own().
void row_mirror::go_on(followed_set& which)
{
    bool const told_by_reader = !reader_.empty() && which.copy.read();
    if (told_by_reader && !which.lacks_large_rows())
    {
        which.probes = false;
        return;
    }
    if (which.set == row_set::own && !which.probes && which.copy.read() &&
        held_.empty() && refreshes_.empty() &&
        boot_clock::now() >= serves_until_)
        return;
    ask_store(which);
}

void row_mirror::ask_store(followed_set& which)
{
    if (which.asking)
        return;
    which.timer.cancel();
    which.asking = true;
    which.asked_at = boot_clock::now();
    which.waits = false;
    if (!which.whole)
        return watch(which);
    which.pages.clear();
    read_page(which, "");
}

void row_mirror::read_page(followed_set& which, std::string const& after)
{
    int const doublings = std::min(which.failures, most_doublings);
    duration const limit = std::min<duration>(
        first_read_limit * (1 << doublings), longest_read_limit);
    store_.read(which.set, "", after, limit,
                [this, &which](store_reply reply)
                {
                    asio::post(io_, [this, &which, reply = std::move(reply)]
                               { on_page(which, reply); });
                });
}

void row_mirror::watch(followed_set& which)
{
    // After a failure the answer is wanted at once: it shows that the store is
    // back.
    bool const waits =
        which.set == row_set::declarations && which.failures == 0;
    duration const wait = waits ? options_.declaration_wait : duration(0);
    which.waits = wait > duration(0);
    store_.watch(which.set, which.copy.version(), wait,
                 wait + options_.answer_time,
                 [this, &which](store_reply reply)
                 {
                     asio::post(io_, [this, &which, reply = std::move(reply)]
                                { on_changes(which, reply); });
                 });
}

void row_mirror::later(followed_set& which, duration delay)
{
    which.timer.expires_after(delay);
    which.timer.async_wait(
        [this, &which](asio::error_code const& cancelled)
        {
            if (!cancelled)
                go_on(which);
        });
}

/// False after an answer that says nothing; the next question is arranged.
bool row_mirror::usable(followed_set& which, store_reply const& reply)
{
    time_point const now = boot_clock::now();
    if (reply.outcome == store_outcome::done)
    {
        which.failures = 0;
        which.probes = false;
        heard_at_ = now;
        if (std::exchange(lost_, false))
        {
            returned_at_ = now;
            log_.notable("store regained", log_fields(), now);
            // Their rows were old since the store was away, as this VM's were.
            choice_.forgive();
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
        which.whole = true;
        ask_store(which);
        return false;
    }
    if (!std::exchange(lost_, true))
        log_.notable("store lost",
                     log_fields()
                         .add("reason", reply.failure)
                         .add("heard_ms_ago", now - heard_at_),
                     now);
    probe_later(which);
    if (which.set == row_set::own)
        settle_refreshes(true);
    return false;
}

/// After a failure one set is asked for again and again; the others wait until
/// the store has answered it.
void row_mirror::probe_later(followed_set& which)
{
    int const doublings = std::min(which.failures++, most_doublings);
    which.probes = std::none_of(sets_.begin(), sets_.end(),
                                [&which](followed_set const& each)
                                { return &each != &which && each.probes; });
    if (which.probes)
        later(which, std::min<duration>(first_retry * (1 << doublings),
                                        longest_store_retry));
}

/// The store has answered a question about one set.
void row_mirror::resume_others(followed_set const& answered)
{
    for (followed_set& each : sets_)
        if (&each != &answered && each.failures > 0 && !each.probes)
            later(each, duration(0));
}

void row_mirror::on_page(followed_set& which, store_reply const& reply)
{
    if (!usable(which, reply))
        return;
    // Later pages may show later moments; the changes since the first page are
    // read again with the first watch, and applying them twice does no harm.
    if (which.pages.empty())
    {
        which.first_page = reply.newest;
        which.first_page_at = made_at(which, reply);
    }
    which.pages.insert(which.pages.end(), reply.rows.begin(), reply.rows.end());
    if (reply.truncated && !reply.rows.empty())
        return read_page(which, reply.rows.back().key);
    which.whole = false;
    took(which,
         which.copy.replace(std::exchange(which.pages, {}), which.first_page),
         which.first_page_at);
}

void row_mirror::on_changes(followed_set& which, store_reply const& reply)
{
    if (usable(which, reply))
        took(which, which.copy.apply(reply.rows, reply.newest),
             made_at(which, reply));
}

time_point row_mirror::made_at(followed_set const& which,
                               store_reply const& reply)
{
    return store_clock_.made_at(reply.made_at, which.asked_at,
                                boot_clock::now());
}

void row_mirror::took(followed_set& which, std::vector<stored_row> const& news,
                      time_point as_of)
{
    which.asking = false;
    which.as_of = as_of;
    which.proven_at = std::max(which.proven_at, as_of);
    if (which.lacks_large_rows())
        later(which, large_row_pause);
    else if (which.set == row_set::declarations)
        go_on(which);
    else
        later(which, which.set == row_set::own ? oldest(which.set)
                                               : interval_of(which.set));
    listener_.on_rows(which.set, news);
    if (which.set == row_set::own)
        settle_refreshes(false);
    if (std::any_of(news.begin(), news.end(), urgent))
        answer_held();
    choose_reader();
}

void row_mirror::refresh_own(bool strict, refreshed done)
{
    time_point const now = boot_clock::now();
    followed_set& own = at(row_set::own);
    duration const slack =
        strict || reader_.empty() ? duration(0) : oldest(row_set::own);
    refreshes_.push_back({now - slack, std::move(done)});
    if (own.as_of < now - slack)
        return ask_store(own);
    asio::post(io_, [this] { settle_refreshes(false); });
}

/// Those that the copy is recent enough for are told; after a failure all.
void row_mirror::settle_refreshes(bool failed)
{
    followed_set& own = at(row_set::own);
    std::vector<wanted_refresh> waiting = std::exchange(refreshes_, {});
    std::vector<refreshed> told;
    for (wanted_refresh& each : waiting)
    {
        bool const current = own.copy.read() && own.as_of >= each.as_of;
        if (current || failed)
            told.push_back(std::move(each.done));
        else
            refreshes_.push_back(std::move(each));
    }
    if (!refreshes_.empty())
        ask_store(own);
    time_point const as_of = own.as_of;
    for (refreshed const& done : told)
        done(!failed, as_of);
}

void row_mirror::ask_reader()
{
    auto const address = addresses_.find(reader_);
    if (reader_asked_ || address == addresses_.end())
        return;
    reader_asked_ = true;
    reader_timer_.cancel();
    rows_question question;
    for (std::size_t index = 0; index < sets_.size(); ++index)
    {
        followed_set& which = sets_.at(index);
        bool const refused = which.lacks_large_rows() && which.failures > 0;
        question.large_rows |= refused;
        which.asked_after = refused
                                ? which.copy.version()
                                : std::max(which.told, which.copy.version());
        question.after.at(index) = which.asked_after;
    }
    question.wait = options_.worker_interval / reader_wait_part;
    collected_call call;
    call.to = address->second;
    call.bytes = encode_rows_question(question, call.to.ip);
    call.options.connect_timeout = reader_connect_timeout;
    call.options.max_idle = reader_idle;
    call.ends_at = [ends = std::chrono::steady_clock::now() + question.wait +
                           options_.worker_interval / reader_answer_part]
    { return ends; };
    call.on_end = [this, reader = reader_,
                   asked_at = boot_clock::now()](collected_answer const& answer)
    {
        on_reader(reader, asked_at,
                  answer.status == status_ok ? decode_rows_answer(answer.body)
                                             : std::nullopt);
    };
    start_collected(io_, pool_, std::move(call));
}

void row_mirror::ask_reader_later(duration delay)
{
    reader_timer_.expires_after(delay);
    reader_timer_.async_wait(
        [this](asio::error_code const& cancelled)
        {
            if (!cancelled && !reader_.empty())
                ask_reader();
        });
}

/// Failure: the reader is cut off from the store, and answers promptly with
/// rows that it read long ago; workers that left are used for as long as it is
/// cut off. An answer says how old it is; what is older than this VM's own
/// reading would be counts as a failure, and the store is asked.
void row_mirror::on_reader(vm_id const& reader, time_point asked_at,
                           std::optional<rows_answer> const& answer)
{
    time_point const now = boot_clock::now();
    reader_asked_ = false;
    bool current = answer.has_value();
    // Failure: this VM stands still, or the link is slow, and an answer is read
    // long after it was made; its rows are taken for those of now.
    duration const on_its_way = std::max<duration>(
        duration(0),
        now - asked_at - options_.worker_interval / reader_wait_part);
    if (answer)
        for (std::size_t index = 0; index < sets_.size(); ++index)
        {
            rows_news news = answer->at(index);
            news.age += on_its_way;
            current &= take_news(sets_.at(index), news, asked_at, now);
        }
    if (current)
    {
        choice_.answered(reader);
        heard_at_ = now;
        if (std::exchange(lost_, false))
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
        ask_store_instead();
    }
    choose_reader();
    if (!reader_.empty())
        ask_reader_later(std::max<duration>(
            duration(0), asked_at + least_question_gap - now));
}

/// Failure: several readers hang, and a VM waits a second for each in turn,
/// then for the first again; it hears of a configuration only after its bound.
/// So one reader that fails is enough to ask the store, while the next one is
/// asked: what a VM knows is never older than one question and one answer of
/// the store. Where the store does not answer either, it is being asked
/// already.
void row_mirror::ask_store_instead()
{
    if (lost_)
        return;
    for (followed_set& each : sets_)
        ask_store(each);
}

/// Whether the other VM's copy is recent enough.
bool row_mirror::take_news(followed_set& which, rows_news const& news,
                           time_point asked_at, time_point now)
{
    if (!news.read || news.age > oldest(which.set))
        return false;
    if (news.incomplete || (which.asked_beyond_copy() && !news.whole))
    {
        take_incomplete(which, news);
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
        settle_refreshes(false);
    return true;
}

/// The copy stays at its version: asked for what changed after it, the store
/// tells what was left out here.
void row_mirror::take_incomplete(followed_set& which, rows_news const& news)
{
    std::vector<stored_row> const changed =
        which.copy.apply(news.rows, which.copy.version());
    which.told = std::max(which.told, news.version);
    listener_.on_rows(which.set, changed);
    if (!which.asking && which.failures == 0)
        later(which,
              std::max<duration>(duration(0), which.asked_at + large_row_pause -
                                                  boot_clock::now()));
}

void row_mirror::serve(http_request const& request,
                       std::shared_ptr<http_answer> answer)
{
    auto const question = decode_rows_question(request.body);
    if (!question)
        return answer->respond({status_bad_request, {}, {}});
    time_point const now = boot_clock::now();
    bool const began = now >= serves_until_;
    serves_until_ = now + serving_span;
    if (began)
    {
        choose_reader();
        go_on(at(row_set::own));
    }
    if (has_news(*question))
        return answer->respond(json_response(
            status_ok, encode_rows_answer(answer_to(*question, now))));
    held_.push_back({*question, std::move(answer), now, now + question->wait});
    review_held();
}

rows_answer row_mirror::answer_to(rows_question const& question,
                                  time_point arrived_at) const
{
    time_point const now = boot_clock::now();
    rows_answer answer;
    for (std::size_t index = 0; index < sets_.size(); ++index)
    {
        followed_set const& which = sets_.at(index);
        rows_news& news = answer.at(index);
        news.read = which.copy.read();
        news.version = which.copy.version();
        news.age = now - shown_at(which, now);
        if (which.proven_at != time_point())
            news.proven_before = arrived_at - which.proven_at;
        auto changed = which.copy.since(question.after.at(index));
        news.whole = !changed;
        news.rows = changed ? std::move(*changed) : which.copy.rows();
        if (!question.large_rows)
            news.incomplete = std::erase_if(news.rows, is_large) > 0;
    }
    return answer;
}

/// Rows that others act on at once; see urgent().
bool row_mirror::has_news(rows_question const& question) const
{
    for (std::size_t index = 0; index < sets_.size(); ++index)
    {
        auto const changed =
            sets_.at(index).copy.since(question.after.at(index));
        if (!changed || std::any_of(changed->begin(), changed->end(), urgent))
            return true;
    }
    return false;
}

std::string row_mirror::metrics() const
{
    time_point const now = boot_clock::now();
    std::string text;
    for (followed_set const& each : sets_)
        text += fmt::format(
            "mulberry_rows_age_seconds{{set=\"{}\"}} {}\n",
            set_names.at(static_cast<std::size_t>(each.set)),
            std::chrono::duration<double>(now - shown_at(each, now)).count());
    text += fmt::format("mulberry_rows_from_another_vm {}\n",
                        reader_.empty() ? 0 : 1);
    text += fmt::format("mulberry_rows_questions_waiting {}\n", held_.size());
    return text;
}

void row_mirror::answer_held()
{
    if (held_.empty() || std::exchange(news_posted_, true))
        return;
    held_timer_.expires_after(news_delay);
    held_timer_.async_wait(
        [this](asio::error_code const& cancelled)
        {
            if (cancelled)
                return;
            news_posted_ = false;
            review_held();
        });
}

void row_mirror::review_held()
{
    time_point const now = boot_clock::now();
    std::vector<held_question> waiting = std::exchange(held_, {});
    time_point next = never;
    for (held_question& each : waiting)
    {
        if (now >= each.answer_at || has_news(each.question))
        {
            each.answer->respond(json_response(
                status_ok,
                encode_rows_answer(answer_to(each.question, each.arrived_at))));
            continue;
        }
        next = std::min(next, each.answer_at);
        held_.push_back(std::move(each));
    }
    if (held_.empty() || news_posted_)
        return;
    held_timer_.expires_after(next - now);
    held_timer_.async_wait(
        [this](asio::error_code const& cancelled)
        {
            if (!cancelled)
                review_held();
        });
}

} // namespace mulberry
