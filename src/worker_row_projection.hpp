/// Projection of a worker's row to the parts that other VMs act on.
#ifndef MULBERRY_WORKER_ROW_PROJECTION_HPP
#define MULBERRY_WORKER_ROW_PROJECTION_HPP

#include "relay_codec.hpp"
#include "row_store.hpp"

#include <string>

namespace mulberry
{

/// Returns a text that is equal for two rows of a worker if they differ only in
/// the heartbeat and the resident adapters, which change with each load. Which
/// adapters another VM's worker has is found by querying the worker's owner,
/// not from the row.
///
/// Failure: a worker restarts and loads newer weights between two reads of its
/// row. A VM that learned only the names of the worker's models would continue
/// to rely on the previous incarnation and its weights. So the text includes
/// the worker's start and the version of the weights.
///
/// For a malformed row, returns the complete value. Thread safety: any thread.
std::string project_worker_row(relay_codec const& codec, stored_row const& row);

} // namespace mulberry

#endif
