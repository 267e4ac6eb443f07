#include "registry_watch.hpp"

#include "row_mirror.hpp"
#include "worker_row_projection.hpp"

#include <catch2/catch.hpp>

#include <optional>
#include <stdexcept>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

time_point const start{std::chrono::hours(1)};

/// Decodes rows from a simple text. Worker: the service, optionally
/// "/START/WEIGHTS" (start and version of the weights of its one model), and
/// "!" at the end while the worker drains. Configuration: its version. "?" is
/// malformed.
class plain_codec final : public relay_codec
{
public:
    std::optional<routing_config>
    decode_config(std::string const& text, std::string& fault) const override
    {
        if (text == "?")
        {
            fault = "malformed";
            return std::nullopt;
        }
        routing_config config;
        config.version = config_version(std::stoull(text));
        return config;
    }
    std::optional<backend_entry>
    decode_backend(std::string const& id, std::string const& text,
                   std::string& fault) const override
    {
        if (text == "?")
        {
            fault = "malformed";
            return std::nullopt;
        }
        backend_entry entry;
        entry.id = worker_id(id);
        entry.draining = text.ends_with('!');
        auto const slash = text.find('/');
        entry.service = service_id(text.substr(0, slash));
        if (slash == std::string::npos)
            return entry;
        std::size_t digits = 0;
        std::string const numbers = text.substr(slash + 1);
        entry.started = worker_start(std::stoull(numbers, &digits));
        entry.models.push_back(
            {base_model_id("m"),
             {},
             weights_version(std::stoull(numbers.substr(digits + 1)))});
        return entry;
    }
    std::optional<adapter_release> decode_release(std::string const&,
                                                  std::string&) const override
    {
        return adapter_release{{base_model_id("m"), adapter_id("a")},
                               adapter_version(2)};
    }

    relay_request decode_request(http_request) const override { throw unused; }
    std::string encode_head(relay_request const&,
                            forward_options const&) const override
    {
        throw unused;
    }
    std::string request_id_field() const override { throw unused; }
    worker_reply decode_reply(int, http_headers const&,
                              relay_request const&) const override
    {
        throw unused;
    }
    tolerance_statement decode_tolerance(http_headers const&) const override
    {
        return {};
    }
    limit_statement decode_limit(http_headers const&) const override
    {
        throw unused;
    }
    http_headers answer_headers(http_headers const&) const override
    {
        throw unused;
    }
    http_response error_response(relay_request const&,
                                 error const&) const override
    {
        throw unused;
    }
    std::string encode_order(worker_order const&,
                             request_id const&) const override
    {
        throw unused;
    }
    order_outcome decode_order_reply(int) const override { throw unused; }
    int order_status(order_outcome) const override { throw unused; }
    std::string encode_report_request() const override { throw unused; }
    std::optional<worker_report>
    decode_report(std::string const&) const override
    {
        throw unused;
    }
    bool is_readiness_query(http_request const&) const override
    {
        throw unused;
    }

private:
    std::logic_error const unused{"not used by the registry"};
};

struct registry_fixture
{
    plain_codec codec;
    std::vector<std::string> lines;
    event_log log{"test", 1000,
                  [this](log_level, std::string_view, std::string_view event,
                         std::string const&) { lines.emplace_back(event); }};
    std::vector<std::uint64_t> configs;
    std::vector<adapter_release> releases;
    std::vector<model_target> withdrawn;
    std::optional<std::vector<backend_entry>> workers;
    registry_watch registry{
        codec,
        log,
        {[this](std::shared_ptr<routing_config const> const& config)
         { configs.push_back(config->version.value()); },
         [this](adapter_release const& release)
         { releases.push_back(release); },
         [this](model_target const& target) { withdrawn.push_back(target); },
         [this](std::vector<backend_entry> entries)
         { workers = std::move(entries); }}};
    std::uint64_t version = 0;

    void worker(std::string const& key, std::optional<std::string> value,
                time_point now, time_point trusted_at)
    {
        registry.on_rows(row_set::workers,
                         {{row_kind::worker, key, row_version(++version),
                           value.value_or(""), !value}},
                         now, trusted_at);
    }
    void declare(row_kind kind, std::string const& value)
    {
        registry.on_rows(row_set::declarations,
                         {{kind, "key", row_version(++version), value, false}},
                         start, start);
    }
};

} // namespace

TEST_CASE("only newer configurations are published", "[registry_watch]")
{
    registry_fixture world;
    for (char const* text : {"3", "2", "3", "?", "5"})
        world.declare(row_kind::configuration, text);
    CHECK(world.configs == std::vector<std::uint64_t>{3, 5});
    CHECK(world.lines == std::vector<std::string>{"malformed declaration"});
    world.declare(row_kind::adapter_release, "");
    CHECK(world.releases.size() == 1);
}

TEST_CASE("a deleted declaration of a version is published", "[registry_watch]")
{
    registry_fixture world;
    stored_row row{row_kind::adapter_release, "version/m.a", row_version(1),
                   "2"};
    world.registry.on_rows(row_set::declarations, {row}, start, start);
    CHECK(world.withdrawn.empty());
    row.deleted = true;
    for (int times = 0; times < 2; ++times)
        world.registry.on_rows(row_set::declarations, {row}, start, start);
    CHECK(world.withdrawn ==
          std::vector<model_target>{{base_model_id("m"), adapter_id("a")}});
}

TEST_CASE("a worker entry is published when it changes", "[registry_watch]")
{
    registry_fixture world;
    world.worker("w", "llm", start, start);
    REQUIRE(world.workers);
    CHECK(world.workers->size() == 1);
    world.workers.reset();
    world.worker("w", "llm", start, start);
    CHECK_FALSE(world.workers);
    world.worker("w", "?", start, start);
    CHECK_FALSE(world.workers);
    CHECK(world.lines == std::vector<std::string>{"malformed worker entry"});
    world.worker("w", "llm!", start, start);
    REQUIRE(world.workers);
    CHECK(world.workers->front().draining);
    world.worker("w", std::nullopt, start, start);
    CHECK(world.workers->empty());
}

// Another writer adds malformed rows among the workers' rows. Each is logged
// once however often it is read, and other workers are unaffected. A worker
// whose own row was overwritten writes it again, or is dropped.
TEST_CASE("a malformed worker row is ignored and logged once",
          "[registry_watch]")
{
    registry_fixture world;
    world.worker("w", "llm", start, start);
    world.worker("v", "llm", start, start);
    std::vector<stored_row> const odd{
        {row_kind::worker, "odd", row_version(50), "?", false}};
    for (int again = 0; again < 3; ++again)
        world.registry.on_rows(row_set::workers, odd, start, start);
    CHECK(world.workers->size() == 2);
    CHECK(world.lines.size() == 1);
    CHECK(world.registry.malformed_rows() == 1);
    world.version = 50;
    world.worker("w", "?", start, start);
    world.worker("v", "llm", start + 1s, start);
    CHECK(world.workers->size() == 2);
    SECTION("dropped when the row stays malformed")
    {
        world.worker("v", "llm", start + 3s, start);
        REQUIRE(world.workers->size() == 1);
        CHECK(world.workers->front().id == worker_id("v"));
    }
    SECTION("kept when the worker writes its entry again")
    {
        world.worker("w", "llm", start + 1s, start);
        world.worker("v", "llm", start + 3s, start);
        CHECK(world.workers->size() == 2);
    }
}

// After a VM has learned that a worker is leaving, neither an older row from a
// reader that lags nor the lapse of the entry during a store outage brings the
// worker back.
TEST_CASE("a leaving worker does not come back with an older row",
          "[registry_watch]")
{
    registry_fixture world;
    world.worker("w", "llm", start, start);
    world.worker("w", "llm!", start, start);
    REQUIRE(world.workers->front().draining);
    world.registry.on_rows(
        row_set::workers,
        {{row_kind::worker, "w", row_version(1), "llm", false}}, start + 1s,
        start + 30s);
    CHECK(world.workers->front().draining);
    world.worker("w", std::nullopt, start + 2s, start + 30s);
    CHECK(world.workers->empty());
}

// Entries of live workers lapsed during a store outage. The workers are kept
// until the grace period is over; a worker that was draining is dropped at
// once.
TEST_CASE("entries that lapsed in a store outage are kept for a grace period",
          "[registry_watch]")
{
    registry_fixture world;
    world.worker("w", "llm", start, start);
    world.worker("v", "llm!", start, start);
    time_point const trusted_at = start + 12s;
    world.worker("v", std::nullopt, start + 10s, trusted_at);
    world.worker("w", std::nullopt, start + 10s, trusted_at);
    CHECK(world.workers->size() == 1);
    SECTION("and dropped when they do not come back")
    {
        world.registry.on_rows(row_set::workers, {}, start + 11s, trusted_at);
        CHECK(world.workers->size() == 1);
        world.registry.on_rows(row_set::workers, {}, start + 12s, trusted_at);
        CHECK(world.workers->empty());
    }
    SECTION("and kept when they come back")
    {
        world.worker("w", "llm", start + 11s, trusted_at);
        world.registry.on_rows(row_set::workers, {}, start + 20s, trusted_at);
        CHECK(world.workers->size() == 1);
    }
}

// A worker whose entry is missing may be restarting with newer weights, so its
// weights are unknown and no prefix may be copied from it.
TEST_CASE("the weights of a worker whose entry lapsed are unknown",
          "[registry_watch]")
{
    registry_fixture world;
    time_point const trusted_at = start + 12s;
    base_model_id const model("m");
    world.worker("w", "llm/1/7", start, start);
    CHECK(weights_of(world.workers->front(), model) == weights_version(7));
    world.worker("w", std::nullopt, start + 10s, trusted_at);
    REQUIRE(world.workers->size() == 1);
    CHECK(weights_of(world.workers->front(), model) == weights_version());
    world.worker("w", "llm/1/7", start + 11s, trusted_at);
    CHECK(weights_of(world.workers->front(), model) == weights_version(7));
}

// A worker restarts and loads newer weights between two reads of its row. The
// projection must differ, though the worker holds the same model as before;
// heartbeats must not change the projection.
TEST_CASE("the projection of a worker row includes its start and weights",
          "[worker_essence]")
{
    plain_codec const codec;
    auto const essence = [&codec](std::string const& text)
    {
        return project_worker_row(
            codec, {row_kind::worker, "w", row_version(1), text, false});
    };
    CHECK(essence("llm/1/7") == essence("llm/1/7"));
    CHECK(essence("llm/1/7") != essence("llm/2/7"));
    CHECK(essence("llm/1/7") != essence("llm/1/8"));
    CHECK(essence("?") != essence("llm/1/7"));
}

namespace
{

constexpr std::chrono::milliseconds drain_bound{2000};
/// A VM is bound by drain_bound again this long after its last failure ended.
constexpr std::chrono::milliseconds settled{3000};
constexpr std::chrono::milliseconds poll_interval{1000};
constexpr std::chrono::milliseconds query_timeout{600};
constexpr std::chrono::milliseconds answer_delay{100};

/// One VM that reads the store itself, in virtual time. It polls the workers'
/// rows, and another query probes the store after a failure. The store fails
/// for it in a span of time; queries in that span hang until they time out.
class polling_vm
{
public:
    polling_vm(time_point fails_from, time_point fails_until)
        : fails_from_(fails_from), fails_until_(fails_until)
    {
        world_.worker("w", "llm", start, start);
        contact_.on_answer(start, start);
    }

    /// Polls from `first_poll` on; the worker's entry is deleted at
    /// `deleted_at`. `lost_query` is when a query turns out to be lost though
    /// the store does not fail. Returns when the worker is dropped.
    time_point dropped_at(time_point first_poll, time_point deleted_at,
                          time_point lost_query = never)
    {
        time_point next_poll = first_poll;
        for (time_point now = start; now < start + 60s; now += 1ms)
        {
            if (now == lost_query)
                on_failure(now, now);
            if (now >= next_probe_)
                probe(now);
            if (now >= next_poll)
                next_poll = poll(now, deleted_at) + poll_interval;
            if (now >= world_.registry.next_lapse())
                world_.registry.drop_lapsed(now);
            if (world_.workers->empty())
                return now + answer_delay;
        }
        return never;
    }

private:
    bool fails(time_point at) const
    {
        return at >= fails_from_ && at < fails_until_;
    }

    void on_failure(time_point asked_at, time_point now)
    {
        contact_.on_failure(now);
        next_probe_ =
            std::max(now, store_contact::retry_at(++failures_, asked_at));
    }

    void probe(time_point now)
    {
        if (fails(now))
            return on_failure(now, now + query_timeout);
        contact_.on_answer(now, now + answer_delay);
        next_probe_ = never;
        failures_ = 0;
    }

    /// Returns when the poll ends.
    time_point poll(time_point now, time_point deleted_at)
    {
        if (fails(now))
        {
            if (next_probe_ == never)
                on_failure(now, now + query_timeout);
            return now + query_timeout;
        }
        time_point const ends = now + answer_delay;
        if (next_probe_ == never)
            contact_.on_answer(now, ends);
        if (now >= deleted_at)
            world_.worker("w", std::nullopt, ends, contact_.trusted_at(ends));
        else
            world_.registry.on_rows(row_set::workers, {}, ends,
                                    contact_.trusted_at(ends));
        return ends;
    }

    time_point const fails_from_;
    time_point const fails_until_;
    registry_fixture world_;
    store_contact contact_{1800ms};
    time_point next_probe_ = never;
    int failures_ = 0;
};

} // namespace

// One query of a VM is lost while its other queries are answered. A worker that
// leaves just then is not kept as if its entry had lapsed in an outage.
TEST_CASE("a worker that leaves beside a lost query is dropped in time",
          "[registry_watch]")
{
    for (duration phase = 0ms; phase < poll_interval; phase += 50ms)
        for (duration leaves = -2s; leaves < 3s; leaves += 100ms)
        {
            time_point const lost = start + 10s;
            polling_vm vm(never, never);
            time_point const dropped =
                vm.dropped_at(start + phase, lost + leaves, lost);
            CAPTURE(phase.count(), leaves.count());
            REQUIRE(dropped <= lost + leaves + drain_bound);
        }
}

// The store fails for a VM for a while, and a worker leaves meanwhile or at the
// moment of the return. The worker's entry may merely have lapsed, so the
// worker stays in use until that is ruled out. Three seconds after the return,
// no leaving worker is in use any more.
TEST_CASE("a worker that left at the store's return is dropped in time",
          "[registry_watch]")
{
    for (duration phase = 0ms; phase < poll_interval; phase += 50ms)
        for (duration span : {300ms, 1100ms, 2700ms, 7000ms})
            for (duration leaves = -span; leaves < 4s; leaves += 100ms)
            {
                time_point const back = start + 10s + span;
                polling_vm vm(start + 10s, back);
                time_point const dropped =
                    vm.dropped_at(start + phase, back + leaves);
                CAPTURE(phase.count(), span.count(), leaves.count());
                REQUIRE(dropped <=
                        std::max<time_point>(back + settled,
                                             back + leaves + drain_bound));
            }
}

// Entries of live workers lapsed during a store outage that began after a
// single failure; the workers are kept all the same.
TEST_CASE("entries that lapsed in an unsteady outage are kept",
          "[registry_watch]")
{
    store_contact contact(1800ms);
    registry_fixture world;
    world.worker("w", "llm", start, start);
    contact.on_answer(start, start);
    for (int number = 1; number < 5; ++number)
    {
        time_point const at = start + number * 500ms;
        contact.on_failure(at);
        contact.on_answer(at + 10ms, at + 10ms);
    }
    time_point const back = start + 2010ms;
    world.worker("w", std::nullopt, back, contact.trusted_at(back));
    CHECK(world.workers->size() == 1);
    CHECK(world.registry.next_lapse() == back + lapse_grace);
    world.registry.drop_lapsed(back + lapse_grace);
    CHECK(world.workers->empty());
    CHECK(world.registry.next_lapse() == never);
}
