// Bad input to the real daemon: each case gets a clear error at a bounded cost
// and does not affect other callers.
#include "process_traffic.hpp"
#include "process_wait.hpp"
#include "raw_socket.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace mulberry_test;
using mulberry::raw_socket;

namespace
{

constexpr std::size_t body_limit = 65536;
constexpr std::size_t header_limit = 32768;

std::uint16_t port_of(std::string const& address)
{
    return static_cast<std::uint16_t>(
        std::stoul(address.substr(address.find(':') + 1)));
}

std::string completion_head(std::size_t length, std::string const& more = "")
{
    return fmt::format("POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
                       "Content-Type: application/json\r\n"
                       "Content-Length: {}\r\nConnection: close\r\n{}\r\n",
                       length, more);
}

std::string completion(std::string const& body, std::string const& more = "")
{
    return completion_head(body.size(), more) + body;
}

/// Sends the bytes on a new connection and returns the daemon's answer.
std::string answer_to(std::string const& address, std::string const& bytes)
{
    raw_socket const socket = raw_socket::connected(port_of(address));
    socket.send(bytes);
    return socket.read_all();
}

/// Whether the answer has this status and error kind, and `ran` is `no`.
bool is_refusal(std::string const& answer, int status, std::string const& kind)
{
    return answer.starts_with(fmt::format("HTTP/1.1 {} ", status)) &&
           answer.find("\"kind\":\"" + kind + "\"") != std::string::npos &&
           answer.find("\"ran\":\"no\"") != std::string::npos;
}

std::string completion_body(std::string const& model)
{
    return "{\"model\":\"" + model + "\",\"prompt\":\"p\",\"max_tokens\":4}";
}

std::string with_bearer(std::string const& method, std::string const& path,
                        std::string const& key)
{
    return fmt::format("{} {} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n"
                       "Connection: close\r\n{}\r\n",
                       method, path,
                       key.empty() ? ""
                                   : "Authorization: Bearer " + key + "\r\n");
}

} // namespace

TEST_CASE("invalid requests are refused with a clear error", "[input]")
{
    scenario run;
    std::string const to = run.world().vm(0).callers;
    auto const refused =
        [&](std::string const& bytes, int status, std::string const& kind)
    {
        std::string const answer = answer_to(to, bytes);
        INFO(bytes.substr(0, 200) << "\nwas answered " << answer);
        CHECK(is_refusal(answer, status, kind));
    };
    refused(completion("{\"model\":"), 400, "bad_request");
    refused(completion("[1,2]"), 400, "bad_request");
    refused(completion(std::string(20000, '[')), 400, "bad_request");
    refused(completion("{\"model\":\"note-1@1\"}"), 400, "bad_request");
    refused(completion(completion_body("note-1")), 404, "unknown_model");
    refused(completion(completion_body("note-1@99")), 404, "unknown_model");
    refused(completion(completion_body("nobody@1")), 404, "unknown_model");
    refused(completion(completion_body("note-1@1"), "X-Deadline-Ms: 0\r\n"),
            400, "bad_deadline");
    refused(completion(completion_body("note-1@1"), "X-Deadline-Ms: -5\r\n"),
            400, "bad_deadline");
    refused(completion(completion_body("note-1@1"),
                       "X-Deadline-Ms: 99999999999999999999\r\n"),
            400, "bad_deadline");
    refused(completion(completion_body("note-1@1"), "X-Deadline-Ms: soon\r\n"),
            400, "bad_deadline");
    refused(completion(completion_body("note-1@1"), "X-Priority: 12\r\n"), 400,
            "bad_request");
    refused(with_bearer("GET", "/services/nobody/x", ""), 404,
            "unknown_service");
    refused(with_bearer("GET", "/nowhere", ""), 404, "not_found");
    // The engines have loaded only the adapters declared as ready; no request
    // has run.
    for (Json::Value const& event : run.world().engine_history())
        CHECK(event["kind"].asString() == "loaded");
    CHECK(to_string(run.finish()) == no_findings);
}

TEST_CASE("requests that are too large are refused before they are read",
          "[input]")
{
    scenario run;
    std::string const to = run.world().vm(0).callers;
    std::string const large(body_limit + 1, 'x');
    CHECK(is_refusal(answer_to(to, completion(large)), 413, "body_too_large"));
    std::string const header =
        "X-Long: " + std::string(header_limit, 'x') + "\r\n";
    CHECK(is_refusal(answer_to(to, completion_head(0, header)), 431,
                     "body_too_large"));
    CHECK(to_string(run.finish()) == no_findings);
}

TEST_CASE("callers that send slowly or half-close do not affect others",
          "[input]")
{
    // Many connections with an incomplete request stay open while traffic
    // passes through the same VM; then these connections are closed for
    // sending only.
    scenario run;
    std::string const to = run.world().vm(0).callers;
    std::vector<raw_socket> slow;
    for (int count = 0; count < 50; ++count)
    {
        slow.push_back(raw_socket::connected(port_of(to)));
        slow.back().send(completion_head(1000) + "{\"model\"");
    }
    run.send_traffic_to({0});
    run.start_traffic();
    CHECK(run.wait_for_answers(60));
    for (raw_socket const& each : slow)
        each.shutdown_send();
    CHECK(run.wait_for_answers(60));
    CHECK(to_string(run.finish()) == no_findings);
}

TEST_CASE("a caller that sends too slowly gets an error", "[input]")
{
    // The caller stops in the middle of the body. At the time limit the daemon
    // answers with the reason and closes the connection.
    scenario run;
    std::string const to = run.world().vm(0).callers;
    CHECK(is_refusal(answer_to(to, completion_head(1000) + "{\"model\""), 408,
                     "too_slow"));
}

TEST_CASE("a caller that half-closes gets an answer", "[input]")
{
    // The caller sends the complete request, closes its sending side and still
    // reads.
    scenario run;
    raw_socket const half =
        raw_socket::connected(port_of(run.world().vm(0).callers));
    half.send(completion(completion_body("note-1@1")));
    half.shutdown_send();
    CHECK(half.read_all().starts_with("HTTP/1.1 "));
}

TEST_CASE("bytes that are not HTTP do not affect other callers", "[input]")
{
    scenario run;
    run.start_traffic();
    REQUIRE(run.wait_for_answers(30));
    for (entry_vm const* vm :
         {&run.world().vm(0), &run.world().vm(1), &run.world().vm(2)})
        for (std::string const& listener :
             {vm->callers, vm->peers, vm->operators})
        {
            answer_to(listener, std::string(1000, '\0') + "\r\n\r\n");
            answer_to(listener, "GET / HTTP/9.9\r\nContent-Length: -1\r\n\r\n");
        }
    CHECK(run.wait_for_answers(30));
    CHECK(to_string(run.finish()) == no_findings);
}

TEST_CASE(
    "the peers' and operators' listeners refuse requests without their key",
    "[input]")
{
    scenario run;
    auto const& vm = run.world().vm(0);
    for (std::string const& listener : {vm.peers, vm.operators})
        for (char const* key : {"", "wrong", "operators-ke", "callers"})
            for (char const* path : {"/", "/rpc", "/forward/loglm-01",
                                     "/healthz", "/metrics", "/v1/models"})
                for (char const* method : {"GET", "POST", "DELETE"})
                {
                    std::string const answer =
                        answer_to(listener, with_bearer(method, path, key));
                    CHECK(answer.starts_with("HTTP/1.1 401 "));
                }
    // The key of one listener is not accepted by the other.
    CHECK(answer_to(vm.peers, with_bearer("POST", "/rpc", "operators-key"))
              .starts_with("HTTP/1.1 401 "));
    CHECK(answer_to(vm.operators, with_bearer("POST", "/rpc", "peers-key"))
              .starts_with("HTTP/1.1 401 "));
}
