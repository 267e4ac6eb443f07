#include "weight_gate.hpp"

#include <algorithm>

namespace mulberry::standins
{
namespace
{

using seconds = std::chrono::duration<double>;

/// In seconds of work; rounding may leave a load slightly short of its end.
constexpr double tolerance = 1e-6;

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
    ends_.emplace(progress_ + seconds(limits_.load_time).count(), id);
    return id;
}

std::vector<load_id> weight_gate::finished(steady_time now)
{
    advance(now);
    auto const end = ends_.upper_bound(progress_ + tolerance);
    std::vector<load_id> ids;
    for (auto load = ends_.begin(); load != end; ++load)
        ids.push_back(load->second);
    ends_.erase(ends_.begin(), end);
    return ids;
}

std::optional<steady_time> weight_gate::next_finish() const
{
    if (ends_.empty())
        return std::nullopt;
    double const work = std::max(0.0, ends_.begin()->first - progress_);
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
    auto const active = static_cast<double>(ends_.size());
    return std::min(1.0, width / std::max(1.0, active)) / slow_factor_;
}

void weight_gate::advance(steady_time now)
{
    progress_ += seconds(now - advanced_at_).count() * speed();
    advanced_at_ = now;
}

} // namespace mulberry::standins
