#include "software_versions.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

software_version const v1("v1");
software_version const v2("v2");
constexpr duration validity = 3s;
constexpr duration longest = 10s;

/// The list that one VM knows, kept current while time passes.
struct known_list
{
    known_list()
    {
        versions.set_longest_stream(longest);
        hear(0);
    }
    /// The registry is known as of now.
    void hear(std::uint64_t missed_now = 0)
    {
        missed += missed_now;
        versions.set_known_as_of(now, missed, now);
    }
    void list(std::set<software_version> const& listed)
    {
        versions.set_listed(listed, now);
    }
    void pass(duration time)
    {
        for (duration const end = now.time_since_epoch() + time;
             now.time_since_epoch() < end;)
        {
            now += 1s;
            hear();
        }
    }

    time_point now{1000s};
    std::uint64_t missed = 0;
    software_versions versions{validity};
};

} // namespace

TEST_CASE("a first version is established at once", "[software_versions]")
{
    known_list known;
    known.list({v1});
    CHECK(known.versions.is_established(v1));
    CHECK(known.versions.are_all_established());
    CHECK_FALSE(known.versions.knows_history(known.now));
}

// Guards against beginning streams at a version that other VMs do not know.
TEST_CASE("a further version is established after it was listed for a while",
          "[software_versions]")
{
    known_list known;
    known.list({v1});
    known.pass(20s);
    known.list({v1, v2});
    CHECK(known.versions.established() == std::set{v1});
    known.now += 60s;
    CHECK_FALSE(known.versions.is_established(v2));
    known.pass(validity);
    CHECK(known.versions.established() == std::set{v1, v2});
}

TEST_CASE("of several versions none is established at the start",
          "[software_versions]")
{
    known_list known;
    known.list({v1, v2});
    CHECK(known.versions.established().empty());
    known.versions.learn_established({v1, software_version("v9")});
    CHECK(known.versions.established() == std::set{v1});
    known.pass(validity);
    CHECK(known.versions.are_all_established());
}

// Guards against taking a version for the only one that streams may have begun
// at.
TEST_CASE("one version is the only one after the longest stream",
          "[software_versions]")
{
    known_list known;
    known.list({v1});
    CHECK_FALSE(known.versions.only_version(known.now));
    known.pass(longest);
    CHECK(known.versions.only_version(known.now) == v1);
    known.list({v1, v2});
    CHECK_FALSE(known.versions.only_version(known.now));
    known.list({v1});
    known.pass(longest - 1s);
    CHECK_FALSE(known.versions.only_version(known.now));
    known.pass(2s);
    CHECK(known.versions.only_version(known.now) == v1);
}

TEST_CASE("an old list tells no only version", "[software_versions]")
{
    known_list known;
    known.list({v1});
    known.pass(longest);
    known.now += validity;
    CHECK_FALSE(known.versions.is_current(known.now));
    CHECK_FALSE(known.versions.only_version(known.now));
}

// Guards against missing a version that was listed while this VM had no news.
TEST_CASE("a gap in which rows were missed restarts the wait for an only "
          "version",
          "[software_versions]")
{
    known_list known;
    known.list({v1});
    known.pass(longest);
    known.now += validity + 1s;
    known.hear(1);
    CHECK(known.versions.is_current(known.now));
    CHECK_FALSE(known.versions.only_version(known.now));
    known.pass(longest);
    CHECK(known.versions.only_version(known.now) == v1);
}

TEST_CASE("a version that was away for long is established anew",
          "[software_versions]")
{
    known_list known;
    known.list({v1});
    known.pass(20s);
    known.list({v1, v2});
    known.pass(validity);
    known.list({v1});
    known.pass(longest / 2);
    known.list({v1, v2});
    CHECK(known.versions.is_established(v2));
    known.list({v1});
    known.pass(longest / 2 + 1s);
    known.list({v1, v2});
    CHECK_FALSE(known.versions.is_established(v2));
}

// Guards against rejecting streams after an outage of the store in which no
// version came.
TEST_CASE("a gap in which no row was missed changes nothing",
          "[software_versions]")
{
    known_list known;
    known.list({v1});
    known.pass(longest);
    known.now += 60s;
    CHECK_FALSE(known.versions.only_version(known.now));
    known.hear();
    CHECK(known.versions.only_version(known.now) == v1);
    // Too short for a version to be established.
    known.now += validity - 1s;
    known.hear(1);
    CHECK(known.versions.only_version(known.now) == v1);
}

// Guards against rejecting streams at a VM that has just started.
TEST_CASE("another VM's only version counts if it is listed here",
          "[software_versions]")
{
    known_list known;
    known.versions.learn_only(v1, known.now);
    known.list({v1});
    CHECK_FALSE(known.versions.only_version(known.now));
    known.versions.learn_only(v2, known.now);
    CHECK_FALSE(known.versions.only_version(known.now));
    known.versions.learn_only(v1, known.now);
    CHECK(known.versions.only_version(known.now) == v1);
    CHECK(known.versions.knows_history(known.now));
    known.list({v1, v2});
    known.versions.learn_only(v1, known.now);
    CHECK_FALSE(known.versions.only_version(known.now));
}

namespace
{

/// As known_list, at a VM that keeps records.
struct recorded_list
{
    recorded_list() { versions.set_longest_stream(longest); }
    void hear(std::set<software_version> const& listed)
    {
        versions.set_listed(listed, now);
        versions.set_known_as_of(now, 0, now);
    }
    void record(software_record const& what) { versions.set_record(what, now); }

    time_point now{1000s};
    software_versions versions{validity, true};
};

} // namespace

// Guards against rejecting streams at VMs that have all just started.
TEST_CASE("a VM that starts knows the only version from the record",
          "[software_versions]")
{
    recorded_list known;
    known.hear({v1});
    CHECK_FALSE(known.versions.only_version(known.now));
    known.record({{v1}, {v1}, true});
    CHECK(known.versions.only_version(known.now) == v1);
    CHECK(known.versions.is_established(v1));
    CHECK(known.versions.knows_history(known.now));
}

// Guards against taking the version that is listed for the only one, where
// another one has just left.
TEST_CASE("a VM that starts knows of a version that has left",
          "[software_versions]")
{
    recorded_list known;
    known.hear({v2});
    known.record({{v1, v2}, {v1, v2}, true});
    CHECK_FALSE(known.versions.only_version(known.now));
    CHECK(known.versions.is_established(v2));
}

// Guards against beginning streams at a version of which a VM with an older
// list does not know, where all workers were replaced at once.
TEST_CASE("a VM that starts waits before it begins streams at a new version",
          "[software_versions]")
{
    recorded_list known;
    known.hear({v2});
    known.record({{v1}, {v1}, true});
    CHECK(known.versions.established().empty());
    CHECK(known.versions.view(known.now).established.empty());
    known.record({{v1, v2}, {v1}, true});
    CHECK(known.versions.established().empty());
    known.now += validity;
    known.hear({v2});
    CHECK(known.versions.established() == std::set{v2});
}

// Guards against streams of versions that no record names.
TEST_CASE("streams begin at recorded versions only", "[software_versions]")
{
    recorded_list known;
    known.hear({v1});
    known.now += longest + validity;
    known.hear({v1});
    CHECK(known.versions.established().empty());
    CHECK_FALSE(known.versions.are_all_established());
    known.record({{v1}, {v1}, false});
    CHECK(known.versions.established() == std::set{v1});
}

TEST_CASE("a record that may lack versions of the past proves nothing",
          "[software_versions]")
{
    recorded_list known;
    known.record({{v1}, {v1}, false});
    known.hear({v1});
    CHECK_FALSE(known.versions.only_version(known.now));
    known.now += longest;
    known.hear({v1});
    CHECK_FALSE(known.versions.only_version(known.now));
    known.record({{v1}, {v1}, false});
    CHECK(known.versions.only_version(known.now) == v1);
}

// Guards against taking up streams of a version that came and went while this
// VM stood still: a worker restarted with it under an id that is known.
TEST_CASE("after a gap the record has to be read again", "[software_versions]")
{
    recorded_list known;
    known.hear({v1});
    known.record({{v1}, {v1}, true});
    REQUIRE(known.versions.only_version(known.now) == v1);
    known.now += validity;
    known.hear({v1});
    CHECK_FALSE(known.versions.only_version(known.now));
    known.record({{v1, v2}, {v1, v2}, true});
    CHECK_FALSE(known.versions.only_version(known.now));
    known.record({{v1}, {v1}, true});
    CHECK(known.versions.only_version(known.now) == v1);
}

// Guards against beginning streams at once at a version that was listed for a
// moment before, of which a VM that started in between does not know.
TEST_CASE("a version that left before it was established is new again",
          "[software_versions]")
{
    known_list known;
    known.list({v1});
    known.pass(longest);
    known.list({v1, v2});
    known.pass(1s);
    known.list({v1});
    known.pass(2s);
    known.list({v1, v2});
    known.pass(1s);
    CHECK(known.versions.established() == std::set{v1});
    known.pass(validity);
    CHECK(known.versions.established() == std::set{v1, v2});
}

// Guards against counting the time that a VM stood still as time in which the
// version was listed.
TEST_CASE("a version that left during a gap may have been away for long",
          "[software_versions]")
{
    known_list known;
    known.list({v1, v2});
    known.pass(validity);
    REQUIRE(known.versions.is_established(v2));
    known.now += longest;
    known.list({v1});
    known.hear();
    known.pass(1s);
    known.list({v1, v2});
    CHECK_FALSE(known.versions.is_established(v2));
    known.pass(validity);
    CHECK(known.versions.is_established(v2));
}

// Guards against a record that was read before the list was lost for a while.
TEST_CASE("a record older than the list proves nothing", "[software_versions]")
{
    recorded_list known;
    known.record({{v1}, {v1}, true});
    known.now += 1s;
    known.hear({v1});
    CHECK_FALSE(known.versions.only_version(known.now));
    known.record({{v1}, {v1}, true});
    CHECK(known.versions.only_version(known.now) == v1);
}
