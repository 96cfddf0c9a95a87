#define CATCH_CONFIG_RUNNER
#include "test_seed.h"

#include <catch2/catch.hpp>

#include <iostream>

auto main(int argc, char *argv[]) -> int
{
    std::cout << "seed=" << tests::baseSeed() << '\n';
    return Catch::Session().run(argc, argv);
}
