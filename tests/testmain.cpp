// Entry point of the Catch2 test programs. Reports trompeloeil violations as Catch2 failures.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>
