/// Remembers the newest declared version of each adapter beyond the life of
/// this process.
#ifndef MULBERRY_VERSION_RECORDS_HPP
#define MULBERRY_VERSION_RECORDS_HPP

#include "ids.hpp"
#include "relay_codec.hpp"
#include "row_store.hpp"
#include "table.hpp"
#include "time_point.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mulberry
{

inline constexpr char const* version_record_prefix = "version/";

/// A declaration in the operator's row may be replaced by an older one, when a
/// write whose answer was lost is carried out late. VMs that run keep to the
/// newest version; those that start would take the older one. So the newest
/// version that any VM read is recorded in a row of the product's own, one for
/// each adapter, written once for each version by the VM of highest rank. It is
/// written only if it is as this VM read it, so that a late write of a record
/// changes nothing.
///
/// A recorded version that is far ahead of the declared one does not count: the
/// operator has corrected a wrong number. A smaller step back cannot be told
/// from a late write. Thread safety: none. No I/O, no clock.
class version_records
{
public:
    /// The operator's row of the adapter was read.
    void on_declared(adapter_release const& declared, time_point now);
    /// The operator's row of the adapter was deleted.
    void on_withdrawn(model_target const& target, time_point now);
    /// A row of the product's own was read; rows that are no records are
    /// ignored. Returns false if the row is malformed.
    bool on_row(stored_row const& row, time_point now);
    /// The version in the operator's row; 0 if none was read.
    adapter_version declared(model_target const& target) const;
    /// The version in force; 0 if none was declared.
    adapter_version newest(model_target const& target) const;
    /// Sets the number of VMs that are to write before this one.
    void set_rank(std::size_t rank);

    /// Versions that are newly in force; older versions may follow newer ones
    /// only when the operator corrected a wrong number.
    std::vector<adapter_release> take_changes();
    /// The records to be written now; nullopt if there are none, or a write is
    /// in progress.
    std::optional<table_transaction> take_write(time_point now);
    /// The write has ended, whatever its outcome: the row, when it is read,
    /// tells what was written.
    void on_written() { writes_ = false; }
    /// When take_write() is to be called next; `never` if nothing is to be
    /// written.
    time_point next_due() const;

private:
    struct adapter_state
    {
        std::optional<adapter_version> declared;
        std::optional<adapter_version> recorded;
        /// The version of the record's row; 0 if there is none.
        row_version record_row;
        adapter_version newest;
        time_point write_at = never;
    };

    void review(model_target const& target, adapter_state& state,
                time_point now);
    void schedule_write(adapter_state& state, time_point now) const;

    std::map<model_target, adapter_state> adapters_;
    std::vector<adapter_release> changes_;
    std::size_t rank_ = 0;
    bool writes_ = false;
};

std::string version_record_key(model_target const& target);

} // namespace mulberry

#endif
