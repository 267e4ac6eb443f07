/// Assembles and runs the process of one entry VM.
#ifndef MULBERRY_DAEMON_HPP
#define MULBERRY_DAEMON_HPP

#include "settings.hpp"

namespace mulberry
{

/// Runs the VM until it has left. The VM begins to leave on SIGTERM or SIGINT,
/// when an operator drains it, or because of the platform's list of VMs. A
/// second signal ends the process at once. Returns the exit status: 0 after the
/// VM has left, 1 after a second signal. Throws std::runtime_error if a
/// listener cannot be opened.
int run_daemon(settings const& value);

} // namespace mulberry

#endif
