/// Operations and replies of the platform's transactional table service, and
/// replies of its object store, as the decision core uses them.
#ifndef MULBERRY_TABLE_HPP
#define MULBERRY_TABLE_HPP

#include "ids.hpp"
#include "time_point.hpp"

#include <optional>
#include <string>
#include <vector>

namespace mulberry
{

struct table_row
{
    std::string key;
    row_version version;
    std::string value;
    friend bool operator==(table_row const&, table_row const&) = default;
};

/// Satisfied when the row has exactly this version (0: the row is absent).
struct table_condition
{
    std::string key;
    row_version version;
    friend bool operator==(table_condition const&,
                           table_condition const&) = default;
};

/// Writes a row; without a value, deletes it.
struct table_write
{
    std::string key;
    std::optional<std::string> value;
    friend bool operator==(table_write const&, table_write const&) = default;
};

/// Applied atomically: all writes if all conditions are satisfied, else none.
struct table_transaction
{
    std::vector<table_condition> conditions;
    std::vector<table_write> writes;
    friend bool operator==(table_transaction const&,
                           table_transaction const&) = default;
};

enum class table_outcome
{
    /// The transaction was applied or the rows were read.
    done,
    /// A condition was not satisfied; nothing was written.
    conflict,
    /// No answer in time: a transaction may have taken effect or may still do
    /// so. The sender finds out by reading the rows and comparing its token.
    unreachable,
    /// Rejected by rate limiting, without effect.
    refused
};

struct table_reply
{
    operation_id operation;
    table_outcome outcome = table_outcome::unreachable;
    /// done: the rows written, with versions (values may be left out), or the
    /// rows read. conflict: the current rows that the conditions name.
    std::vector<table_row> rows;
    /// For a scan answered from the result of an earlier read: when that read
    /// was sent. Otherwise `never`; the rows are as of this operation.
    time_point as_of = never;
};

enum class object_outcome
{
    done,
    absent,
    unreachable
};

struct object_reply
{
    operation_id operation;
    object_outcome outcome = object_outcome::unreachable;
    std::string bytes;
};

} // namespace mulberry

#endif
