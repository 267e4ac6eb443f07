#include "crash_detector.hpp"

#include "boot_clock.hpp"
#include "crash_row.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace mulberry
{
namespace
{

using std::chrono::milliseconds;

/// A process that terminates may close its connections before its listening
/// socket, so the check starts after a delay.
constexpr milliseconds check_delay{30};

clock_pair clocks()
{
    return {boot_clock::now(), std::chrono::system_clock::now()};
}

std::string joined(std::vector<request_digest> const& digests)
{
    std::string text;
    for (request_digest const& each : digests)
        text += (text.empty() ? "" : " ") + each.str();
    return text;
}

} // namespace

crash_detector::crash_detector(asio::io_context& io, crash_peers& peers,
                               crash_detector_options options, event_log& log)
    : io_(io), peers_(peers), options_(std::move(options)), log_(log),
      replicator_(options_.limits, options_.seed), timer_(io)
{
}

crash_detector::~crash_detector()
{
    for (auto const& [checked_worker, crash] : crashes_to_check_)
        crash.check->cancel();
}

void crash_detector::on_connection_lost(request_id const& request,
                                        request_identity const& identity,
                                        backend_entry const& worker,
                                        time_point sent_at)
{
    worker_incarnation const checked_worker{worker.id, worker.started};
    auto const [crash, first] = crashes_to_check_.try_emplace(checked_worker);
    if (crash->second.requests.size() < options_.limits.max_entries)
        crash->second.requests.push_back({request, identity, sent_at});
    if (!first)
        return;
    crash->second.worker = worker;
    crash->second.at = boot_clock::now();
    crash->second.check = std::make_shared<connect_check>(io_);
    bool const checked = crash->second.check->start(
        {worker.address, worker.port}, options_.source_address, check_delay,
        [this, checked_worker](bool reachable)
        { on_checked(checked_worker, reachable); });
    if (checked)
        return;
    log_.notable("worker cannot be checked",
                 log_fields()
                     .add("worker", worker.id.str())
                     .add("address", worker.address),
                 boot_clock::now());
    crashes_to_check_.erase(crash);
}

void crash_detector::on_checked(worker_incarnation const& checked_worker,
                                bool reachable)
{
    auto const found = crashes_to_check_.find(checked_worker);
    if (found == crashes_to_check_.end())
        return;
    suspected_crash const crash = std::move(found->second);
    crashes_to_check_.erase(found);
    if (reachable)
    {
        ++counts_.checks_answered;
        return;
    }
    peers_.check_other_workers(
        crash.worker,
        [this, crash](bool reached)
        {
            if (reached)
                return on_crash(crash);
            ++counts_.checks_cut_off;
            log_.notable("worker not checked",
                         log_fields()
                             .add("worker", crash.worker.id.str())
                             .add("reason", "no other worker was reached"),
                         boot_clock::now());
        });
}

void crash_detector::on_crash(suspected_crash const& crash)
{
    ++counts_.crashes;
    std::vector<crash_observation> seen;
    worker_incarnation const crashed{crash.worker.id, crash.worker.started};
    std::map<request_digest, time_point> parts;
    for (interrupted_request const& each : crash.requests)
    {
        for (request_digest const& digest :
             {each.identity.content, each.identity.content_and_caller})
            seen.push_back({digest, crashed, each.sent_at, crash.at});
        for (request_digest const& part : each.identity.parts)
        {
            time_point& sent_at = parts.try_emplace(part).first->second;
            sent_at = std::max(sent_at, each.sent_at);
        }
    }
    for (auto const& [part, sent_at] : parts)
        seen.push_back({part, crashed, sent_at, crash.at});
    note_part_answers(seen);
    replicator_.on_crash(seen, boot_clock::now());
    log_crash(crash);
    log_quarantines(seen, "this VM");
    run();
}

void crash_detector::note_part_answers(
    std::vector<crash_observation> const& seen)
{
    for (crash_observation const& each : seen)
        if (is_part(each.request))
            if (auto const at = answered_.answered_at(each.request))
                replicator_.note_answer(each.request, *at);
}

void crash_detector::on_prompt_answered(prompt_shape const& prompt)
{
    time_point const now = boot_clock::now();
    std::vector<request_digest> const parts = shared_parts(prompt);
    for (request_digest const& part : parts)
        answered_.add(part, now);
    if (!has_no_suspects())
        clear(parts);
}

std::vector<part_answer>
crash_detector::part_answers(std::vector<request_digest> const& parts) const
{
    std::vector<part_answer> known;
    for (request_digest const& part : parts)
        if (auto const at = answered_.answered_at(part))
            known.push_back({part, *at});
    return known;
}

void crash_detector::log_crash(suspected_crash const& crash)
{
    time_point const now = boot_clock::now();
    for (interrupted_request const& each : crash.requests)
        log_.notable(
            "worker crashed under request",
            log_fields()
                .add("request", each.request.str())
                .add("content", each.identity.content.str())
                .add("parts", joined(each.identity.parts))
                .add("worker", crash.worker.id.str())
                .add("started", crash.worker.started.value())
                .add("domain", crash.worker.domain.str())
                .add("beside", std::uint64_t{crash.requests.size() - 1})
                .add("crashes", std::uint64_t{replicator_.record().crashes(
                                    each.identity.content, now)}),
            now);
}

void crash_detector::log_confirmed(std::vector<request_digest> const& parts)
{
    for (request_digest const& part : parts)
        log_quarantines(replicator_.record().observations(part), "this VM");
}

void crash_detector::log_quarantines(
    std::vector<crash_observation> const& update, std::string_view source)
{
    time_point const now = boot_clock::now();
    std::erase_if(logged_quarantines_,
                  [now](auto const& each) { return each.second <= now; });
    for (crash_observation const& each : update)
    {
        auto const until =
            replicator_.record().quarantined_until(each.request, now);
        if (!until || logged_quarantines_.count(each.request) > 0)
            continue;
        logged_quarantines_.emplace(each.request, *until);
        log_.notable("request quarantined",
                     log_fields()
                         .add("content", each.request.str())
                         .add("workers", workers_crashed_under(each.request))
                         .add("heard_from", source)
                         .add("for_ms", *until - now),
                     now);
    }
}

void crash_detector::on_answered(request_identity const& identity)
{
    clear({identity.content, identity.content_and_caller});
}

void crash_detector::clear(std::vector<request_digest> const& answered)
{
    time_point const now = boot_clock::now();
    bool cleared = false;
    for (request_digest const& each : answered)
    {
        if (!replicator_.record().is_suspect(each))
            continue;
        replicator_.on_answered(each, now);
        logged_quarantines_.erase(each);
        cleared = true;
    }
    if (cleared)
        run();
}

bool crash_detector::may_be_down(backend_entry const& worker) const
{
    worker_incarnation const listed{worker.id, worker.started};
    return crashes_to_check_.count(listed) > 0 ||
           replicator_.record().has_crashed(listed);
}

std::optional<quarantine>
crash_detector::find_quarantine(request_identity const& identity) const
{
    time_point const now = boot_clock::now();
    std::vector<request_digest> digests{identity.content_and_caller,
                                        identity.content};
    digests.insert(digests.end(), identity.parts.begin(), identity.parts.end());
    for (request_digest const& each : digests)
    {
        auto const until = replicator_.record().quarantined_until(each, now);
        if (!until)
            continue;
        return quarantine{*until, replicator_.record().crashes(each, now),
                          workers_crashed_under(each)};
    }
    return std::nullopt;
}

std::string
crash_detector::workers_crashed_under(request_digest const& request) const
{
    std::string workers;
    for (crash_observation const& seen :
         replicator_.record().observations(request))
        workers += (workers.empty() ? "" : " ") + seen.crashed.worker.str();
    return workers;
}

void crash_detector::on_crash_update(crash_update const& update)
{
    note_part_answers(update.seen);
    replicator_.on_crash_update(update, boot_clock::now());
    for (request_digest const& each : update.answered)
        logged_quarantines_.erase(each);
    log_quarantines(update.seen, "another VM");
    run();
}

void crash_detector::on_rows(std::vector<stored_row> const& rows)
{
    std::vector<crash_observation> present;
    clock_pair const clock = clocks();
    for (stored_row const& row : rows)
    {
        auto const key = parse_crash_key(row.key);
        if (!key)
            continue;
        if (row.deleted)
        {
            replicator_.on_row_deleted(*key);
            continue;
        }
        auto const seen = parse_crash_row(row.key, row.value, clock);
        if (!seen)
        {
            log_.notable("malformed crash row",
                         log_fields().add("key", row.key), clock.now);
            continue;
        }
        replicator_.on_row(*seen, clock.now);
        present.push_back(*seen);
    }
    if (present.empty())
        return;
    log_quarantines(present, "the store");
    run();
}

void crash_detector::run()
{
    for (crash_action const& action : replicator_.run(boot_clock::now()))
        execute(action);
    arm_timer();
}

void crash_detector::execute(crash_action const& action)
{
    if (auto const* message = std::get_if<send_crash_update>(&action))
        return peers_.broadcast(message->update,
                                [this, update = message->update](bool by_all)
                                {
                                    replicator_.on_update_sent(
                                        update, by_all, boot_clock::now());
                                    run();
                                });
    if (auto const* question = std::get_if<ask_part_answers>(&action))
        return peers_.ask_part_answers(
            question->parts,
            [this, asked = *question](std::vector<part_answer> answers)
            {
                for (part_answer const& own : part_answers(asked.parts))
                    answers.push_back(own);
                replicator_.on_part_answers(asked, answers, boot_clock::now());
                log_confirmed(asked.parts);
                run();
            });
    if (!options_.write_rows)
        return;
    auto const& write = std::get<write_crash_rows>(action);
    clock_pair const clock = clocks();
    table_transaction transaction;
    for (crash_observation const& each : write.put)
        transaction.writes.push_back(
            {crash_row_key({each.request, each.crashed}),
             crash_row_text(each, clock)});
    for (crash_key const& each : write.drop)
        transaction.writes.push_back({crash_row_key(each), std::nullopt});
    options_.write_rows(transaction,
                        [this](bool done)
                        {
                            replicator_.on_written(done, boot_clock::now());
                            run();
                        });
}

void crash_detector::arm_timer()
{
    time_point const next = replicator_.next_due();
    if (next == never)
        return;
    timer_.expires_after(
        std::max<duration>(next - boot_clock::now(), milliseconds(1)));
    timer_.async_wait(
        [this](asio::error_code const& cancelled)
        {
            if (!cancelled)
                run();
        });
}

std::string crash_detector::metrics() const
{
    time_point const now = boot_clock::now();
    crash_record const& record = replicator_.record();
    std::string text;
    auto const add = [&text](std::string_view name, std::uint64_t value)
    { text += fmt::format("mulberry_{} {}\n", name, value); };
    add("worker_crashes_seen_total", counts_.crashes);
    add("worker_crash_checks_answered_total", counts_.checks_answered);
    add("worker_crash_checks_cut_off_total", counts_.checks_cut_off);
    add("requests_suspected", record.suspect_count());
    add("requests_quarantined", record.quarantined_count(now));
    add("quarantine_refusals_total", counts_.refused);
    return text;
}

} // namespace mulberry
