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

/// What a command works with; all of it outlives the command.
struct ctl_context
{
    operator_client& client;
    ctl_clock& clock;
    /// Results.
    std::ostream& out;
    /// Faults, and progress while waiting.
    std::ostream& err;
};

/// A file that cannot be read or written; what() names it.
class file_failure : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Throws file_failure.
std::string read_file(std::string const& path);

/// `check`: the faults of declarations and settings. Needs no client. Throws
/// file_failure.
ctl_exit run_check(ctl_options const& options, std::ostream& out,
                   std::ostream& err);

/// `explain`: the story of one request out of log files. Needs no client.
/// Throws file_failure.
ctl_exit run_explain(ctl_options const& options, std::ostream& out,
                     std::ostream& err);

/// Nothing, with the fault filled in, when the text is malformed.
using configuration_decoder = std::function<std::optional<routing_config>(
    std::string const& text, std::string& fault)>;

/// `team`: whose a key is. The key is read from `in` unless the options name a
/// file or a fingerprint; it is never written. Needs no client. Throws
/// file_failure.
ctl_exit run_team(ctl_options const& options,
                  configuration_decoder const& decode, std::istream& in,
                  std::ostream& out, std::ostream& err);

/// `confirm`: sends the plan once; when the answer is lost, reads the
/// configuration back until it tells whether the plan is in force. Throws
/// operator_call_failure, file_failure.
ctl_exit run_confirm(ctl_options const& options, ctl_context const& context);

/// Runs any command but the offline ones and reports its failures.
/// Precondition: the options come from parse_ctl_options.
ctl_exit run_command(ctl_options const& options, ctl_context const& context);

} // namespace mulberry

#endif
