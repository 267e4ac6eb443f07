/// Puts the parts of one entry VM's process together.
#ifndef MULBERRY_DAEMON_HPP
#define MULBERRY_DAEMON_HPP

#include "settings.hpp"

namespace mulberry
{

/// Runs until the VM has left: on SIGTERM or SIGINT, an operator's drain, or
/// the platform's list. A second signal ends it at once. Returns the exit
/// status. Throws std::runtime_error if a listener cannot be opened.
int run_daemon(settings const& value);

} // namespace mulberry

#endif
