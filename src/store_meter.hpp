/// Counts the calls to the metadata store, by call and outcome.
#ifndef MULBERRY_STORE_METER_HPP
#define MULBERRY_STORE_METER_HPP

#include "row_store.hpp"

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace mulberry
{

/// Forwards every call to another store and counts it. Thread safety: any
/// thread.
class store_meter final : public row_store
{
public:
    /// `store` outlives this object.
    explicit store_meter(row_store& store);

    void read(row_set set, std::string const& prefix, std::string const& after,
              duration time_limit, store_callback done) override;
    void watch(row_set set, row_version after, duration wait,
               duration time_limit, store_callback done) override;
    void transact(row_set set, table_transaction const& transaction,
                  duration time_limit, store_callback done) override;
    void close() override { store_.close(); }

    /// Prometheus lines: mulberry_store_calls_total by call and outcome, and
    /// mulberry_store_rows_read_total.
    std::string metrics() const;

private:
    enum class call_kind
    {
        read,
        watch,
        transact
    };
    static constexpr std::size_t call_kinds = 3;
    static constexpr std::size_t outcomes = 5;
    /// Shared with the callbacks, which may outlive this object.
    struct counters
    {
        std::array<std::array<std::atomic<std::uint64_t>, outcomes>, call_kinds>
            calls{};
        std::atomic<std::uint64_t> rows{0};
    };

    store_callback counted(call_kind kind, store_callback done) const;

    row_store& store_;
    std::shared_ptr<counters> counters_ = std::make_shared<counters>();
};

} // namespace mulberry

#endif
