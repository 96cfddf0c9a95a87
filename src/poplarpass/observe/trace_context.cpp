#include <poplarpass/observe/tracer.h>

#include <algorithm>
#include <span>

namespace poplarpass::observe
{
namespace internal
{
// version "-" trace id "-" span id "-" flags
constexpr std::size_t traceIdStart = 3;
constexpr std::size_t spanIdStart = 36;
constexpr std::size_t flagsStart = 53;
constexpr std::size_t headerLength = 55;
constexpr std::uint8_t sampledFlag = 1;
constexpr std::string_view hexDigits = "0123456789abcdef";

auto toHex(std::span<const std::uint8_t> bytes) -> std::string
{
    std::string text;
    for (const auto byte : bytes) {
        text += hexDigits[byte >> 4U];
        text += hexDigits[byte & 15U];
    }
    return text;
}

// The specification allows lower-case digits only.
auto fromHex(std::string_view text, std::span<std::uint8_t> bytes) -> bool
{
    for (std::size_t index = 0; index < bytes.size(); ++index) {
        const auto high = hexDigits.find(text[2 * index]);
        const auto low = hexDigits.find(text[2 * index + 1]);
        if (high == std::string_view::npos || low == std::string_view::npos) {
            return false;
        }
        bytes[index] = static_cast<std::uint8_t>(high * 16 + low);
    }
    return true;
}

auto isZero(std::span<const std::uint8_t> bytes) -> bool
{
    return std::ranges::all_of(bytes, [](auto byte) { return byte == 0; });
}

// Later versions may append fields after the flags, version 00 may not.
auto isWellFormed(std::string_view header) -> bool
{
    if (header.size() < headerLength || header.substr(0, 2) == "ff") {
        return false;
    }
    if (header.substr(0, 2) == "00" ? header.size() != headerLength
                                    : header.size() > headerLength && header[headerLength] != '-') {
        return false;
    }
    return header[2] == '-' && header[spanIdStart - 1] == '-' && header[flagsStart - 1] == '-';
}
} // namespace internal

auto parseTraceparent(std::string_view header) -> std::optional<trace_context>
{
    if (!internal::isWellFormed(header)) {
        return std::nullopt;
    }
    trace_context context;
    std::array<std::uint8_t, 1> version{};
    std::array<std::uint8_t, 1> flags{};
    const bool isHex = internal::fromHex(header, version)
        && internal::fromHex(header.substr(internal::traceIdStart), context.traceId)
        && internal::fromHex(header.substr(internal::spanIdStart), context.spanId)
        && internal::fromHex(header.substr(internal::flagsStart), flags);
    if (!isHex || internal::isZero(context.traceId) || internal::isZero(context.spanId)) {
        return std::nullopt;
    }
    context.sampled = (flags[0] & internal::sampledFlag) != 0;
    return context;
}

auto formatTraceparent(const trace_context &context) -> std::string
{
    return "00-" + internal::toHex(context.traceId) + "-" + internal::toHex(context.spanId)
        + (context.sampled ? "-01" : "-00");
}
} // namespace poplarpass::observe
