#include "operator_client.hpp"

#include "http_server.hpp"

#include <catch2/catch.hpp>

#include <atomic>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

constexpr auto unknown = operator_call_failure::kind::outcome_unknown;

/// A VM's operators' listener that counts the calls it runs and can refuse them
/// or drop their answers.
class vm
{
public:
    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(http_.port());
    }

    std::atomic<int> ran{0};
    std::atomic<bool> loses_answers{false};
    std::atomic<bool> refuses{false};

private:
    Json::Value run()
    {
        ++ran;
        Json::Value data;
        data["kind"] = "plan_outdated";
        if (refuses)
            throw rpc_failure(-31022, "plan again", data);
        return "done";
    }

    void serve(http_request const& request,
               std::shared_ptr<http_answer> const& answer)
    {
        if (request.headers.find("authorization") != "Bearer right")
            return answer->respond(json_response(401, "{}"));
        std::string const body = rpc_.handle(request.body);
        if (loses_answers)
            answer->abort();
        else
            answer->respond(json_response(200, body));
    }

    rpc_server rpc_{
        {{"confirm", [this](Json::Value const&) { return run(); }}}};
    http_server http_{{},
                      [this](http_request const& request,
                             std::shared_ptr<http_answer> const& answer)
                      { serve(request, answer); }};
};

struct two_vms
{
    vm first;
    vm second;
    http_client client;

    rpc_operator_client operator_client(std::string const& key = "right")
    {
        return {client, {first.address(), second.address()}, key, 20s};
    }

    operator_call_failure failure(rpc_operator_client client,
                                  resend on_lost_answer)
    {
        try
        {
            client.call("confirm", Json::objectValue, on_lost_answer);
        }
        catch (operator_call_failure const& seen)
        {
            return seen;
        }
        throw std::logic_error("the call did not fail");
    }
};

/// A port on which nothing listens: its listener was just closed.
std::string closed_address()
{
    return vm().address();
}

} // namespace

TEST_CASE("the next VM is tried when one cannot be reached",
          "[operator_client]")
{
    two_vms vms;
    rpc_operator_client client(
        vms.client, {closed_address(), vms.second.address()}, "right", 20s);
    CHECK(client.call("confirm", Json::objectValue, resend::never) == "done");
    CHECK(vms.failure({vms.client, {closed_address()}, "right", 20s},
                      resend::allowed)
              .reason() == operator_call_failure::kind::unreachable);
}

// Guards against running a confirm twice: a VM runs the confirm and stops
// before it answers, and the client sends the confirm to the next VM as well.
TEST_CASE("a call whose answer is lost is sent again only if that is allowed",
          "[operator_client]")
{
    two_vms vms;
    vms.first.loses_answers = true;
    CHECK(vms.failure(vms.operator_client(), resend::never).reason() ==
          unknown);
    CHECK(vms.first.ran == 1);
    CHECK(vms.second.ran == 0);
    CHECK(vms.operator_client().call("confirm", Json::objectValue,
                                     resend::allowed) == "done");
    CHECK(vms.second.ran == 1);
}

TEST_CASE("a refusal is final and keeps its data", "[operator_client]")
{
    two_vms vms;
    vms.first.refuses = true;
    operator_call_failure const seen =
        vms.failure(vms.operator_client(), resend::allowed);
    CHECK(seen.reason() == operator_call_failure::kind::refused);
    CHECK(seen.data()["kind"] == "plan_outdated");
    CHECK(vms.second.ran == 0);
    operator_call_failure const locked =
        vms.failure(vms.operator_client("wrong"), resend::allowed);
    CHECK(locked.reason() == operator_call_failure::kind::refused);
    CHECK(std::string(locked.what()).find("is the key right?") !=
          std::string::npos);
    CHECK(vms.second.ran == 0);
}
