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

/// A command line that cannot be understood; what() says why.
class usage_failure : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// A command line taken apart. Immutable value.
struct ctl_options
{
    /// Empty only together with `help`.
    std::string command;
    /// FILE..., PLANFILE or VM.
    std::vector<std::string> arguments;
    bool help = false;

    /// IP:PORT of VMs' operators' listeners, in the order to try.
    std::vector<std::string> operators;
    std::string key_file;
    bool json = false;
    /// For each call of one VM.
    std::chrono::milliseconds timeout{15'000};

    /// plan: where the plan is kept for `confirm`.
    std::string output;
    /// status: ask every VM.
    bool all = false;
    /// drain: come back only when the VM has left, at most after `wait_limit`.
    bool wait = false;
    std::chrono::milliseconds wait_limit{900'000};
    /// timeline: go on showing new events.
    bool follow = false;
    std::size_t limit = 200;
    /// team: the first digits of the key's digest, in lower case; without them
    /// the key itself is read.
    std::optional<std::string> fingerprint;
    /// team: the file with the key; empty: standard input.
    std::string team_key_file;

    friend bool operator==(ctl_options const&, ctl_options const&) = default;
};

/// Reads the arguments after the program's name. Throws usage_failure.
ctl_options parse_ctl_options(std::vector<std::string> const& arguments);

/// The help of one command, or of the tool when `command` is empty.
/// Precondition: the command is known or empty.
std::string ctl_help(std::string const& command);

/// Whether the command works without a VM.
bool works_offline(std::string const& command);

} // namespace mulberry

#endif
