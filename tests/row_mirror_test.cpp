#include "row_mirror.hpp"

#include "boot_clock.hpp"
#include "collected_exchange.hpp"
#include "memory_row_store.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace mulberry;
using namespace mulberry_test;
using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::seconds generous_wait{20};

/// How often a mirror asks for rows. With `fast` a reader counts as silent
/// after 80 ms, which a busy machine may take for one answer.
enum class polling
{
    fast,
    as_in_production
};

/// One VM's mirror, with the HTTP server at which other VMs query it.
struct mirror_vm
{
    std::string name;
    memory_row_store store;
    std::size_t readers_failed = 0;
    event_log log{"test", 1000,
                  [this](log_level, std::string_view, std::string_view event,
                         std::string const&)
                  { readers_failed += event == "reader failed"; }};
    backend_pool pool;
    std::vector<stored_row> seen;
    /// For each row value: how many readers had failed when the value was first
    /// seen.
    std::map<std::string, std::size_t> failed_before;
    row_mirror mirror;
    http_server server;
    bool answers = true;
    bool hangs = false;
    std::vector<std::shared_ptr<http_answer>> unanswered;

    mirror_vm(asio::io_context& io, std::string named, polling how)
        : name(std::move(named)), pool(io),
          mirror(io, store, pool, options(name, how), log,
                 {[this](row_set, std::vector<stored_row> const& rows)
                  { see(rows); }}),
          server(server_options(io),
                 [this](http_request const& request,
                        std::shared_ptr<http_answer> answer)
                 {
                     if (hangs)
                         return unanswered.push_back(std::move(answer));
                     if (answers)
                         return mirror.serve(request, std::move(answer));
                     answer->abort();
                 })
    {
    }

    static row_mirror_options options(std::string const& name, polling how)
    {
        row_mirror_options options;
        options.vm = vm_id(name);
        options.domain = domain_id("zone");
        if (how == polling::fast)
        {
            options.declaration_wait = 200ms;
            options.worker_interval = 60ms;
            options.own_interval = 100ms;
        }
        options.min_lapse_outage = generous_wait;
        options.project_worker_row = [](stored_row const& row)
        { return row.value.substr(0, row.value.find('/')); };
        return options;
    }

    static http_server_options server_options(asio::io_context& io)
    {
        http_server_options options;
        options.shared_io = &io;
        return options;
    }

    member_view member() const
    {
        return {vm_id(name), incarnation(1), domain_id("zone"),
                "127.0.0.1:" + std::to_string(server.port()),
                member_state::live};
    }

    void see(std::vector<stored_row> const& rows)
    {
        for (stored_row const& row : rows)
            failed_before.emplace(row.value, readers_failed);
        seen.insert(seen.end(), rows.begin(), rows.end());
    }

    bool saw(std::string const& value) const
    {
        for (stored_row const& row : seen)
            if (row.value == value)
                return true;
        return false;
    }
};

/// VMs of one failure domain, each with a separate store, so that a VM's rows
/// show where they came from. One VM in sixteen is a reader for the others.
class mirror_simulation
{
public:
    explicit mirror_simulation(int count = 4, polling how = polling::fast)
    {
        for (int number = 0; number < count; ++number)
            vms.push_back(std::make_unique<mirror_vm>(
                io, "vm-" + std::to_string(number), how));
        for (auto const& vm : vms)
        {
            // Row versions are the same in all stores.
            vm->store.put(row_set::declarations, row_kind::configuration,
                          "config", "first");
            vm->store.put(row_set::workers, row_kind::worker, "w", "ready/1");
            vm->store.put(row_set::own, row_kind::own, "worker/w", "none");
            vm->mirror.start();
        }
        REQUIRE(until(
            [this]
            {
                bool all = true;
                for (auto const& vm : vms)
                    for (row_set const set : all_row_sets)
                        all = all && vm->mirror.has_read(set);
                return all;
            }));
        std::vector<member_view> members;
        for (auto const& vm : vms)
            members.push_back(vm->member());
        for (auto const& vm : vms)
            vm->mirror.set_members(members);
        for (auto const& vm : vms)
            (vm->mirror.reader().empty() ? reader : followers)
                .push_back(vm.get());
        REQUIRE(reader.size() == static_cast<std::size_t>(count + 15) / 16);
    }

    /// Runs the event loop until `holds` is true for every VM that follows a
    /// reader; returns false after generous_wait.
    bool until_followers(std::function<bool(mirror_vm const&)> const& holds)
    {
        return until(
            [&]
            {
                return std::all_of(followers.begin(), followers.end(),
                                   [&](mirror_vm const* vm)
                                   { return holds(*vm); });
            });
    }

    bool until(std::function<bool()> const& holds)
    {
        auto const limit = std::chrono::steady_clock::now() + generous_wait;
        while (!holds() && std::chrono::steady_clock::now() < limit)
            io.run_one_for(10ms);
        return holds();
    }

    asio::io_context io{1};
    std::vector<std::unique_ptr<mirror_vm>> vms;
    std::vector<mirror_vm*> reader;
    std::vector<mirror_vm*> followers;
};

} // namespace

TEST_CASE("a follower receives changes from the VM that reads the store",
          "[row_mirror]")
{
    mirror_simulation world(4, polling::as_in_production);
    std::vector<std::size_t> before;
    for (mirror_vm const* vm : world.followers)
        before.push_back(vm->store.calls());
    // A follower that queried its own store would do so at least once in each
    // round.
    for (int round = 2; round < 6; ++round)
    {
        std::string const config = "config-" + std::to_string(round);
        std::string const worker = "drains-" + std::to_string(round);
        memory_row_store& store = world.reader[0]->store;
        store.put(row_set::declarations, row_kind::configuration, "config",
                  config);
        store.put(row_set::workers, row_kind::worker, "w", worker + "/1");
        CHECK(world.until_followers(
            [&](mirror_vm const& vm)
            { return vm.saw(config) && vm.saw(worker + "/1"); }));
    }
    // A query that was in progress when the VM began to follow may still be
    // answered; no other query is sent.
    for (std::size_t index = 0; index < world.followers.size(); ++index)
        CHECK(world.followers[index]->store.calls() <= before[index] + 1);
    for (mirror_vm const* vm : world.followers)
        CHECK(vm->readers_failed == 0);
}

// The reader fails and resets every connection. Its followers query the store
// themselves and miss no change.
TEST_CASE("a VM whose reader fails queries the store", "[row_mirror]")
{
    mirror_simulation world;
    world.reader[0]->answers = false;
    for (mirror_vm* vm : world.followers)
        vm->store.put(row_set::workers, row_kind::worker, "w", "drains/9");
    CHECK(world.until(
        [&]
        {
            bool all = true;
            for (mirror_vm const* vm : world.followers)
                all = all && vm->saw("drains/9") && vm->mirror.reader().empty();
            return all;
        }));
}

// Two readers hang. A VM that tried both before the store, and then the first
// again, would learn of a configuration only seconds later.
TEST_CASE("a VM queries the store after one reader hangs", "[row_mirror]")
{
    mirror_simulation world(20);
    for (mirror_vm* vm : world.reader)
        vm->hangs = true;
    for (mirror_vm* vm : world.followers)
        vm->store.put(row_set::workers, row_kind::worker, "w", "drains/9");
    CHECK(world.until_followers([](mirror_vm const& vm)
                                { return vm.saw("drains/9"); }));
    for (mirror_vm const* vm : world.followers)
        CHECK(vm->failed_before.at("drains/9") == 1);
}

// A reader on a slow link that sent a configuration of hundreds of kilobytes to
// all followers at once would reach none of them in time, so each follower
// reads the configuration from the store.
TEST_CASE("a large configuration is read from the store", "[row_mirror]")
{
    std::string const from_store(40'000, 's');
    mirror_simulation world;
    // End the queries that the followers sent before they followed the reader.
    for (mirror_vm* vm : world.followers)
        vm->store.answer_watches();
    for (auto const& vm : world.vms)
        vm->store.put(row_set::declarations, row_kind::configuration, "config",
                      vm.get() == world.reader[0] ? std::string(40'000, 'r')
                                                  : from_store);
    CHECK(world.until_followers([&](mirror_vm const& vm)
                                { return vm.saw(from_store); }));
    for (mirror_vm const* vm : world.followers)
        CHECK_FALSE(vm->saw(std::string(40'000, 'r')));
    // The reader still reports small rows, and no change is missing.
    world.reader[0]->store.put(row_set::declarations, row_kind::configuration,
                               "config", "small");
    CHECK(world.until_followers([](mirror_vm const& vm)
                                { return vm.saw("small"); }));
}

// The store refuses the followers while a large configuration is declared; they
// get the configuration from the reader.
TEST_CASE("a VM that the store refuses gets large rows from its reader",
          "[row_mirror]")
{
    std::string const large(40'000, 'r');
    mirror_simulation world;
    for (mirror_vm* vm : world.followers)
    {
        vm->store.set_down(true);
        vm->store.answer_watches();
    }
    world.reader[0]->store.put(row_set::declarations, row_kind::configuration,
                               "config", large);
    CHECK(world.until_followers([&](mirror_vm const& vm)
                                { return vm.saw(large); }));
}

// The store refuses a VM, and its reader fails for a moment. The VM must ask
// the reader again, or it hears of nothing until the store answers it.
TEST_CASE("a VM that the store refuses asks a reader that failed again",
          "[row_mirror]")
{
    mirror_simulation world;
    mirror_vm& vm = *world.followers[0];
    vm.store.set_down(true);
    vm.store.answer_watches();
    world.reader[0]->answers = false;
    REQUIRE(world.until([&] { return vm.mirror.reader().empty(); }));
    REQUIRE(world.until([&] { return vm.mirror.contact().is_lost(); }));
    world.reader[0]->answers = true;
    world.reader[0]->store.put(row_set::workers, row_kind::worker, "w",
                               "drains/9");
    CHECK(world.until([&] { return vm.saw("drains/9"); }));
    CHECK_FALSE(vm.mirror.contact().is_lost());
}

// The reader is partitioned from the store and answers promptly with stale
// rows. Its followers detect this by the reported age and query the store.
TEST_CASE("stale rows of a reader are not used", "[row_mirror]")
{
    mirror_simulation world;
    world.reader[0]->store.set_down(true);
    world.reader[0]->store.answer_watches();
    for (mirror_vm* vm : world.followers)
        vm->store.put(row_set::workers, row_kind::worker, "w", "drains/9");
    CHECK(world.until(
        [&]
        {
            bool all = true;
            for (mirror_vm const* vm : world.followers)
                all = all && vm->saw("drains/9");
            return all;
        }));
    CHECK_FALSE(world.followers[0]->mirror.contact().is_lost());
    CHECK(world.reader[0]->mirror.contact().is_lost());
    CHECK(world.reader[0]->mirror.metrics().find(
              "mulberry_rows_age_seconds{set=\"workers\"}") !=
          std::string::npos);
}

// A VM is partitioned or suspended while its long poll for declarations waits
// at the store. Later declarations do not reach the VM, so its rows must not
// count as current beyond the last answer to any query.
TEST_CASE("a waiting long poll does not keep rows current without contact",
          "[row_mirror]")
{
    mirror_simulation world(1);
    row_mirror const& mirror = world.vms[0]->mirror;
    CHECK(world.until(
        [&mirror]
        {
            time_point const now = boot_clock::now();
            return mirror.as_of(row_set::declarations, now) == now;
        }));
    time_point const last_contact = boot_clock::now();
    CHECK(mirror.as_of(row_set::declarations, last_contact + 10s) <=
          last_contact);
}

// The store is unreachable for all VMs, the reader included, and then returns.
TEST_CASE("all VMs notice an outage and the return of the store",
          "[row_mirror]")
{
    mirror_simulation world;
    auto const all = [&world](auto const& holds)
    {
        return world.until(
            [&]
            {
                for (auto const& vm : world.vms)
                    if (!holds(*vm))
                        return false;
                return true;
            });
    };
    for (auto const& vm : world.vms)
    {
        vm->store.set_down(true);
        vm->store.answer_watches();
    }
    CHECK(
        all([](mirror_vm const& vm) { return vm.mirror.contact().is_lost(); }));
    time_point const back = boot_clock::now();
    for (auto const& vm : world.vms)
        vm->store.set_down(false);
    CHECK(all([](mirror_vm const& vm)
              { return !vm.mirror.contact().is_lost(); }));
    for (auto const& vm : world.vms)
        CHECK(vm->mirror.contact().returned_at() >= back);
}

// One long poll of a VM is lost while the store answers its other queries. No
// entry of a worker lapsed meanwhile, so a worker whose entry is missing is
// gone.
TEST_CASE("a lost long poll is no outage of the store", "[row_mirror]")
{
    mirror_simulation world(1);
    mirror_vm& vm = *world.vms[0];
    vm.store.fail_watches();
    REQUIRE(world.until([&] { return vm.mirror.contact().is_lost(); }));
    REQUIRE(world.until([&] { return !vm.mirror.contact().is_lost(); }));
    time_point const now = boot_clock::now();
    CHECK(vm.mirror.contact().trusted_at(now) <= now);
}

// During a long outage every VM keeps retrying. One query suffices to show that
// the store is back; the other sets wait for its answer.
TEST_CASE("an unreachable store gets one query at a time", "[row_mirror]")
{
    mirror_simulation world(1);
    mirror_vm& vm = *world.vms[0];
    vm.store.set_down(true);
    vm.store.answer_watches();
    std::map<row_set, std::size_t> before;
    for (row_set const set : all_row_sets)
        before[set] = vm.store.reads_and_watches(set);
    std::size_t const calls = vm.store.calls();
    CHECK(world.until([&] { return vm.store.calls() >= calls + 8; }));
    std::size_t asked_on = 0;
    for (row_set const set : all_row_sets)
        asked_on += vm.store.reads_and_watches(set) > before[set] + 1;
    CHECK(asked_on == 1);
    vm.store.set_down(false);
    vm.store.put(row_set::workers, row_kind::worker, "w", "drains/9");
    CHECK(world.until([&] { return vm.saw("drains/9"); }));
}

// Rows that were read before a lease began must not decide about the lease: a
// strict refresh is answered by the store, an ordinary refresh by the reader's
// rows.
TEST_CASE("own rows are as recent as requested", "[row_mirror]")
{
    mirror_simulation world;
    mirror_vm& vm = *world.followers[0];
    REQUIRE(world.until([&vm] { return !vm.mirror.reader().empty(); }));
    auto const refresh = [&](bool strict)
    {
        std::optional<time_point> as_of;
        vm.mirror.refresh_own(strict, [&as_of](bool current, time_point at)
                              { as_of = current ? at : time_point(); });
        CHECK_FALSE(as_of);
        CHECK(world.until([&as_of] { return as_of.has_value(); }));
        return *as_of;
    };
    time_point const asked = boot_clock::now();
    std::size_t const calls = vm.store.calls();
    CHECK(refresh(true) >= asked);
    CHECK(vm.store.calls() > calls);
    vm.store.set_down(true);
    CHECK(refresh(true) == time_point());
}

TEST_CASE("a malformed rows query is rejected with status 400", "[row_mirror]")
{
    mirror_simulation world;
    bool answered = false;
    std::optional<int> status;
    collected_call call;
    call.to = *parse_address(world.vms[0]->member().address);
    call.bytes =
        "POST /rows HTTP/1.1\r\nHost: vm\r\nContent-Length: 2\r\n\r\n{}";
    call.current_deadline = [ends = std::chrono::steady_clock::now() +
                                    generous_wait] { return ends; };
    call.on_end = [&](collected_answer const& answer)
    {
        answered = true;
        status = answer.status;
    };
    start_collected(world.io, world.vms[1]->pool, std::move(call));
    CHECK(world.until([&] { return answered; }));
    CHECK(status == 400);
}

// Guards against a VM that counts a reader's rows as proven while the reader
// itself has no contact with the store.
TEST_CASE("a replica is proven only as of the store's last answer",
          "[row_mirror]")
{
    mirror_simulation world;
    mirror_vm& reader = *world.reader[0];
    auto const proven = [](mirror_vm const& vm)
    { return vm.mirror.proven_as_of(row_set::declarations); };
    // The reader's long poll waits at the store, so its rows count as current.
    REQUIRE(world.until(
        [&]
        {
            time_point const now = boot_clock::now();
            return reader.mirror.as_of(row_set::declarations, now) == now;
        }));
    time_point const certain = proven(reader);
    std::map<mirror_vm const*, time_point> before;
    for (mirror_vm const* vm : world.followers)
        before[vm] = vm->mirror.as_of(row_set::workers, boot_clock::now());
    REQUIRE(world.until_followers(
        [&](mirror_vm const& vm)
        {
            return vm.mirror.as_of(row_set::workers, boot_clock::now()) >
                   before[&vm];
        }));
    if (proven(reader) == certain)
        for (mirror_vm const* vm : world.followers)
            CHECK(proven(*vm) <= std::max(certain, before[vm]));
    reader.store.answer_watches();
    REQUIRE(world.until([&] { return proven(reader) > certain; }));
    CHECK(world.until_followers([&](mirror_vm const& vm)
                                { return proven(vm) > certain; }));
}

// Guards against dating proven rows by when the answer was read: the VM may
// have been suspended, or the answer may have been delayed in transit.
TEST_CASE("proven rows are dated by when the query was sent", "[row_mirror]")
{
    mirror_simulation world;
    mirror_vm& reader = *world.reader[0];
    mirror_vm& follower = *world.followers[0];
    reader.hangs = true;
    REQUIRE(world.until([&] { return !reader.unanswered.empty(); }));
    time_point const asked_by = boot_clock::now();
    rows_answer answer;
    for (row_set_changes& changes : answer)
    {
        changes.read = true;
        changes.version = row_version(1);
        changes.proven_before = duration(0);
    }
    // Lets time pass so that the two dates differ.
    REQUIRE(world.until([&] { return boot_clock::now() >= asked_by + 5ms; }));
    for (auto const& each : reader.unanswered)
        each->respond(json_response(200, encode_rows_answer(answer)));
    time_point const before =
        follower.mirror.proven_as_of(row_set::declarations);
    time_point const answered_at = boot_clock::now();
    world.until(
        [&] {
            return follower.mirror.proven_as_of(row_set::declarations) > before;
        });
    CHECK(follower.mirror.proven_as_of(row_set::declarations) < answered_at);
}

// Guards against trusting a list for longer than it is known: an answer that
// was made at once may take as long as one that waited for a change.
TEST_CASE("a delayed answer of a reader does not make rows newer",
          "[row_mirror]")
{
    mirror_simulation world(4, polling::as_in_production);
    mirror_vm& reader = *world.reader[0];
    mirror_vm& follower = *world.followers[0];
    reader.hangs = true;
    REQUIRE(world.until([&] { return !reader.unanswered.empty(); }));
    time_point const made_at = boot_clock::now();
    rows_answer answer;
    for (row_set_changes& changes : answer)
    {
        changes.read = true;
        changes.version = row_version(1);
        changes.proven_before = duration(0);
    }
    REQUIRE(world.until([&] { return boot_clock::now() >= made_at + 5ms; }));
    for (auto const& each : reader.unanswered)
        each->respond(json_response(200, encode_rows_answer(answer)));
    time_point const answered_at = boot_clock::now();
    auto const as_of = [&follower](row_set set)
    { return follower.mirror.as_of(set, boot_clock::now()); };
    time_point const before = as_of(row_set::workers);
    world.until([&] { return as_of(row_set::workers) > before; });
    CHECK(as_of(row_set::workers) < answered_at);
    CHECK(as_of(row_set::own) < answered_at);
}
