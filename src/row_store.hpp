/// Interface to the platform's metadata store.
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

/// The sets of rows that the product uses.
enum class row_set
{
    /// Rows declared by operators: the configuration and the versions of
    /// adapters.
    declarations,
    /// The registry of workers.
    workers,
    /// Membership and ownership: the product's own rows.
    own,
    /// The product's own records of streams. They are read one by one, and not
    /// mirrored.
    streams
};

/// Kind of a row, derived from its key.
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
    /// A condition did not hold; `rows` holds the current rows of the
    /// conditions.
    conflict,
    /// The store no longer has the requested history; all rows must be read
    /// again.
    history_lost,
    /// The store refused the call; nothing was changed.
    refused,
    /// No answer; a write may have taken effect or may still take effect.
    unreachable
};

struct store_reply
{
    store_outcome outcome = store_outcome::unreachable;
    std::vector<stored_row> rows;
    /// The store's newest version as of the answer.
    row_version newest;
    /// The time of the store's steady clock when it made the answer, if
    /// reported.
    std::optional<duration> made_at;
    /// More rows follow the last one.
    bool truncated = false;
    std::string failure;
};

using store_callback = std::function<void(store_reply)>;

/// Thread safety: any thread. Callbacks run on a thread of the store's client
/// and must not block. Each call is answered exactly once, within its time
/// limit. Implementations retry nothing, except reads over a connection that
/// turned out to be closed.
class row_store
{
public:
    virtual ~row_store() = default;

    /// Reads the rows of a set whose keys begin with `prefix` and follow
    /// `after` in byte order (empty: from the first key). The reply may be
    /// truncated.
    virtual void read(row_set set, std::string const& prefix,
                      std::string const& after, duration time_limit,
                      store_callback done) = 0;
    /// Reads the rows that changed after a version; waits up to `wait` for a
    /// change if there is none yet.
    virtual void watch(row_set set, row_version after, duration wait,
                       duration time_limit, store_callback done) = 0;
    /// Changes rows of a set atomically, if all conditions hold. Precondition:
    /// the set is one of the product's own.
    virtual void transact(row_set set, table_transaction const& transaction,
                          duration time_limit, store_callback done) = 0;
    /// Abandons every call without an answer. After the return, no callback is
    /// running and none will run. Must not be called on a callback thread.
    virtual void close() = 0;
};

} // namespace mulberry

#endif
