/// A trial of the algorithms that share the store's rate, in one process:
/// members that exchange counts late and with losses. No processes, no network.
#include "load_budget.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace
{

using namespace mulberry;
using namespace std::chrono_literals;

constexpr std::size_t members = 6;
constexpr duration step = 10ms;
constexpr duration exchange_interval = 200ms;
constexpr double lost_share = 0.1;
constexpr duration trial_time = 120s;
constexpr duration phase = 10s;

struct scenario
{
    std::string name;
    /// Offered loads a second over all, as a multiple of the store's rate.
    double offered = 1;
    /// Share of each member; changes to the next member with each phase when
    /// `moving`.
    std::vector<double> shares;
    bool moving = false;
};

struct message
{
    time_point due;
    std::size_t from = 0;
    std::size_t to = 0;
    load_counts counts;
};

struct outcome
{
    double offered = 0;
    double reached = 0;
    /// The most started in any second, over the rate.
    double worst_second = 0;
    std::size_t most_running = 0;
    double messages_a_second = 0;
    double mean_wait = 0;
};

class budget_trial
{
public:
    budget_trial(std::string_view name, store_declaration store,
                 scenario const& what, duration delay)
        : store_(store), what_(what), delay_(delay), random_(7),
          waiting_(members), running_(members)
    {
        for (std::size_t i = 0; i < members; ++i)
        {
            budgets_.push_back(make_load_budget(name));
            budgets_.back()->configure(store);
            budgets_.back()->set_members(members, now_);
        }
    }

    outcome run()
    {
        while (now_ < time_point{} + trial_time)
        {
            now_ += step;
            finish();
            arrive();
            deliver();
            if (now_.time_since_epoch() % exchange_interval == duration{})
                exchange();
            start();
        }
        return summary();
    }

private:
    double draw() { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }

    void arrive()
    {
        double const rate = what_.offered * store_.loads_per_second;
        auto const turn =
            static_cast<std::size_t>(now_.time_since_epoch() / phase);
        for (std::size_t i = 0; i < members; ++i)
        {
            std::size_t const part = what_.moving ? (i + turn) % members : i;
            double const expected = rate * what_.shares[part] *
                                    std::chrono::duration<double>(step).count();
            if (draw() >= expected)
                continue;
            waiting_[i].push_back(now_);
            ++arrived_;
        }
        for (std::size_t i = 0; i < members; ++i)
            budgets_[i]->set_waiting(waiting_[i].size(), now_);
    }

    void start()
    {
        std::size_t const first = random_() % members;
        for (std::size_t k = 0; k < members; ++k)
        {
            std::size_t const i = (first + k) % members;
            while (!waiting_[i].empty() && budgets_[i]->try_start(now_))
            {
                waited_ +=
                    std::chrono::duration<double>(now_ - waiting_[i].front())
                        .count();
                waiting_[i].pop_front();
                starts_.push_back(now_);
                running_[i].push_back(now_ + load_time());
            }
        }
        most_running_ = std::max(most_running_, all_running());
    }

    std::size_t all_running() const
    {
        std::size_t sum = 0;
        for (auto const& one : running_)
            sum += one.size();
        return sum;
    }

    /// Slower beyond the store's width.
    duration load_time() const
    {
        auto const width = static_cast<double>(store_.loads_at_once);
        double const over =
            std::max(1.0, static_cast<double>(all_running() + 1) / width);
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(width / store_.loads_per_second *
                                          over));
    }

    void finish()
    {
        for (std::size_t i = 0; i < members; ++i)
            std::erase_if(running_[i],
                          [&](time_point end)
                          {
                              if (end > now_)
                                  return false;
                              budgets_[i]->finished(now_);
                              return true;
                          });
    }

    void exchange()
    {
        for (std::size_t from = 0; from < members; ++from)
            for (std::size_t to = 0; to < members; ++to)
            {
                if (from == to)
                    continue;
                ++sent_;
                if (draw() >= lost_share)
                    under_way_.push_back(
                        {now_ + delay_, from, to, budgets_[from]->counts()});
            }
    }

    void deliver()
    {
        while (!under_way_.empty() && under_way_.front().due <= now_)
        {
            message const& one = under_way_.front();
            budgets_[one.to]->update_peer_counts(
                vm_id(std::to_string(one.from)), one.counts, now_);
            under_way_.pop_front();
        }
    }

    outcome summary() const
    {
        double const time = std::chrono::duration<double>(trial_time).count();
        outcome result;
        result.offered = static_cast<double>(arrived_) / time;
        result.reached = static_cast<double>(starts_.size()) / time;
        std::size_t first = 0;
        std::size_t most = 0;
        for (std::size_t last = 0; last < starts_.size(); ++last)
        {
            while (starts_[last] - starts_[first] >= 1s)
                ++first;
            most = std::max(most, last - first + 1);
        }
        result.worst_second =
            static_cast<double>(most) / store_.loads_per_second;
        result.most_running = most_running_;
        result.messages_a_second = static_cast<double>(sent_) / time / members;
        result.mean_wait =
            starts_.empty() ? 0 : waited_ / static_cast<double>(starts_.size());
        return result;
    }

    store_declaration store_;
    scenario const& what_;
    duration delay_;
    std::mt19937_64 random_;
    time_point now_{};
    std::vector<std::unique_ptr<load_budget>> budgets_;
    std::vector<std::deque<time_point>> waiting_;
    std::vector<std::vector<time_point>> running_;
    std::vector<time_point> starts_;
    std::deque<message> under_way_;
    std::size_t arrived_ = 0;
    std::size_t sent_ = 0;
    std::size_t most_running_ = 0;
    double waited_ = 0;
};

std::vector<scenario> scenarios()
{
    std::vector<double> const even(members, 1.0 / members);
    std::vector<double> const skewed{0.7, 0.1, 0.05, 0.05, 0.05, 0.05};
    std::vector<double> const one{1, 0, 0, 0, 0, 0};
    return {{"even, 0.8x", 0.8, even, false},
            {"even, 1.5x", 1.5, even, false},
            {"skewed, 0.8x", 0.8, skewed, false},
            {"skewed, moving", 0.8, skewed, true},
            {"one VM, 0.8x", 0.8, one, false},
            {"one VM, 1.5x", 1.5, one, false}};
}

void print_trials(std::string const& deployment, store_declaration store)
{
    for (scenario const& what : scenarios())
        for (std::string_view const name : {"even_split", "exchanged_counts"})
            for (duration const delay : {duration(10ms), duration(400ms)})
            {
                if (name == "even_split" && delay != duration(10ms))
                    continue;
                outcome const result =
                    budget_trial(name, store, what, delay).run();
                fmt::print("{:<9}{:<16}{:<18}{:>7}{:>9.2f}{:>9.2f}{:>10.2f}x"
                           "{:>9}{:>10.2f}{:>10.0f}\n",
                           deployment, what.name, name, delay / 1ms,
                           result.offered, result.reached, result.worst_second,
                           result.most_running, result.mean_wait,
                           result.messages_a_second);
            }
}

} // namespace

int main()
{
    fmt::print("{:<9}{:<16}{:<18}{:>7}{:>9}{:>9}{:>11}{:>9}{:>10}{:>10}\n",
               "store", "demand", "budget", "late ms", "asked/s", "loads/s",
               "worst 1 s", "at once", "wait s", "msg/s VM");
    print_trials("trust", {9, 4});
    print_trials("chia-deu", {4, 3});
    return 0;
}
