// mulberryctl, the command-line tool for operators.
#include "ctl_commands.hpp"
#include "ctl_options.hpp"
#include "http_client.hpp"
#include "wire_codec.hpp"

#include <exception>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

namespace
{

using namespace mulberry;

std::string read_key(std::string const& path)
{
    std::string key = read_file(path);
    while (!key.empty() && (key.back() == '\n' || key.back() == '\r'))
        key.pop_back();
    if (key.empty())
        throw file_failure(path + ": contains no key");
    return key;
}

std::optional<routing_config> decode_configuration(std::string const& text,
                                                   std::string& fault)
{
    return platform::wire_codec().decode_config(text, fault);
}

ctl_exit run_offline(ctl_options const& options)
{
    if (options.command == "explain")
        return run_explain(options, std::cout, std::cerr);
    if (options.command == "team")
        return run_team(options, decode_configuration, std::cin, std::cout,
                        std::cerr);
    return run_check(options, std::cout, std::cerr);
}

ctl_exit run_online(ctl_options const& options)
{
    http_client client;
    rpc_operator_client listener(client, options.operators,
                                 read_key(options.key_file), options.timeout);
    steady_ctl_clock clock;
    return run_command(options, {listener, clock, std::cout, std::cerr});
}

ctl_exit run(std::vector<std::string> const& arguments)
{
    try
    {
        ctl_options const options = parse_ctl_options(arguments);
        if (options.help)
        {
            std::cout << ctl_help(options.command);
            return ctl_exit::ok;
        }
        return works_offline(options.command) ? run_offline(options)
                                              : run_online(options);
    }
    catch (usage_failure const& failure)
    {
        std::cerr << "mulberryctl: " << failure.what()
                  << "; see mulberryctl --help\n";
        return ctl_exit::bad_usage;
    }
    catch (file_failure const& failure)
    {
        std::cerr << failure.what() << "\n";
        return ctl_exit::faults;
    }
}

} // namespace

int main(int count, char** values)
{
    try
    {
        return static_cast<int>(
            run(std::vector<std::string>(values + 1, values + count)));
    }
    catch (std::exception const& failure)
    {
        std::cerr << "mulberryctl: " << failure.what() << "\n";
        return static_cast<int>(ctl_exit::outcome_unknown);
    }
}
