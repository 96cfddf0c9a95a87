#pragma once

#include <charconv>
#include <concepts>
#include <optional>
#include <string_view>

namespace poplarpass::core
{
/// \brief Parses all of \p text as a decimal integer; none when it is not one or is out of range.
template <std::integral number_type>
auto parseInteger(std::string_view text) -> std::optional<number_type>
{
    number_type number{};
    const auto *const textEnd = text.data() + text.size();
    const auto [end, problem] = std::from_chars(text.data(), textEnd, number);
    return problem == std::errc{} && end == textEnd ? std::optional{number} : std::nullopt;
}
} // namespace poplarpass::core
