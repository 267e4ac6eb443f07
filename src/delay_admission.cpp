#include "delay_admission.hpp"

#include <algorithm>
#include <cmath>

namespace mulberry
{
namespace
{

using std::chrono::milliseconds;

/// The share of refused requests is computed anew this often.
constexpr milliseconds update_interval{100};
/// Answers of this time and number have one mean.
constexpr milliseconds mean_time{500};
constexpr std::size_t mean_count = 4;
/// Longer than a load that the workers can't run usually lasts.
constexpr std::chrono::seconds base_memory{60};
/// Part of the time between the least mean and the objective that the mean
/// delay may take: the rest is for answers that take longer than the mean.
constexpr double target_part = 0.4;
/// Where answers without a queue take more of the objective than this, refusals
/// would not bring them within it.
constexpr double max_base_part = 0.8;
/// Change of the share for each second of delay beyond the target, and for each
/// second that the delay grew since the last update.
constexpr double distance_gain = 0.25;
constexpr double growth_gain = 2.0;
/// Small shares change by less at a time, so that they do not oscillate.
constexpr double small_share = 0.1;
constexpr double small_share_factor = 0.5;
/// A smaller share refuses nothing while a worker may have a short queue.
constexpr double calm_share = 0.25;
/// Of so few workers all may have a queue for a moment by chance.
constexpr std::size_t min_known_workers = 4;
/// A VM without answers knows nothing of the queues.
constexpr milliseconds observation_lifetime{1000};
/// With the whole delay, all VMs would move to the same worker at once.
constexpr double placed_part = 0.5;
/// With a mean delay below this part of the target, shares fall by this factor
/// at each update.
constexpr double calm_delay_part = 0.25;
constexpr double calm_decay = 0.85;
constexpr double max_refused_share = 0.9;
/// Time constant of the moving average of delays.
constexpr milliseconds delay_memory{150};
/// Weight of an answer that came with others.
constexpr double min_weight = 0.02;
constexpr double gap_smoothing = 0.1;
/// The share of one VM falls to 0 now and then while the load goes on.
constexpr milliseconds late_refused_for{1000};

double seconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

duration from_seconds(double time)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(time));
}

} // namespace

delay_admission::delay_admission(duration objective, std::uint64_t seed)
    : objective_(objective), due_(double(seed % 1000U) / 1000.0)
{
}

void delay_admission::mean_delay::add(duration observed, time_point now)
{
    double const weight =
        1 - std::exp(-seconds(now - observed_at) / seconds(delay_memory));
    delay += std::max(weight, min_weight) * (seconds(observed) - delay);
    observed_at = now;
}

void delay_admission::record_time(duration took, time_point now)
{
    if (mean_of_ == 0)
        mean_since_ = now;
    time_sum_ += took;
    ++mean_of_;
    if (mean_of_ < mean_count || now < mean_since_ + mean_time)
        return;
    duration const mean = time_sum_ / static_cast<duration::rep>(mean_of_);
    time_sum_ = duration(0);
    mean_of_ = 0;
    while (!least_means_.empty() && least_means_.back().time >= mean)
        least_means_.pop_back();
    least_means_.push_back({mean, now});
    while (least_means_.front().at + base_memory <= now)
        least_means_.pop_front();
}

void delay_admission::on_answer(worker_id const& worker, duration took,
                                time_point now)
{
    record_time(took, now);
    if (least_means_.empty())
        return;
    duration const base = least_means_.front().time;
    double const room = seconds(objective_ - base);
    if (seconds(base) > max_base_part * seconds(objective_))
        return reset();
    target_ = target_part * room;
    // A pause of this VM looks like a long delay of the workers.
    observe(worker, std::clamp(took - base, duration(0), objective_), now);
}

void delay_admission::reset()
{
    workers_.clear();
    all_ = {};
    delay_before_ = 0;
    target_ = 0;
    refused_share_ = 0;
    late_refused_until_ = {};
}

void delay_admission::on_full(worker_id const& worker, time_point now)
{
    if (target_ > 0)
        observe(worker, objective_, now);
}

void delay_admission::observe(worker_id const& worker, duration delay,
                              time_point now)
{
    workers_[worker].add(delay, now);
    bool const first = now >= all_.observed_at + observation_lifetime;
    all_.add(delay, now);
    if (first)
        delay_before_ = all_.delay;
    update_share(now);
}

duration delay_admission::placement_delay(worker_id const& worker,
                                          time_point now) const
{
    auto const known = workers_.find(worker);
    if (known == workers_.end())
        return duration(0);
    double const age = seconds(now - known->second.observed_at) /
                       seconds(observation_lifetime);
    return from_seconds(placed_part * known->second.delay *
                        std::max(0.0, 1 - age));
}

void delay_admission::update_share(time_point now)
{
    if (now < updated_at_ + update_interval || target_ <= 0)
        return;
    if (now >= all_.observed_at + observation_lifetime)
        all_.delay = 0;
    double const factor =
        refused_share_ < small_share ? small_share_factor : 1.0;
    // Several intervals may have passed at a VM with few requests.
    double const intervals =
        std::min(10.0, std::floor(seconds(now - updated_at_) /
                                  seconds(update_interval)));
    refused_share_ +=
        factor * (distance_gain * intervals * (all_.delay - target_) +
                  growth_gain * (all_.delay - delay_before_));
    if (all_.delay < target_ * calm_delay_part)
        refused_share_ *= std::pow(calm_decay, intervals);
    refused_share_ = std::clamp(refused_share_, 0.0, max_refused_share);
    shares_.set_refused(refused_share_, now);
    std::erase_if(
        workers_, [now](auto const& each)
        { return each.second.observed_at + observation_lifetime <= now; });
    delay_before_ = all_.delay;
    updated_at_ = now;
}

/// A worker with a short queue takes what arrives, whatever the others answer.
bool delay_admission::may_have_short_queue(time_point now) const
{
    if (all_.delay < target_ / 2)
        return true;
    std::size_t known = 0;
    for (auto const& [id, each] : workers_)
    {
        if (now >= each.observed_at + observation_lifetime)
            continue;
        if (each.delay < target_ / 2)
            return true;
        ++known;
    }
    return known < std::min(min_known_workers, worker_count_);
}

bool delay_admission::admit(team_id const& team, double weight, bool late,
                            time_point now)
{
    update_share(now);
    if (late && now < late_refused_until_)
    {
        ++refused_;
        return false;
    }
    shares_.on_request(team, weight, now);
    bool const calm = target_ <= 0 || (refused_share_ < calm_share &&
                                       may_have_short_queue(now));
    due_ += calm ? 0 : shares_.refused_share(team);
    if (!calm && due_ >= 1)
    {
        due_ -= 1;
        ++refused_;
        late_refused_until_ = now + duration(late_refused_for);
        return false;
    }
    admitted_gap_ +=
        gap_smoothing *
        (std::min(1.0, seconds(now - admitted_at_)) - admitted_gap_);
    admitted_at_ = now;
    return true;
}

duration delay_admission::retry_after(time_point give_up_at, time_point now)
{
    duration const left = std::max(give_up_at - now, duration(0));
    next_return_ =
        std::clamp<time_point>(next_return_ + from_seconds(admitted_gap_),
                               now + left / 2, now + left * 3 / 4);
    return next_return_ - now;
}

} // namespace mulberry
