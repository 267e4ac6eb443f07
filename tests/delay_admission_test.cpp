#include "delay_admission.hpp"
#include "service_scheduler.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <utility>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

constexpr auto objective = 300ms;
constexpr auto work = 60ms;
constexpr int slots = 6;
constexpr std::size_t zones = 3;
constexpr duration cross_zone_cost = 40ms;
constexpr std::size_t queue_limit = 24;

/// What callers of one phase got.
struct outcome
{
    std::size_t sent = 0;
    std::size_t in_time = 0;
    std::size_t late = 0;
    std::size_t refused = 0;
    std::size_t full = 0;
};

/// Many VMs before a few workers of a plain service, in steps of a millisecond.
/// Each VM knows its own requests only.
class plain_fleet
{
public:
    plain_fleet(std::size_t vms, std::size_t workers, std::uint32_t seed)
        : workers_(workers), random_(seed)
    {
        for (std::size_t vm = 0; vm < vms; ++vm)
            vms_.push_back({delay_admission(objective, seed + 17 * vm),
                            std::vector<int>(workers, 0)});
    }

    /// Callers send `rate` requests a second for that time.
    outcome run(duration time, double rate)
    {
        return run(time, std::map<team_id, double>{{team_id(), rate}})
            .at(team_id());
    }

    /// Callers of each team send so many requests a second.
    std::map<team_id, outcome> run(duration time,
                                   std::map<team_id, double> const& rates)
    {
        std::map<team_id, outcome> results;
        for (time_point const end = now_ + time; now_ < end; now_ += 1ms)
        {
            for (auto const& [team, rate] : rates)
            {
                std::poisson_distribution<int> arrivals(rate / 1000);
                for (int left = arrivals(random_); left > 0; --left)
                    send(random_() % vms_.size(), team, results[team]);
            }
            while (!returns_.empty() && returns_.front().first <= now_)
            {
                team_id const team = returns_.front().second;
                returns_.pop_front();
                send(random_() % vms_.size(), team, results[team], true);
            }
            work_on(results);
        }
        return results;
    }

    /// Refused callers come back once, so long after.
    void set_return_delay(duration delay) { return_delay_ = delay; }

    /// The workers' capacity in requests a second.
    double capacity() const
    {
        return double((workers_.size() - lost_.size()) * slots) /
               std::chrono::duration<double>(work).count();
    }

    /// The worker crashes: what it has is lost, and connections to it fail.
    void lose(std::size_t number)
    {
        for (request const& each : workers_[number])
            --vms_[each.vm].outstanding[number];
        workers_[number].clear();
        lost_.insert(number);
    }
    void restore(std::size_t number) { lost_.erase(number); }

    /// The VM reads no answers and sends nothing until resume().
    void pause(std::size_t vm) { paused_ = vm; }
    /// Answers that came meanwhile are read at once, then.
    void resume()
    {
        std::size_t const vm = *std::exchange(paused_, std::nullopt);
        for (auto const& [number, sent_at] : std::exchange(unread_, {}))
            vms_[vm].admission.on_answer(name_of(number), now_ - sent_at, now_);
    }

    void restart(std::size_t vm)
    {
        vms_[vm].admission = delay_admission(objective, random_());
    }
    delay_admission const& admission_of(std::size_t vm) const
    {
        return vms_[vm].admission;
    }

private:
    struct vm
    {
        delay_admission admission;
        std::vector<int> outstanding;
    };
    struct request
    {
        std::size_t vm;
        team_id team;
        time_point sent_at;
        time_point ends_at = never;
        bool returned = false;
    };
    using worker = std::deque<request>;

    /// `returned`: the caller was refused before, and is past its objective.
    void send(std::size_t number, team_id const& team, outcome& result,
              bool returned = false)
    {
        vm& from = vms_[number];
        if (paused_ == number)
            return;
        ++result.sent;
        from.admission.set_workers(workers_.size());
        if (!from.admission.admit(team, 1, returned, now_))
        {
            ++result.refused;
            if (return_delay_ && !returned)
                returns_.push_back({now_ + *return_delay_, team});
            return;
        }
        // A request that a worker rejects is sent to one more.
        std::optional<std::size_t> rejected_by;
        for (int tries = 0; tries < 2; ++tries)
        {
            std::size_t const best = best_worker(number, rejected_by);
            if (workers_[best].size() < slots + queue_limit)
            {
                ++from.outstanding[best];
                workers_[best].push_back({number, team, now_, never, returned});
                return;
            }
            from.admission.on_full(name_of(best), now_);
            rejected_by = best;
        }
        ++result.full;
    }

    std::size_t best_worker(std::size_t number,
                            std::optional<std::size_t> except)
    {
        std::size_t const first = random_() % workers_.size();
        std::optional<std::size_t> best;
        for (std::size_t step = 0; step < workers_.size(); ++step)
        {
            std::size_t const each = (first + step) % workers_.size();
            if (each != except && lost_.count(each) == 0 &&
                (!best || cost_of(number, each) < cost_of(number, *best)))
                best = each;
        }
        return *best;
    }

    /// As service_scheduler reckons it.
    duration cost_of(std::size_t number, std::size_t worker) const
    {
        vm const& from = vms_[number];
        duration const local =
            number % zones == worker % zones ? 0ms : cross_zone_cost;
        return local + from.outstanding[worker] * duration(100ms) / slots +
               from.admission.placement_delay(name_of(worker), now_);
    }
    static worker_id name_of(std::size_t worker)
    {
        return worker_id(std::to_string(worker));
    }

    void work_on(std::map<team_id, outcome>& results)
    {
        for (std::size_t number = 0; number < workers_.size(); ++number)
        {
            worker& each = workers_[number];
            for (std::size_t place = 0;
                 place < std::min<std::size_t>(slots, each.size()); ++place)
                if (each[place].ends_at == never)
                    each[place].ends_at = now_ + work;
            std::erase_if(
                each,
                [&](request const& running)
                {
                    if (running.ends_at > now_)
                        return false;
                    duration const took = now_ - running.sent_at;
                    outcome& result = results[running.team];
                    bool const in_time = took <= objective && !running.returned;
                    ++(in_time ? result.in_time : result.late);
                    vm& from = vms_[running.vm];
                    --from.outstanding[number];
                    if (paused_ == running.vm)
                        unread_.emplace_back(number, running.sent_at);
                    else
                        from.admission.on_answer(name_of(number), took, now_);
                    return true;
                });
        }
    }

    std::vector<worker> workers_;
    std::vector<vm> vms_;
    std::set<std::size_t> lost_;
    std::optional<std::size_t> paused_;
    /// Workers of the answers that the paused VM has not read, and when their
    /// requests were sent.
    std::vector<std::pair<std::size_t, time_point>> unread_;
    std::minstd_rand random_;
    std::optional<duration> return_delay_;
    std::deque<std::pair<time_point, team_id>> returns_;
    time_point now_{1h};
};

} // namespace

// Guards against workers' queues that stay full, so that all answers are late.
TEST_CASE("workers with twice their load answer in time", "[delay_admission]")
{
    auto const [vms, workers] =
        GENERATE(table<std::size_t, std::size_t>({{58, 7}, {84, 4}, {3, 7}}));
    auto const load = GENERATE(1.15, 1.5, 2.0);
    auto const seed = GENERATE(range(1U, 9U));
    CAPTURE(vms, workers, load, seed);
    plain_fleet fleet(vms, workers, seed);
    fleet.run(5s, 0.5 * fleet.capacity());
    fleet.run(2s, load * fleet.capacity());
    outcome const result = fleet.run(6s, load * fleet.capacity());
    CHECK(double(result.in_time) >= 0.9 * 6 * fleet.capacity());
    CHECK(double(result.late) <= double(result.in_time) / 3);
}

// Guards against returning callers that take the places of others: their
// answers are late whatever they wait, the others' are not.
TEST_CASE("callers that return past their objective displace no others",
          "[delay_admission]")
{
    constexpr double min_part = 0.95;
    for (std::uint32_t seed = 1; seed <= 8; ++seed)
    {
        CAPTURE(seed);
        std::size_t in_time[2];
        for (bool const returns : {false, true})
        {
            plain_fleet fleet(58, 7, seed);
            if (returns)
                fleet.set_return_delay(900ms);
            fleet.run(4s, 0.7 * fleet.capacity());
            in_time[returns] = fleet.run(6s, 1.5 * fleet.capacity()).in_time;
        }
        CHECK(double(in_time[1]) >= min_part * double(in_time[0]));
    }
}

// Guards against refusing most requests of a service whose objective is out of
// reach, or before anything is known of it.
TEST_CASE("a service that is slower than its objective is not refused",
          "[delay_admission]")
{
    delay_admission admission(100ms, 1);
    time_point now{1h};
    for (int number = 0; number < 20; ++number)
        admission.on_full(worker_id("w"), now += 10ms);
    for (int number = 0; number < 500; ++number)
    {
        now += 10ms;
        CHECK(admission.admit(team_id(), 1, false, now));
        admission.on_answer(worker_id("w"), number % 2 ? 90ms : 250ms, now);
        admission.on_full(worker_id("w"), now);
    }
    CHECK(admission.refused() == 0);
}

// Guards against a loud team that takes the room of the others at each VM.
TEST_CASE("other teams keep their answers in time beside a loud one",
          "[delay_admission]")
{
    auto const seed = GENERATE(range(1U, 9U));
    CAPTURE(seed);
    plain_fleet fleet(58, 7, seed);
    std::map<team_id, double> rates;
    constexpr std::size_t teams = 16;
    for (std::size_t team = 0; team < teams; ++team)
        rates[team_id(std::to_string(team))] = 0.5 * fleet.capacity() / teams;
    fleet.run(5s, rates);
    auto const share = [&](std::map<team_id, outcome> const& results)
    {
        outcome sum;
        for (auto const& [team, each] : results)
            if (team != team_id("0") && team != team_id("1"))
            {
                sum.sent += each.sent;
                sum.in_time += each.in_time;
            }
        return double(sum.in_time) / double(sum.sent);
    };
    double const before = share(fleet.run(6s, rates));
    rates[team_id("0")] *= 15;
    rates[team_id("1")] *= 10;
    fleet.run(2s, rates);
    CHECK(share(fleet.run(6s, rates)) >= before - 0.05);
}

// Guards against refusals while the workers have room.
TEST_CASE("requests that the workers can run are admitted",
          "[.][calm_admission]")
{
    auto const seed = GENERATE(range(1U, 41U));
    CAPTURE(seed);
    plain_fleet fleet(58, 7, seed);
    fleet.run(5s, 0.5 * fleet.capacity());
    outcome const calm = fleet.run(10s, 0.7 * fleet.capacity());
    CHECK(calm.refused == 0);
}

// Guards against a share that goes on after the load.
TEST_CASE("requests are admitted again soon after a load", "[delay_admission]")
{
    auto const seed = GENERATE(range(1U, 9U));
    plain_fleet fleet(58, 7, seed);
    fleet.run(5s, 0.5 * fleet.capacity());
    fleet.run(10s, 0.7 * fleet.capacity());
    fleet.run(6s, 1.5 * fleet.capacity());
    fleet.run(1s, 0.6 * fleet.capacity());
    outcome const after = fleet.run(5s, 0.6 * fleet.capacity());
    CHECK(after.refused <= after.sent / 100);
}

// Guards against a crash that leaves the rest with queues that stay full, and
// against keeping requests from the worker when it is back.
TEST_CASE("workers answer in time when one of them is lost",
          "[delay_admission]")
{
    auto const seed = GENERATE(range(1U, 9U));
    CAPTURE(seed);
    plain_fleet fleet(58, 7, seed);
    double const rate = 1.15 * fleet.capacity();
    fleet.run(5s, 0.5 * fleet.capacity());
    fleet.run(4s, rate);
    fleet.lose(3);
    fleet.run(2s, rate);
    outcome const without = fleet.run(6s, rate);
    CHECK(double(without.in_time) >= 0.9 * 6 * fleet.capacity());
    CHECK(double(without.late) <= double(without.in_time) / 3);
    fleet.restore(3);
    fleet.run(2s, rate);
    outcome const after = fleet.run(6s, rate);
    CHECK(double(after.in_time) >= 0.9 * 6 * fleet.capacity());
    CHECK(double(after.late) <= double(after.in_time) / 3);
}

// Guards against a VM that takes its own pause, or the time for which it was
// cut off, for queues of the workers.
TEST_CASE("a VM that was paused refuses nothing a second later",
          "[delay_admission]")
{
    auto const seed = GENERATE(range(1U, 9U));
    CAPTURE(seed);
    plain_fleet fleet(58, 7, seed);
    fleet.run(5s, 0.5 * fleet.capacity());
    fleet.pause(0);
    fleet.run(3s, 0.5 * fleet.capacity());
    fleet.resume();
    fleet.run(1s, 0.5 * fleet.capacity());
    std::uint64_t const before = fleet.admission_of(0).refused();
    fleet.run(5s, 0.5 * fleet.capacity());
    CHECK(fleet.admission_of(0).refused() == before);
}

// Guards against restarted VMs, which know no answers without a queue, that
// admit so much that the others' requests are late.
TEST_CASE("answers stay in time when VMs restart under load",
          "[delay_admission]")
{
    auto const seed = GENERATE(range(1U, 9U));
    CAPTURE(seed);
    plain_fleet fleet(58, 7, seed);
    fleet.run(5s, 0.5 * fleet.capacity());
    fleet.run(4s, 1.5 * fleet.capacity());
    for (std::size_t vm = 0; vm < 6; ++vm)
        fleet.restart(vm);
    fleet.run(2s, 1.5 * fleet.capacity());
    outcome const result = fleet.run(6s, 1.5 * fleet.capacity());
    CHECK(double(result.in_time) >= 0.9 * 6 * fleet.capacity());
    CHECK(double(result.late) <= double(result.in_time) / 3);
}

namespace
{

/// A scheduler of a plain service, whose one worker answers so late that most
/// new requests are refused.
struct late_service
{
    late_service() : scheduler({}, config())
    {
        backend_entry entry;
        entry.id = worker_id("w");
        entry.service = service_id("plain");
        entry.slots = 1000;
        scheduler.set_backends({entry});
        scheduler.admit_by_delay(objective);
        for (int sent = 0; sent < 100; ++sent)
            answer(work);
        for (int sent = 0; sent < 100; ++sent)
            answer(objective);
    }
    static service_config config()
    {
        service_config config;
        config.name = service_id("plain");
        return config;
    }
    /// Returns whether the request is rejected.
    bool send(bool admitted)
    {
        work_item item;
        item.ticket = ticket_id(++last_ticket);
        item.arrived_at = now;
        item.give_up_at = now + 5s;
        item.admitted = admitted;
        scheduler.submit(std::move(item), now);
        auto const actions = scheduler.run(now);
        return std::any_of(
            actions.begin(), actions.end(),
            [](placement_action const& each)
            { return std::holds_alternative<reject_request>(each); });
    }
    void answer(duration took)
    {
        bool const rejected = send(false);
        now += took;
        if (rejected)
            return;
        scheduler.first_byte(ticket_id(last_ticket), now);
        scheduler.ended(ticket_id(last_ticket), send_outcome::served, now);
    }

    time_point now{1000s};
    std::uint64_t last_ticket = 0;
    service_scheduler scheduler;
};

} // namespace

// Guards against a request that finds no room in its worker's limit, is decided
// on anew each time, and in the end is refused late.
TEST_CASE("an admitted request is not refused when it is submitted again",
          "[delay_admission]")
{
    late_service service;
    int refused_new = 0;
    int refused_admitted = 0;
    for (int sent = 0; sent < 20; ++sent)
        refused_new += service.send(false) ? 1 : 0;
    for (int sent = 0; sent < 20; ++sent)
        refused_admitted += service.send(true) ? 1 : 0;
    CHECK(refused_new > 5);
    CHECK(refused_admitted == 0);
}
