#include "worker_reachability.hpp"

#include <algorithm>
#include <utility>

namespace mulberry
{
namespace
{

using std::chrono::milliseconds;

/// A single failing worker, or two of one rack, prove little.
constexpr std::size_t suspicious_failures = 3;
/// Failures further apart have separate causes.
constexpr milliseconds failure_retention{2000};
/// Workers that are probed at once when calls have failed.
constexpr std::size_t probes_in_doubt = 3;
constexpr milliseconds probe_interval{500};

} // namespace

void worker_reachability::set_workers(std::vector<worker_id> workers)
{
    workers_ = std::move(workers);
    std::erase_if(failed_,
                  [this](auto const& each)
                  {
                      return std::find(workers_.begin(), workers_.end(),
                                       each.first) == workers_.end();
                  });
}

std::size_t worker_reachability::failures_needed() const
{
    return std::min(suspicious_failures, workers_.size());
}

void worker_reachability::on_failed(worker_id const& worker, time_point now)
{
    std::erase_if(failed_, [now](auto const& each)
                  { return each.second + failure_retention <= now; });
    if (std::find(workers_.begin(), workers_.end(), worker) != workers_.end())
        failed_[worker] = now;
}

void worker_reachability::add_probes(std::size_t count,
                                     std::vector<worker_id>& probes)
{
    for (std::size_t tried = 0;
         tried < workers_.size() && probes.size() < count; ++tried)
    {
        worker_id const& worker = workers_[next_worker_++ % workers_.size()];
        if (probing_.insert(worker).second)
            probes.push_back(worker);
    }
}

std::vector<worker_id> worker_reachability::take_probes(time_point now)
{
    std::vector<worker_id> probes;
    bool const suspicious =
        !failed_.empty() && failed_.size() >= failures_needed();
    if (now < next_probe_at_ || !probing_.empty() || workers_.empty() ||
        (!cut_off_ && !suspicious))
        return probes;
    next_probe_at_ = now + probe_interval;
    add_probes(cut_off_ ? 1 : probes_in_doubt, probes);
    return probes;
}

void worker_reachability::on_probed(worker_id const& worker, bool answered,
                                    time_point now)
{
    probing_.erase(worker);
    if (answered)
    {
        failed_.clear();
        cut_off_ = false;
        return;
    }
    failed_[worker] = now;
    // A probe that was answered meanwhile has cleared the earlier failures.
    if (probing_.empty() && failed_.size() >= failures_needed())
        cut_off_ = true;
}

time_point worker_reachability::next_due() const
{
    bool const due =
        cut_off_ || (!failed_.empty() && failed_.size() >= failures_needed());
    return due && probing_.empty() && !workers_.empty() ? next_probe_at_
                                                        : never;
}

} // namespace mulberry
