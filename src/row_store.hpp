/// The platform's metadata store, as the product sees it.
#ifndef MULBERRY_ROW_STORE_HPP
#define MULBERRY_ROW_STORE_HPP

#include "table.hpp"
#include "time_point.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace mulberry
{

/// The sets of rows that the product knows.
enum class row_set
{
    /// What operators declare: the configuration and versions of adapters.
    declarations,
    /// The registry of workers.
    workers,
    /// Membership and ownership: the product's own rows.
    own
};

/// What a row is, as its key tells.
enum class row_kind
{
    configuration,
    adapter_release,
    worker,
    own,
    other
};

struct stored_row
{
    row_kind kind = row_kind::other;
    std::string key;
    row_version version;
    std::string value;
    bool deleted = false;
    friend bool operator==(stored_row const&, stored_row const&) = default;
};

enum class store_outcome
{
    done,
    /// A condition did not hold; `rows` are the conditions' rows as they are.
    conflict,
    /// The history asked for is no longer kept: read everything again.
    history_lost,
    /// Refused; nothing was done.
    refused,
    /// No answer: a write may have taken effect, or may yet.
    unreachable
};

struct store_reply
{
    store_outcome outcome = store_outcome::unreachable;
    std::vector<stored_row> rows;
    /// The store's newest version as of the answer.
    row_version newest;
    /// What the store's steady clock showed then, where it said so.
    std::optional<duration> made_at;
    /// More rows follow the last one.
    bool truncated = false;
    std::string failure;
};

using store_callback = std::function<void(store_reply)>;

/// Thread safe. Callbacks run on a thread of the store's client and must not
/// block. Each call is answered once, by its deadline at the latest; none is
/// repeated by the implementation, except reads over a connection that turned
/// out to be closed.
class row_store
{
public:
    virtual ~row_store() = default;

    /// The rows of a set whose keys begin with `prefix`, after `after` in byte
    /// order (empty: from the first).
    virtual void read(row_set set, std::string const& prefix,
                      std::string const& after, duration time_limit,
                      store_callback done) = 0;
    /// The rows that changed after a version; waits up to `wait` for one.
    virtual void watch(row_set set, row_version after, duration wait,
                       duration time_limit, store_callback done) = 0;
    /// Changes rows of the product's own set, all or none.
    virtual void transact(table_transaction const& transaction,
                          duration time_limit, store_callback done) = 0;
    /// Gives up every call without an answer. When it returns, no callback
    /// runs, and none will. Not on the store's own thread.
    virtual void close() = 0;
};

} // namespace mulberry

#endif
