#include "engine_model.hpp"

#include <algorithm>
#include <utility>

namespace mulberry
{
namespace
{

/// Adapters that may be on their way to one worker.
constexpr std::size_t most_coming = 4;
constexpr double tokens_per_thousand = 1000;

duration times(duration span, double factor)
{
    return duration(static_cast<duration::rep>(double(span.count()) * factor));
}

} // namespace

engine_model::engine_model(engine_settings const& settings, fetch_gate& gate)
    : settings_(settings), gate_(gate)
{
}

admission engine_model::submit(engine_request request, time_point now)
{
    if (down_)
        return admission::down;
    settle(now);
    if (!request.adapter.empty() && resident_.count(request.adapter) == 0)
        return admission::lacks_adapter;
    if (waiting_.size() >= settings_.queue)
        return admission::full;
    int const priority = request.priority;
    waiting_.emplace(priority, std::move(request));
    if (step_ends_at_ == never)
        begin_step(now);
    return admission::taken;
}

void engine_model::cancel(std::uint64_t request)
{
    std::erase_if(waiting_, [request](auto const& each)
                  { return each.second.id == request; });
    std::erase_if(running_, [request](run const& each)
                  { return each.request.id == request; });
}

/// Fetches that are over make their adapters resident; adapters that were
/// ordered away go with their last request.
void engine_model::settle(time_point now)
{
    for (auto coming = coming_.begin(); coming != coming_.end();)
    {
        if (coming->second > now)
        {
            ++coming;
            continue;
        }
        gate_.under_way -= fetched_.erase(coming->first);
        resident_.insert(coming->first);
        coming = coming_.erase(coming);
    }
    std::erase_if(leaving_,
                  [this](std::string const& adapter)
                  {
                      if (in_use(adapter))
                          return false;
                      resident_.erase(adapter);
                      return true;
                  });
}

bool engine_model::in_use(std::string const& adapter) const
{
    return std::any_of(running_.begin(), running_.end(),
                       [&adapter](run const& each)
                       { return each.request.adapter == adapter; }) ||
           std::any_of(waiting_.begin(), waiting_.end(),
                       [&adapter](auto const& each)
                       { return each.second.adapter == adapter; });
}

order_outcome engine_model::take(worker_order const& order, time_point now)
{
    if (down_)
        return order_outcome::unknown;
    settle(now);
    return order.kind == order_kind::load ? load(order, now) : unload(order);
}

order_outcome engine_model::load(worker_order const& order, time_point now)
{
    std::string const adapter = order.adapter.str();
    if (coming_.count(adapter) > 0)
        return order_outcome::accepted;
    if (order.expected_sequence != sequence_ || !leaving_.empty())
        return order_outcome::conflict;
    if (resident_.count(adapter) > 0)
        return order_outcome::already_applied;
    if (coming_.size() >= most_coming ||
        coming_.size() + resident_.size() >= settings_.adapter_slots)
        return order_outcome::conflict;
    ++sequence_;
    auto const copy = std::find(copies_.begin(), copies_.end(), adapter);
    bool const copied = copy != copies_.end();
    duration takes = settings_.fetch_of_copy;
    if (!copied)
    {
        ++gate_.under_way;
        fetched_.insert(adapter);
        double const crowd =
            double(gate_.under_way) / double(settings_.fetch_width);
        takes = times(settings_.fetch, std::max(1.0, crowd));
    }
    ++(copied ? counts_.fetches_of_copies : counts_.fetches);
    if (copied)
        copies_.erase(copy);
    copies_.push_back(adapter);
    if (copies_.size() > settings_.adapter_copies)
        copies_.pop_front();
    coming_.emplace(adapter, now + takes);
    return order_outcome::accepted;
}

order_outcome engine_model::unload(worker_order const& order)
{
    std::string const adapter = order.adapter.str();
    if (leaving_.count(adapter) > 0)
        return order_outcome::accepted;
    if (resident_.count(adapter) == 0)
        return order_outcome::already_applied;
    if (order.expected_sequence != sequence_ || !leaving_.empty())
        return order_outcome::conflict;
    ++sequence_;
    if (in_use(adapter))
    {
        leaving_.insert(adapter);
        return order_outcome::accepted;
    }
    resident_.erase(adapter);
    return order_outcome::already_applied;
}

worker_report engine_model::report(base_model_id const& model, time_point now)
{
    settle(now);
    worker_report report;
    report.sequence = sequence_;
    auto& held = report.models[model];
    for (std::string const& adapter : resident_)
        held.emplace(adapter_id(adapter), adapter_version(1));
    for (auto const& [adapter, done] : coming_)
        report.loading_adapters.push_back({model, adapter_id(adapter)});
    return report;
}

std::string engine_model::key_of(engine_request const& request)
{
    return request.adapter + "@" + std::to_string(request.prefix.key);
}

/// Tokens of the prompt that are not kept from an earlier request.
std::uint32_t engine_model::to_read(engine_request const& request)
{
    std::uint32_t const own =
        request.prompt_tokens -
        std::min(request.prompt_tokens, request.prefix.tokens);
    if (request.prefix.key == 0)
        return std::max<std::uint32_t>(request.prompt_tokens, 1);
    std::string const key = key_of(request);
    auto const kept = std::find_if(prefixes_.begin(), prefixes_.end(),
                                   [&key](kept_prefix const& each)
                                   { return each.key == key; });
    if (kept != prefixes_.end())
        prefixes_.splice(prefixes_.end(), prefixes_, kept);
    else if (!request.prefix_copied)
    {
        if (read_before_.count(key) > 0)
            counts_.tokens_read_again += request.prefix.tokens;
        return std::max<std::uint32_t>(request.prompt_tokens, 1);
    }
    return std::max<std::uint32_t>(own, 1);
}

void engine_model::keep(engine_request const& request)
{
    if (request.prefix.key == 0)
        return;
    std::string const key = key_of(request);
    read_before_.insert(key);
    if (std::any_of(prefixes_.begin(), prefixes_.end(),
                    [&key](kept_prefix const& each)
                    { return each.key == key; }))
        return;
    prefixes_.push_back({key, request.prefix.tokens});
    prefix_tokens_ += request.prefix.tokens;
    while (prefix_tokens_ > settings_.kept_tokens && !prefixes_.empty())
    {
        prefix_tokens_ -= prefixes_.front().tokens;
        prefixes_.pop_front();
    }
}

void engine_model::admit()
{
    while (running_.size() < settings_.batch && !waiting_.empty())
    {
        auto next = waiting_.extract(waiting_.begin());
        run made{std::move(next.mapped()), 0, 0, 0};
        made.to_read = to_read(made.request);
        made.to_make = std::max<std::uint32_t>(made.request.answer_tokens, 1);
        running_.push_back(std::move(made));
    }
}

/// Prompts are read in pieces beside the tokens of the others, the oldest
/// first.
void engine_model::begin_step(time_point now)
{
    admit();
    if (running_.empty())
    {
        step_ends_at_ = never;
        return;
    }
    std::uint32_t left = settings_.chunk;
    std::uint32_t reading = 0;
    std::uint64_t context = 0;
    for (run& each : running_)
    {
        each.reading = std::min(left, each.to_read);
        left -= each.reading;
        reading += each.reading;
        context += each.request.prompt_tokens -
                   std::min(each.to_read, each.request.prompt_tokens);
    }
    counts_.tokens_read += reading;
    duration const takes =
        settings_.step +
        times(settings_.step_a_request, double(running_.size())) +
        times(settings_.step_a_thousand_tokens,
              double(context) / tokens_per_thousand) +
        times(std::chrono::milliseconds(1),
              double(reading) / settings_.read_tokens_a_ms);
    step_ends_at_ = now + takes;
}

std::vector<engine_progress> engine_model::advance(time_point now)
{
    if (now < step_ends_at_)
        return {};
    std::vector<engine_progress> made;
    for (run& each : running_)
    {
        bool const read_before = each.to_read == 0;
        each.to_read -= std::exchange(each.reading, 0);
        if (each.to_read > 0)
            continue;
        if (!read_before)
        {
            keep(each.request);
            made.push_back(
                {each.request.id, engine_progress::kind::first_token});
        }
        if (--each.to_make == 0)
            made.push_back({each.request.id, engine_progress::kind::ended});
    }
    std::erase_if(running_, [](run const& each) { return each.to_make == 0; });
    settle(now);
    begin_step(now);
    return made;
}

std::vector<std::uint64_t> engine_model::crash(time_point now)
{
    settle(now);
    std::vector<std::uint64_t> lost;
    for (run const& each : running_)
        lost.push_back(each.request.id);
    for (auto const& [priority, request] : waiting_)
        lost.push_back(request.id);
    gate_.under_way -= fetched_.size();
    running_.clear();
    waiting_.clear();
    resident_.clear();
    coming_.clear();
    fetched_.clear();
    leaving_.clear();
    prefixes_.clear();
    prefix_tokens_ = 0;
    sequence_ = 0;
    step_ends_at_ = never;
    down_ = true;
    return lost;
}

} // namespace mulberry
