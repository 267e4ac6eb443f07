#include "worker_adapters.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

worker_id const worker("w");
base_model_id const model("base");

model_target target(std::string const& adapter)
{
    return {model, adapter_id(adapter)};
}

/// A worker that accepts every order; a load completes when the test says so.
struct test_worker
{
    worker_adapters adapters;
    time_point now{std::chrono::hours(1)};

    test_worker() : adapters(settings())
    {
        adapters.on_ownership_acquired(vm_id("vm"), fencing_number(1), now);
        worker_report report;
        report.models[model] = {};
        adapters.on_report(report, now);
    }

    static worker_adapters_settings settings()
    {
        worker_adapters_settings settings;
        settings.adapter_slots = 64;
        return settings;
    }

    void request_load(std::string const& adapter, int waiting = 1)
    {
        adapters.request_load(target(adapter), {}, now);
        for (int number = 0; number < waiting; ++number)
            adapters.begin_wait(target(adapter));
    }

    std::optional<worker_order> next()
    {
        return adapters.next_order(
            worker, [](model_target const&) { return 0.0; }, now);
    }

    /// Issues all loads that are due and returns their adapters in order.
    std::vector<std::string> order_loads()
    {
        std::vector<std::string> ordered;
        while (auto const order = next())
        {
            ordered.push_back(order->adapter.str());
            adapters.on_outcome(order_outcome::accepted, now);
        }
        return ordered;
    }

    /// Completes every load in progress; no other order is issued.
    void finish_loads(std::size_t count)
    {
        for (std::size_t number = 0; number < count; ++number)
        {
            auto const order = next();
            REQUIRE(order);
            CHECK(adapters.stage({order->model, order->adapter}) ==
                  adapter_stage::loading);
            adapters.on_outcome(order_outcome::already_applied, now);
        }
    }

    /// Requests four more adapters, each of which takes `takes` to load.
    /// Returns the maximum number of concurrent loads.
    std::size_t load_four(duration takes)
    {
        for (int number = 0; number < 4; ++number)
            request_load("f" + std::to_string(last_++));
        std::size_t max_concurrent = 0;
        while (true)
        {
            auto const loads = order_loads();
            if (loads.empty())
                return max_concurrent;
            max_concurrent = std::max(max_concurrent, loads.size());
            now += takes;
            finish_loads(loads.size());
        }
    }

private:
    int last_ = 0;
};

} // namespace

// Guards against slow fetches when all workers start at once: each fetches as
// many adapters as it may, and the weight store sends all of them slowly. A
// worker whose fetches take four times as long loads one adapter at a time, and
// four again when fetches are as fast as usual.
TEST_CASE("slower fetches reduce the number of concurrent loads",
          "[worker_adapters]")
{
    test_worker worker;
    CHECK(worker.load_four(250ms) == 4);
    worker.load_four(1000ms);
    worker.load_four(1000ms);
    CHECK(worker.load_four(1000ms) == 1);
    for (int round = 0; round < 4; ++round)
        worker.load_four(250ms);
    CHECK(worker.load_four(250ms) == 4);
}

// Guards against loads in plain order of arrival: a hot adapter with twenty
// waiting requests comes before rare adapters that are requested at the same
// moment, but not before one that has waited for long.
TEST_CASE("an adapter with more waiting requests is loaded first",
          "[worker_adapters]")
{
    test_worker worker;
    for (char const* rare : {"a1", "a2", "a3", "a4", "a5"})
        worker.request_load(rare);
    worker.now += 10ms;
    worker.request_load("hot", 20);
    auto const ordered = worker.order_loads();
    REQUIRE(ordered.size() == 4);
    CHECK(ordered.front() == "hot");
    CHECK(ordered[1] == "a1");
}

TEST_CASE("an adapter that has waited for long is loaded before a hot one",
          "[worker_adapters]")
{
    test_worker worker;
    worker.request_load("rare");
    worker.now += 3s;
    worker.request_load("hot", 20);
    CHECK(worker.order_loads().front() == "rare");
}

// Guards against repeated orders: a load conflicts twice while an earlier order
// is in progress, and the report that is read then shows the worker before that
// order. The report is rejected, and the load in progress is not ordered again.
TEST_CASE("a report that predates the last orders is rejected",
          "[worker_adapters]")
{
    test_worker worker;
    worker.request_load("a1");
    REQUIRE(worker.order_loads().size() == 1);
    worker.request_load("a2");
    for (int time = 0; time < 2; ++time)
    {
        REQUIRE(worker.next());
        worker.adapters.on_outcome(order_outcome::conflict, worker.now);
        worker.now += 20ms;
    }
    REQUIRE_FALSE(worker.adapters.synced());
    worker.now += 400ms;
    worker_report report;
    report.models[model] = {};
    REQUIRE(worker.adapters.needs_report(worker.now));
    worker.adapters.on_report_requested();
    worker.adapters.on_report(report, worker.now);
    CHECK_FALSE(worker.adapters.synced());
    worker.now += 100ms;
    REQUIRE(worker.adapters.needs_report(worker.now));
    SECTION("a later report is accepted")
    {
        report.sequence = 1;
        report.models[model] = {{adapter_id("a1"), adapter_version(1)}};
        worker.adapters.on_report(report, worker.now);
        CHECK(worker.adapters.synced());
        CHECK(worker.adapters.stage(target("a1")) == adapter_stage::resident);
    }
    SECTION("any report is accepted after a while")
    {
        worker.now += 2s;
        worker.adapters.on_report(report, worker.now);
        CHECK(worker.adapters.synced());
    }
}

// Guards against a wrong sequence: a request that another VM sent without a
// grant uses an adapter that this VM takes for idle, so that the accepted
// unload waits. The worker would answer any other order with a conflict;
// therefore none is sent until the unload is complete.
TEST_CASE("an unload in progress delays other orders", "[worker_adapters]")
{
    worker_adapters_settings settings;
    settings.adapter_slots = 2;
    worker_adapters adapters(settings);
    time_point now{std::chrono::hours(1)};
    adapters.on_ownership_acquired(vm_id("vm"), fencing_number(1), now);
    worker_report report;
    report.models[model] = {{adapter_id("a1"), adapter_version(1)},
                            {adapter_id("a2"), adapter_version(1)}};
    adapters.on_report(report, now);
    adapters.request_load(target("b1"), {}, now);
    adapters.request_load(target("b2"), {}, now);
    auto const next = [&]
    {
        return adapters.next_order(
            worker, [](model_target const&) { return 0.0; }, now);
    };
    auto const unload = next();
    REQUIRE(unload);
    REQUIRE(unload->kind == order_kind::unload);
    adapters.on_outcome(order_outcome::accepted, now);
    CHECK_FALSE(next());
    now += 30ms;
    auto const again = next();
    REQUIRE(again);
    CHECK(again->kind == order_kind::unload);
    CHECK(again->adapter == unload->adapter);
    CHECK(again->expected_sequence == unload->expected_sequence + 1);
    adapters.on_outcome(order_outcome::already_applied, now);
    auto const load = next();
    REQUIRE(load);
    CHECK(load->kind == order_kind::load);
    CHECK(load->expected_sequence == unload->expected_sequence + 1);
}

// Guards against an unload that is counted twice: each later order conflicts,
// and the worker loads nothing.
TEST_CASE("an unload in progress is known after a resync", "[worker_adapters]")
{
    worker_adapters_settings settings;
    settings.adapter_slots = 2;
    worker_adapters adapters(settings);
    time_point now{std::chrono::hours(1)};
    adapters.on_ownership_acquired(vm_id("vm"), fencing_number(1), now);
    worker_report report;
    report.sequence = 10;
    report.models[model] = {{adapter_id("a1"), adapter_version(1)},
                            {adapter_id("a2"), adapter_version(1)}};
    adapters.on_report(report, now);
    adapters.request_load(target("b1"), {}, now);
    adapters.begin_wait(target("b1"));
    auto const next = [&]
    {
        return adapters.next_order(
            worker, [](model_target const&) { return 0.0; }, now);
    };
    auto const unload = next();
    REQUIRE(unload);
    REQUIRE(unload->kind == order_kind::unload);
    adapters.on_outcome(order_outcome::accepted, now);
    for (int conflict = 0; conflict < 2; ++conflict)
    {
        now += 30ms;
        REQUIRE(next());
        adapters.on_outcome(order_outcome::conflict, now);
    }
    REQUIRE_FALSE(adapters.synced());
    now += 500ms;
    report.sequence = 11;
    adapters.on_report(report, now);
    auto const poll = next();
    REQUIRE(poll);
    CHECK(poll->kind == order_kind::unload);
    CHECK(poll->adapter == unload->adapter);
    adapters.on_outcome(order_outcome::accepted, now);
    now += 30ms;
    REQUIRE(next());
    adapters.on_outcome(order_outcome::already_applied, now);
    auto const load = next();
    REQUIRE(load);
    CHECK(load->kind == order_kind::load);
    CHECK(load->expected_sequence == 11);
}

// Guards against an unload under a request of a VM that is lost, which blocks
// all orders until the request ends.
TEST_CASE("adapters that unknown requests may use are evicted last",
          "[worker_adapters]")
{
    worker_adapters_settings settings;
    settings.adapter_slots = 2;
    worker_adapters adapters(settings);
    time_point now{std::chrono::hours(1)};
    adapters.on_ownership_acquired(vm_id("vm"), fencing_number(1), now);
    worker_report report;
    report.models[model] = {{adapter_id("found"), adapter_version(1)}};
    adapters.on_report(report, now);
    // The adapter that was found is the least wanted.
    auto const next = [&]
    {
        return adapters.next_order(
            worker,
            [](model_target const& each)
            { return each == target("found") ? 0.0 : 1.0; },
            now);
    };
    adapters.request_load(target("own"), {}, now);
    REQUIRE(next());
    adapters.on_outcome(order_outcome::accepted, now);
    now += 300ms;
    REQUIRE(next());
    adapters.on_outcome(order_outcome::already_applied, now);
    REQUIRE(adapters.stage(target("own")) == adapter_stage::resident);
    adapters.request_load(target("next"), {}, now);
    SECTION("at first")
    {
        auto const unload = next();
        REQUIRE(unload);
        CHECK(unload->adapter == adapter_id("own"));
    }
    SECTION("once such requests have ended")
    {
        now += 10s;
        auto const unload = next();
        REQUIRE(unload);
        CHECK(unload->adapter == adapter_id("found"));
    }
}

// Guards against a poll that names a version declared after the order.
TEST_CASE("a load in progress is polled with the version it names",
          "[worker_adapters]")
{
    worker_adapters adapters({});
    time_point now{std::chrono::hours(1)};
    adapters.on_ownership_acquired(vm_id("vm"), fencing_number(1), now);
    worker_report report;
    report.models[model] = {};
    adapters.on_report(report, now);
    adapters.request_load(target("a1"), adapter_version(2), now);
    adapters.begin_wait(target("a1"));
    auto const next = [&]
    {
        return adapters.next_order(
            worker, [](model_target const&) { return 0.0; }, now);
    };
    auto const load = next();
    REQUIRE(load);
    REQUIRE(load->version == adapter_version(2));
    adapters.mark_outdated(target("a1"), adapter_version(3));
    adapters.on_outcome(order_outcome::accepted, now);
    now += 300ms;
    auto const question = next();
    REQUIRE(question);
    CHECK(question->version == adapter_version(2));
}

// Guards against a worker that is ordered to load more than its memory holds
// although it has slots left.
TEST_CASE("adapters are loaded only as far as they fit beside the weights",
          "[worker_adapters]")
{
    worker_adapters_settings settings;
    settings.adapter_slots = 8;
    settings.weight_memory_mb = 100;
    settings.models = {{model, 10, 1s, 90, 4}};
    worker_adapters adapters(settings);
    CHECK(adapters.slot_count() == 8);
    CHECK(adapters.fits_model(model));
    time_point now{std::chrono::hours(1)};
    adapters.on_ownership_acquired(vm_id("vm"), fencing_number(1), now);
    worker_report report;
    report.models[model] = {};
    adapters.on_report(report, now);
    CHECK(adapters.slot_count() == 2);
    CHECK_FALSE(adapters.fits_model(model));
    for (char const* name : {"a1", "a2", "a3", "a4"})
    {
        adapters.request_load(target(name), {}, now);
        adapters.begin_wait(target(name));
    }
    std::size_t loads = 0;
    while (auto const order = adapters.next_order(
               worker, [](model_target const&) { return 0.0; }, now))
    {
        loads += order->kind == order_kind::load;
        adapters.on_outcome(order_outcome::accepted, now);
    }
    CHECK(loads == 2);
    CHECK_FALSE(adapters.has_available_slot());
}

TEST_CASE("weights that do not fit are not loaded", "[worker_adapters]")
{
    worker_adapters_settings settings;
    settings.adapter_slots = 8;
    settings.weight_memory_mb = 100;
    settings.models = {{model, 10, 1s, 100.5, 4},
                       {base_model_id("small"), 10, 1s, 60, 4},
                       {base_model_id("other"), 10, 1s, 50, 4}};
    worker_adapters adapters(settings);
    CHECK_FALSE(adapters.fits_model(model));
    CHECK(adapters.fits_model(base_model_id("small")));
    adapters.on_ownership_acquired(vm_id("vm"), fencing_number(1),
                                   time_point{});
    worker_report report;
    report.models[base_model_id("small")] = {};
    adapters.on_report(report, time_point{});
    CHECK_FALSE(adapters.fits_model(base_model_id("other")));
    CHECK(adapters.slot_count() == 8);
}

namespace
{

std::set<order_outcome> with_refusals(std::set<order_outcome> outcomes)
{
    outcomes.insert({order_outcome::conflict, order_outcome::fenced,
                     order_outcome::refused, order_outcome::other_worker});
    return outcomes;
}

} // namespace

// Guards against sending orders where a copy of an earlier answer passes for
// theirs.
TEST_CASE("the likely answers to orders are known", "[worker_adapters]")
{
    order_expectation const load{with_refusals({order_outcome::accepted}),
                                 std::nullopt};
    order_expectation const poll{
        with_refusals({order_outcome::already_applied}),
        order_outcome::accepted};
    test_worker worker;
    worker.request_load("a");
    REQUIRE(worker.next());
    CHECK(worker.adapters.expectation() == load);
    worker.adapters.on_outcome(order_outcome::unknown, worker.now);
    worker.now += 1s;
    REQUIRE(worker.next());
    CHECK(worker.adapters.expectation() == order_expectation());
    worker.adapters.on_outcome(order_outcome::accepted, worker.now);
    worker.now += 1s;
    REQUIRE(worker.next());
    CHECK(worker.adapters.expectation() == poll);
    worker.adapters.on_outcome(order_outcome::accepted, worker.now);
    worker.now += 1s;
    REQUIRE(worker.next());
    CHECK(worker.adapters.expectation() == poll);
}

TEST_CASE("an order without a decided answer is sent again at once",
          "[worker_adapters]")
{
    test_worker worker;
    worker.request_load("a");
    auto const order = worker.next();
    REQUIRE(order);
    worker.adapters.on_outcome(order_outcome::undecided, worker.now);
    CHECK(worker.next() == order);
    CHECK(worker.adapters.expectation() == order_expectation());
}

// Guards against taking a load that was refused twice for one in progress.
TEST_CASE("a conflict behind an undecided answer leaves the state unknown",
          "[worker_adapters]")
{
    test_worker worker;
    worker.request_load("a");
    REQUIRE(worker.next());
    worker.adapters.on_outcome(order_outcome::undecided, worker.now);
    REQUIRE(worker.next());
    worker.adapters.on_outcome(order_outcome::conflict, worker.now);
    CHECK_FALSE(worker.adapters.synced());
    CHECK(worker.adapters.stage(target("a")) == adapter_stage::requested);
}

TEST_CASE("an unload is done at once or accepted", "[worker_adapters]")
{
    test_worker worker;
    worker.request_load("a");
    REQUIRE(worker.next());
    worker.adapters.on_outcome(order_outcome::accepted, worker.now);
    worker.now += 1s;
    worker.finish_loads(1);
    worker.adapters.end_wait(target("a"));
    worker.adapters.mark_outdated(target("a"), adapter_version(2));
    worker.now += 1s;
    auto const unload = worker.next();
    REQUIRE(unload);
    REQUIRE(unload->kind == order_kind::unload);
    CHECK(worker.adapters.expectation() ==
          order_expectation{with_refusals({order_outcome::already_applied,
                                           order_outcome::accepted}),
                            std::nullopt});
    worker.adapters.on_outcome(order_outcome::accepted, worker.now);
    worker.now += 1s;
    REQUIRE(worker.next());
    CHECK(worker.adapters.expectation() ==
          order_expectation{with_refusals({order_outcome::already_applied}),
                            order_outcome::accepted});
}
