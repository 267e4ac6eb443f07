/// The table service's rows, with the history needed for stale reads.
#ifndef MULBERRY_TABLE_STORE_HPP
#define MULBERRY_TABLE_STORE_HPP

#include "token_bucket.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mulberry::standins
{

struct row_condition
{
    std::string key;
    /// 0 requires that the row does not exist.
    std::uint64_t version = 0;
};

struct row_write
{
    std::string key;
    /// nullopt deletes the row.
    std::optional<std::string> value;
};

struct table_row
{
    std::string key;
    std::uint64_t version = 0;
    std::optional<std::string> value;

    friend bool operator==(table_row const&, table_row const&) = default;
};

struct transact_result
{
    bool applied = false;
    /// The written rows; if a condition failed or there were no writes, the
    /// current rows of the conditions.
    std::vector<table_row> rows;
};

/// Not thread safe; the caller passes the time, which must not decrease.
class table_store
{
public:
    /// The maximum staleness that a read may ask for.
    static constexpr std::chrono::seconds history_kept{120};

    /// Applies all writes if every condition holds, otherwise none. A written
    /// row's version is higher than every earlier version in the table; a
    /// deleted row is returned with version 0.
    transact_result transact(std::vector<row_condition> const& conditions,
                             std::vector<row_write> const& writes,
                             steady_time now);
    /// Returns the row as of `moment`; nullopt if the row did not exist then.
    std::optional<table_row> read(std::string const& key,
                                  steady_time moment) const;
    /// Returns the rows whose keys start with `prefix` as of `moment`, in key
    /// order.
    std::vector<table_row> scan(std::string_view prefix,
                                steady_time moment) const;

private:
    struct cell
    {
        steady_time at;
        std::uint64_t version;
        std::optional<std::string> value;
    };
    using history = std::deque<cell>;

    table_row newest(std::string const& key) const;
    table_row write(row_write const& write, steady_time now);

    std::uint64_t last_version_ = 0;
    std::map<std::string, history, std::less<>> rows_;
};

} // namespace mulberry::standins

#endif
