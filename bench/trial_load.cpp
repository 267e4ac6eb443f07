#include "trial_load.hpp"

#include <algorithm>
#include <cmath>

namespace mulberry
{
namespace
{

constexpr double microseconds_a_second = 1e6;
/// Adapters change ranks by so many places where popularity shifts: the most
/// asked for become rare.
constexpr std::uint64_t popularity_shift = 37;
/// Multiplier of a full-period shuffle of ranks (odd and large).
constexpr std::uint64_t rank_stride = 2654435761U;

} // namespace

trial_load::trial_load(trial_plan const& plan, std::uint64_t seed)
    : plan_(plan), random_(seed)
{
    double sum = 0;
    for (std::size_t rank = 1; rank <= plan.adapters; ++rank)
    {
        sum += std::pow(double(rank), -plan.zipf);
        shares_.push_back(sum);
    }
    for (double& each : shares_)
        each /= sum;
    shuffle_ = random_();
}

double trial_load::rate(request_kind const& kind, duration at) const
{
    double result = kind.a_second;
    for (disturbance const& each : plan_.disturbances)
        if (each.kind == disturbance_kind::burst && at >= each.at &&
            at < each.at + each.length &&
            (each.of.empty() || each.of == kind.name))
            result *= each.times;
    return result;
}

std::uint32_t trial_load::tokens(token_count const& of)
{
    double drawn = of.mean;
    if (of.spread > 0)
        drawn = std::lognormal_distribution<double>(
            std::log(of.mean) - of.spread * of.spread / 2, of.spread)(random_);
    return static_cast<std::uint32_t>(std::clamp(drawn, 0.0, of.most));
}

std::string trial_load::adapter(duration at)
{
    double const drawn = std::uniform_real_distribution<double>()(random_);
    auto const rank = static_cast<std::uint64_t>(
        std::lower_bound(shares_.begin(), shares_.end(), drawn) -
        shares_.begin());
    std::uint64_t shifted = rank;
    for (disturbance const& each : plan_.disturbances)
        if (each.kind == disturbance_kind::popularity && at >= each.at)
            shifted += popularity_shift;
    std::uint64_t const place =
        (shifted * rank_stride + shuffle_) % plan_.adapters;
    return "a" + std::to_string(place);
}

trial_request trial_load::make(std::size_t index, duration at)
{
    request_kind const& kind = plan_.kinds.at(index);
    trial_request made;
    made.arrives_at = time_point(at);
    made.kind = index;
    made.adapter = adapter(at);
    std::uint64_t const beginning =
        random_() % std::max<std::size_t>(kind.shared_prompts, 1);
    made.prefix.tokens = static_cast<std::uint32_t>(kind.shared_prompt.mean);
    if (made.prefix.tokens > 0)
        made.prefix.key = (index + 1) * 1'000'000 + beginning + 1;
    made.prompt_tokens = made.prefix.tokens + tokens(kind.own_prompt);
    made.answer_tokens = std::max<std::uint32_t>(tokens(kind.answer), 1);
    return made;
}

std::vector<trial_request> trial_load::draw()
{
    std::vector<trial_request> all;
    for (std::size_t index = 0; index < plan_.kinds.size(); ++index)
    {
        duration at{};
        while (at < plan_.length)
        {
            double const a_second = rate(plan_.kinds.at(index), at);
            if (a_second <= 0)
                break;
            double const gap =
                std::exponential_distribution<double>(a_second)(random_);
            at += duration(
                static_cast<duration::rep>(gap * microseconds_a_second));
            if (at < plan_.length)
                all.push_back(make(index, at));
        }
    }
    std::stable_sort(all.begin(), all.end(),
                     [](trial_request const& left, trial_request const& right)
                     { return left.arrives_at < right.arrives_at; });
    return all;
}

} // namespace mulberry
