/// A worker's row in the metadata table: the owner, and what the owner must
/// know about earlier owners.
#ifndef MULBERRY_WORKER_ROW_HPP
#define MULBERRY_WORKER_ROW_HPP

#include "ids.hpp"
#include "table.hpp"

#include <optional>
#include <string>
#include <vector>

namespace mulberry
{

inline constexpr char const* worker_prefix = "worker/";

/// Identifies one incarnation of one VM. Value.
struct incarnation_id
{
    vm_id vm;
    incarnation incarnation_number;
    friend auto operator<=>(incarnation_id const&,
                            incarnation_id const&) = default;
};

/// Ownership of one worker. Value.
struct worker_row
{
    /// Unique to each write.
    std::string token;
    /// An empty VM means that nobody owns the worker.
    incarnation_id owner;
    fencing_number fence;
    /// Earlier owners whose process may still send to the worker.
    std::vector<incarnation_id> suspects;
    /// Adapters, by engine name, for which an unload order may still be sent.
    std::vector<engine_name> intents;
    /// The worker's incarnation when its first owner took it; 0 if unknown.
    worker_start first_incarnation;
    friend bool operator==(worker_row const&, worker_row const&) = default;
};

std::string worker_key(worker_id const& worker);
/// Precondition: the key has worker_prefix.
worker_id worker_of_key(std::string const& key);

std::string to_text(worker_row const& row);
/// None when the text is no valid worker row.
std::optional<worker_row> parse_worker_row(std::string const& text);
/// None when the value is no valid worker row or has a fencing number or an
/// incarnation above the row's version. Each of them needed a write, so no such
/// number was ever assigned.
std::optional<worker_row> read_worker_row(table_row const& row);

/// Adds the suspect unless the row has it already.
void add_suspect(worker_row& row, incarnation_id const& suspect);
/// Adds the intent unless the row has it already.
void add_intent(worker_row& row, engine_name const& name);
bool has_intent(worker_row const& row, engine_name const& name);

} // namespace mulberry

#endif
