#include "weight_gate.hpp"

#include <algorithm>

namespace mulberry::standins
{
namespace
{

using seconds = std::chrono::duration<double>;

/// In seconds of work; rounding may leave a load slightly short of its end.
constexpr double progress_tolerance = 1e-6;

} // namespace

weight_gate::weight_gate(weight_limits limits)
    : limits_(limits), bucket_(limits.loads_per_second,
                               static_cast<double>(limits.loads_at_once))
{
}

std::optional<load_id> weight_gate::start(steady_time now)
{
    advance(now);
    if (!bucket_.take(now))
        return std::nullopt;
    load_id const id{++last_id_};
    loads_by_end_.emplace(progress_ + seconds(limits_.load_time).count(), id);
    return id;
}

std::vector<load_id> weight_gate::finished(steady_time now)
{
    advance(now);
    auto const end = loads_by_end_.upper_bound(progress_ + progress_tolerance);
    std::vector<load_id> ids;
    for (auto load = loads_by_end_.begin(); load != end; ++load)
        ids.push_back(load->second);
    loads_by_end_.erase(loads_by_end_.begin(), end);
    return ids;
}

std::optional<steady_time> weight_gate::next_finish() const
{
    if (loads_by_end_.empty())
        return std::nullopt;
    double const work = std::max(0.0, loads_by_end_.begin()->first - progress_);
    return advanced_at_ + std::chrono::ceil<std::chrono::microseconds>(
                              seconds(work / speed()));
}

void weight_gate::slow_down(steady_time now, double factor)
{
    advance(now);
    slow_factor_ = factor;
}

double weight_gate::speed() const
{
    auto const width = static_cast<double>(limits_.loads_at_once);
    auto const active = static_cast<double>(loads_by_end_.size());
    return std::min(1.0, width / std::max(1.0, active)) / slow_factor_;
}

void weight_gate::advance(steady_time now)
{
    progress_ += seconds(now - advanced_at_).count() * speed();
    advanced_at_ = now;
}

} // namespace mulberry::standins
