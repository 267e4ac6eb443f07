/// The platform's transactional table service, as the core sees it: typed
/// operations that go out and replies that come in.
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

/// Holds when the row has exactly that version (0: is absent).
struct table_condition
{
    std::string key;
    row_version version;
    friend bool operator==(table_condition const&,
                           table_condition const&) = default;
};

/// Without a value the row is deleted.
struct table_write
{
    std::string key;
    std::optional<std::string> value;
    friend bool operator==(table_write const&, table_write const&) = default;
};

/// All or nothing.
struct table_transaction
{
    std::vector<table_condition> conditions;
    std::vector<table_write> writes;
    friend bool operator==(table_transaction const&,
                           table_transaction const&) = default;
};

enum class table_outcome
{
    /// Transaction applied, or rows read.
    done,
    /// A condition did not hold; nothing was written.
    conflict,
    /// No answer in time: a transaction may or may not have taken effect, or
    /// may yet. Whoever sent it reads back under its own token.
    unreachable,
    /// Refused for rate before it took effect.
    refused
};

struct table_reply
{
    operation_id operation;
    table_outcome outcome = table_outcome::unreachable;
    /// done: the rows written, with versions (values may be left out), or the
    /// rows read. conflict: the rows of the conditions as they are.
    std::vector<table_row> rows;
    /// A scan that was answered from an earlier reading: when that was asked.
    /// Otherwise the rows are as of the question.
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
