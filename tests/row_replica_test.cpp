#include "row_replica.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;

namespace
{

stored_row row(std::string key, std::uint64_t version, std::string value)
{
    return {row_kind::worker, std::move(key), row_version(version),
            std::move(value), false};
}

stored_row deleted_row(std::string key, std::uint64_t version)
{
    return {row_kind::worker, std::move(key), row_version(version), {}, true};
}

/// Returns the part of the value before a slash.
std::string before_slash(stored_row const& each)
{
    return each.value.substr(0, each.value.find('/'));
}

} // namespace

TEST_CASE("a replica returns the changes after a version", "[row_copy]")
{
    row_replica replica;
    CHECK_FALSE(replica.changes_since(row_version(0)));
    replica.apply_snapshot({row("a", 3, "1"), row("b", 5, "1")},
                           row_version(6));
    CHECK(replica.version() == row_version(6));
    CHECK(replica.changes_since(row_version(6))->empty());
    replica.apply({row("b", 8, "2")}, row_version(9));
    CHECK(*replica.changes_since(row_version(6)) ==
          std::vector<stored_row>{row("b", 8, "2")});
    CHECK(replica.changes_since(row_version(9))->empty());
}

TEST_CASE("a request for changes older than those kept returns nothing",
          "[row_copy]")
{
    row_replica replica;
    replica.apply_snapshot({row("a", 3, "1")}, row_version(6));
    CHECK_FALSE(replica.changes_since(row_version(5)));
    CHECK(replica.rows() == std::vector<stored_row>{row("a", 3, "1")});
}

// A worker's heartbeat changes its row every second. Followers are not
// notified, but get the newest row as soon as the worker drains.
TEST_CASE("irrelevant changes are not reported", "[row_copy]")
{
    row_replica replica(before_slash);
    replica.apply_snapshot({row("a", 3, "ready/1")}, row_version(6));
    CHECK(replica.apply({row("a", 7, "ready/2")}, row_version(7)).size() == 1);
    CHECK(replica.changes_since(row_version(6))->empty());
    replica.apply({row("a", 8, "drains/3")}, row_version(8));
    CHECK(*replica.changes_since(row_version(6)) ==
          std::vector<stored_row>{row("a", 8, "drains/3")});
}

// Answers overtake each other: the row that was read later stays.
TEST_CASE("a row is never replaced by an older version", "[row_copy]")
{
    row_replica replica;
    replica.apply_snapshot({row("a", 3, "1")}, row_version(6));
    replica.apply({row("a", 8, "2")}, row_version(8));
    CHECK(replica.apply({row("a", 7, "1")}, row_version(7)).empty());
    CHECK(replica.rows() == std::vector<stored_row>{row("a", 8, "2")});
    CHECK(replica.version() == row_version(8));
}

TEST_CASE("deleted rows are reported as deleted", "[row_copy]")
{
    row_replica replica;
    replica.apply_snapshot({row("a", 3, "1"), row("b", 4, "1")},
                           row_version(6));
    SECTION("by a change")
    {
        replica.apply({deleted_row("a", 9)}, row_version(9));
        CHECK(*replica.changes_since(row_version(6)) ==
              std::vector<stored_row>{deleted_row("a", 9)});
    }
    SECTION("by being missing in a snapshot")
    {
        CHECK(replica.apply_snapshot({row("b", 4, "1")}, row_version(9)) ==
              std::vector<stored_row>{deleted_row("a", 9)});
        CHECK(*replica.changes_since(row_version(6)) ==
              std::vector<stored_row>{deleted_row("a", 9)});
    }
    CHECK(replica.rows() == std::vector<stored_row>{row("b", 4, "1")});
    replica.apply({row("a", 12, "2")}, row_version(12));
    CHECK(replica.rows().size() == 2);
}

// Another VM sent a snapshot that is older than this replica. Rows missing in
// it because of its age are not deleted.
TEST_CASE("an older snapshot deletes no newer row", "[row_copy]")
{
    row_replica replica;
    replica.apply_snapshot({row("a", 3, "1")}, row_version(6));
    replica.apply({row("b", 8, "1")}, row_version(8));
    CHECK(replica.apply_snapshot({row("a", 3, "1")}, row_version(7)).empty());
    CHECK(replica.rows().size() == 2);
    CHECK(replica.version() == row_version(8));
}

TEST_CASE("the number of tombstones is bounded", "[row_copy]")
{
    row_replica replica;
    replica.apply_snapshot({}, row_version(1));
    std::uint64_t version = 1;
    for (int number = 0; number < 2000; ++number)
    {
        std::string const key = "w" + std::to_string(number);
        replica.apply({row(key, ++version, "1")}, row_version(version));
        replica.apply({deleted_row(key, ++version)}, row_version(version));
    }
    CHECK_FALSE(replica.changes_since(row_version(1)));
    auto const late = replica.changes_since(row_version(version - 1));
    REQUIRE(late);
    CHECK(late->size() == 1);
}

// Guards against taking a replica for complete that never heard of a row
// before it was deleted.
TEST_CASE("rows that came and went unseen are counted and passed on",
          "[row_copy]")
{
    row_replica replica;
    replica.apply_snapshot({row("a", 3, "1")}, row_version(6));
    CHECK(replica.missed() == 0);
    replica.apply({deleted_row("a", 7)}, row_version(7));
    CHECK(replica.missed() == 0);
    CHECK(replica.apply({deleted_row("b", 8)}, row_version(8)).size() == 1);
    CHECK(replica.missed() == 1);
    replica.apply({deleted_row("b", 8)}, row_version(9));
    CHECK(replica.missed() == 1);
    CHECK(*replica.changes_since(row_version(7)) ==
          std::vector<stored_row>{deleted_row("b", 8)});
    replica.apply_snapshot({}, row_version(12));
    CHECK(replica.missed() == 2);
    CHECK(replica.rows().empty());
}

// Guards against a deleted row that comes back with an answer that was
// overtaken, after so many deletions that its own is no longer remembered.
TEST_CASE("a deleted row stays deleted behind many other deletions",
          "[row_copy]")
{
    row_replica replica;
    replica.apply_snapshot({row("a", 3, "1"), row("b", 4, "1")},
                           row_version(6));
    replica.apply({row("a", 8, "2")}, row_version(8));
    replica.apply({deleted_row("a", 10)}, row_version(10));
    std::uint64_t version = 10;
    for (int number = 0; number < 5000; ++number)
    {
        std::string const key = "w" + std::to_string(number);
        replica.apply({row(key, ++version, "1")}, row_version(version));
        replica.apply({deleted_row(key, ++version)}, row_version(version));
    }
    std::vector<stored_row> const left{row("b", 4, "1")};
    REQUIRE(replica.rows() == left);
    std::uint64_t const missed = replica.missed();
    SECTION("changes that were overtaken")
    {
        CHECK(replica.apply({row("a", 8, "2")}, row_version(9)).empty());
    }
    SECTION("a snapshot that was overtaken")
    {
        CHECK(replica
                  .apply_snapshot({row("a", 8, "2"), row("b", 4, "1")},
                                  row_version(9))
                  .empty());
    }
    SECTION("its deletion again")
    {
        CHECK(replica.apply({deleted_row("a", 10)}, row_version(10)).empty());
        CHECK(replica.missed() == missed);
    }
    CHECK(replica.rows() == left);
    SECTION("a row that is put again is there")
    {
        replica.apply({row("a", version + 1, "3")}, row_version(version + 1));
        CHECK(replica.rows().size() == 2);
    }
    SECTION("a newer snapshot holds whatever it names")
    {
        replica.apply_snapshot({row("b", 4, "1"), row("c", 5, "1")},
                               row_version(version + 1));
        CHECK(replica.rows().size() == 2);
    }
}

// Guards against taking large rows that have yet to be read for deleted ones.
TEST_CASE("rows beyond the replica's version are new behind many deletions",
          "[row_copy]")
{
    row_replica replica;
    replica.apply_snapshot({}, row_version(1));
    std::uint64_t version = 10;
    std::vector<stored_row> small;
    for (int number = 0; number < 5000; ++number)
        small.push_back(deleted_row("w" + std::to_string(number), ++version));
    replica.apply(small, replica.version());
    CHECK(replica.version() == row_version(1));
    small.push_back(row("large", 5, "1"));
    replica.apply(small, row_version(version));
    CHECK(replica.rows() == std::vector<stored_row>{row("large", 5, "1")});
    CHECK(replica.version() == row_version(version));
}
