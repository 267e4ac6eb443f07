#include "adapter_table.hpp"
#include "batch_scheduler.hpp"
#include "completion_text.hpp"
#include "event_log.hpp"
#include "fault_counts.hpp"
#include "json_text.hpp"
#include "prefix_cache.hpp"
#include "standin_program.hpp"
#include "table_store.hpp"
#include "token_text.hpp"
#include "weight_gate.hpp"
#include "worker_names.hpp"

#include <catch2/catch.hpp>

using namespace mulberry::standins;
using namespace std::chrono_literals;

namespace
{

constexpr steady_time start{1000s};

batch_scheduler small_batch(std::size_t slots, std::size_t queue_limit)
{
    return batch_scheduler({slots, queue_limit, 2ms},
                           [](job_id) { return 5ms; });
}

} // namespace

TEST_CASE("a transaction applies all writes or none", "[table_store]")
{
    table_store table;
    auto const made =
        table.transact({{"a", 0}}, {{"a", "1"}, {"b", "2"}}, start);
    REQUIRE(made.applied);
    CHECK(made.rows[0].version < made.rows[1].version);

    auto const refused =
        table.transact({{"a", made.rows[0].version}, {"b", 0}},
                       {{"a", "changed"}, {"c", "new"}}, start);
    CHECK_FALSE(refused.applied);
    CHECK(refused.rows == made.rows);
    CHECK(table.read("a", start)->value == "1");
    CHECK_FALSE(table.read("c", start));
}

TEST_CASE("a row version is never reused, even after a deletion",
          "[table_store]")
{
    table_store table;
    auto const first = table.transact({}, {{"a", "1"}}, start).rows[0];
    auto const deleted =
        table.transact({}, {{"a", std::nullopt}}, start).rows[0];
    CHECK(deleted.version == 0);
    CHECK(table.transact({{"a", 0}}, {}, start).applied);
    auto const again = table.transact({{"a", 0}}, {{"a", "1"}}, start).rows[0];
    CHECK(again.version > first.version + 1);
}

TEST_CASE("stale reads return the rows as of the given time", "[table_store]")
{
    table_store table;
    table.transact({}, {{"vm/1", "old"}, {"vm/2", "gone"}}, start);
    table.transact({}, {{"vm/1", "new"}, {"vm/2", std::nullopt}}, start + 5s);
    table.transact({}, {{"vn", "other"}}, start);
    CHECK(table.read("vm/1", start + 4s)->value == "old");
    CHECK(table.read("vm/1", start + 5s)->value == "new");
    CHECK_FALSE(table.read("vm/1", start - 1s));
    CHECK(table.scan("vm/", start + 4s).size() == 2);
    CHECK(table.scan("vm/", start + 5s).size() == 1);
}

TEST_CASE("a token bucket allows its burst, then its rate", "[token_bucket]")
{
    token_bucket bucket(10, 2);
    CHECK(bucket.take(start));
    CHECK(bucket.take(start));
    CHECK_FALSE(bucket.take(start));
    CHECK(bucket.take(start + 100ms));
    CHECK_FALSE(bucket.take(start + 150ms));
    CHECK(bucket.take(start + 10s, 20));
    CHECK_FALSE(bucket.take(start + 11s));
}

TEST_CASE("loads above the concurrency limit share the bandwidth",
          "[weight_gate]")
{
    weight_gate gate({100, 2, 1s});
    load_id const first = *gate.start(start);
    load_id const second = *gate.start(start);
    CHECK(gate.next_finish() == start + 1s);
    // Four loads share the bandwidth of two, so that half a second of work
    // takes a second.
    load_id const third = *gate.start(start + 500ms);
    load_id const fourth = *gate.start(start + 500ms);
    CHECK(gate.finished(start + 1400ms).empty());
    CHECK(gate.next_finish() == start + 1500ms);
    CHECK(gate.finished(start + 1500ms) == std::vector{first, second});
    CHECK(gate.finished(start + 2s) == std::vector{third, fourth});
    CHECK_FALSE(gate.next_finish());
}

TEST_CASE("loads above the rate are refused and a slowdown delays their end",
          "[weight_gate]")
{
    weight_gate gate({4, 3, 1s});
    gate.slow_down(start, 10);
    for (int load = 0; load < 3; ++load)
        REQUIRE(gate.start(start));
    CHECK_FALSE(gate.start(start));
    CHECK(gate.next_finish() == start + 10s);
    gate.slow_down(start + 5s, 1);
    CHECK(gate.next_finish() == start + 5500ms);
}

TEST_CASE("jobs get slots by priority, then arrival", "[batch_scheduler]")
{
    batch_scheduler batch = small_batch(1, 2);
    REQUIRE(batch.admit(job_id{1}, 5, 1));
    REQUIRE(batch.advance(start) == std::vector<batch_step>{{job_id{1}}});
    REQUIRE(batch.admit(job_id{2}, 5, 1));
    REQUIRE(batch.admit(job_id{3}, 9, 1));
    CHECK_FALSE(batch.admit(job_id{4}, 9, 1));
    CHECK(batch.running() == 1);
    CHECK(batch.waiting() == 2);
    CHECK(batch.advance(start + 5ms) ==
          std::vector<batch_step>{{job_id{1}, 0, 1}, {job_id{3}}});
    batch.remove(job_id{3});
    CHECK(batch.advance(start + 6ms) == std::vector<batch_step>{{job_id{2}}});
}

TEST_CASE("the token rate is kept after a late wake-up or a pause",
          "[batch_scheduler]")
{
    batch_scheduler batch = small_batch(2, 0);
    REQUIRE(batch.admit(job_id{1}, 5, 8));
    batch.advance(start);
    CHECK(batch.next_due() == start + 5ms);
    CHECK(batch.advance(start + 4ms).empty());
    CHECK(batch.advance(start + 9ms) ==
          std::vector<batch_step>{{job_id{1}, 0, 3}});
    batch.hold(true, start + 9ms);
    CHECK_FALSE(batch.next_due());
    CHECK(batch.advance(start + 60ms).empty());
    batch.hold(false, start + 60ms);
    CHECK(batch.advance(start + 60ms) ==
          std::vector<batch_step>{{job_id{1}, 3, 4}});
    CHECK(batch.advance(start + 1s) ==
          std::vector<batch_step>{{job_id{1}, 4, 8}});
    CHECK(batch.running() == 0);
}

TEST_CASE("the text depends on adapter version, prompt and position",
          "[token_text]")
{
    // FNV-1a 64 of "a@1|hello|0", computed independently of this code.
    CHECK(token_text("a@1", "hello").token(0) == "w0:411383 ");
    CHECK(without_fence("a@1#77") == "a@1");
    CHECK(token_text("a@1", "hello").token(12) !=
          token_text("a@2", "hello").token(12));
}

TEST_CASE("a stream's events do not depend on the requested ranges",
          "[completion_text]")
{
    completion_text const text(completion_kind::chat, "r\"1", "a@1#3", "hello",
                               4);
    CHECK(text.events(0, 2) + text.events(2, 4) == text.events(0, 4));
    std::string const last = text.events(3, 4);
    CHECK(last.ends_with("\n\ndata: [DONE]\n\n"));
    auto const event = parse_object(last.substr(6, last.find("\n\n") - 6));
    CHECK(event["id"] == "r\"1");
    CHECK(event["offset"] == 3);
    CHECK(event["choices"][0]["finish_reason"] == "length");
    CHECK(event["usage"]["completion_tokens"] == 4);
    CHECK(text.events(4, 4) == "data: [DONE]\n\n");
    auto const whole = parse_object(text.body());
    CHECK(whole["choices"][0]["message"]["content"].asString().starts_with(
        token_text("a@1", "hello").token(0)));
}

TEST_CASE("loads in progress count towards the adapter slots",
          "[adapter_table]")
{
    adapter_table table(2);
    CHECK(table.start_load("a") == load_start::started);
    CHECK(table.start_load("a") == load_start::joined);
    CHECK(table.start_load("b") == load_start::started);
    CHECK(table.start_load("c") == load_start::no_free_slot);
    table.finish_load("a", true);
    table.finish_load("b", false);
    CHECK(table.start_load("a") == load_start::already_loaded);
    CHECK(table.start_load("c") == load_start::started);
    CHECK_FALSE(table.unload("c"));
    CHECK(table.unload("a"));
    CHECK_FALSE(table.is_loaded("a"));
}

TEST_CASE("cache events are delayed and some are lost", "[prefix_cache]")
{
    prefix_cache cache({1, 100ms, 2});
    CHECK_FALSE(cache.use("p", start));
    CHECK(cache.use("p", start));
    // Events: 1 stored p, 2 removed p (lost), 3 stored q.
    CHECK_FALSE(cache.use("q", start + 50ms));
    CHECK(parse_object(cache.events(0, start + 99ms))["events"].empty());
    auto const events = parse_object(cache.events(0, start + 150ms))["events"];
    REQUIRE(events.size() == 2);
    CHECK(events[0]["number"] == 1);
    CHECK(events[1]["number"] == 3);
    CHECK(parse_object(cache.events(1, start + 150ms))["events"].size() == 1);
}

TEST_CASE("a full log drops its oldest events and keeps their numbers",
          "[event_log]")
{
    event_log log(2);
    CHECK(log.page(0) == R"({"events":[]})");
    for (int event = 0; event < 3; ++event)
        log.append(R"("kind":"k")");
    auto const events = parse_object(log.page(0))["events"];
    REQUIRE(events.size() == 2);
    CHECK(events[0]["number"] == 2);
    CHECK(parse_object(log.page(2))["events"].size() == 1);
    CHECK(parse_object(log.page(9))["events"].empty());
}

TEST_CASE("a fault is injected as often as requested", "[fault_counts]")
{
    fault_counts faults{"fail_loads", "wrong_model"};
    faults.set(parse_object(R"({"fail_loads": 2, /* or not */ "x": 1})"));
    CHECK_FALSE(faults.take("wrong_model"));
    CHECK(faults.take("fail_loads"));
    CHECK(faults.take("fail_loads"));
    CHECK_FALSE(faults.take("fail_loads"));
}

TEST_CASE("worker names are expanded and split off paths", "[worker_names]")
{
    CHECK(worker_names({"loglm:2", "solo"}) ==
          std::vector<std::string>{"loglm-01", "loglm-02", "solo"});
    CHECK_THROWS_AS(worker_names({"loglm:0"}), bad_option);
    CHECK_THROWS_AS(worker_names({"a/b"}), bad_option);
    CHECK(split_worker("/a/v1/models").rest == "/v1/models");
    CHECK(split_worker("/a").worker == "a");
    CHECK(split_worker("").worker.empty());
}
