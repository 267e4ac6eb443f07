#include "trial_trace.hpp"

#include "placement.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <cmath>
#include <numeric>
#include <random>

namespace mulberry
{
namespace
{

using seconds = std::chrono::duration<double>;

constexpr double seconds_a_token = 0.02;
constexpr double prefill_seconds = 0.3;
constexpr double cached_prefill_seconds = 0.1;
constexpr double median_tokens = 200;
constexpr double tokens_spread = 0.6;
constexpr double least_tokens = 20;
constexpr double most_tokens = 1000;
constexpr unsigned heads_an_adapter = 3;

constexpr double warm_up_seconds = 300;
constexpr double fault_seconds = 600;
constexpr double fault_end_seconds = 780;
constexpr double trace_seconds = 1200;

time_point at(double second)
{
    return time_point{} + std::chrono::duration_cast<duration>(seconds(second));
}

/// Uniform in [0, 1), the same with every standard library.
double uniform(std::mt19937_64& random)
{
    return static_cast<double>(random() >> 11) * 0x1.0p-53;
}

double standard_normal(std::mt19937_64& random)
{
    double const radius = std::sqrt(-2 * std::log(1 - uniform(random)));
    return radius * std::cos(2 * 3.14159265358979 * uniform(random));
}

std::size_t draw_tokens(std::mt19937_64& random)
{
    double const drawn =
        median_tokens * std::exp(tokens_spread * standard_normal(random));
    return static_cast<std::size_t>(
        std::clamp(drawn, least_tokens, most_tokens));
}

/// Popularity by rank; which adapter has which rank is a permutation.
class popularity
{
public:
    popularity(deployment_size const& size, std::mt19937_64& random)
        : cumulative_(size.adapters), adapter_of_rank_(size.adapters)
    {
        double sum = 0;
        for (std::size_t rank = 0; rank < size.adapters; ++rank)
        {
            sum += std::pow(static_cast<double>(rank + 1), -size.zipf_exponent);
            cumulative_[rank] = sum;
        }
        std::iota(adapter_of_rank_.begin(), adapter_of_rank_.end(), 0);
        permute(random);
    }

    void permute(std::mt19937_64& random)
    {
        for (std::size_t i = adapter_of_rank_.size(); i > 1; --i)
            std::swap(adapter_of_rank_[i - 1], adapter_of_rank_[random() % i]);
    }

    std::size_t draw(std::mt19937_64& random) const
    {
        double const place = uniform(random) * cumulative_.back();
        auto const found =
            std::lower_bound(cumulative_.begin(), cumulative_.end(), place);
        return adapter_of_rank_[static_cast<std::size_t>(found -
                                                         cumulative_.begin())];
    }

private:
    std::vector<double> cumulative_;
    std::vector<std::size_t> adapter_of_rank_;
};

double mean_service_seconds()
{
    double const mean =
        median_tokens * std::exp(tokens_spread * tokens_spread / 2);
    return mean * seconds_a_token + cached_prefill_seconds;
}

trace_faults faults_of(std::string_view name)
{
    trace_faults faults;
    if (name == "cold-restart")
        faults.restarts = {at(fault_seconds), at(fault_end_seconds)};
    if (name == "failed-loads")
    {
        faults.loads_fail_from = at(fault_seconds);
        faults.loads_fail_until = at(fault_end_seconds);
        faults.failing_share = 0.2;
    }
    if (name == "store-slow")
    {
        faults.slow_from = at(fault_seconds);
        faults.slow_until = at(fault_end_seconds);
        faults.slow_factor = 4;
    }
    if (name == "store-down")
    {
        faults.down_from = at(fault_seconds);
        faults.down_until = at(fault_seconds + 60);
    }
    return faults;
}

} // namespace

deployment_size deployment_named(std::string_view name)
{
    deployment_size size;
    size.name = name;
    if (name == "trust")
    {
        size.service = "loglm";
        size.workers = 18;
        size.store = {9, 4};
        size.stall_weight = 0.8;
        return size;
    }
    assert(name == "chia-deu");
    size.service = "ledger-llm";
    size.workers = 12;
    size.store = {4, 3};
    size.stall_weight = 0.2;
    return size;
}

adapter_ref adapter_numbered(std::size_t number)
{
    return adapter_ref(adapter_id(fmt::format("adapter-{:05}", number)),
                       adapter_version(1));
}

declaration declaration_of(deployment_size const& size)
{
    declaration result;
    result.deployment = size.name;
    result.stall_weight = size.stall_weight;
    result.store = size.store;
    base_model_id const model("base");
    for (std::size_t i = 0; i < size.workers; ++i)
    {
        worker_declaration worker;
        worker.id = worker_id(fmt::format("{}-{:02}", size.service, i));
        worker.base_model = model;
        worker.domain = domain_id(fmt::format("domain-{}", i % 3));
        worker.batch_slots = size.batch_slots;
        worker.adapter_slots = size.adapter_slots;
        result.workers.emplace(worker.id, worker);
    }
    for (std::size_t i = 0; i < size.adapters; ++i)
    {
        adapter_declaration adapter;
        adapter.id = adapter_numbered(i).adapter();
        adapter.base_model = model;
        adapter.versions = {adapter_version(1)};
        adapter.applications = {application_id("application")};
        result.adapters.emplace(adapter.id, adapter);
    }
    return result;
}

duration service_time(std::size_t tokens, bool prefix_cached)
{
    double const prefill =
        prefix_cached ? cached_prefill_seconds : prefill_seconds;
    return std::chrono::duration_cast<duration>(
        seconds(prefill + seconds_a_token * static_cast<double>(tokens)));
}

std::vector<std::string> trace_names()
{
    return {"steady",       "shift",      "cold-restart",
            "failed-loads", "store-slow", "store-down"};
}

trial_trace make_trace(deployment_size const& size, std::string_view name,
                       std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    popularity ranks(size, random);
    trial_trace trace;
    trace.name = name;
    trace.measured_from = at(warm_up_seconds);
    trace.end = at(trace_seconds);
    trace.faults = faults_of(name);
    double const rate = size.offered_load *
                        static_cast<double>(size.workers * size.batch_slots) /
                        mean_service_seconds();
    double second = 0;
    bool shifted = name != "shift";
    for (;;)
    {
        second -= std::log(1 - uniform(random)) / rate;
        if (second >= trace_seconds)
            break;
        if (!shifted && second >= fault_seconds)
        {
            ranks.permute(random);
            shifted = true;
        }
        trace_request request;
        request.at = at(second);
        request.adapter = ranks.draw(random);
        request.tokens = draw_tokens(random);
        request.prefix_key = stable_hash(
            fmt::format("{}/{}", request.adapter, random() % heads_an_adapter));
        trace.requests.push_back(request);
    }
    return trace;
}

} // namespace mulberry
