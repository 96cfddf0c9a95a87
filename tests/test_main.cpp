#define CATCH_CONFIG_RUNNER
#include "test_seed.h"

#include <catch2/catch.hpp>

#include <iostream>

auto main(int argc, char *argv[]) -> int
{
    // Not to the standard output, which test discovery reads as the list of test names.
    std::cerr << "seed=" << tests::baseSeed() << '\n';
    return Catch::Session().run(argc, argv);
}
