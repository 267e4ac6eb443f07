#include "claim_row.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace mulberry;

namespace
{

claim_row sample_row(std::optional<stored_answer> answer)
{
    return {
        "vm-1/3/r\"1",    vm_id("vm-1"),
        incarnation(3),   request_id("r1"),
        "f00d",           answer ? claim_stage::answered : claim_stage::claimed,
        std::move(answer)};
}

service_request request_of(std::string method, std::string target,
                           std::string body)
{
    service_request request;
    request.method = std::move(method);
    request.target = std::move(target);
    request.body = std::make_shared<std::string const>(std::move(body));
    return request;
}

} // namespace

TEST_CASE("a claim row preserves every byte of an answer")
{
    CHECK(decode_claim_row(encode(sample_row({}))) == sample_row({}));
    CHECK(rc::check(
        "round trip",
        [](std::vector<char> const& body, std::vector<char> const& type)
        {
            claim_row const row = sample_row(
                stored_answer{201, std::string(type.begin(), type.end()),
                              std::string(body.begin(), body.end()), ""});
            RC_ASSERT(decode_claim_row(encode(row)) == row);
        }));
    claim_row const large =
        sample_row(stored_answer{200, "a/b", "", "answer/12"});
    CHECK(decode_claim_row(encode(large)) == large);
}

TEST_CASE("a text that is not a claim row is rejected")
{
    std::string const whole =
        encode(sample_row(stored_answer{200, "a", "b", ""}));
    for (std::size_t size = 0; size < whole.size(); ++size)
        CHECK_FALSE(decode_claim_row(whole.substr(0, size)));
    CHECK_FALSE(decode_claim_row("[]"));
    CHECK_FALSE(decode_claim_row(std::string(5000, '[')));
    std::string unnamed = whole;
    unnamed.replace(unnamed.find("answered"), 8, "finished");
    CHECK_FALSE(decode_claim_row(unnamed));
}

TEST_CASE("row keys of different services and keys differ")
{
    auto const key = [](char const* service, char const* name)
    { return claim_key(service_id(service), idempotency_key(name)); };
    CHECK(key("split-api", "a/b c") == "claim/split-api/a%2fb%20c");
    CHECK(key("a", "b/c") != key("a/b", "c"));
    CHECK(key("a", "%2f") != key("a", "/"));
}

TEST_CASE("the fingerprint covers method, target and body")
{
    auto const fingerprint =
        [](char const* method, char const* target, char const* body)
    { return call_fingerprint(request_of(method, target, body)); };
    CHECK(fingerprint("POST", "/a", "b") == fingerprint("POST", "/a", "b"));
    CHECK(fingerprint("POST", "/a", "b") != fingerprint("PUT", "/a", "b"));
    CHECK(fingerprint("POST", "/a", "b") != fingerprint("POST", "/ab", ""));
    CHECK(fingerprint("POST", "/a", "b") != fingerprint("POST", "/a?x", "b"));
}
