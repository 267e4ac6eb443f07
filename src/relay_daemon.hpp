/// Puts the parts of a relaying VM's process together.
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

/// Reads the settings again; nothing when they are faulty.
using settings_reader = std::function<std::optional<relay_settings>()>;

/// Runs until SIGTERM or SIGINT and until every request in progress is
/// answered, at most for the settings' stop bound. SIGHUP reads the settings
/// again. Returns the exit status. Throws std::runtime_error if an address
/// cannot be bound. Precondition: called once, on the main thread.
int run_relay(relay_settings const& value, relay_codec const& codec,
              row_store& store, settings_reader const& reload_settings);

} // namespace mulberry

#endif
