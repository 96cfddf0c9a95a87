#pragma once

#include <charconv>
#include <concepts>
#include <optional>
#include <string_view>

namespace poplarpass::core
{
/// \brief Number that \p text is as a whole, in decimal digits; nothing when it is none or does not fit.
template <std::integral number_type>
auto wholeNumber(std::string_view text) -> std::optional<number_type>
{
    number_type number{};
    const auto *const textEnd = text.data() + text.size();
    const auto [end, problem] = std::from_chars(text.data(), textEnd, number);
    return problem == std::errc{} && end == textEnd ? std::optional{number} : std::nullopt;
}
} // namespace poplarpass::core
