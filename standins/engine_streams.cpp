#include "engine_streams.hpp"

#include "json_text.hpp"

#include <algorithm>
#include <utility>

namespace mulberry::standins
{
namespace
{

/// How long a resumable stream continues without a reader.
constexpr std::chrono::seconds reader_grace{10};
constexpr std::chrono::seconds finished_stream_retention{30};
constexpr std::size_t max_finished_streams = 20'000;
/// Number of events delivered before an injected fault takes effect.
constexpr std::size_t events_before_fault = 2;
/// The prefill time is divided by this factor if the prefix is cached.
constexpr int cached_prefill_speedup = 4;

steady_time now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

engine_streams::engine_streams(engine_settings const& settings,
                               engine_journal& journal, standin_loop& loop)
    : settings_(settings), journal_(journal), loop_(loop),
      prefixes_(settings.prefixes),
      scheduler_(settings.batch, [this](job_id job) { return prefill(job); }),
      token_timer_(loop, [this] { pump(); })
{
}

bool engine_streams::start(completion_order order, answer_ptr const& reader)
{
    job_id const job{last_job_ + 1};
    if (!scheduler_.admit(job, order.priority, order.text.tokens()))
        return false;
    ++last_job_;
    journal_.enter(order.call.name);
    jobs_[order.call.request] = job;
    streams_.emplace(job, stream{std::move(order)});
    attach(job, reader);
    pump();
    return true;
}

bool engine_streams::resume(std::string const& request, std::size_t offset,
                            http_headers headers, answer_ptr const& reader)
{
    auto const found = find(request);
    if (rejects_resume_ || found == streams_.end())
        return false;
    stream& entry = found->second;
    journal_.record("resumed", entry.order.call);
    if (entry.reader)
        entry.reader->abort();
    entry.order.headers = std::move(headers);
    entry.order.streamed = true;
    entry.order.fault = stream_fault::none;
    entry.from = offset;
    attach(found->first, reader);
    start_response(entry);
    deliver(entry, 0, entry.generated);
    if (entry.is_complete)
        std::exchange(entry.reader, nullptr)->finish();
    return true;
}

bool engine_streams::cancel(std::string const& request)
{
    auto const found = find(request);
    if (found == streams_.end() || found->second.is_complete)
        return false;
    end(found, "cancelled");
    pump();
    return true;
}

void engine_streams::abort_streams_for(std::string const& name)
{
    for (auto next = streams_.begin(); next != streams_.end();)
    {
        auto const found = next++;
        if (!found->second.is_complete && found->second.order.call.name == name)
            end(found, "cut");
    }
    pump();
}

void engine_streams::abort_all_streams()
{
    while (!streams_.empty())
    {
        if (streams_.begin()->second.is_complete)
            erase(streams_.begin());
        else
            end(streams_.begin(), "cut");
    }
    complete_streams_.clear();
    for (auto const& [id, reader] : std::exchange(silent_readers_, {}))
        reader->abort();
    prefixes_.clear();
    pump();
}

void engine_streams::control(Json::Value const& order)
{
    if (order.isMember("token_ms"))
        scheduler_.set_token_time(
            from_milliseconds(order["token_ms"].asDouble()));
    if (order.isMember("forget_streams"))
        rejects_resume_ = order["forget_streams"].asBool();
    if (order.isMember("hold_tokens"))
        scheduler_.hold(order["hold_tokens"].asBool(), now());
    pump();
}

std::chrono::microseconds engine_streams::prefill(job_id job)
{
    bool const cached = prefixes_.use(streams_.at(job).order.prefix, now());
    return cached ? settings_.prefill_time / cached_prefill_speedup
                  : settings_.prefill_time;
}

void engine_streams::pump()
{
    // A step may end a stream early, which frees a slot for a waiting job.
    for (auto steps = scheduler_.advance(now()); !steps.empty();
         steps = scheduler_.advance(now()))
    {
        for (batch_step const& step : steps)
            apply_step(step);
    }
    token_timer_.set(scheduler_.next_due());
    expire_finished_streams();
}

void engine_streams::apply_step(batch_step const& step)
{
    auto const found = streams_.find(step.job);
    if (found == streams_.end())
        return;
    stream& entry = found->second;
    entry.generated = step.to;
    if (step.from == step.to)
    {
        journal_.record("started", entry.order.call);
        start_response(entry);
        return;
    }
    bool const whole = entry.generated == entry.order.text.tokens();
    if (entry.order.fault != stream_fault::none && entry.reader &&
        entry.generated >= events_before_fault)
        apply_fault(found, step.from);
    else
        deliver(entry, step.from, step.to);
    if (whole && streams_.contains(step.job))
        finish(found);
}

void engine_streams::attach(job_id job, answer_ptr const& reader)
{
    stream& entry = streams_.at(job);
    entry.reader = reader;
    entry.headers_sent = false;
    std::uint64_t const number = ++entry.reader_number;
    reader->on_closed(
        [this, job, number] {
            loop_.post([this, job, number] { on_reader_closed(job, number); });
        });
}

void engine_streams::start_response(stream& entry)
{
    if (!entry.order.streamed || !entry.reader || entry.headers_sent)
        return;
    entry.headers_sent = true;
    http_headers headers = entry.order.headers;
    headers.add("Content-Type", "text/event-stream");
    entry.reader->start_stream(200, std::move(headers));
}

void engine_streams::deliver(stream& entry, std::size_t from, std::size_t to)
{
    if (!entry.order.streamed || !entry.reader)
        return;
    std::size_t const wanted = std::max(from, entry.from);
    if (wanted < to || to == entry.order.text.tokens())
        entry.reader->write(entry.order.text.events(wanted, to));
}

void engine_streams::apply_fault(stream_map::iterator found, std::size_t from)
{
    stream& entry = found->second;
    deliver(entry, from, events_before_fault);
    auto const fault = std::exchange(entry.order.fault, stream_fault::none);
    answer_ptr const reader = std::exchange(entry.reader, nullptr);
    if (fault == stream_fault::hang)
    {
        silent_readers_[{found->first, entry.reader_number}] = reader;
        return;
    }
    reader->abort();
    on_reader_lost(found);
}

void engine_streams::finish(stream_map::iterator found)
{
    stream& entry = found->second;
    entry.is_complete = true;
    complete_streams_.emplace_back(now(), found->first);
    journal_.leave(entry.order.call.name);
    journal_.record("finished", entry.order.call);
    answer_ptr const reader = std::exchange(entry.reader, nullptr);
    if (!reader)
        return;
    if (entry.order.streamed)
        return reader->finish();
    http_response response = json_response(200, entry.order.text.body());
    for (auto const& [name, value] : entry.order.headers.fields())
        response.headers.add(name, value);
    reader->respond(std::move(response));
}

void engine_streams::on_reader_closed(job_id job, std::uint64_t reader_number)
{
    bool const was_silent = silent_readers_.erase({job, reader_number}) != 0;
    auto const found = streams_.find(job);
    if (found == streams_.end() || found->second.reader_number != reader_number)
        return;
    bool const was_read =
        std::exchange(found->second.reader, nullptr) != nullptr;
    if (!was_silent && !was_read)
        return;
    on_reader_lost(found);
    pump();
}

void engine_streams::on_reader_lost(stream_map::iterator found)
{
    stream const& entry = found->second;
    if (entry.is_complete)
        return;
    if (!entry.order.resumable)
        return end(found, "cut");
    loop_.after(reader_grace,
                [this, job = found->first, number = entry.reader_number]
                { expire(job, number); });
}

void engine_streams::expire(job_id job, std::uint64_t reader_number)
{
    auto const found = streams_.find(job);
    if (found == streams_.end() || found->second.is_complete ||
        found->second.reader_number != reader_number)
        return;
    end(found, "cut");
    pump();
}

void engine_streams::end(stream_map::iterator found, std::string_view kind)
{
    stream& entry = found->second;
    scheduler_.remove(found->first);
    journal_.leave(entry.order.call.name);
    journal_.record(kind, entry.order.call);
    if (entry.reader)
        entry.reader->abort();
    erase(found);
}

void engine_streams::erase(stream_map::iterator found)
{
    auto const job = jobs_.find(found->second.order.call.request);
    if (job != jobs_.end() && job->second == found->first)
        jobs_.erase(job);
    streams_.erase(found);
}

void engine_streams::expire_finished_streams()
{
    while (
        !complete_streams_.empty() &&
        (complete_streams_.front().first + finished_stream_retention < now() ||
         complete_streams_.size() > max_finished_streams))
    {
        auto const found = streams_.find(complete_streams_.front().second);
        if (found != streams_.end())
            erase(found);
        complete_streams_.pop_front();
    }
}

engine_streams::stream_map::iterator
engine_streams::find(std::string const& request)
{
    auto const job = jobs_.find(request);
    return job == jobs_.end() ? streams_.end() : streams_.find(job->second);
}

} // namespace mulberry::standins
