#include "event_log.hpp"
#include "fault_counts.hpp"
#include "json_text.hpp"
#include "standin_program.hpp"
#include "worker_names.hpp"

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <set>

namespace po = boost::program_options;
using namespace mulberry;
using namespace mulberry::standins;

namespace
{

/// Simulates plain workers and records each executed call. The workers ignore
/// the idempotency key, so that a duplicate call shows as two events.
class plain_service : public standin_service
{
public:
    plain_service(std::vector<std::string> const& workers,
                  std::chrono::milliseconds slow, standin_loop& loop)
        : loop_(loop), workers_(workers.begin(), workers.end()),
          response_delay_(slow)
    {
    }

    void handle(standin_request const& request) override
    {
        std::string const& path = request.http.path;
        if (path == "/control")
        {
            control(parse_object(request.http.body));
            request.answer->respond(json_response(200, "{}"));
        }
        else if (path == "/history")
            request.answer->respond(json_response(
                200, history_.page(number_parameter(request.http, "after"))));
        else if (workers_.contains(split_worker(path).worker))
            call(request);
        else
            request.answer->respond(error_reply(404, "no_such_worker"));
    }

private:
    void control(Json::Value const& order)
    {
        faults_.set(order);
        if (order.isMember("slow_ms"))
            response_delay_ =
                std::chrono::milliseconds(order["slow_ms"].asUInt());
        if (order.isMember("hold_run"))
            hold_run_ = order["hold_run"].asBool();
        if (hold_run_)
            return;
        for (standin_request const& request : std::exchange(held_requests_, {}))
            run(request);
    }

    void call(standin_request const& request)
    {
        if (faults_.take("hang_before_run"))
            hanging_answers_.push_back(request.answer);
        else if (hold_run_)
            held_requests_.push_back(request);
        else
            run(request);
    }

    void run(standin_request const& request)
    {
        worker_path const target = split_worker(request.http.path);
        std::string const key = request.header("Idempotency-Key");
        std::uint64_t const number = history_.append(fmt::format(
            R"("worker":{},"path":{},"key":{},"request":{},"body":{})",
            quoted(target.worker), quoted(target.rest), quoted(key),
            quoted(request.header("X-Request-Id")), quoted(request.http.body)));
        if (faults_.take("hang_after_run"))
            return hanging_answers_.push_back(request.answer);
        if (faults_.take("drop_after_run"))
            return request.answer->abort();
        http_response const response = json_response(
            200, fmt::format(R"({{"ran":{},"path":{},"key":{},"worker":{}}})",
                             number, quoted(target.rest), quoted(key),
                             quoted(target.worker)));
        if (response_delay_.count() == 0)
            return request.answer->respond(response);
        loop_.after(response_delay_, [answer = request.answer, response]
                    { answer->respond(response); });
    }

    standin_loop& loop_;
    std::set<std::string> workers_;
    std::chrono::milliseconds response_delay_;
    event_log history_;
    fault_counts faults_{"hang_after_run", "hang_before_run", "drop_after_run"};
    bool hold_run_ = false;
    std::vector<standin_request> held_requests_;
    /// Answers of hanging calls, kept since destroying an answer would close
    /// its connection.
    std::vector<std::shared_ptr<http_answer>> hanging_answers_;
};

} // namespace

int main(int argc, char** argv)
{
    po::options_description options(
        "fake_service: plain workers at http://127.0.0.1:PORT/WORKER");
    auto add = options.add_options();
    add("workers", po::value<std::vector<std::string>>()->required(),
        "NAME, or NAME:COUNT for NAME-01 and so on; may be repeated");
    add("slow-ms", po::value<unsigned>()->default_value(0),
        "time from a call's run to its answer");
    return run_standin(
        argc, argv, options,
        [](po::variables_map const& values, standin_loop& loop)
        {
            return std::make_unique<plain_service>(
                worker_names(values["workers"].as<std::vector<std::string>>()),
                std::chrono::milliseconds(values["slow-ms"].as<unsigned>()),
                loop);
        });
}
