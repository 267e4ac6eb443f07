#include "plan.hpp"

#include "declaration_text.hpp"

#include <catch2/catch.hpp>
#include <json/reader.h>
#include <json/value.h>

#include <chrono>
#include <sstream>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

declaration parsed(std::string const& members)
{
    std::string const text = R"({"deployment": "trust",
"store": {"loads_per_second": 9, "loads_at_once": 4},
"worker_series": [{"prefix": "loglm-", "count": 2, "base_model": "m",
  "domain": "edfu", "url": "http://10.0.0.{n}:80", "adapter_slots": 3}],
"adapter_series": [{"prefix": "notes-", "count": 9, "base_model": "m",
  "versions": [1, 2], "applications": ["summaries"]}])" +
                             members + "}";
    auto const result = parse_declaration(text, "d.jsonc");
    REQUIRE(std::holds_alternative<declaration>(result));
    return std::get<declaration>(result);
}

std::string ready(std::size_t count, std::size_t copies = 1)
{
    return R"(, "ready_series": [{"application": "summaries",
"prefix": "notes-", "version": 1, "count": )" +
           std::to_string(count) + R"(, "copies": )" + std::to_string(copies) +
           "}]";
}

plan planned(declaration const& before, declaration const& after,
             residency const& loaded = {}, duration load_time = 300ms)
{
    return make_plan(before, config_version(4), after, loaded, load_time);
}

} // namespace

TEST_CASE("a declaration that changes nothing has an empty plan", "[plan]")
{
    declaration const value = parsed("");
    plan const result = planned(value, value);
    CHECK(result.changes.empty());
    CHECK(result.loads.empty());
    CHECK(result.evictions.empty());
    CHECK(result.time_to_ready == 0s);
    CHECK(result.feasible());
    CHECK(result.digest == digest_of(write_declaration(value)));
}

TEST_CASE("changes are reported key by key", "[plan]")
{
    declaration const before = parsed(ready(1));
    declaration after = parsed(ready(1, 2));
    after.stall_weight = 0.75;
    after.adapters.at(adapter_id("notes-3")).versions = {
        adapter_version(1), adapter_version(2), adapter_version(3),
        adapter_version(9)};
    after.workers.erase(worker_id("loglm-1"));
    service_declaration service;
    service.id = service_id("recordsvc");
    service.rules = {{"POST", "/permits", false}};
    after.services[service.id] = service;
    using enum plan_change::kind;
    std::vector<plan_change> const expected{
        {changed, "stall_weight", "0.5", "0.75"},
        {removed, "workers.loglm-1",
         "base_model m, domain edfu, url http://10.0.0.1:80, batch_slots 8, "
         "adapter_slots 3, checks_fence false",
         ""},
        {changed, "adapters.notes-3.versions", "1-2", "1-3, 9"},
        {changed, "ready.summaries.notes-1@1.copies", "1", "2"},
        {added, "services.recordsvc", "",
         "rules POST /permits not repeatable"}};
    CHECK(planned(before, after).changes == expected);
}

TEST_CASE("a different order of the ready list is reported as a change",
          "[plan]")
{
    declaration const before = parsed(ready(3));
    declaration after = before;
    std::swap(after.ready[1], after.ready[2]);
    auto const changes = planned(before, after).changes;
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].key == "ready[1]");
}

TEST_CASE("a plan lists missing loads and their time by the store's limits",
          "[plan]")
{
    declaration const before = parsed("");
    declaration const after = parsed(ready(4));
    plan const result = planned(before, after);
    CHECK(result.loads.size() == 4);
    // The rate of 9 loads a second is the lower limit: 4 concurrent loads of
    // 300 ms would allow 13 a second.
    CHECK(result.time_to_ready >= 444ms);
    CHECK(result.time_to_ready < 445ms);
    CHECK(planned(before, after, {}, 2s).time_to_ready == 2s);
    CHECK(planned(before, parsed(ready(3)), {}, 10s).time_to_ready == 10s);
    residency loaded;
    for (planned_load const& load : result.loads)
        loaded[load.worker].insert(load.adapter);
    CHECK(planned(before, after, loaded).loads.empty());
}

TEST_CASE("adapters that requests may no longer name are evicted first",
          "[plan]")
{
    declaration const after = parsed(ready(4));
    adapter_ref const unneeded = *parse_adapter_ref("notes-9@2");
    adapter_ref const undeclared = *parse_adapter_ref("old@1");
    residency loaded;
    for (auto const& [id, worker] : after.workers)
        loaded[id] = {unneeded, undeclared};
    plan const result = planned(after, after, loaded);
    REQUIRE(result.evictions.size() == 2);
    CHECK(result.evictions[0].adapter == undeclared);
    CHECK(result.evictions[1].adapter == undeclared);
    for (auto& [id, adapters] : loaded)
        adapters.insert(*parse_adapter_ref("notes-8@2"));
    plan const with_more_loaded = planned(after, after, loaded);
    REQUIRE(with_more_loaded.evictions.size() == 4);
    CHECK(with_more_loaded.evictions[1].adapter == undeclared);
    CHECK(with_more_loaded.evictions[2].adapter ==
          *parse_adapter_ref("notes-8@2"));
}

TEST_CASE("a plan reports obstacles to its confirmation", "[plan]")
{
    declaration const before = parsed("");
    plan const without_slots = planned(before, parsed(ready(5)));
    REQUIRE(without_slots.obstacles.size() == 1);
    CHECK(without_slots.obstacles[0].find("1 of 5 ready copies fit nowhere") !=
          std::string::npos);
    CHECK_FALSE(planned(before, parsed(ready(1, 3))).feasible());
    declaration slow_declaration = parsed(ready(4));
    slow_declaration.store.loads_per_second = 0.001;
    plan const with_slow_store = planned(before, slow_declaration);
    REQUIRE(with_slow_store.obstacles.size() == 1);
    CHECK(with_slow_store.obstacles[0] ==
          "the weight store needs 67 minutes for 4 "
          "loads; the maximum is 60 minutes");
    CHECK(describe(with_slow_store).find("IT DOES NOT FIT") !=
          std::string::npos);
}

TEST_CASE("the text of a plan is truncated to fewer than 40 lines", "[plan]")
{
    declaration after = parsed(ready(4));
    for (int at = 0; at < 3000; ++at)
    {
        adapter_declaration adapter = after.adapters.begin()->second;
        adapter.id = adapter_id("more-" + std::to_string(at));
        after.adapters[adapter.id] = adapter;
    }
    std::string const text = describe(planned({}, after));
    CAPTURE(text);
    CHECK(std::count(text.begin(), text.end(), '\n') < 40);
    CHECK(text.find("adapters: 3009 added") != std::string::npos);
}

TEST_CASE("the JSON of a plan has all its members", "[plan]")
{
    Json::Value json;
    std::istringstream(plan_json(planned(parsed(""), parsed(ready(4))))) >>
        json;
    CHECK(json["base"].asUInt64() == 4);
    CHECK(json["digest"].asString().size() == 64);
    CHECK(json["feasible"].asBool());
    CHECK(json["obstacles"].empty());
    CHECK(json["changes"].size() == 4);
    CHECK(json["changes"][0]["what"] == "added");
    CHECK(json["changes"][0]["key"] == "ready.summaries.notes-1@1");
    CHECK(json["loads"].size() == 4);
    CHECK(json["loads_count"].asUInt64() == 4);
    CHECK(json["evictions"].empty());
    CHECK(json["time_to_ready_ms"].asInt64() == 445);
    CHECK(json["summary"].asString().find("Plan ") == 0);
}
