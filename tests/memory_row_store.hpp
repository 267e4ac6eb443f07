/// In-memory row_store for tests; all rows get their versions from one counter.
#ifndef MULBERRY_TESTS_MEMORY_ROW_STORE_HPP
#define MULBERRY_TESTS_MEMORY_ROW_STORE_HPP

#include "row_store.hpp"

#include <cstddef>
#include <list>
#include <map>
#include <string>

namespace mulberry_test
{

/// Calls back within each call, except for a watch that waits, which is
/// answered by the next change or by answer_watches(). Thread safety: none.
class memory_row_store final : public mulberry::row_store
{
public:
    void put(mulberry::row_set set, mulberry::row_kind kind,
             std::string const& key, std::string const& value);
    void drop(mulberry::row_set set, std::string const& key);
    /// Raises the version, as transactions of other rows do.
    void skip_versions(std::uint64_t count) { version_ += count; }
    /// While down, the store refuses every call.
    void set_down(bool down) { down_ = down; }
    /// Answers all waiting watches, also without a change.
    void answer_watches();
    /// Fails all waiting watches, as if their answers had been lost.
    void fail_watches();
    std::size_t calls() const { return calls_; }
    std::size_t transactions() const { return transactions_; }
    /// Number of calls of read() and watch() for a set.
    std::size_t reads_and_watches(mulberry::row_set set) const;

    void read(mulberry::row_set set, std::string const& prefix,
              std::string const& after, mulberry::duration time_limit,
              mulberry::store_callback done) override;
    void watch(mulberry::row_set set, mulberry::row_version after,
               mulberry::duration wait, mulberry::duration time_limit,
               mulberry::store_callback done) override;
    void transact(mulberry::row_set set,
                  mulberry::table_transaction const& transaction,
                  mulberry::duration time_limit,
                  mulberry::store_callback done) override;
    void close() override { waiting_.clear(); }

private:
    struct waiting_watch
    {
        mulberry::row_set set;
        mulberry::row_version after;
        mulberry::store_callback done;
    };

    mulberry::store_reply changes(mulberry::row_set set,
                                  mulberry::row_version after) const;
    bool refused(mulberry::store_callback const& done);
    void write(mulberry::row_set set, mulberry::stored_row row);

    std::map<mulberry::row_set, std::map<std::string, mulberry::stored_row>>
        sets_;
    std::uint64_t version_ = 0;
    std::list<waiting_watch> waiting_;
    bool down_ = false;
    std::size_t calls_ = 0;
    std::size_t transactions_ = 0;
    std::map<mulberry::row_set, std::size_t> reads_and_watches_;
};

} // namespace mulberry_test

#endif
