/// A fake table service in virtual time, with injected faults.
#ifndef MULBERRY_TESTS_FAKE_TABLE_HPP
#define MULBERRY_TESTS_FAKE_TABLE_HPP

#include "action.hpp"
#include "table.hpp"
#include "virtual_time.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace mulberry::tests
{

class fake_table
{
public:
    using answer = std::function<void(table_reply const&)>;
    using observer = std::function<void(std::optional<table_row> const& before,
                                        table_row const& after)>;

    fake_table(virtual_time& time, std::uint64_t seed);

    /// Handles transact, read_row and scan_rows; returns false for any other
    /// action. `to` is called exactly once, at the latest at the action's
    /// deadline.
    bool submit(vm_id const& from, action const& what, answer to);
    /// Sets a function that is called for each row that is written.
    void observe(observer each) { observer_ = std::move(each); }

    void set_down(bool down) { down_ = down; }
    void set_reachable(vm_id const& from, bool reachable);
    void set_latency(duration one_way) { latency_ = one_way; }
    /// Transactions take effect only this long after their arrival.
    void delay_writes(duration wait) { write_delay_ = wait; }
    /// Stale reads: each read returns the state of a random moment up to this
    /// long ago.
    void lag_reads(duration max_lag) { read_lag_ = max_lag; }
    /// Transactions take effect, but their answers are lost.
    void lose_answers(bool lose) { lose_answers_ = lose; }
    /// All operations are refused as by a rate limit.
    void refuse(bool refuse) { refuse_ = refuse; }

    /// Writes a row as another writer of the table would; the observer is not
    /// called.
    void put_foreign(std::string const& key, std::string const& value);

    /// The newest state of a row; null if the row does not exist.
    table_row const* row(std::string const& key) const;
    std::vector<table_row> rows(std::string const& prefix) const;
    std::uint64_t transactions() const { return transactions_; }
    std::uint64_t conflicts() const { return conflicts_; }
    std::uint64_t reads() const { return reads_; }

private:
    struct state
    {
        time_point since{};
        std::optional<table_row> row;
    };

    bool can_reach(vm_id const& from) const;
    void on_transaction(vm_id const& from, transact const& what,
                        answer const& to);
    table_reply apply(transact const& what);
    void write(table_write const& what, table_reply& reply);
    void append(table_row const& written, bool exists);
    void on_read(vm_id const& from, operation_id operation,
                 std::string const& prefix, bool exact_key, time_point deadline,
                 answer const& to);
    void respond(vm_id const& from, table_reply const& reply,
                 time_point deadline, bool lost, answer const& to);
    void fail(operation_id operation, time_point deadline, answer const& to);

    virtual_time& time_;
    std::mt19937_64 random_;
    observer observer_;
    std::map<std::string, std::vector<state>> history_;
    std::uint64_t last_version_ = 0;
    bool down_ = false;
    bool lose_answers_ = false;
    bool refuse_ = false;
    std::set<vm_id> cut_off_;
    duration latency_ = std::chrono::milliseconds(1);
    duration write_delay_{};
    duration read_lag_{};
    std::uint64_t transactions_ = 0;
    std::uint64_t conflicts_ = 0;
    std::uint64_t reads_ = 0;
};

} // namespace mulberry::tests

#endif
