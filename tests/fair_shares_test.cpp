#include "fair_shares.hpp"

#include <catch2/catch.hpp>

#include <map>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

time_point const start{1h};
team_id const loud("loud");
team_id const quiet("quiet");

/// Each team sends so many requests a second for ten seconds.
fair_shares after(std::map<team_id, double> const& rates,
                  std::map<team_id, double> const& weights)
{
    fair_shares shares;
    std::map<team_id, double> due;
    for (time_point now = start; now < start + 10s; now += 1ms)
        for (auto const& [team, rate] : rates)
            for (due[team] += rate / 1000; due[team] >= 1; due[team] -= 1)
                shares.on_request(team, weights.at(team), now);
    return shares;
}

} // namespace

// Guards against a loud team that takes the room of the others.
TEST_CASE("a team below its fair share is not refused", "[fair_shares]")
{
    fair_shares shares =
        after({{loud, 100}, {quiet, 20}}, {{loud, 1}, {quiet, 1}});
    time_point const now = start + 10s;
    shares.set_refused(0.5, now);
    // Room for 60 requests a second: 20 of one team, 40 of the other.
    CHECK(shares.refused_share(quiet) == Approx(0).margin(0.01));
    CHECK(shares.refused_share(loud) == Approx(0.6).margin(0.02));
}

TEST_CASE("teams above their fair shares keep rates by weight", "[fair_shares]")
{
    fair_shares shares =
        after({{loud, 90}, {quiet, 90}}, {{loud, 1}, {quiet, 2}});
    time_point const now = start + 10s;
    shares.set_refused(0.5, now);
    // Room for 90 requests a second: 30 and 60.
    CHECK(shares.refused_share(loud) == Approx(2.0 / 3).margin(0.02));
    CHECK(shares.refused_share(quiet) == Approx(1.0 / 3).margin(0.02));
}

TEST_CASE("without teams all requests have the same share", "[fair_shares]")
{
    team_id const none;
    fair_shares shares = after({{none, 50}}, {{none, 1}});
    shares.set_refused(0.3, start + 10s);
    CHECK(shares.refused_share(none) == Approx(0.3).margin(0.01));
    CHECK(shares.refused_share(loud) == 0);
    shares.set_refused(0, start + 10s);
    CHECK(shares.refused_share(none) == 0);
}

TEST_CASE("teams that send nothing any more are forgotten", "[fair_shares]")
{
    fair_shares shares =
        after({{loud, 50}, {quiet, 5}}, {{loud, 1}, {quiet, 1}});
    shares.on_request(quiet, 1, start + 60s);
    shares.set_refused(0.5, start + 60s);
    CHECK(shares.teams() == 1);
    CHECK(shares.refused_share(quiet) == Approx(0.5).margin(0.01));
}
