/// What of a worker's row VMs act on that hear of it from another VM.
#ifndef MULBERRY_WORKER_ROW_PROJECTION_HPP
#define MULBERRY_WORKER_ROW_PROJECTION_HPP

#include "relay_codec.hpp"
#include "row_store.hpp"

#include <string>

namespace mulberry
{

/// Two rows of one worker with the same essence are the same to others: all
/// but its heartbeat and the adapters that it holds, which change with each
/// load. Other VMs' workers are found by asking their owners, not by what they
/// list.
///
/// Failure: a worker starts again between two readings and has loaded newer
/// weights by the second. A VM that is told only which models a worker holds
/// goes on counting on the life before and its weights. So the start and the
/// version of the weights are part of it.
///
/// The whole value of a row that names no worker. Thread safety: any thread.
std::string project_worker_row(relay_codec const& codec, stored_row const& row);

} // namespace mulberry

#endif
