#include "relay_request.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;

TEST_CASE("requests share all parts of a prompt but the last",
          "[relay_request]")
{
    prompt_shape const one{1460, {{"a", 800}, {"b", 410}, {"c", 250}}};
    prompt_shape const other{1300, {{"a", 800}, {"b", 410}, {"d", 90}}};
    CHECK(prefix_of(one).tokens == 1210);
    CHECK(prefix_of(one) == prefix_of(other));
    prompt_shape const apart{1460, {{"a", 800}, {"e", 410}, {"c", 250}}};
    CHECK(prefix_of(one).key != prefix_of(apart).key);
}

TEST_CASE("a prompt of one part shares nothing", "[relay_request]")
{
    CHECK(prefix_of({90, {{"d", 90}}}) == shared_prefix());
    CHECK(prefix_of({}) == shared_prefix());
}
