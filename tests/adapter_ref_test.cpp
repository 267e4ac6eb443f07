#include "adapter_ref.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;

TEST_CASE("adapter references and engine names parse back to equal values",
          "[adapter_ref]")
{
    adapter_ref const ref(adapter_id("shift-notes-0042"), adapter_version(7));
    CHECK(ref.str() == "shift-notes-0042@7");
    CHECK(parse_adapter_ref(ref.str()) == ref);
    engine_name const name = engine_name_for(ref, fencing_number(31));
    CHECK(name.str() == "shift-notes-0042@7#31");
    CHECK(parse_engine_name(name.str()) ==
          engine_name_parts{ref, fencing_number(31)});
}

TEST_CASE("a text other than ADAPTER@VERSION is refused", "[adapter_ref]")
{
    for (char const* text :
         {"", "@", "a", "a@", "@1", "a@0", "a@-1", "a@+1", "a@1 ", "a@1.0",
          "a@1000000001", "a b@1", "a/b@1", "a@1@2", "a@99999999999999999999"})
    {
        CAPTURE(text);
        CHECK_FALSE(parse_adapter_ref(text));
    }
    CHECK(parse_adapter_ref("a@1000000000"));
    CHECK(parse_adapter_ref(std::string(128, 'a') + "@1"));
    CHECK_FALSE(parse_adapter_ref(std::string(129, 'a') + "@1"));
}

TEST_CASE("an engine name without a fencing number is refused", "[adapter_ref]")
{
    for (char const* text : {"a@1", "a@1#", "a@1#0", "a#1", "a@1#x", "#1"})
    {
        CAPTURE(text);
        CHECK_FALSE(parse_engine_name(text));
    }
}
