#include "completion_answer.hpp"
#include "completion_request.hpp"
#include "error_page.hpp"
#include "json_text.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

time_point const now{std::chrono::hours(24)};

http_request post(std::string body)
{
    http_request request;
    request.method = "POST";
    request.body = std::move(body);
    return request;
}

auto parse(http_request const& request,
           model_endpoint endpoint = model_endpoint::completions)
{
    return parse_completion(request, endpoint, {}, now);
}

error_kind error_kind_of(std::string body)
{
    auto const parsed = parse(post(std::move(body)));
    REQUIRE(std::holds_alternative<error>(parsed));
    return std::get<error>(parsed).kind();
}

} // namespace

TEST_CASE("parse_completion reads headers and removes the layer's members",
          "[completion_request]")
{
    http_request http = post(R"({"model":"a@2","prompt":"p","stream":true,
                                  "priority":1,"max_tokens":9,"top_p":0.5})");
    http.headers.add("x-deadline-ms", "1500");
    http.headers.add("X-Priority", "7");
    http.headers.add("X-Application", "tallies");
    auto const parsed = parse(http);
    REQUIRE(std::holds_alternative<model_request>(parsed));
    auto const& request = std::get<model_request>(parsed);
    CHECK(request.adapter.str() == "a@2");
    CHECK(request.streamed);
    CHECK(request.priority == 7);
    CHECK(request.application.str() == "tallies");
    CHECK(request.deadline == now + 1500ms);
    CHECK(request.max_tokens == 9);
    CHECK(request.prefix_key != 0);
    auto const rest = from_text(*request.body);
    REQUIRE(rest);
    CHECK(rest->getMemberNames() ==
          std::vector<std::string>{"max_tokens", "prompt", "top_p"});
}

TEST_CASE("invalid input gives the error kind of its fault",
          "[completion_request]")
{
    CHECK(error_kind_of("") == error_kind::bad_request);
    CHECK(error_kind_of("[]") == error_kind::bad_request);
    CHECK(error_kind_of(R"({"prompt":"p"})") == error_kind::bad_request);
    CHECK(error_kind_of(R"({"model":"a","prompt":"p"})") ==
          error_kind::unknown_model);
    CHECK(error_kind_of(R"({"model":"a@0","prompt":"p"})") ==
          error_kind::unknown_model);
    CHECK(error_kind_of(R"({"model":"a@1","prompt":7})") ==
          error_kind::bad_request);
    CHECK(error_kind_of(R"({"model":"a@1","prompt":"p","max_tokens":0})") ==
          error_kind::bad_request);
    CHECK(error_kind_of(R"({"model":"a@1","prompt":"p","stream":"yes"})") ==
          error_kind::bad_request);
    CHECK(error_kind_of(std::string(100'000, '[')) == error_kind::bad_request);
    for (char const* invalid_deadline :
         {"0", "-5", "1e9", "99999999999999999999", ""})
    {
        http_request http = post(R"({"model":"a@1","prompt":"p"})");
        http.headers.add("X-Deadline-Ms", invalid_deadline);
        auto const parsed = parse(http);
        REQUIRE(std::holds_alternative<error>(parsed));
        CHECK(std::get<error>(parsed).kind() == error_kind::bad_deadline);
    }
}

TEST_CASE("chat messages need a role and a text content",
          "[completion_request]")
{
    auto const good = parse(post(R"({"model":"a@1","messages":[{"role":"user",
                       "content":"sum up"}]})"),
                            model_endpoint::chat);
    CHECK(std::holds_alternative<model_request>(good));
    auto const bad = parse(post(R"({"model":"a@1","messages":["sum up"]})"),
                           model_endpoint::chat);
    CHECK(std::holds_alternative<error>(bad));
}

TEST_CASE("caller_payload removes the fencing number and the attempt number",
          "[completion_answer]")
{
    CHECK(caller_payload(R"({"id":"vm-1.3","model":"a@2#17","offset":0})",
                         *parse_adapter_ref("a@2"), request_id("vm-1")) ==
          R"({"id":"vm-1","model":"a@2","offset":0})");
    CHECK(caller_payload(R"({"text":"a@2#17 vm-1.3"})",
                         *parse_adapter_ref("a@2"),
                         request_id("vm-1")) == R"({"text":"a@2#17 vm-1.3"})");
}

TEST_CASE("error pages have Retry-After only if a retry may succeed",
          "[error_page]")
{
    auto const full = error_page(
        error(error_kind::overloaded, "full", ran::no, 1500ms), "r-1");
    CHECK(full.status == 429);
    CHECK(full.headers.find("Retry-After") == "2");
    auto const body = from_text(full.body);
    REQUIRE(body);
    CHECK((*body)["error"]["ran"] == "no");
    CHECK((*body)["error"]["request_id"] == "r-1");
    auto const unknown =
        error_page(error(error_kind::unknown_model, "no such"), "");
    CHECK_FALSE(unknown.headers.find("Retry-After"));
}
