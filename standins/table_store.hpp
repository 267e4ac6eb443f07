/// The table service's rows, with the past that lagging reads answer from.
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
    /// 0 for absent.
    std::uint64_t version = 0;
};

struct row_write
{
    std::string key;
    /// Nothing deletes the row.
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
    /// Of the writes; those of the conditions if a condition failed or
    /// nothing was written.
    std::vector<table_row> rows;
};

/// Not thread safe; the caller brings the time, which never goes back.
class table_store
{
public:
    /// The longest lag that reads may ask for.
    static constexpr std::chrono::seconds history_kept{120};

    /// All or nothing. A written row's version is higher than every earlier
    /// one of the table; that of a deleted row is 0.
    transact_result transact(std::vector<row_condition> const& conditions,
                             std::vector<row_write> const& writes,
                             steady_time now);
    /// The row as it was at that moment.
    std::optional<table_row> read(std::string const& key,
                                  steady_time moment) const;
    /// The rows whose keys begin so, in key order, as they were.
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
