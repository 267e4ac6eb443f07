#include "team_key.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace mulberry;

namespace
{

http_headers fields(std::vector<std::pair<std::string, std::string>> const& all)
{
    http_headers headers;
    for (auto const& [name, value] : all)
        headers.add(name, value);
    return headers;
}

std::optional<key_digest> key_in(std::string const& field)
{
    return caller_key(fields({{"Authorization", field}}));
}

} // namespace

TEST_CASE("a bearer key is read regardless of the case of header and scheme",
          "[team_key]")
{
    key_digest const expected = digest_of_key("k7b2");
    CHECK(key_in("Bearer k7b2") == expected);
    CHECK(key_in("bearer  k7b2 ") == expected);
    CHECK(caller_key(fields({{"aUTHORIZATION", "BEARER k7b2"}})) == expected);
}

// Guards against authenticating a caller by a malformed or ambiguous header.
TEST_CASE("a header without exactly one valid key is rejected", "[team_key]")
{
    CHECK_FALSE(caller_key({}));
    for (std::string const& field :
         {std::string(), std::string("k7b2"), std::string("Bearer"),
          std::string("Bearer "), std::string("Basic k7b2"),
          std::string("Bearer k7b2 other"), std::string("Bearer k7b2,other"),
          std::string("Bearer \"k7b2\""), std::string("Bearer k7\xc3\xa4"),
          std::string("Bearer k7\x01"), "Bearer " + std::string(8192, 'k')})
    {
        CAPTURE(field.size(), field.substr(0, 40));
        CHECK_FALSE(key_in(field));
    }
    CHECK_FALSE(caller_key(fields(
        {{"Authorization", "Bearer a"}, {"authorization", "Bearer a"}})));
}

TEST_CASE("neither digest nor fingerprint contains the key", "[team_key]")
{
    std::string const key = "asnmgkcuyj8pjbvk9m68";
    key_digest const digest = digest_of_key(key);
    CHECK(digest.str().size() == 64);
    CHECK(digest.str().find(key) == std::string::npos);
    CHECK(fingerprint(digest).size() == 8);
    CHECK(digest != digest_of_key(key + "x"));
}

TEST_CASE("arbitrary header values are handled", "[team_key]")
{
    CHECK(rc::check("a valid token after the scheme is found",
                    []
                    {
                        auto const token = *rc::gen::arbitrary<std::string>();
                        bool valid = !token.empty() && token.size() <= 4096;
                        for (char const each : token)
                            valid = valid && each > ' ' && each < '\x7f' &&
                                    each != ',' && each != '"';
                        auto const found = key_in("Bearer " + token);
                        RC_ASSERT(!valid || found == digest_of_key(token));
                        caller_key(fields({{"Authorization", token}}));
                    }));
}
