// Catch2's main, shared by every test program.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
