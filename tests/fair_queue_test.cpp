#include "fair_queue.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <string>

using namespace mulberry;

namespace
{

team_id const loud("loud");
team_id const quiet("quiet");

struct queued
{
    team_id team;
    double finish = 0;
};

/// The queue with its waiting requests, served in the order of tags.
class served_queue
{
public:
    void join(team_id const& team, double weight, double cost)
    {
        double const tag = order.start_tag(team, weight, cost);
        waiting_.emplace(tag, queued{team, order.last_finish(team)});
    }
    /// Starts so many requests and returns how many of each team.
    std::map<team_id, int> start(int count)
    {
        std::map<team_id, int> started;
        for (; count > 0 && !waiting_.empty(); --count)
        {
            auto const first = waiting_.begin();
            order.on_begun(first->first);
            ++started[first->second.team];
            waiting_.erase(first);
        }
        return started;
    }
    void drop_all()
    {
        for (auto const& [tag, each] : waiting_)
            order.on_dropped(each.team, tag, each.finish);
        waiting_.clear();
    }

    fair_queue order;

private:
    std::multimap<double, queued> waiting_;
};

} // namespace

// Guards against a loud team that is served before a quiet one because its
// requests came first.
TEST_CASE("teams of equal weight start requests alternately", "[fair_queue]")
{
    served_queue queue;
    for (int each = 0; each < 100; ++each)
        queue.join(loud, 1, 1000);
    for (int each = 0; each < 10; ++each)
        queue.join(quiet, 1, 1000);
    auto const started = queue.start(20);
    CHECK(started.at(quiet) == 10);
    CHECK(started.at(loud) == 10);
}

// Guards against shares that do not follow the allotments.
TEST_CASE("teams start costs in proportion to their weights", "[fair_queue]")
{
    served_queue queue;
    for (int each = 0; each < 100; ++each)
    {
        queue.join(loud, 1, 1000);
        queue.join(quiet, 3, 1000);
    }
    auto const started = queue.start(80);
    CHECK(started.at(quiet) == 60);
    CHECK(started.at(loud) == 20);
}

// Guards against a team that gets more of the engines by sending longer
// prompts.
TEST_CASE("a team with larger requests starts fewer", "[fair_queue]")
{
    served_queue queue;
    for (int each = 0; each < 100; ++each)
    {
        queue.join(loud, 1, 2000);
        queue.join(quiet, 1, 1000);
    }
    auto const started = queue.start(90);
    CHECK(started.at(quiet) == 60);
    CHECK(started.at(loud) == 30);
}

// Guards against a burst of a team that was idle holding back the others.
TEST_CASE("a team that was idle gets no credit", "[fair_queue]")
{
    served_queue queue;
    for (int each = 0; each < 100; ++each)
        queue.join(loud, 1, 1000);
    queue.start(50);
    for (int each = 0; each < 100; ++each)
        queue.join(quiet, 1, 1000);
    auto const started = queue.start(20);
    CHECK(started.at(quiet) == 10);
    CHECK(started.at(loud) == 10);
}

// Guards against a team that is served last for minutes since requests of its
// were rejected during a burst.
TEST_CASE("dropped requests are not charged to their team", "[fair_queue]")
{
    served_queue queue;
    for (int each = 0; each < 1000; ++each)
        queue.join(loud, 1, 1000);
    queue.start(1);
    queue.drop_all();
    CHECK(queue.order.last_finish(loud) == Approx(1000));
    for (int each = 0; each < 10; ++each)
    {
        queue.join(loud, 1, 1000);
        queue.join(quiet, 1, 1000);
    }
    CHECK(queue.start(10).at(loud) >= 4);
}

// Guards against credit for a request that was dropped after virtual time had
// passed its finish.
TEST_CASE("a request that virtual time has passed is not credited",
          "[fair_queue]")
{
    fair_queue queue;
    double const tag = queue.start_tag(loud, 1, 1000);
    double const finish = queue.last_finish(loud);
    queue.on_begun(5000);
    CHECK(queue.start_tag(loud, 1, 1000) == Approx(5000));
    queue.on_dropped(loud, tag, finish);
    CHECK(queue.start_tag(loud, 1, 1000) == Approx(6000));
}

// Guards against the starvation of what follows the largest requests.
TEST_CASE("the cost of a request is capped at four times the mean",
          "[fair_queue]")
{
    fair_queue queue;
    for (int each = 0; each < 1000; ++each)
        queue.on_begun(queue.start_tag(quiet, 1, 1000));
    double const tag = queue.start_tag(loud, 1, 1e6);
    CHECK(queue.last_finish(loud) - tag == Approx(4000));
}

// Guards against requests of unknown size that are free.
TEST_CASE("a request of unknown cost counts as a mean one", "[fair_queue]")
{
    fair_queue queue;
    queue.start_tag(quiet, 1, 1000);
    queue.start_tag(loud, 1, 0);
    CHECK(queue.last_finish(loud) == Approx(1000));
    CHECK(fair_queue::cost(300, 70) == Approx(1000));
}

// Guards against state that grows with every team that was ever seen.
TEST_CASE("teams that virtual time has passed are forgotten", "[fair_queue]")
{
    fair_queue queue;
    for (int each = 0; each < 100; ++each)
        queue.start_tag(team_id("team-" + std::to_string(each)), 1, 1000);
    CHECK(queue.teams() == 100);
    queue.on_begun(999);
    CHECK(queue.teams() == 100);
    queue.on_begun(1000);
    CHECK(queue.teams() == 0);
    CHECK(queue.start_tag(loud, 1, 1000) == Approx(1000));
}

// Guards against virtual time that goes back when a request starts late, which
// would give teams that come later credit.
TEST_CASE("virtual time does not go back", "[fair_queue]")
{
    fair_queue queue;
    queue.on_begun(500);
    queue.on_begun(100);
    CHECK(queue.virtual_time() == Approx(500));
}

TEST_CASE("a new queue begins at 0 for all teams", "[fair_queue]")
{
    fair_queue queue;
    CHECK(queue.virtual_time() == 0);
    CHECK(queue.start_tag(loud, 1, 1000) == 0);
    CHECK(queue.start_tag(quiet, 2, 1000) == 0);
}
