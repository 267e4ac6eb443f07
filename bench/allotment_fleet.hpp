/// Many VMs that keep teams' allotments together, in virtual time.
#ifndef MULBERRY_ALLOTMENT_FLEET_HPP
#define MULBERRY_ALLOTMENT_FLEET_HPP

#include "allotment_limiter.hpp"
#include "event_queue.hpp"
#include "token_bucket.hpp"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string_view>
#include <vector>

namespace mulberry
{

/// How allotments are kept.
enum class allotment_way
{
    equal,
    counters,
    pooled
};

std::string_view to_string(allotment_way way);

/// What happens to the VMs besides their callers' requests.
enum class allotment_trouble
{
    none,
    /// A third of the VMs hears nobody for a while.
    cut,
    /// A VM that keeps a pool dies and does not come back.
    pool_lost,
    /// Half of the VMs die at once and start again.
    herd_killed,
    /// A team's limit is lowered far below its use.
    lowered
};

std::string_view to_string(allotment_trouble trouble);

/// Limits of workers in place of teams' allotments: each request is one unit.
struct limit_plan
{
    /// Requests per second of each worker.
    double per_second = 2.8;
    /// Requests that callers send, in multiples of the limit.
    double demand = 4;
    /// All callers are at one VM; otherwise they are spread.
    bool one_vm = false;
};

struct allotment_plan
{
    std::size_t vms = 74;
    std::size_t teams = 16;
    /// Of the units a second that the largest team uses.
    double largest_use = 170'000;
    /// The allotment of a team in multiples of its usual use.
    double allotted = 1.8;
    /// A team that asks for so many times its usual use for a while.
    double hot = 7.5;
    /// Callers of all teams; each stays at one VM but moves now and then.
    std::size_t callers = 180;
    double over = 0.1;
    duration window = std::chrono::seconds(8);
    duration one_way = std::chrono::microseconds(900);
    duration length = std::chrono::seconds(40);
    allotment_trouble trouble = allotment_trouble::none;
    std::uint64_t seed = 1;
    /// Passed to allotment_limiter::refuse_early().
    std::optional<duration> early_wait;
    /// Set: `teams` is the number of workers, and the use, the allotment, the
    /// window and the overshoot above do not count.
    std::optional<limit_plan> limits;
};

/// A plan for the limits of twelve workers, each with requests of its own.
allotment_plan plan_of_limits(std::size_t vms, limit_plan limits);

/// Value.
struct allotment_result
{
    /// The most that a team used in a window, as a share of what its rate and
    /// burst allow there.
    double worst_window = 0;
    /// Of the units that one bucket for the whole fleet would have let pass:
    /// those that were refused.
    double refused_below = 0;
    /// The same of the teams that ask for no more than usual.
    double refused_of_usual = 0;
    /// What the team that asks for more got, as a share of what that bucket
    /// would have let pass.
    double hot_used = 0;
    /// The longest that a request waited for a decision after the warm-up.
    duration longest_wait{};
    /// The least that a team used after the warm-up, as a share of what its
    /// rate allows.
    double least_used = 0;
    /// The same for requests that came within three seconds of the trouble's
    /// beginning.
    double refused_in_trouble = 0;
    double messages_per_vm_second = 0;
    double bytes_per_vm_second = 0;
    /// How long after a limit was lowered its first second within it began.
    duration follows_in{};
};

/// Plays the plan to its end. Thread safety: none.
class allotment_fleet
{
public:
    allotment_fleet(allotment_plan plan, allotment_way way);
    ~allotment_fleet();
    allotment_fleet(allotment_fleet const&) = delete;
    allotment_fleet& operator=(allotment_fleet const&) = delete;

    allotment_result play();

private:
    struct fleet_vm;
    struct fleet_team;
    struct use
    {
        time_point at{};
        double units = 0;
    };

    void add_vms();
    std::unique_ptr<allotment_limiter> make_keeper(std::size_t index);
    void add_teams();
    void schedule_callers();
    void schedule_trouble();
    void request_soon(std::size_t team, std::size_t caller);
    void request(std::size_t team, std::size_t caller);
    double draw_units();
    void act(std::size_t vm);
    void deliver(std::size_t from, query_pool const& ask);
    void reply(std::size_t to, std::uint64_t life, std::uint64_t number,
               std::optional<allotment_reply> const& given);
    void wake(std::size_t vm);
    bool connected(std::size_t from, std::size_t to) const;
    void kill(std::size_t vm);
    void start_again(std::size_t vm);
    std::size_t number_of(vm_id const& vm) const;
    allotment_result judge() const;
    double worst_window(fleet_team const& team) const;
    double used_share(fleet_team const& team) const;
    allotment_terms terms() const;
    void judge_hot(allotment_result& result) const;

    allotment_plan const plan_;
    allotment_way const way_;
    event_queue queue_;
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<fleet_vm>> vms_;
    std::vector<std::unique_ptr<fleet_team>> teams_;
    std::vector<std::size_t> caller_at_;
    std::map<vm_id, std::size_t> numbers_;
    std::uint64_t last_ticket_ = 0;
    duration longest_wait_{};
    std::uint64_t messages_ = 0;
    std::uint64_t bytes_ = 0;
    time_point trouble_at_ = never;
};

} // namespace mulberry

#endif
