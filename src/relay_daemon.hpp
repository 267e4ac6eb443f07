/// Assembles and runs the process of a VM that relays requests.
#ifndef MULBERRY_RELAY_DAEMON_HPP
#define MULBERRY_RELAY_DAEMON_HPP

#include "relay_codec.hpp"
#include "relay_settings.hpp"
#include "row_store.hpp"

#include <functional>
#include <memory>
#include <optional>

namespace mulberry
{

/// Reads the settings again. Returns nothing if they have faults.
using settings_reader = std::function<std::optional<relay_settings>()>;

/// Runs until SIGTERM or SIGINT, and then until every request in progress is
/// answered, at most for the settings' stop bound. SIGHUP reads the settings
/// again. Closes `store`. Returns the exit status. Throws std::runtime_error if
/// an address cannot be bound. Precondition: called once, on the main thread.
int run_relay(relay_settings const& value, relay_codec const& codec,
              row_store& store, settings_reader const& reload_settings);

} // namespace mulberry

#endif
