#include <poplarpass/request/uuid7.h>

#include <array>
#include <cstdint>
#include <string>

namespace poplarpass::request
{
namespace
{
constexpr std::size_t textLength = 36;
constexpr std::size_t versionIndex = 14;
constexpr std::size_t variantIndex = 19;
constexpr std::size_t timeDigits = 13; // 12 hexadecimal digits and the first dash
constexpr std::array<std::size_t, 4> dashes{8, 13, 18, 23};

auto isDash(std::size_t index) -> bool
{
    for (const auto dash : dashes) {
        if (dash == index) {
            return true;
        }
    }
    return false;
}

// Upper-case digits are rejected: the same UUID in two spellings would be two keys.
auto digitValue(char digit) -> int
{
    if (digit >= '0' && digit <= '9') {
        return digit - '0';
    }
    if (digit >= 'a' && digit <= 'f') {
        return digit - 'a' + 10;
    }
    return -1;
}

auto isCanonicalUuid7(std::string_view text) -> bool
{
    if (text.size() != textLength) {
        return false;
    }
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (isDash(index) ? text[index] != '-' : digitValue(text[index]) < 0) {
            return false;
        }
    }
    return text[versionIndex] == '7' && (digitValue(text[variantIndex]) & 0b1100) == 0b1000;
}
} // namespace

auto mintTimeOf(std::string_view text) -> core::result<core::wall_time>
{
    if (!isCanonicalUuid7(text)) {
        return core::failure(core::error_kind::invalid_request, "the idempotency key is not a lower-case UUIDv7");
    }
    std::int64_t milliseconds = 0;
    for (std::size_t index = 0; index < timeDigits; ++index) {
        if (!isDash(index)) {
            milliseconds = milliseconds * 16 + digitValue(text[index]);
        }
    }
    return core::fromUnixMilliseconds(milliseconds);
}

auto makeUuid7(core::wall_time time, std::mt19937_64 &random) -> core::job_key
{
    static constexpr std::string_view digits = "0123456789abcdef";
    static constexpr std::string_view variants = "89ab";
    const auto milliseconds = static_cast<std::uint64_t>(core::toUnixMilliseconds(time));
    std::string text(textLength, '-');
    unsigned shift = 48;
    for (std::size_t index = 0; index < textLength; ++index) {
        if (isDash(index)) {
            continue;
        }
        if (shift > 0) {
            shift -= 4;
            text[index] = digits[(milliseconds >> shift) & 0xFU];
        } else {
            text[index] = digits[random() & 0xFU];
        }
    }
    text[versionIndex] = '7';
    text[variantIndex] = variants[random() & 3U];
    return core::job_key{text};
}
} // namespace poplarpass::request
