#include "traffic.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <utility>

namespace mulberry
{
namespace
{

using clock = std::chrono::steady_clock;

constexpr std::size_t clients = 2;

/// Draws models by their popularity.
class model_picker
{
public:
    explicit model_picker(traffic_plan const& plan)
        : models_(plan.models), random_(plan.seed)
    {
        std::vector<double> weights;
        for (std::size_t rank = 1; rank <= models_.size(); ++rank)
            weights.push_back(
                std::pow(static_cast<double>(rank), -plan.zipf_exponent));
        places_ = std::discrete_distribution<std::size_t>(weights.begin(),
                                                          weights.end());
    }
    std::string const& next() { return models_[places_(random_)]; }

private:
    std::vector<std::string> models_;
    std::mt19937_64 random_;
    std::discrete_distribution<std::size_t> places_;
};

class traffic_run
{
public:
    explicit traffic_run(traffic_plan const& plan)
        : plan_(&plan), picker_(plan), next_arrival_(clock::now()),
          end_(next_arrival_ + plan.length)
    {
    }
    traffic_run(traffic_run const&) = delete;
    traffic_run& operator=(traffic_run const&) = delete;

    std::vector<probe_result> run()
    {
        std::unique_lock lock(mutex_);
        while (clock::now() < end_ || in_flight_ > 0 || !retries_.empty())
        {
            clock::time_point const now = clock::now();
            if (auto request = due(now))
                send(std::move(*request), lock);
            else
                changed_.wait_until(lock, wake_at(now));
        }
        return std::move(results_);
    }

private:
    std::optional<probe_request> due(clock::time_point now)
    {
        if (!retries_.empty() && retries_.begin()->first <= now)
            return std::move(retries_.extract(retries_.begin()).mapped());
        if (now >= end_)
            return std::nullopt;
        if (plan_->rate == 0)
            return in_flight_ < plan_->in_flight ? std::optional(fresh())
                                                 : std::nullopt;
        if (now < next_arrival_)
            return std::nullopt;
        next_arrival_ += std::chrono::duration_cast<clock::duration>(
            std::chrono::duration<double>(1 / plan_->rate));
        return fresh();
    }

    clock::time_point wake_at(clock::time_point now) const
    {
        clock::time_point at = now + std::chrono::milliseconds(100);
        if (now < end_)
            at = std::min(at, end_);
        if (plan_->rate != 0 && now < end_)
            at = std::min(at, next_arrival_);
        if (!retries_.empty())
            at = std::min(at, retries_.begin()->first);
        return at;
    }

    probe_request fresh()
    {
        std::size_t const number = sent_++;
        probe_request request;
        request.target = plan_->targets[number % plan_->targets.size()];
        request.model = picker_.next();
        request.prompt = "Shift notes " + std::to_string(number % 97);
        request.tokens = plan_->tokens;
        request.deadline = plan_->deadline;
        // Each target gets its share of streams, whatever their number.
        std::size_t const round = number / plan_->targets.size();
        request.streamed =
            plan_->stream_every != 0 && round % plan_->stream_every == 0;
        return request;
    }

    void send(probe_request request, std::unique_lock<std::mutex>& lock)
    {
        ++in_flight_;
        http_client& client = clients_[next_client_++ % clients];
        lock.unlock();
        http_call call = call_of(request);
        client.start(std::move(call),
                     std::make_shared<probe>(std::move(request),
                                             [this](probe_result result)
                                             { take(std::move(result)); }));
        lock.lock();
    }

    void take(probe_result result)
    {
        std::lock_guard const lock(mutex_);
        --in_flight_;
        if (result.retry_after.count() > 0 &&
            result.request.try_number < plan_->tries)
        {
            probe_request again = result.request;
            ++again.try_number;
            retries_.emplace(clock::now() + result.retry_after,
                             std::move(again));
        }
        results_.push_back(std::move(result));
        changed_.notify_one();
    }

    traffic_plan const* plan_;
    model_picker picker_;
    clock::time_point next_arrival_;
    clock::time_point end_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::size_t sent_ = 0;
    std::size_t in_flight_ = 0;
    std::size_t next_client_ = 0;
    std::multimap<clock::time_point, probe_request> retries_;
    std::vector<probe_result> results_;
    /// Last, so that no callback runs after the rest is gone.
    std::array<http_client, clients> clients_;
};

} // namespace

std::vector<probe_result> run_traffic(traffic_plan const& plan)
{
    traffic_run run(plan);
    return run.run();
}

} // namespace mulberry
