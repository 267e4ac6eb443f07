/// The command line of mulberryctl.
#ifndef MULBERRY_CTL_OPTIONS_HPP
#define MULBERRY_CTL_OPTIONS_HPP

#include <chrono>
#include <cstddef>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace mulberry
{

/// The command line is invalid; what() says why.
class usage_failure : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// A parsed command line.
struct ctl_options
{
    /// Empty only together with `help`.
    std::string command;
    /// The arguments after the command: FILE..., PLANFILE or VM.
    std::vector<std::string> arguments;
    bool help = false;

    /// IP:PORT of VMs' operators' listeners, in the order in which they are
    /// tried.
    std::vector<std::string> operators;
    std::string key_file;
    bool json = false;
    /// Applies to each call to one VM.
    std::chrono::milliseconds timeout{15'000};

    /// plan: the file to which the plan is written for `confirm`; empty: none.
    std::string output;
    /// status: ask every VM.
    bool all = false;
    /// drain: wait until the VM has left, for at most `wait_limit`.
    bool wait = false;
    std::chrono::milliseconds wait_limit{900'000};
    /// timeline: keep printing new events.
    bool follow = false;
    std::size_t limit = 200;
    /// team: the first hexadecimal digits of the key's digest, in lower case;
    /// if empty, the key itself is read.
    std::optional<std::string> fingerprint;
    /// team: the file with the key; if empty, the key is read from standard
    /// input.
    std::string team_key_file;

    friend bool operator==(ctl_options const&, ctl_options const&) = default;
};

/// Parses and validates the arguments after the program's name. With `help`,
/// required options and the number of arguments are not checked. Throws
/// usage_failure.
ctl_options parse_ctl_options(std::vector<std::string> const& arguments);

/// The help of one command, or of the tool when `command` is empty.
/// Precondition: the command is known or empty.
std::string ctl_help(std::string const& command);

/// Whether the command runs without calling a VM; false for an unknown command.
bool works_offline(std::string const& command);

} // namespace mulberry

#endif
