#include "relay_request.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;

TEST_CASE("requests share the prefix made of all prompt parts but the last",
          "[relay_request]")
{
    prompt_shape const one{1460, {{"a", 800}, {"b", 410}, {"c", 250}}};
    prompt_shape const other{1300, {{"a", 800}, {"b", 410}, {"d", 90}}};
    CHECK(prefix_of(one).tokens == 1210);
    CHECK(prefix_of(one) == prefix_of(other));
    prompt_shape const apart{1460, {{"a", 800}, {"e", 410}, {"c", 250}}};
    CHECK(prefix_of(one).key != prefix_of(apart).key);
}

TEST_CASE("a prompt of one part has no shared prefix", "[relay_request]")
{
    CHECK(prefix_of({90, {{"d", 90}}}) == shared_prefix());
    CHECK(prefix_of({}) == shared_prefix());
}

TEST_CASE("retries of a request have the same identity, other requests differ",
          "[relay_request]")
{
    relay_request one;
    one.method = "POST";
    one.host = "receipts.example";
    one.target = "/read/7";
    one.model = model_target{base_model_id("base"), adapter_id("a1")};
    one.body = "note";
    one.caller = "10.0.0.1";
    one.id = request_id("first try");
    relay_request again = one;
    again.id = request_id("second try");
    again.time_left = std::chrono::seconds(1);
    CHECK(identity_of(one) == identity_of(again));
    CHECK(identity_of(one).content.str().size() == 32);

    relay_request elsewhere = one;
    elsewhere.caller = "10.0.0.2";
    CHECK(identity_of(elsewhere).content == identity_of(one).content);
    CHECK(identity_of(elsewhere).content_and_caller !=
          identity_of(one).content_and_caller);

    relay_request other_port = one;
    other_port.host = "Receipts.example:8080";
    CHECK(identity_of(other_port) == identity_of(one));

    auto const differs = [&](auto change)
    {
        relay_request other = one;
        change(other);
        return identity_of(other).content != identity_of(one).content;
    };
    CHECK(differs([](relay_request& other) { other.body = "notes"; }));
    CHECK(differs([](relay_request& other) { other.target = "/read/8"; }));
    CHECK(differs([](relay_request& other) { other.host = "x.example"; }));
    CHECK(differs([](relay_request& other) { other.method = "PUT"; }));
    CHECK(differs([](relay_request& other) { other.model.reset(); }));
    CHECK(differs(
        [](relay_request& other)
        {
            other.target = "/read/";
            other.body = "7note";
        }));
}

TEST_CASE("shared parts of a prompt are told by their ids", "[relay_request]")
{
    prompt_shape prompt;
    CHECK(shared_parts(prompt).empty());
    prompt.parts = {{"c0de", 155}, {"dead", 30}, {"e1", 30}};
    auto const parts = shared_parts(prompt);
    REQUIRE(parts.size() == 2);
    CHECK(parts[1] == part_digest("dead"));
    CHECK(is_part(parts[1]));
    for (std::string const& unusual :
         {std::string("a/b"), std::string(1000, 'x'), std::string("a b")})
    {
        std::string const digest = part_digest(unusual).str();
        CHECK(digest.size() < 80);
        CHECK(digest.find_first_of("/ ") == std::string::npos);
        CHECK(is_part(part_digest(unusual)));
    }
    CHECK_FALSE(is_part(identity_of({}).content));
}
