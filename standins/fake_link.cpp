#include "json_text.hpp"
#include "link_relay.hpp"
#include "standin_program.hpp"

#include <boost/program_options.hpp>

#include <charconv>
#include <iostream>
#include <map>

namespace po = boost::program_options;
using namespace mulberry;
using namespace mulberry::standins;

namespace
{

struct link_option
{
    std::string name;
    asio::ip::tcp::endpoint target;
};

link_option parse_link(std::string const& text)
{
    std::size_t const equals = text.find('=');
    std::size_t const colon = text.rfind(':');
    if (equals == 0 || equals == std::string::npos ||
        colon == std::string::npos || colon < equals)
        throw bad_option("a link is NAME=IP:PORT, not '" + text + "'");
    std::uint16_t port = 0;
    char const* const end = text.data() + text.size();
    auto const [stopped, port_error] =
        std::from_chars(text.data() + colon + 1, end, port);
    std::error_code error;
    auto const address = asio::ip::make_address_v4(
        text.substr(equals + 1, colon - equals - 1), error);
    if (error || port_error != std::errc{} || stopped != end || port == 0)
        throw bad_option("a link is NAME=IP:PORT, not '" + text + "'");
    return {text.substr(0, equals), {address, port}};
}

class link_service : public standin_service
{
public:
    link_service(std::vector<std::string> const& options, standin_loop& loop)
    {
        for (std::string const& text : options)
        {
            link_option const option = parse_link(text);
            auto const [link, is_new] =
                links_.try_emplace(option.name, loop, option.target);
            if (!is_new)
                throw bad_option("duplicate link name '" + option.name + "'");
            std::cout << "link " << option.name
                      << " 127.0.0.1:" << link->second.port() << std::endl;
        }
    }

    void handle(standin_request const& request) override
    {
        if (request.http.path != "/control")
            return request.answer->respond(error_reply(404, "no_such_path"));
        Json::Value const order = parse_object(request.http.body);
        auto const found = links_.find(order["link"].asString());
        if (found == links_.end())
            throw bad_request("unknown link");
        found->second.control(order);
        request.answer->respond(json_response(200, "{}"));
    }

private:
    std::map<std::string, link_relay> links_;
};

} // namespace

int main(int argc, char** argv)
{
    po::options_description options(
        "fake_link: TCP relays that can go wrong on order");
    options.add_options()(
        "link", po::value<std::vector<std::string>>()->required(),
        "NAME=IP:PORT: connections to a port of its own go on to IP:PORT; may "
        "be repeated");
    return run_standin(argc, argv, options,
                       [](po::variables_map const& values, standin_loop& loop)
                       {
                           return std::make_unique<link_service>(
                               values["link"].as<std::vector<std::string>>(),
                               loop);
                       });
}
