#pragma once

#include <cstdint>
#include <cstdlib>
#include <string>

/// Helpers shared by the test suites.
namespace tests
{
/// \brief Seed of a test run when POPLARPASS_SEED is not set.
inline constexpr std::uint64_t defaultSeed = 20261203;

/// \brief Returns the seed of this test run, from POPLARPASS_SEED or the default.
inline auto baseSeed() -> std::uint64_t
{
    const char *text = std::getenv("POPLARPASS_SEED");
    return text == nullptr ? defaultSeed : std::stoull(text);
}
} // namespace tests
