#include "ctl_options.hpp"
#include "json_reader.hpp"

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdint>
#include <sstream>
#include <string_view>

namespace mulberry
{
namespace
{

namespace po = boost::program_options;

constexpr std::size_t unlimited = SIZE_MAX;
/// The length of a complete SHA-256 in hexadecimal.
constexpr std::size_t max_fingerprint_digits = 64;
constexpr std::string_view hexadecimal_digits = "0123456789abcdef";

/// Describes a command for its help and for validation.
struct command_spec
{
    std::string_view name;
    std::string_view arguments;
    std::size_t min_arguments;
    std::size_t max_arguments;
    bool offline;
    std::string_view summary;
    std::string_view text;
};

constexpr std::array commands{
    command_spec{
        "check", "FILE...", 1, unlimited, true,
        "check declarations and settings for faults, offline",
        "Reads each FILE, a declaration or a VM's settings, and lists every "
        "fault\nwith its line. Needs no VM and changes nothing.\n\n"
        "Example:\n"
        "  mulberryctl check declaration.jsonc vm.jsonc\n"},
    command_spec{
        "explain", "REQUEST FILE...", 2, unlimited, true,
        "show from logs why a request ended as it did",
        "Reads the structured logs of one or more VMs and prints the lines "
        "that name the\nrequest, in order, each with its VM's view of the "
        "worker, "
        "the configuration, its\nlease and its store at that time. Exit "
        "status 1 when no line names the request.\n\n"
        "Example:\n"
        "  mulberryctl explain 9c41d07be2a35f68 vm-1.log vm-2.log\n"},
    command_spec{
        "team", "FILE...", 1, unlimited, true,
        "show which team holds a key, and since when",
        "Reads a key from standard input, and one or more versions of the "
        "platform's\nconfiguration, each FILE the text of its row in the "
        "store. Prints the team that\nholds the key in the newest of them, "
        "since which of them, and the team's limit.\nThe key is never "
        "printed, only its fingerprint, as logs write it (`key refused`).\n"
        "Exit status 1 when no team holds it, or when several keys have the "
        "fingerprint.\n\n"
        "Example:\n"
        "  mulberryctl team config-8.json config-9.json < customer.key\n"
        "  mulberryctl team config-9.json --fingerprint 5f70bf18\n"},
    command_spec{
        "plan", "FILE", 1, 1, false,
        "show what confirming a declaration would change",
        "Sends the declaration to the system, which answers what would change, "
        "which\nadapters would be loaded and evicted, how long that takes and "
        "whether it fits.\nNothing changes until you confirm. With --output "
        "the plan is saved to a file,\nwhich `confirm` needs.\n\n"
        "Example:\n"
        "  mulberryctl plan declaration.jsonc --output plan.json \\\n"
        "      --operators 10.0.0.11:9200 --key-file operators.key\n"},
    command_spec{
        "confirm", "PLANFILE", 1, 1, false, "put a plan in force",
        "Confirms a plan that `plan --output` has saved. The plan is refused "
        "when the\nconfiguration has changed since the plan was made; then "
        "plan again. If the\nanswer is lost, the configuration is read back to "
        "find out whether the plan is in\nforce; a confirm is never sent "
        "twice.\n\n"
        "Example:\n"
        "  mulberryctl confirm plan.json --operators 10.0.0.11:9200 \\\n"
        "      --key-file operators.key\n"},
    command_spec{"status", "", 0, 0, false,
                 "show VMs, workers and resident adapters",
                 "Shows the state of one VM; with --all, of every VM.\n\n"
                 "Example:\n"
                 "  mulberryctl status --all --operators 10.0.0.11:9200 \\\n"
                 "      --key-file operators.key\n"},
    command_spec{
        "configuration", "", 0, 0, false, "print the confirmed declaration",
        "Prints the confirmed declaration as a file that `plan` accepts.\n\n"
        "Example:\n"
        "  mulberryctl configuration --operators 10.0.0.11:9200 \\\n"
        "      --key-file operators.key > declaration.jsonc\n"},
    command_spec{
        "targets", "", 0, 0, false, "show how this quarter's targets stand",
        "For each target: what was counted, what met it, what is left and the "
        "forecast\nfor the end of the quarter.\n\n"
        "Example:\n"
        "  mulberryctl targets --operators 10.0.0.11:9200 \\\n"
        "      --key-file operators.key\n"},
    command_spec{
        "drain", "VM", 1, 1, false, "let a VM finish its work and leave",
        "The VM takes no new work and finishes what it has. With --wait the "
        "tool returns\nwhen the VM has left.\n\n"
        "Example:\n"
        "  mulberryctl drain vm-3 --wait --operators 10.0.0.11:9200 \\\n"
        "      --key-file operators.key\n"},
    command_spec{
        "timeline", "", 0, 0, false, "show the events of all VMs in order",
        "Prints the newest events of all VMs in causal order; with --follow "
        "it prints\nnew events until you stop it with Ctrl-C.\n\n"
        "Example:\n"
        "  mulberryctl timeline --follow --operators 10.0.0.11:9200 \\\n"
        "      --key-file operators.key\n"},
};

constexpr std::string_view overview =
    "mulberryctl: plans, confirms and watches a deployment of mulberryford.\n\n"
    "Usage: mulberryctl COMMAND [ARGUMENTS] [OPTIONS]\n\n";

constexpr std::string_view exit_codes =
    "Exit codes:\n"
    "  0  done\n"
    "  1  the system refused; nothing was changed\n"
    "  2  the command line is wrong\n"
    "  3  no VM could be reached, or none answered; nothing was changed\n"
    "  4  a file has faults\n"
    "  5  whether the change took effect is not known\n";

constexpr std::string_view first_steps =
    "First steps:\n"
    "  mulberryctl check declaration.jsonc\n"
    "  mulberryctl plan declaration.jsonc --output plan.json \\\n"
    "      --operators 10.0.0.11:9200 --key-file operators.key\n"
    "  mulberryctl confirm plan.json --operators 10.0.0.11:9200 \\\n"
    "      --key-file operators.key\n\n";

command_spec const* find_command(std::string const& command)
{
    auto const found = std::find_if(commands.begin(), commands.end(),
                                    [&](command_spec const& spec)
                                    { return spec.name == command; });
    return found == commands.end() ? nullptr : &*found;
}

po::options_description global_options()
{
    po::options_description options("Options");
    options.add_options()("help", "show help, also of one command")(
        "operators", po::value<std::vector<std::string>>()->composing(),
        "IP:PORT of a VM's operators' listener; may be given several times: "
        "the "
        "next one is tried when one cannot be reached")(
        "key-file", po::value<std::string>(),
        "file with the key of the operators' listener")(
        "json", "print the answer as JSON, for programs")(
        "timeout-ms", po::value<std::int64_t>(),
        "how long to wait for one VM's answer (default 15000)");
    return options;
}

po::options_description command_options(std::string const& command)
{
    po::options_description options("Options of this command");
    auto add = options.add_options();
    if (command == "plan")
        add("output", po::value<std::string>(),
            "save the plan to this file, for `confirm`");
    if (command == "status")
        add("all", "ask every VM");
    if (command == "drain")
        add("wait", "return when the VM has left")(
            "wait-ms", po::value<std::int64_t>(),
            "with --wait: give up after this long (default 900000)");
    if (command == "timeline")
        add("follow", "keep printing new events until stopped")(
            "limit", po::value<std::int64_t>(),
            "show only this many of the newest events (default 200)");
    if (command == "team")
        add("fingerprint", po::value<std::string>(),
            "the first digits of the key's SHA-256, instead of the key")(
            "team-key-file", po::value<std::string>(),
            "read the key from this file, not from standard input");
    return options;
}

po::variables_map parse(std::vector<std::string> const& arguments,
                        po::options_description const& options,
                        bool reject_unknown)
{
    po::options_description hidden;
    hidden.add_options()("command", po::value<std::string>())(
        "arguments", po::value<std::vector<std::string>>());
    hidden.add(options);
    po::positional_options_description positional_arguments;
    positional_arguments.add("command", 1).add("arguments", -1);
    po::command_line_parser parser(arguments);
    parser.options(hidden).positional(positional_arguments);
    // An abbreviation could become ambiguous with each new option, so
    // abbreviations are not accepted.
    parser.style(po::command_line_style::unix_style &
                 ~po::command_line_style::allow_guessing);
    if (!reject_unknown)
        parser.allow_unregistered();
    po::variables_map found;
    po::store(parser.run(), found);
    return found;
}

std::string command_in(std::vector<std::string> const& arguments)
{
    po::variables_map const found = parse(arguments, global_options(), false);
    if (found.count("command") == 0)
        return "";
    return found["command"].as<std::string>();
}

std::int64_t positive_option(po::variables_map const& found, char const* name,
                             std::int64_t default_value, std::int64_t max_value)
{
    if (found.count(name) == 0)
        return default_value;
    auto const value = found[name].as<std::int64_t>();
    if (value < 1 || value > max_value)
        throw usage_failure(
            fmt::format("--{} must be from 1 to {}", name, max_value));
    return value;
}

std::string string_option(po::variables_map const& found, char const* name)
{
    return found.count(name) == 0 ? "" : found[name].as<std::string>();
}

std::string lower_case(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char each)
                   { return static_cast<char>(std::tolower(each)); });
    return text;
}

ctl_options options_from(po::variables_map const& found)
{
    constexpr std::int64_t day_ms = 86'400'000;
    constexpr std::int64_t max_events = 10'000;
    ctl_options options;
    options.command = string_option(found, "command");
    if (found.count("arguments") != 0)
        options.arguments = found["arguments"].as<std::vector<std::string>>();
    options.help = found.count("help") != 0;
    if (found.count("operators") != 0)
        options.operators = found["operators"].as<std::vector<std::string>>();
    options.key_file = string_option(found, "key-file");
    options.json = found.count("json") != 0;
    options.timeout = std::chrono::milliseconds(
        positive_option(found, "timeout-ms", options.timeout.count(), day_ms));
    options.output = string_option(found, "output");
    options.all = found.count("all") != 0;
    options.wait = found.count("wait") != 0;
    options.wait_limit = std::chrono::milliseconds(
        positive_option(found, "wait-ms", options.wait_limit.count(), day_ms));
    options.follow = found.count("follow") != 0;
    options.limit = static_cast<std::size_t>(positive_option(
        found, "limit", static_cast<std::int64_t>(options.limit), max_events));
    if (found.count("fingerprint") != 0)
        options.fingerprint = lower_case(string_option(found, "fingerprint"));
    options.team_key_file = string_option(found, "team-key-file");
    return options;
}

// Error messages do not quote the value of a wrong option, which may be a key:
// other people may read terminals and their logs.
void validate_team(ctl_options const& options)
{
    if (!options.key_file.empty())
        throw usage_failure("team reads a team's key with --team-key-file; "
                            "--key-file is of the operators' listener");
    if (!options.fingerprint)
        return;
    if (!options.team_key_file.empty())
        throw usage_failure("team takes --fingerprint or --team-key-file, not "
                            "both");
    if (options.fingerprint->empty() ||
        options.fingerprint->size() > max_fingerprint_digits ||
        options.fingerprint->find_first_not_of(hexadecimal_digits) !=
            std::string::npos)
        throw usage_failure(fmt::format("--fingerprint must be 1 to {} "
                                        "hexadecimal digits",
                                        max_fingerprint_digits));
}

void validate(ctl_options const& options, command_spec const& spec)
{
    if (options.arguments.size() < spec.min_arguments)
        throw usage_failure(
            fmt::format("{} needs {}", spec.name, spec.arguments));
    if (options.arguments.size() > spec.max_arguments)
        throw usage_failure(fmt::format("\"{}\" is too much for {}",
                                        options.arguments[spec.max_arguments],
                                        spec.name));
    for (std::string const& address : options.operators)
        if (!valid_url("http://" + address) ||
            address.find('/') != std::string::npos)
            throw usage_failure(fmt::format(
                "--operators \"{}\" is not IP:PORT with a numeric IP",
                address));
    if (spec.name == "team")
        validate_team(options);
    if (spec.offline)
        return;
    if (options.operators.empty())
        throw usage_failure(
            fmt::format("{} needs --operators IP:PORT of a VM", spec.name));
    if (options.key_file.empty())
        throw usage_failure(fmt::format("{} needs --key-file FILE with the key "
                                        "of the operators' listener",
                                        spec.name));
}

std::string overall_help()
{
    std::ostringstream text;
    text << overview << "Commands:\n";
    for (command_spec const& spec : commands)
        text << fmt::format("  {:<14}{}\n", spec.name, spec.summary);
    text << "\n" << global_options() << "\n" << first_steps << exit_codes;
    return text.str();
}

} // namespace

ctl_options parse_ctl_options(std::vector<std::string> const& arguments)
{
    try
    {
        std::string const command = command_in(arguments);
        command_spec const* spec = find_command(command);
        if (!command.empty() && spec == nullptr)
            throw usage_failure(
                fmt::format("there is no command \"{}\"", command));
        po::options_description known = global_options();
        known.add(command_options(command));
        ctl_options options = options_from(parse(arguments, known, true));
        if (options.help)
            return options;
        if (spec == nullptr)
            throw usage_failure("a command is missing");
        validate(options, *spec);
        return options;
    }
    catch (po::error const& error)
    {
        throw usage_failure(error.what());
    }
}

std::string ctl_help(std::string const& command)
{
    command_spec const* spec = find_command(command);
    if (spec == nullptr)
        return overall_help();
    std::ostringstream text;
    text << fmt::format("Usage: mulberryctl {}{}{} [OPTIONS]\n\n{}\n",
                        spec->name, spec->arguments.empty() ? "" : " ",
                        spec->arguments, spec->text);
    po::options_description const own = command_options(command);
    if (!own.options().empty())
        text << own << "\n";
    text << global_options() << "\n" << exit_codes;
    return text.str();
}

bool works_offline(std::string const& command)
{
    command_spec const* spec = find_command(command);
    return spec != nullptr && spec->offline;
}

} // namespace mulberry
