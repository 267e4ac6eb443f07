/// The commands of mulberryctl.
#ifndef MULBERRY_CTL_COMMANDS_HPP
#define MULBERRY_CTL_COMMANDS_HPP

#include "ctl_exit.hpp"
#include "ctl_options.hpp"
#include "operator_client.hpp"
#include "routing_config.hpp"

#include <functional>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace mulberry
{

/// What a command uses. All objects outlive the command.
struct ctl_context
{
    operator_client& client;
    ctl_clock& clock;
    /// Receives results.
    std::ostream& out;
    /// Receives error messages, and progress while the tool waits.
    std::ostream& err;
};

/// A file cannot be read or written, or its content cannot be used; what()
/// names the file.
class file_failure : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Returns the file's bytes. Throws file_failure.
std::string read_file(std::string const& path);

/// `check`: lists the faults of declarations and settings. Works offline.
/// Throws file_failure.
ctl_exit run_check(ctl_options const& options, std::ostream& out,
                   std::ostream& err);

/// `explain`: prints the lines of log files that explain one request. Works
/// offline. Returns `refused` when no line names the request. Throws
/// file_failure.
ctl_exit run_explain(ctl_options const& options, std::ostream& out,
                     std::ostream& err);

/// Decodes a configuration row. Returns nullopt and sets `fault` when the text
/// is malformed.
using configuration_decoder = std::function<std::optional<routing_config>(
    std::string const& text, std::string& fault)>;

/// `team`: prints which team holds a key. The key is read from `in` unless the
/// options name a file or a fingerprint; the key is never printed. Works
/// offline. Returns `refused` when no team holds the key or the fingerprint is
/// ambiguous. Throws file_failure.
ctl_exit run_team(ctl_options const& options,
                  configuration_decoder const& decode, std::istream& in,
                  std::ostream& out, std::ostream& err);

/// `confirm`: sends the plan once. When the answer is lost, reads the
/// configuration back until it shows whether the plan is in force, and gives up
/// about `options.timeout` after the loss. Throws operator_call_failure,
/// file_failure.
ctl_exit run_confirm(ctl_options const& options, ctl_context const& context);

/// Runs a command that needs a VM, and reports its failures on `context.err`.
/// Precondition: the options come from parse_ctl_options.
ctl_exit run_command(ctl_options const& options, ctl_context const& context);

} // namespace mulberry

#endif
