#include "engine_settings.hpp"
#include "engine_worker.hpp"
#include "json_text.hpp"
#include "standin_program.hpp"
#include "worker_names.hpp"

#include <boost/program_options.hpp>

#include <map>

namespace po = boost::program_options;
using namespace mulberry;
using namespace mulberry::standins;

namespace
{

/// Serves all workers of the process on one port.
class engine_service : public standin_service
{
public:
    engine_service(std::vector<engine_settings> const& workers,
                   std::string const& weights_url, standin_loop& loop)
        : process_{loop, weights_url}
    {
        for (engine_settings const& settings : workers)
            workers_.try_emplace(settings.name, settings, process_);
    }

    void handle(standin_request const& request) override
    {
        std::string const& path = request.http.path;
        if (path == "/control")
            control(request);
        else if (path == "/history")
            request.answer->respond(
                json_response(200, process_.history.page(number_parameter(
                                       request.http, "after"))));
        else
            handle_worker(request, split_worker(path));
    }

private:
    void handle_worker(standin_request const& request,
                       worker_path const& target)
    {
        auto const found = workers_.find(target.worker);
        if (found == workers_.end())
            request.answer->respond(error_reply(404, "no_such_worker"));
        else
            found->second.handle(request, target.rest);
    }

    void control(standin_request const& request)
    {
        Json::Value const order = parse_object(request.http.body);
        std::string const name = order.get("worker", "*").asString();
        if (name == "*")
        {
            process_.faults.set(order);
            for (auto& [unused, worker] : workers_)
                worker.control(order);
        }
        else
        {
            auto const found = workers_.find(name);
            if (found == workers_.end())
                throw bad_request("unknown worker");
            found->second.faults().set(order);
            found->second.control(order);
        }
        request.answer->respond(json_response(200, "{}"));
    }

    engine_process process_;
    std::map<std::string, engine_worker> workers_;
};

} // namespace

int main(int argc, char** argv)
{
    po::options_description options(
        "fake_engine: engine workers at http://127.0.0.1:PORT/WORKER");
    options.add_options()("weights",
                          po::value<std::string>()->default_value(""),
                          "base URL of the weight store; empty: loads take "
                          "--load-ms alone");
    add_engine_options(options);
    return run_standin(argc, argv, options,
                       [](po::variables_map const& values, standin_loop& loop)
                       {
                           return std::make_unique<engine_service>(
                               engine_workers(values),
                               values["weights"].as<std::string>(), loop);
                       });
}
