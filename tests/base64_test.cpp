#include "base64.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;

TEST_CASE("every length and byte value survives encoding and decoding",
          "[base64]")
{
    std::string bytes;
    for (int value = 0; value < 256; ++value)
    {
        bytes += static_cast<char>(value);
        CHECK(from_base64(to_base64(bytes)) == bytes);
    }
    CHECK(to_base64("") == "");
    CHECK(to_base64("a") == "YQ==");
    CHECK(from_base64("") == "");
}

TEST_CASE("invalid Base64 is rejected", "[base64]")
{
    CHECK_FALSE(from_base64("YQ="));
    CHECK_FALSE(from_base64("Y!=="));
}
