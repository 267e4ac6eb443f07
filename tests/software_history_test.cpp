// What VMs conclude from a record of versions that several of them write.
#include "software_record.hpp"
#include "software_versions.hpp"

#include <catch2/catch.hpp>

#include <deque>
#include <optional>
#include <set>
#include <utility>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

service_id const service("engine");
software_version const v1("v1");
software_version const v2("v2");
constexpr duration validity = 3s;
constexpr duration longest = 10s;
constexpr duration review_interval = 500ms;
/// A VM reads the record this often at least.
constexpr duration max_record_age = 3s;

/// The row in the store.
struct stored_record
{
    std::optional<software_record> value;
    row_version version;
};

/// A VM with its list of workers and its copy of the record.
struct recording_vm
{
    explicit recording_vm(duration longest_stream = longest)
    {
        versions.set_longest_stream(longest_stream);
    }
    void list(std::set<software_version> const& listed, time_point now)
    {
        versions.set_listed(listed, now);
        hear(now);
    }
    void hear(time_point now) { versions.set_known_as_of(now, 0, now); }
    void read(stored_record const& row, time_point now)
    {
        writer.on_row(service, row.value, row.version, now);
        review(now);
    }
    /// What a VM does twice a second.
    void review(time_point now)
    {
        software_record const* const record = writer.find(service);
        versions.set_record(
            record != nullptr ? std::optional(*record) : std::nullopt, now);
        writer.set_view(service, versions.view(now), now);
    }
    /// Writes what is due, if the row is the one that this VM has read.
    bool write(stored_record& row, time_point now)
    {
        auto const transaction = writer.take_write(now);
        if (!transaction)
            return false;
        bool const holds =
            transaction->conditions.front().version == row.version;
        if (holds)
            row = {parse_software_record(*transaction->writes.front().value),
                   row_version(row.version.value() + 1)};
        writer.on_written(holds);
        return holds;
    }

    software_versions versions{validity, true};
    software_record_writer writer;
};

} // namespace

// Guards against joining versions where one returns as its record is removed:
// one VM begins streams at it that another VM takes for those of the other
// version.
TEST_CASE("a version that returns while it is removed is established anew",
          "[software_history]")
{
    time_point now{1000s};
    std::deque<std::pair<time_point, stored_record>> history;
    stored_record row{software_record{{v1, v2}, {v1, v2}, true},
                      row_version(7)};
    recording_vm remover;
    recording_vm behind;
    for (recording_vm* const vm : {&remover, &behind})
    {
        vm->list({v1, v2}, now);
        vm->read(row, now);
    }
    for (time_point const end = now + 2 * longest; now < end;
         now += review_interval)
        for (recording_vm* const vm : {&remover, &behind})
        {
            vm->hear(now);
            vm->review(now);
        }
    for (recording_vm* const vm : {&remover, &behind})
        vm->list({v2}, now);
    time_point const limit = now + 10 * longest;
    while (row.value->versions.count(v1) > 0 && now < limit)
    {
        history.emplace_back(now, row);
        now += review_interval;
        for (recording_vm* const vm : {&remover, &behind})
            vm->hear(now);
        remover.read(row, now);
        remover.write(row, now);
        while (history.size() > 1 && history[1].first <= now - max_record_age)
            history.pop_front();
        behind.read(history.front().second, history.front().first);
    }
    REQUIRE(row.value->versions == std::set{v2});
    remover.read(row, now);
    // The version is listed again; one of the VMs has read that already.
    behind.list({v1, v2}, now + review_interval);
    bool const taken_for_v2 =
        remover.versions.only_version(now + review_interval) == v2;
    bool const begins_at_v1 = behind.versions.is_established(v1);
    CHECK_FALSE((taken_for_v2 && begins_at_v1));
}

// Guards against a record that claims to be complete and lacks a version at
// which streams are running: another writer has removed or damaged the row.
TEST_CASE("a record that is written anew names versions that have left",
          "[software_history]")
{
    bool const is_malformed = GENERATE(false, true);
    CAPTURE(is_malformed);
    time_point now{1000s};
    stored_record row{software_record{{v1, v2}, {v1, v2}, true},
                      row_version(7)};
    recording_vm vm;
    vm.list({v1, v2}, now);
    vm.read(row, now);
    now += 2 * longest;
    vm.list({v1, v2}, now);
    vm.review(now);
    REQUIRE(vm.versions.established() == std::set{v1, v2});
    vm.list({v2}, now);
    vm.review(now);
    now += 1s;
    vm.hear(now);
    row = {std::nullopt, row_version()};
    if (is_malformed)
        row = {software_record(), row_version(9)};
    vm.read(row, now);
    REQUIRE(vm.write(row, now));
    now += 1s;
    recording_vm started;
    started.list({v2}, now);
    started.read(row, now);
    CHECK_FALSE(started.versions.only_version(now));
}

// Guards against removing a version whose streams began under a longer route
// timeout, which no process has known since all VMs restarted.
TEST_CASE("a record keeps versions for the timeout that streams began with",
          "[software_history]")
{
    constexpr duration longer = 6 * longest;
    time_point now{1000s};
    stored_record row;
    {
        recording_vm vm(longer);
        vm.list({v1, v2}, now);
        for (time_point const end = now + 2 * longer; now < end;
             now += review_interval)
        {
            vm.hear(now);
            vm.read(row, now);
            vm.write(row, now);
        }
    }
    REQUIRE(row.value->established == std::set{v1, v2});
    bool const is_complete = GENERATE(true, false);
    CAPTURE(is_complete);
    row.value->complete = is_complete;

    time_point const unlisted_at = now;
    recording_vm started;
    started.list({v2}, now);
    std::optional<time_point> removed_at;
    std::optional<time_point> only_at;
    for (time_point const end = now + 2 * longer; now < end;
         now += review_interval)
    {
        started.hear(now);
        started.read(row, now);
        started.write(row, now);
        if (!removed_at && row.value->versions == std::set{v2})
            removed_at = now;
        if (!only_at && started.versions.only_version(now))
            only_at = now;
    }
    REQUIRE(removed_at);
    CHECK(*removed_at >= unlisted_at + longer);
    REQUIRE(only_at);
    CHECK(*only_at >= unlisted_at + longer);
}

// Guards against believing that a record is complete as soon as the shorter
// timeout of this process is over.
TEST_CASE("a record becomes complete after the longest timeout it knows of",
          "[software_history]")
{
    constexpr duration longer = 6 * longest;
    time_point now{1000s};
    stored_record row;
    {
        recording_vm vm(longer);
        vm.list({v2}, now);
        vm.hear(now);
        vm.read(row, now);
        REQUIRE(vm.write(row, now));
    }
    REQUIRE_FALSE(row.value->complete);
    time_point const started_at = now;
    recording_vm started;
    started.list({v2}, now);
    std::optional<time_point> only_at;
    for (time_point const end = now + 2 * longer; now < end && !only_at;
         now += review_interval)
    {
        started.hear(now);
        started.read(row, now);
        started.write(row, now);
        if (started.versions.only_version(now))
            only_at = now;
    }
    REQUIRE(only_at);
    CHECK(*only_at >= started_at + longer);
}

// Guards against removing a version that has returned while this VM was
// suspended, or could not read the list.
TEST_CASE("a VM whose list is old removes no version", "[software_history]")
{
    time_point now{1000s};
    stored_record row{software_record{{v1, v2}, {v1, v2}, true},
                      row_version(7)};
    recording_vm vm;
    vm.list({v1, v2}, now);
    vm.read(row, now);
    now += 2 * longest;
    vm.list({v2}, now);
    vm.review(now);
    now += 10 * longest;
    vm.review(now);
    vm.write(row, now);
    CHECK(row.value->versions == std::set{v1, v2});
}

// Guards against replacing another VM's record, which was read before the
// answer of this VM's own write arrived.
TEST_CASE("a record that was read during a write stays", "[software_history]")
{
    time_point const now{1000s};
    software_record_writer writer;
    writer.set_view(service, {{v1}, {v1}, false, longest}, now);
    REQUIRE(writer.take_write(now));
    software_record const newer{{v1, v2}, {v1}, false};
    writer.on_row(service, newer, row_version(9), now + 500ms);
    writer.on_written(true);
    REQUIRE(writer.find(service));
    CHECK(*writer.find(service) == newer);
}
