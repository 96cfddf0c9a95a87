#include <poplarpass/app/log_lines.h>

#include <cstdio>
#include <string>

namespace poplarpass::app
{
auto valueOf(std::string_view line, std::string_view key) -> std::string_view
{
    const auto prefix = " " + std::string{key} + "=";
    const auto found = line.find(prefix);
    if (found == std::string_view::npos) {
        return {};
    }
    const auto begin = found + prefix.size();
    return line.substr(begin, line.find(' ', begin) - begin);
}

auto parseTimeOfDay(std::string_view line) -> std::optional<std::int64_t>
{
    const auto found = line.find("time=");
    constexpr std::size_t clockOffset = 16;
    constexpr std::size_t clockLength = 12;
    if (found == std::string_view::npos || line.size() < found + clockOffset + clockLength) {
        return std::nullopt;
    }
    const std::string clock{line.substr(found + clockOffset, clockLength)};
    int hour = 0;
    int minute = 0;
    int second = 0;
    int millisecond = 0;
    if (std::sscanf(clock.c_str(), "%2d:%2d:%2d.%3d", &hour, &minute, &second, &millisecond) != 4) {
        return std::nullopt;
    }
    return ((std::int64_t{hour} * 60 + minute) * 60 + second) * 1000 + millisecond;
}
} // namespace poplarpass::app
