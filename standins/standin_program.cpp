#include "standin_program.hpp"

#include "json_text.hpp"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <boost/program_options/parsers.hpp>

#include <csignal>
#include <iostream>
#include <utility>

namespace mulberry::standins
{
namespace
{

namespace po = boost::program_options;

constexpr int exit_bad_options = 2;
constexpr std::size_t max_body_bytes = std::size_t{64} << 20U;

po::options_description with_common_options(po::options_description const& own)
{
    po::options_description all("Options");
    po::options_description common("Common options");
    auto add = common.add_options();
    add("help", "print this help");
    add("port", po::value<std::uint16_t>()->default_value(0),
        "port on 127.0.0.1; 0 lets the kernel pick");
    add("threads", po::value<std::size_t>()->default_value(2),
        "threads of the HTTP server");
    all.add(own).add(common);
    return all;
}

/// Answers a malformed request with 400, so that an exception does not end the
/// stand-in.
void handle_guarded(standin_service& service, standin_request const& request)
{
    try
    {
        service.handle(request);
    }
    catch (bad_request const& error)
    {
        request.answer->respond(error_reply(400, error.what()));
    }
    catch (Json::Exception const& error)
    {
        request.answer->respond(error_reply(400, error.what()));
    }
}

void wait_for_end_signal()
{
    asio::io_context context;
    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([](std::error_code, int) {});
    context.run();
}

int serve(po::variables_map const& values, service_factory const& make_service)
{
    standin_loop loop;
    std::unique_ptr<standin_service> service = make_service(values, loop);
    http_server_options options;
    options.port = values["port"].as<std::uint16_t>();
    options.threads = values["threads"].as<std::size_t>();
    options.max_body_bytes = max_body_bytes;
    http_server const server(
        options,
        [&loop, &service](http_request request,
                          std::shared_ptr<http_answer> answer)
        {
            loop.post([&service, request = standin_request{std::move(request),
                                                           std::move(answer)}]
                      { handle_guarded(*service, request); });
        });
    loop.start();
    std::cout << "listening http://127.0.0.1:" << server.port() << std::endl;
    wait_for_end_signal();
    // Pending answers refer to the server, so the answers must be destroyed
    // before the server.
    loop.stop();
    service.reset();
    loop.clear();
    return 0;
}

} // namespace

int run_standin(int argc, char const* const* argv,
                po::options_description const& options,
                service_factory const& make_service)
{
    po::options_description const all = with_common_options(options);
    try
    {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, all), values);
        if (values.count("help") != 0)
        {
            std::cout << all;
            return 0;
        }
        po::notify(values);
        return serve(values, make_service);
    }
    catch (po::error const& error)
    {
        std::cerr << argv[0] << ": " << error.what() << "; see --help\n";
        return exit_bad_options;
    }
    catch (bad_option const& error)
    {
        std::cerr << argv[0] << ": " << error.what() << "; see --help\n";
        return exit_bad_options;
    }
    catch (std::exception const& error)
    {
        std::cerr << argv[0] << ": " << error.what() << '\n';
        return 1;
    }
}

} // namespace mulberry::standins
