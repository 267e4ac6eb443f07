#include "version_records.hpp"

#include <catch2/catch.hpp>

#include <list>
#include <map>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

model_target const target{base_model_id("m"), adapter_id("a")};

/// VMs, the operator's row and the table of records.
class version_world
{
public:
    explicit version_world(std::size_t vm_count)
    {
        for (std::size_t number = 0; number < vm_count; ++number)
        {
            vms_.emplace_back();
            vms_.back().set_rank(number);
        }
    }

    /// The operator's row is written; all VMs read it.
    void declare(std::uint64_t version)
    {
        declared_ = adapter_version(version);
        for (version_records& vm : vms_)
            vm.on_declared({target, declared_}, now_);
    }

    void withdraw()
    {
        declared_ = {};
        for (version_records& vm : vms_)
            vm.on_withdrawn(target, now_);
    }

    /// VMs write what is due and, each second, read the records.
    void pass(duration time)
    {
        for (time_point const end = now_ + time; now_ < end; now_ += 1s)
        {
            for (version_records& vm : vms_)
                if (auto const transaction = vm.take_write(now_))
                {
                    write(*transaction);
                    vm.on_written();
                }
            for (version_records& vm : vms_)
                read(vm);
        }
    }

    void restart(std::size_t vm)
    {
        auto const at = std::next(vms_.begin(), static_cast<long>(vm));
        *at = version_records();
        at->set_rank(vm);
        at->on_declared({target, declared_}, now_);
        read(*at);
    }

    /// Carries out a transaction that was sent before.
    void write(table_transaction const& transaction)
    {
        ++writes_;
        for (table_condition const& each : transaction.conditions)
            if (version_of(each.key) != each.version)
                return;
        for (table_write const& each : transaction.writes)
        {
            ++last_version_;
            rows_[each.key] = {row_kind::own, each.key,
                               row_version(last_version_),
                               each.value.value_or(""), !each.value};
        }
    }

    version_records& vm(std::size_t number)
    {
        return *std::next(vms_.begin(), static_cast<long>(number));
    }
    std::uint64_t newest(std::size_t number)
    {
        return vm(number).newest(target).value();
    }
    std::size_t writes() const { return writes_; }
    std::size_t records() const
    {
        std::size_t count = 0;
        for (auto const& [key, row] : rows_)
            count += !row.deleted;
        return count;
    }
    time_point now() const { return now_; }

private:
    row_version version_of(std::string const& key) const
    {
        auto const known = rows_.find(key);
        return known == rows_.end() || known->second.deleted
                   ? row_version()
                   : known->second.version;
    }

    void read(version_records& vm) const
    {
        for (auto const& [key, row] : rows_)
            CHECK(vm.on_row(row, now_));
    }

    std::list<version_records> vms_;
    adapter_version declared_;
    std::map<std::string, stored_row> rows_;
    std::uint64_t last_version_ = 100;
    std::size_t writes_ = 0;
    time_point now_{1h};
};

} // namespace

TEST_CASE("a version is recorded once, by one VM", "[version_records]")
{
    version_world world(5);
    for (std::uint64_t version = 2; version < 12; ++version)
    {
        world.declare(version);
        world.pass(10s);
    }
    CHECK(world.writes() == 10);
    CHECK(world.records() == 1);
    CHECK(world.vm(3).next_due() == never);
}

// Guards against VMs that start after an older write was carried out late.
TEST_CASE("VMs that start know the newest version that any VM read",
          "[version_records]")
{
    version_world world(3);
    world.declare(7);
    world.pass(2s);
    world.declare(8);
    world.pass(2s);
    world.declare(7);
    CHECK(world.newest(0) == 8);
    SECTION("some of them start")
    {
        world.restart(1);
    }
    SECTION("all of them start")
    {
        for (std::size_t vm = 0; vm < 3; ++vm)
            world.restart(vm);
    }
    for (std::size_t vm = 0; vm < 3; ++vm)
        CHECK(world.newest(vm) == 8);
    world.pass(20s);
    world.declare(9);
    world.pass(20s);
    for (std::size_t vm = 0; vm < 3; ++vm)
        world.restart(vm);
    CHECK(world.newest(0) == 9);
}

TEST_CASE("a version is recorded by another VM if the first one does not",
          "[version_records]")
{
    version_world world(2);
    world.vm(0).set_rank(1000);
    world.declare(3);
    world.pass(3s);
    CHECK(world.records() == 0);
    world.pass(3s);
    CHECK(world.records() == 1);
}

// Guards against records that bring an older version back themselves.
TEST_CASE("a record that is written late changes nothing", "[version_records]")
{
    version_world world(1);
    world.declare(2);
    auto const late = world.vm(0).take_write(world.now());
    REQUIRE(late);
    world.vm(0).on_written();
    world.declare(3);
    world.pass(5s);
    world.write(*late);
    world.restart(0);
    CHECK(world.newest(0) == 3);
}

TEST_CASE("an operator may correct a wrong number", "[version_records]")
{
    version_world world(2);
    world.declare(4);
    world.pass(2s);
    world.declare(4'000'000'000'000);
    world.pass(2s);
    CHECK(world.newest(0) == 4'000'000'000'000);
    world.declare(5);
    for (std::size_t vm = 0; vm < 2; ++vm)
        CHECK(world.newest(vm) == 5);
    world.pass(10s);
    world.restart(1);
    CHECK(world.newest(1) == 5);
    world.pass(10s);
    CHECK(world.newest(0) == 5);
}

TEST_CASE("the record is removed with the declaration", "[version_records]")
{
    version_world world(3);
    world.declare(4);
    world.pass(5s);
    CHECK(world.records() == 1);
    world.withdraw();
    world.pass(30s);
    CHECK(world.records() == 0);
    CHECK(world.vm(0).next_due() == never);
}

TEST_CASE("malformed version records are told and do not count",
          "[version_records]")
{
    version_records versions;
    time_point const now{1h};
    versions.on_declared({target, adapter_version(2)}, now);
    auto const row = [](std::string const& key, std::string const& text) {
        return stored_row{row_kind::own, key, row_version(7), text};
    };
    for (char const* text :
         {"", "{}", "{\"version\":-1}", "{\"version\":\"9\"}"})
        CHECK_FALSE(versions.on_row(row("version/m/a", text), now));
    CHECK_FALSE(versions.on_row(row("version/m", "{\"version\":9}"), now));
    CHECK(versions.on_row(row("crash/d/1/w", "anything"), now));
    CHECK(versions.newest(target) == adapter_version(2));
    // The record is written anew.
    auto const write = versions.take_write(now);
    REQUIRE(write);
    CHECK(write->conditions ==
          std::vector<table_condition>{{"version/m/a", row_version(7)}});
}
