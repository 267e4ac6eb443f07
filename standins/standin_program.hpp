/// The main program shared by all stand-ins: command-line options, HTTP
/// listener and termination signals.
#ifndef MULBERRY_STANDIN_PROGRAM_HPP
#define MULBERRY_STANDIN_PROGRAM_HPP

#include "http_message.hpp"
#include "http_server.hpp"
#include "standin_loop.hpp"

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/variables_map.hpp>

#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

namespace mulberry::standins
{

struct standin_request
{
    http_request http;
    std::shared_ptr<http_answer> answer;

    std::string header(std::string_view name) const
    {
        return http.headers.find(name).value_or("");
    }
};

/// Handles a stand-in's requests. Only called on the loop's thread.
class standin_service
{
public:
    virtual ~standin_service() = default;
    /// May throw bad_request or Json::Exception, which are answered with 400,
    /// but only before answering the request.
    virtual void handle(standin_request const& request) = 0;
};

/// The command line is invalid; the program ends with exit code 2.
class bad_option : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Creates the service before the listener starts. May throw bad_option.
using service_factory = std::function<std::unique_ptr<standin_service>(
    boost::program_options::variables_map const&, standin_loop&)>;

/// Runs until SIGTERM or SIGINT; returns the exit code.
int run_standin(int argc, char const* const* argv,
                boost::program_options::options_description const& options,
                service_factory const& make_service);

} // namespace mulberry::standins

#endif
