#include "configuration_cluster.hpp"

#include "promise_rules.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <array>
#include <iostream>
#include <optional>
#include <random>

using namespace mulberry;
using namespace mulberry::tests;
using namespace std::chrono_literals;

namespace
{

constexpr auto origin = time_point();
/// Faults begin between these times and last at most max_fault_length.
constexpr duration faults_begin = 6s;
constexpr duration faults_end = 36s;
constexpr duration max_fault_length = 12s;
constexpr duration recovery_time = 12s;

/// Decodes a fault from one number, so that RapidCheck shrinks a failing
/// schedule by removing faults.
fault decode(std::uint64_t code, std::size_t vms)
{
    using enum fault_kind;
    static constexpr std::array kinds{
        confirm,         confirm,       confirm,      confirm,
        cut_table,       cut_table,     cut_table,    pause,
        pause,           restart,       restart,      isolate,
        lose_answers,    slow_messages, delay_writes, corrupt_objects,
        cut_table_of_all};
    auto const draw = [&](std::uint64_t range)
    {
        std::uint64_t const value = code % range;
        code /= range;
        return value;
    };
    fault result{};
    result.kind = kinds[draw(kinds.size())];
    result.vm = draw(vms);
    result.at = origin + faults_begin +
                draw((faults_end - faults_begin) / 50ms) * duration(50ms);
    result.length = (1 + draw(max_fault_length / 200ms)) * duration(200ms);
    return result;
}

struct schedule
{
    std::uint64_t seed = 0;
    std::size_t vms = 1;
    std::vector<fault> faults;
};

configuration_cluster run(schedule const& what, promise_rules const& rules,
                          safeguards const& checks)
{
    configuration_cluster cluster(what.vms, what.seed, rules, checks);
    for (fault const& planned : what.faults)
        cluster.add(planned);
    cluster.run_until(origin + faults_end + max_fault_length + recovery_time);
    cluster.check_history();
    return cluster;
}

/// Random values for schedules that target one kind of failure.
class random_source
{
public:
    explicit random_source(std::uint64_t seed) : random_(seed) {}
    std::uint64_t below(std::uint64_t range) { return random_() % range; }
    time_point between(duration min, duration max)
    {
        return origin + min + below((max - min) / 1ms) * duration(1ms);
    }
    std::uint64_t next() { return random_(); }

private:
    std::mt19937_64 random_;
};

using schedule_source = schedule (*)(std::uint64_t number);

/// Any faults at any time.
schedule random_faults(std::uint64_t number)
{
    random_source draw(number);
    schedule result{draw.next(), 1 + draw.below(6), {}};
    for (std::uint64_t left = 4 + draw.below(20); left > 0; --left)
        result.faults.push_back(decode(draw.next(), result.vms));
    return result;
}

/// A majority loses the table. One member of the majority reaches it again,
/// possibly after a restart, while a VM that never lost the table confirms.
schedule majority_member_reconnects(std::uint64_t number)
{
    using enum fault_kind;
    random_source draw(number);
    schedule result{draw.next(), 3, {}};
    time_point const cut = draw.between(6s, 7s);
    time_point const back = cut + 4s + draw.below(3000) * duration(1ms);
    result.faults = {{cut_table, 0, cut, 20s}, {cut_table, 1, cut, back - cut}};
    if (draw.below(2) == 0)
        result.faults.push_back({restart, 1, back, {}});
    for (int tries = 0; tries < 4; ++tries)
        result.faults.push_back(
            {confirm, 2, back + draw.below(3000) * duration(1ms), {}});
    return result;
}

/// All VMs but the one that confirms lose the table at about the time of the
/// write, and receive no messages from that VM.
schedule table_lost_at_confirm(std::uint64_t number)
{
    using enum fault_kind;
    random_source draw(number);
    schedule result{draw.next(), 3 + draw.below(4), {}};
    time_point const asked = draw.between(6s, 9s);
    time_point const cut = asked + draw.below(300) * duration(1ms);
    result.faults = {{confirm, 0, asked, {}}, {isolate, 0, asked + 50ms, 12s}};
    for (std::size_t vm = 1; vm < result.vms; ++vm)
        result.faults.push_back({cut_table, vm, cut, 12s});
    return result;
}

/// A write takes effect long after its promises have expired; the other VMs
/// lose the table before.
schedule write_applied_late(std::uint64_t number)
{
    using enum fault_kind;
    random_source draw(number);
    schedule result{draw.next(), 3 + draw.below(4), {}};
    time_point const asked = draw.between(6s, 9s);
    time_point const cut = asked + 3s + draw.below(5000) * duration(1ms);
    result.faults = {{delay_writes, 0, asked, 9s},
                     {confirm, 0, asked, {}},
                     {isolate, 0, asked + 1s, 12s}};
    for (std::size_t vm = 1; vm < result.vms; ++vm)
        result.faults.push_back({cut_table, vm, cut, 12s});
    return result;
}

/// A VM is paused while the answer to its read is in flight, and a change is
/// confirmed in the meantime.
schedule paused_reader(std::uint64_t number)
{
    using enum fault_kind;
    random_source draw(number);
    schedule result{draw.next(), 3 + draw.below(4), {}};
    for (duration at : {6s, 15s, 24s})
    {
        time_point const paused = draw.between(at, at + 2s);
        result.faults.push_back({pause, 0, paused, 6s});
        result.faults.push_back({confirm, 1, paused + 500ms, {}});
    }
    return result;
}

constexpr std::uint64_t max_schedules = 1000;
constexpr std::uint64_t schedules_per_source = 300;

/// The number of the first schedule on which `violation` is detected.
std::optional<std::uint64_t>
find_violating_schedule(std::string const& violation, schedule_source source,
                        promise_rules const& rules, safeguards const& checks)
{
    for (std::uint64_t number = 1; number <= max_schedules; ++number)
    {
        auto const cluster = run(source(number), rules, checks);
        auto const& found = cluster.violations();
        if (std::find(found.begin(), found.end(), violation) != found.end())
        {
            std::cout << "schedule " << number << ": " << violation << '\n';
            return number;
        }
    }
    return std::nullopt;
}

std::string const stale_version_known =
    "a VM takes a replaced version for the current one";
std::string const continues_with_replaced =
    "a VM continues without the table with a replaced version";
std::string const version_reverted = "a VM went back to an older version";
std::string const refused_change_applied = "a refused change took effect";

struct without_promise_exclusion : promise_rules
{
    bool may_promise_outage(promise_conditions const& conditions) const override
    {
        promise_conditions relaxed = conditions;
        relaxed.confirm_promise_running = false;
        return promise_rules::may_promise_outage(relaxed);
    }
    bool
    may_promise_confirm(promise_conditions const& conditions) const override
    {
        promise_conditions relaxed = conditions;
        relaxed.outage_promise_running = false;
        return promise_rules::may_promise_confirm(relaxed);
    }
};

struct without_version_check : promise_rules
{
    bool may_promise_outage(promise_conditions const& conditions) const override
    {
        promise_conditions relaxed = conditions;
        relaxed.version_certain = true;
        return promise_rules::may_promise_outage(relaxed);
    }
};

struct without_majority : promise_rules
{
    bool is_majority(std::size_t promises, std::size_t) const override
    {
        return promises > 0;
    }
};

struct without_restart_wait : promise_rules
{
    time_point previous_promises_end(time_point started,
                                     duration) const override
    {
        return started;
    }
};

struct valid_from_answer : promise_rules
{
    time_point valid_from(time_point, time_point answered_at) const override
    {
        return answered_at;
    }
};

struct with_stale_reads : promise_rules
{
    bool allows_stale_reads() const override { return true; }
};

struct without_promise_cover : promise_rules
{
    bool promises_cover(time_point, time_point) const override { return true; }
};

struct without_write_invalidation : promise_rules
{
    bool may_apply_later() const override { return false; }
};

struct without_version_order : safeguards
{
    bool replaces(config_version, config_version) const override
    {
        return true;
    }
};

} // namespace

TEST_CASE(
    "a confirmed configuration is not reverted under random fault schedules",
    "[configuration][proof]")
{
    // From staleness_bound after an operator was told that a version is
    // confirmed, no VM takes work under an older version. No VM goes back to an
    // older version, and a refused change never takes effect, whatever is cut
    // off, paused, restarted, lost, delayed or duplicated. All VMs know the
    // newest version soon after the faults end.
    safeguards const checks;
    std::size_t schedules = 0;
    cluster_counts sum;
    CHECK(rc::check(
        [&]
        {
            schedule what;
            what.seed = *rc::gen::arbitrary<std::uint64_t>();
            what.vms = *rc::gen::inRange<std::size_t>(1, 7);
            auto const codes = *rc::gen::container<std::vector<std::uint64_t>>(
                rc::gen::inRange<std::uint64_t>(0, UINT64_MAX));
            for (std::uint64_t const code : codes)
                what.faults.push_back(decode(code, what.vms));
            auto cluster = run(what, default_promise_rules(), checks);
            cluster.check_recovery();
            ++schedules;
            sum.confirmed += cluster.counts().confirmed;
            sum.refused += cluster.counts().refused;
            sum.unknown += cluster.counts().unknown;
            for (auto const& text : cluster.violations())
                RC_FAIL(text);
        }));
    std::cout << schedules << " schedules; confirms told " << sum.confirmed
              << ", refused " << sum.refused << ", unknown " << sum.unknown
              << '\n';
    CHECK(sum.confirmed > 0);
    CHECK(sum.refused > 0);
    CHECK(sum.unknown > 0);
}

TEST_CASE(
    "a confirmed configuration is not reverted under targeted fault schedules",
    "[configuration][proof]")
{
    // The same invariants with faults at the worst moments: a VM reaches the
    // table again during an outage, all lose the table while a confirm is
    // written, a write takes effect after its promises have expired, or a VM is
    // paused while it reads.
    safeguards const checks;
    for (schedule_source const source :
         {majority_member_reconnects, table_lost_at_confirm, write_applied_late,
          paused_reader})
    {
        cluster_counts sum;
        for (std::uint64_t number = 1; number <= schedules_per_source; ++number)
        {
            auto cluster = run(source(number), default_promise_rules(), checks);
            cluster.check_recovery();
            for (auto const& text : cluster.violations())
                FAIL_CHECK("schedule " << number << ": " << text);
            sum.confirmed += cluster.counts().confirmed;
            sum.refused += cluster.counts().refused;
            sum.unknown += cluster.counts().unknown;
        }
        std::cout << "told " << sum.confirmed << ", refused " << sum.refused
                  << ", unknown " << sum.unknown << '\n';
        CHECK(sum.confirmed + sum.refused + sum.unknown > 0);
    }
}

TEST_CASE("a violation is detected for each rule that is disabled",
          "[configuration][proof]")
{
    safeguards const checks;
    SECTION("a VM gives both kinds of promise at once")
    {
        CHECK(find_violating_schedule(continues_with_replaced,
                                      majority_member_reconnects,
                                      without_promise_exclusion(), checks));
    }
    SECTION("a VM votes for the base of a confirm that it supported")
    {
        CHECK(find_violating_schedule(stale_version_known,
                                      table_lost_at_confirm,
                                      without_version_check(), checks));
    }
    SECTION("a single promise counts as a majority")
    {
        CHECK(find_violating_schedule(stale_version_known, random_faults,
                                      without_majority(), checks));
    }
    SECTION("a restarted VM does not wait for its previous promises to expire")
    {
        CHECK(find_violating_schedule(continues_with_replaced,
                                      majority_member_reconnects,
                                      without_restart_wait(), checks));
    }
    SECTION("promises count from the arrival of the answer")
    {
        CHECK(find_violating_schedule(stale_version_known, paused_reader,
                                      valid_from_answer(), checks));
    }
    SECTION("the row is read by stale reads")
    {
        CHECK(find_violating_schedule(version_reverted, random_faults,
                                      with_stale_reads(), checks));
    }
    SECTION("success is reported after the promises have expired")
    {
        CHECK(find_violating_schedule(stale_version_known, write_applied_late,
                                      without_promise_cover(), checks));
    }
    SECTION("a write that a read does not show is assumed to have failed")
    {
        CHECK(find_violating_schedule(refused_change_applied,
                                      write_applied_late,
                                      without_write_invalidation(), checks));
    }
    SECTION("any version replaces the one in force")
    {
        CHECK(find_violating_schedule(version_reverted, random_faults,
                                      default_promise_rules(),
                                      without_version_order()));
    }
}

TEST_CASE("a VM that alone loses the table stops at the staleness bound",
          "[configuration]")
{
    // One VM is cut off from the table; the others still read it and refuse to
    // promise. The VM serves until the staleness bound, then refuses requests,
    // and serves again when the table is back.
    safeguards const checks;
    for (std::uint64_t seed = 1; seed <= 40; ++seed)
    {
        configuration_cluster cluster(2 + seed % 5, seed,
                                      default_promise_rules(), checks);
        time_point const cut = origin + 6s + seed * duration(25ms);
        cluster.add({fault_kind::cut_table, 0, cut, 20s});
        cluster.run_until(cut + 2900ms);
        CHECK(cluster.keeper(0).is_known(cluster.now()));
        for (duration after = 4s; after < 20s; after += 100ms)
        {
            cluster.run_until(cut + after);
            CHECK_FALSE(cluster.keeper(0).is_known(cluster.now()));
            CHECK(cluster.keeper(1).is_known(cluster.now()));
        }
        cluster.run_until(cut + 22s);
        CHECK(cluster.keeper(0).is_known(cluster.now()));
    }
}

TEST_CASE("a connected majority continues during an outage of the table",
          "[configuration]")
{
    // All VMs lose the table for a minute. A minority is also cut off from the
    // others and stops; the majority serves without interruption.
    safeguards const checks;
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        std::size_t const vms = 1 + seed % 6;
        std::size_t const apart = (vms - 1) / 2;
        configuration_cluster cluster(vms, seed, default_promise_rules(),
                                      checks);
        time_point const cut = origin + 10s + seed * duration(50ms);
        cluster.add({fault_kind::cut_table_of_all, 0, cut, 60s});
        for (std::size_t vm = 0; vm < apart; ++vm)
            cluster.add({fault_kind::isolate, vm, cut, 60s});
        std::size_t min_known_past_bound = vms;
        std::size_t min_known = vms;
        for (duration after = 0s; after < 60s; after += 50ms)
        {
            cluster.run_until(cut + after);
            min_known = std::min(min_known, cluster.count_knowing());
            if (after >= 4s)
                min_known_past_bound =
                    std::min(min_known_past_bound, cluster.count_knowing());
        }
        if (vms == 6)
            std::cout << "6 VMs without the table: messages per second "
                      << static_cast<double>(cluster.counts().messages) / 60
                      << '\n';
        CHECK(min_known == vms - apart);
        CHECK(min_known_past_bound == vms - apart);
        cluster.run_until(cut + 66s);
        CHECK(cluster.count_knowing() == vms);
    }
}

namespace
{

/// All three VMs lose the table for 30 s as soon as version 2 is in force on
/// each of them. Returns the lowest number of VMs that know their version to be
/// current at any time from the sixth second on. Before that, a late confirm
/// question may be answered with a promise, which lasts somewhat more than 3 s,
/// while the table's last answer is less than 1.5 s old, and messages may be
/// lost after that.
std::size_t min_knowing_in_outage(configuration_cluster& cluster)
{
    while (cluster.count_at_version(config_version(2)) < 3 &&
           cluster.now() < origin + 20s)
        cluster.run_until(cluster.now() + 1ms);
    REQUIRE(cluster.count_at_version(config_version(2)) == 3);
    time_point const cut = cluster.now();
    cluster.add({fault_kind::cut_table_of_all, 0, cut, 30s});
    std::size_t min_known = 3;
    for (duration after = 6s; after < 30s; after += 50ms)
    {
        cluster.run_until(cut + after);
        min_known = std::min(min_known, cluster.count_knowing());
    }
    return min_known;
}

} // namespace

TEST_CASE("VMs continue during an outage right after a confirm",
          "[configuration]")
{
    // VMs that have just restarted support a confirm as soon as they may give
    // promises. All lose the table when the new version is in force on them,
    // and no other confirm can have replaced it. After their confirm promises
    // have expired, they continue with it until the table is back.
    safeguards const checks;
    for (std::uint64_t seed = 1; seed <= 60; ++seed)
    {
        configuration_cluster cluster(3, seed, default_promise_rules(), checks);
        for (std::size_t vm = 0; vm < 3; ++vm)
            cluster.add({fault_kind::restart, vm, origin + 3s, {}});
        // Promises of the previous incarnation are honored for somewhat more
        // than 3 s.
        cluster.add({fault_kind::confirm, 0, origin + 6250ms, {}});
        CAPTURE(seed);
        CHECK(min_knowing_in_outage(cluster) == 3);
    }
}

TEST_CASE(
    "a VM in its first incarnation continues during an outage after a confirm",
    "[configuration]")
{
    // Two of three VMs support a confirm as soon as they may give promises. The
    // third may not give any yet, like a restarted VM. All lose the table as
    // soon as the new version is in force on the third too, before it can read
    // again. It has no previous incarnation that could have supported another
    // confirm, so it continues like its peers.
    safeguards const checks;
    for (std::uint64_t seed = 1; seed <= 60; ++seed)
    {
        configuration_cluster cluster(3, seed, default_promise_rules(), checks);
        // The first VMs have started at 1 s, all by 2 s.
        cluster.add({fault_kind::confirm, 0, origin + 4200ms, {}});
        CAPTURE(seed);
        CHECK(min_knowing_in_outage(cluster) == 3);
    }
}

TEST_CASE("VMs serve without interruption when an outage of the table ends",
          "[configuration]")
{
    // All VMs lose the table for longer than the staleness bound. When it is
    // back, a VM's heartbeat is answered before its next read of the
    // configuration, and only that read shows whether the version is current.
    // Callers are served all the time, because the peers' promises count until
    // that read is answered.
    safeguards const checks;
    for (std::uint64_t seed = 1; seed <= 60; ++seed)
    {
        std::size_t const vms = 1 + seed % 6;
        configuration_cluster cluster(vms, seed, default_promise_rules(),
                                      checks);
        time_point const cut = origin + 10s + seed * duration(50ms);
        duration const length = 8s + seed * duration(70ms);
        time_point const back = cut + length;
        cluster.add({fault_kind::cut_table_of_all, 0, cut, length});
        cluster.run_until(back);
        REQUIRE(cluster.keeper(0).going_on_without_table(cluster.now()));
        std::size_t min_known = vms;
        for (duration after = 1ms; after < 10s; after += 1ms)
        {
            cluster.run_until(back + after);
            std::size_t const heartbeat = after / 1ms % 500;
            if (heartbeat % 20 == 0 && heartbeat / 20 < vms)
                cluster.keeper(heartbeat / 20).on_table_answer(cluster.now());
            min_known = std::min(min_known, cluster.count_knowing());
        }
        CAPTURE(seed);
        CHECK(min_known == vms);
        for (std::size_t vm = 0; vm < vms; ++vm)
            CHECK_FALSE(
                cluster.keeper(vm).going_on_without_table(cluster.now()));
    }
}

TEST_CASE("a change is in force on all VMs within seconds", "[configuration]")
{
    struct size
    {
        std::size_t vms;
        duration poll;
        bool hints;
        duration limit;
    };
    safeguards const checks;
    for (size const& each :
         {size{6, 1s, true, 1s}, size{6, 1s, false, 3s},
          size{320, 4s, true, 11s}, size{320, 4s, false, 11s}})
    {
        configuration_settings settings;
        settings.poll_interval = each.poll;
        settings.staleness_bound = 3 * each.poll + 1s;
        configuration_cluster cluster(each.vms, 7, default_promise_rules(),
                                      checks, settings);
        if (!each.hints)
            cluster.drop_hints();
        cluster.run_until(origin + 10s);
        cluster_counts const before = cluster.counts();
        cluster.run_until(origin + 30s);
        std::cout << each.vms << " VMs: reads per second "
                  << static_cast<double>(cluster.counts().reads -
                                         before.reads) /
                         20
                  << ", messages per second "
                  << static_cast<double>(cluster.counts().messages -
                                         before.messages) /
                         20;
        cluster.add({fault_kind::confirm, 0, cluster.now(), {}});
        while (cluster.counts().confirmed == 0 && cluster.now() < origin + 40s)
            cluster.run_until(cluster.now() + 1ms);
        time_point const confirmed_at = cluster.now();
        while (cluster.count_at_version(config_version(2)) < each.vms &&
               cluster.now() < confirmed_at + 20s)
            cluster.run_until(cluster.now() + 1ms);
        std::cout << "; request to success "
                  << (confirmed_at - (origin + 30s)) / 1ms
                  << " ms, success to in force on all "
                  << (cluster.now() - confirmed_at) / 1ms << " ms\n";
        CHECK(cluster.now() - confirmed_at <= each.limit);
    }
}

TEST_CASE("of two concurrent confirms one succeeds and the other is refused as "
          "outdated",
          "[configuration]")
{
    // Two operators confirm on the same base, on two VMs, at the same time. One
    // gets the new version; the other is told that its plan is outdated and
    // gets the declaration that was confirmed.
    safeguards const checks;
    for (std::uint64_t seed = 1; seed <= 50; ++seed)
    {
        configuration_cluster cluster(3, seed, default_promise_rules(), checks);
        cluster.add({fault_kind::confirm, 0, origin + 8s, {}});
        cluster.add({fault_kind::confirm, 1, origin + 8s, {}});
        cluster.run_until(origin + 16s);
        cluster.check_history();
        CHECK(cluster.violations().empty());
        CHECK(cluster.counts().confirmed == 1);
        REQUIRE(cluster.answers().size() == 2);
        for (confirm_settled const& answer : cluster.answers())
            if (auto const* why = std::get_if<error>(&answer.result))
            {
                CHECK(why->kind() == error_kind::plan_outdated);
                CHECK(why->request_ran() == ran::no);
                REQUIRE(answer.current);
                CHECK(answer.current ==
                      cluster.keeper(answer.ticket - 1).current());
            }
    }
}

TEST_CASE("a confirm without a majority is refused with the reason",
          "[configuration]")
{
    // Three of four VMs cannot be reached. The operator is told how many can be
    // reached, that nothing was changed, and when to retry.
    safeguards const checks;
    configuration_cluster cluster(4, 1, default_promise_rules(), checks);
    cluster.add({fault_kind::isolate, 0, origin + 8s, 20s});
    cluster.add({fault_kind::confirm, 0, origin + 9s, {}});
    cluster.run_until(origin + 15s);
    REQUIRE(cluster.answers().size() == 1);
    auto const& why = std::get<error>(cluster.answers()[0].result);
    CHECK(why.kind() == error_kind::platform_unavailable);
    CHECK(why.request_ran() == ran::no);
    CHECK(why.retry_after() == duration(3s));
    CHECK(why.text().find("only 1 of 4 VMs") != std::string::npos);
    CHECK(cluster.written() == config_version(1));
}

TEST_CASE("a confirm succeeds although the answer to its write is lost",
          "[configuration]")
{
    // The write takes effect, but its answer never arrives. A read finds the
    // run's token, and the operator is told the new version.
    safeguards const checks;
    configuration_cluster cluster(3, 1, default_promise_rules(), checks);
    cluster.add({fault_kind::lose_answers, 0, origin + 8s, 20s});
    cluster.add({fault_kind::confirm, 0, origin + 9s, {}});
    cluster.run_until(origin + 13s);
    REQUIRE(cluster.answers().size() == 1);
    CHECK(std::get<config_version>(cluster.answers()[0].result) ==
          config_version(2));
}

TEST_CASE("VMs that cannot load a new version stop at the staleness bound",
          "[configuration]")
{
    // The new version's object is corrupt or missing when it is fetched. The
    // VMs that fetch it keep the old version, take no new work under it past
    // the staleness bound, and load the new version when its object can be
    // read.
    safeguards const checks;
    configuration_cluster cluster(3, 1, default_promise_rules(), checks);
    cluster.add({fault_kind::corrupt_objects, 0, origin + 8s, 12s});
    cluster.add({fault_kind::confirm, 0, origin + 9s, {}});
    cluster.run_until(origin + 16s);
    CHECK(cluster.counts().confirmed == 1);
    CHECK(cluster.count_at_version(config_version(1)) == 2);
    CHECK(cluster.count_knowing() == 1);
    cluster.run_until(origin + 24s);
    cluster.check_recovery();
    CHECK(cluster.violations().empty());
}

TEST_CASE(
    "a restarted VM gives no promise until its previous ones have expired",
    "[configuration]")
{
    // A restarted VM reads the row and is asked at once to support a confirm.
    // It declines while promises of its previous incarnation, which were not
    // persisted, may still hold.
    safeguards const checks;
    id_source ids;
    configuration_settings settings;
    settings.vm = vm_id("vm-0");
    configuration_keeper keeper(settings, checks, ids);
    auto const promises_at = [&](time_point now)
    {
        action_list actions;
        keeper.on_table_answer(now);
        keeper.on_peer(vm_id("vm-1"), confirm_question{1, config_version(1)},
                       now, actions);
        auto const& sent = std::get<send_peer_message>(actions.back());
        return std::get<confirm_answer>(sent.message).promised;
    };
    action_list actions;
    keeper.start(origin, actions);
    CHECK_FALSE(promises_at(origin + 4s));
    keeper.set_members({{settings.vm, incarnation(2)}}, incarnation(2), origin);
    CHECK_FALSE(promises_at(origin + 1s));
    CHECK_FALSE(promises_at(origin + 3s));
    CHECK(promises_at(origin + 4s));
}
