// The shares of teams at a scheduler under load, in virtual time.
#include "scheduler_world.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace mulberry;
using namespace mulberry::test;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t teams = 16;
constexpr std::size_t workers = 2;
constexpr std::size_t batch_slots = 8;
constexpr duration service_time = 100ms;
constexpr duration objective = 500ms;
constexpr duration span = 6s;
constexpr duration step = 5ms;
/// 16 slots and 100 ms a request: 160 starts a second, of which the 16 teams
/// send all in a usual second.
constexpr double team_rate = 10;
constexpr std::uint32_t large_prompt = 8000;

struct load
{
    /// How many times their usual load the first two teams send; 0: nothing.
    double loud = 5;
    bool by_objective = true;
    /// Requests name their teams.
    bool named = true;
    unsigned seed = 1;
    /// Each request in so many is large; 0: none.
    int large_every = 0;
};

struct tally
{
    int sent = 0;
    /// Started within the objective.
    int timely = 0;
    int started = 0;
    double timely_share() const { return double(timely) / double(sent); }
    double started_share() const { return double(started) / double(sent); }
};

struct sent_request
{
    ticket_id ticket;
    std::size_t team = 0;
    bool large = false;
    time_point arrived_at{};
    time_point ends_at = never;
};

/// One VM that owns all workers. The teams send their requests to it unevenly:
/// of each team, another part comes as grant requests of other VMs.
class team_load
{
public:
    explicit team_load(load const& sent)
        : load_(sent), world_(workers, teams, batch_slots), random_(sent.seed)
    {
        world_.scheduler.schedule_by_objective(sent.by_objective);
        load_adapters();
        for (time_point const until = world_.now + span; world_.now < until;)
        {
            send_due();
            world_.run(step);
            end_due();
        }
        while (!open_.empty())
        {
            world_.run(step);
            end_due();
        }
    }

    tally of(std::size_t first, std::size_t last) const
    {
        tally sum;
        for (std::size_t team = first; team <= last; ++team)
            add(sum, by_team_.at(team));
        return sum;
    }
    tally quiet() const { return of(2, teams - 1); }
    tally large() const { return large_; }
    scheduler_counts counts() const { return world_.scheduler.counts(); }

private:
    static void add(tally& sum, tally const& more)
    {
        sum.sent += more.sent;
        sum.timely += more.timely;
        sum.started += more.started;
    }
    static std::string adapter(std::size_t team)
    {
        return "a" + std::to_string(team);
    }
    /// Every worker holds all adapters, so that only batch slots are short.
    void load_adapters()
    {
        for (std::size_t team = 0; team < teams; ++team)
        {
            std::vector<ticket_id> asked;
            for (std::size_t worker = 0; worker < workers; ++worker)
            {
                std::set<worker_id> others;
                for (std::size_t each = 0; each < workers; ++each)
                    if (each != worker)
                        others.insert(scheduler_world::name(each));
                asked.push_back(world_.submit_peer_request(
                    adapter(team), worker, std::move(others)));
            }
            world_.run(1s);
            for (ticket_id const each : asked)
            {
                REQUIRE(world_.granted(each));
                world_.end(each);
            }
        }
    }
    double rate_of(std::size_t team) const
    {
        return team_rate * (team < 2 ? load_.loud : 1);
    }
    void send_due()
    {
        double const seconds = std::chrono::duration<double>(step).count();
        for (std::size_t team = 0; team < teams; ++team)
        {
            std::poisson_distribution<int> arrivals(
                std::max(rate_of(team) * seconds, 1e-12));
            for (int more = arrivals(random_); more > 0; --more)
                send(team);
        }
    }
    void send(std::size_t team)
    {
        bool const large =
            load_.large_every > 0 && std::uniform_int_distribution<int>(
                                         1, load_.large_every)(random_) == 1;
        work_item item;
        if (load_.named)
            item.team = team_id("team-" + std::to_string(team));
        item.team_weight = team_rate;
        item.prompt_tokens = large ? large_prompt : 500;
        item.answer_tokens = 50;
        item.objective_at = world_.now + objective;
        double const elsewhere = double(team % 4) / 4;
        if (std::uniform_real_distribution<double>()(random_) < elsewhere)
            item.requested_worker = scheduler_world::name(
                std::uniform_int_distribution<std::size_t>(0, workers -
                                                                  1)(random_));
        open_.push_back({world_.submit(std::move(item), adapter(team), 4s),
                         team, large, world_.now});
        ++by_team_[team].sent;
        large_.sent += large ? 1 : 0;
    }
    void begin(sent_request& request)
    {
        request.ends_at = world_.now + service_time;
        bool const timely = world_.now - request.arrived_at <= objective;
        tally const more{0, timely ? 1 : 0, 1};
        add(by_team_[request.team], more);
        if (request.large)
            add(large_, more);
    }
    void end_due()
    {
        std::erase_if(
            open_,
            [this](sent_request& each)
            {
                if (each.ends_at == never &&
                    (world_.placed(each.ticket) || world_.granted(each.ticket)))
                    begin(each);
                if (each.ends_at <= world_.now)
                    world_.end(each.ticket);
                return each.ends_at <= world_.now ||
                       world_.refused(each.ticket);
            });
    }

    load load_;
    scheduler_world world_;
    std::mt19937 random_;
    std::vector<sent_request> open_;
    std::map<std::size_t, tally> by_team_;
    tally large_;
};

/// One worker with one batch slot, which a request without a team takes.
class one_slot
{
public:
    explicit one_slot(bool by_objective = true) : world(1, 4, 1)
    {
        world.scheduler.schedule_by_objective(by_objective);
        // Short requests, so that other VMs' requests are not refused for the
        // expected wait.
        for (int each = 0; each < 100; ++each)
        {
            hold_slot();
            world.end(holder_);
        }
        hold_slot();
    }
    void hold_slot()
    {
        holder_ = world.submit_request("a");
        for (int each = 0; each < 200 && !world.placed(holder_); ++each)
            world.run(step);
        REQUIRE(world.placed(holder_));
    }
    ticket_id submit(std::string const& team, int priority = 0,
                     bool by_peer = false)
    {
        work_item item;
        item.team = team_id(team);
        item.priority = priority;
        item.prompt_tokens = 100;
        item.answer_tokens = 10;
        if (by_peer)
            item.requested_worker = scheduler_world::name(0);
        return world.submit(std::move(item), "a", 60s);
    }
    /// Frees the slot and returns the requests in the order in which they
    /// start.
    std::vector<ticket_id> start(std::vector<ticket_id> const& waiting)
    {
        std::vector<ticket_id> started;
        world.end(holder_);
        for (std::size_t each = 0; each < waiting.size(); ++each)
        {
            world.run(step);
            for (ticket_id const ticket : waiting)
                if ((world.placed(ticket) || world.granted(ticket)) &&
                    std::find(started.begin(), started.end(), ticket) ==
                        started.end())
                    started.push_back(ticket);
            if (!started.empty())
                world.end(started.back());
        }
        return started;
    }
    std::uint64_t tokens_started(std::string const& team) const
    {
        auto const counts = world.scheduler.counts().team_tokens_started;
        auto const known = counts.find(team_id(team));
        return known == counts.end() ? 0 : known->second;
    }

    scheduler_world world;

private:
    ticket_id holder_;
};

} // namespace

// Guards against two teams at 5 times their usual load that take the places of
// the other fourteen; in total 1.5 times what the workers can start.
TEST_CASE("loud teams do not take the others' places", "[team_shares]")
{
    for (unsigned seed = 1; seed <= 3; ++seed)
    {
        CAPTURE(seed);
        team_load const with({.loud = 5, .seed = seed});
        team_load const without({.loud = 0, .seed = seed});
        CAPTURE(with.quiet().timely_share(), without.quiet().timely_share(),
                with.of(0, 1).timely_share());
        CHECK(with.quiet().timely_share() >=
              without.quiet().timely_share() - 0.05);
        // The loud teams keep at least most of what they usually send.
        CHECK(with.of(0, 1).started_share() >= 0.8 / 5);
    }
}

// Shows that the check above fails for a queue by objective alone, and for one
// in the order of arrival.
TEST_CASE("without shares loud teams take the others' places", "[team_shares]")
{
    team_load const without({.loud = 0});
    double const least = without.quiet().timely_share() - 0.05;
    team_load const unnamed({.loud = 5, .named = false});
    CHECK(unnamed.quiet().timely_share() < least);
    CHECK(unnamed.counts().team_tokens_started.empty());
    team_load const by_arrival({.loud = 5, .by_objective = false});
    CHECK(by_arrival.quiet().timely_share() < least);
    CHECK(by_arrival.counts().team_tokens_started.empty());
}

// Guards against the starvation of the largest tenth of the requests.
TEST_CASE("large requests start at least half as often as all", "[team_shares]")
{
    team_load const run({.loud = 5, .large_every = 10});
    tally const all = run.of(0, teams - 1);
    CAPTURE(run.large().started_share(), all.started_share(),
            run.large().timely_share(), all.timely_share());
    CHECK(run.large().started_share() >= 0.5 * all.started_share());
    CHECK(run.large().timely_share() >= 0.5 * all.timely_share());
}

// Guards against a loud team whose queue all others wait for.
TEST_CASE("a quiet team's request goes before a loud team's queue",
          "[team_shares]")
{
    one_slot run;
    ticket_id const first = run.submit("loud");
    ticket_id const second = run.submit("loud");
    ticket_id const third = run.submit("loud");
    ticket_id const quiet = run.submit("quiet");
    CHECK(run.start({first, second, third, quiet}) ==
          std::vector{first, quiet, second, third});
    CHECK(run.tokens_started("loud") == 330);
    CHECK(run.tokens_started("quiet") == 110);
}

// Guards against requests without a team, such as those of routes that need no
// key, that take the places of all teams.
TEST_CASE("requests without a team count as one team", "[team_shares]")
{
    one_slot run;
    CHECK(run.start({run.submit("quiet")}).size() == 1);
    run.hold_slot();
    ticket_id const first = run.submit("");
    ticket_id const second = run.submit("");
    ticket_id const quiet = run.submit("quiet");
    CHECK(run.start({first, second, quiet}) ==
          std::vector{first, quiet, second});
    CHECK(run.tokens_started("") == 0);
}

// Guards against owners that serve other VMs' requests out of their teams'
// order, and against tokens that both VMs count.
TEST_CASE("other VMs' requests are ordered by their teams' shares",
          "[team_shares]")
{
    one_slot run;
    ticket_id const first = run.submit("loud");
    ticket_id const second = run.submit("loud", 0, true);
    ticket_id const third = run.submit("loud");
    ticket_id const quiet = run.submit("quiet", 0, true);
    CHECK(run.start({first, second, third, quiet}) ==
          std::vector{first, quiet, second, third});
    CHECK(run.tokens_started("loud") == 220);
    CHECK(run.tokens_started("quiet") == 0);
}

TEST_CASE("rank takes precedence over shares", "[team_shares]")
{
    one_slot run;
    ticket_id const quiet = run.submit("quiet", 1);
    ticket_id const first = run.submit("loud", 0);
    ticket_id const second = run.submit("loud", 0);
    CHECK(run.start({quiet, first, second}) ==
          std::vector{first, second, quiet});
}

// Guards against another order at services that are not scheduled by
// objective, and of requests without teams.
TEST_CASE("without objectives or teams requests start in order of arrival",
          "[team_shares]")
{
    bool const by_objective = GENERATE(false, true);
    one_slot run(by_objective);
    ticket_id const first = run.submit(by_objective ? "" : "loud");
    ticket_id const second = run.submit(by_objective ? "" : "loud");
    ticket_id const last = run.submit(by_objective ? "" : "quiet");
    CHECK(run.start({first, second, last}) == std::vector{first, second, last});
    CHECK(run.world.scheduler.counts().team_tokens_started.empty());
}

// Guards against a team that saves up credit while it sends nothing, and then
// holds back the others.
TEST_CASE("a team that sent nothing does not go before all others",
          "[team_shares]")
{
    one_slot run;
    std::vector<ticket_id> earlier;
    for (int each = 0; each < 10; ++each)
        earlier.push_back(run.submit("loud"));
    REQUIRE(run.start(earlier) == earlier);
    run.hold_slot();
    ticket_id const loud = run.submit("loud");
    ticket_id const quiet = run.submit("quiet");
    ticket_id const second = run.submit("quiet");
    ticket_id const third = run.submit("quiet");
    CHECK(run.start({loud, quiet, second, third}) ==
          std::vector{quiet, loud, second, third});
}

// Guards against a team that goes last since callers withdrew its requests.
TEST_CASE("withdrawn requests are not charged to their team", "[team_shares]")
{
    one_slot run;
    for (int each = 0; each < 20; ++each)
        run.world.scheduler.withdraw(run.submit("loud"), run.world.now);
    ticket_id const loud = run.submit("loud");
    ticket_id const quiet = run.submit("quiet");
    ticket_id const next = run.submit("quiet");
    CHECK(run.start({loud, quiet, next}) == std::vector{loud, quiet, next});
}

// Guards against a team that goes last since its requests were rejected.
TEST_CASE("rejected requests are not charged to their team", "[team_shares]")
{
    one_slot run;
    for (int each = 0; each < 20; ++each)
    {
        work_item item;
        item.team = team_id("loud");
        item.prompt_tokens = 200;
        ticket_id const rejected = run.world.submit(std::move(item), "a", 50ms);
        run.world.run(50ms);
        REQUIRE(run.world.refused(rejected));
    }
    ticket_id const loud = run.submit("loud");
    ticket_id const quiet = run.submit("quiet");
    ticket_id const next = run.submit("quiet");
    CHECK(run.start({loud, quiet, next}) == std::vector{loud, quiet, next});
}

// A VM that restarts knows nothing of earlier shares.
TEST_CASE("after a restart all teams begin anew", "[team_shares]")
{
    one_slot run;
    for (int each = 0; each < 20; ++each)
        run.submit("loud");
    run.world.replace_owner({});
    run.world.scheduler.schedule_by_objective(true);
    run.world.run(1s);
    run.hold_slot();
    ticket_id const loud = run.submit("loud");
    ticket_id const quiet = run.submit("quiet");
    ticket_id const next = run.submit("quiet");
    CHECK(run.start({loud, quiet, next}) == std::vector{loud, quiet, next});
}

// Guards against shares of a VM that owns no worker which never advance, and
// against tokens that no VM counts.
TEST_CASE("a request that another VM grants counts as begun", "[team_shares]")
{
    scheduler_world world(1);
    world.scheduler.schedule_by_objective(true);
    world.scheduler.set_owned_workers({});
    world.scheduler.set_owners({{scheduler_world::name(0), vm_id("vm-2")}});
    work_item item;
    item.team = team_id("loud");
    item.prompt_tokens = 100;
    ticket_id const ticket = world.submit(std::move(item), "a");
    world.run(step);
    REQUIRE(world.grant_requests().size() == 1);
    CHECK(world.scheduler.counts().team_tokens_started.empty());
    CHECK(world.scheduler.on_grant_answer(ticket, grant_outcome::granted,
                                          {scheduler_world::name(0), {}},
                                          world.now));
    CHECK(world.scheduler.counts().team_tokens_started.at(team_id("loud")) ==
          100);
}
