#include "store_meter.hpp"

#include <fmt/format.h>

#include <utility>

namespace mulberry
{
namespace
{

constexpr std::array<char const*, 3> call_names{"read", "watch", "transact"};
/// In the order of store_outcome.
constexpr std::array<char const*, 5> outcome_names{
    "done", "conflict", "history_lost", "refused", "unreachable"};

} // namespace

store_meter::store_meter(row_store& store) : store_(store) {}

store_callback store_meter::counted(call_kind kind, store_callback done) const
{
    return
        [counters = counters_, kind, done = std::move(done)](store_reply reply)
    {
        ++counters->calls.at(static_cast<std::size_t>(kind))
              .at(static_cast<std::size_t>(reply.outcome));
        counters->rows += reply.rows.size();
        done(std::move(reply));
    };
}

void store_meter::read(row_set set, std::string const& prefix,
                       std::string const& after, duration time_limit,
                       store_callback done)
{
    store_.read(set, prefix, after, time_limit,
                counted(call_kind::read, std::move(done)));
}

void store_meter::watch(row_set set, row_version after, duration wait,
                        duration time_limit, store_callback done)
{
    store_.watch(set, after, wait, time_limit,
                 counted(call_kind::watch, std::move(done)));
}

void store_meter::transact(row_set set, table_transaction const& transaction,
                           duration time_limit, store_callback done)
{
    store_.transact(set, transaction, time_limit,
                    counted(call_kind::transact, std::move(done)));
}

std::string store_meter::metrics() const
{
    std::string text;
    for (std::size_t call = 0; call < call_names.size(); ++call)
        for (std::size_t outcome = 0; outcome < outcome_names.size(); ++outcome)
            text += fmt::format(
                "mulberry_store_calls_total{{call=\"{}\",outcome=\"{}\"}} {}\n",
                call_names.at(call), outcome_names.at(outcome),
                counters_->calls.at(call).at(outcome).load());
    text += fmt::format("mulberry_store_rows_read_total {}\n",
                        counters_->rows.load());
    return text;
}

} // namespace mulberry
