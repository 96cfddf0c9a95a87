#include <poplarpass/request/packed_key.h>
#include <poplarpass/request/uuid7.h>

#include <string>
#include <string_view>

namespace poplarpass::request
{
namespace
{
constexpr std::string_view digits = "0123456789abcdef";
constexpr std::string_view zeroUuid = "00000000-0000-0000-0000-000000000000";
constexpr unsigned millisecondShift = 16;
constexpr int digitsPerHalf = 16;
} // namespace

auto packKey(const core::job_key &key) -> core::result<packed_key>
{
    const auto minted = mintTimeOf(key.str());
    if (!minted) {
        return tl::make_unexpected(minted.error());
    }
    packed_key packed;
    int count = 0;
    for (const char digit : key.str()) {
        if (digit == '-') {
            continue;
        }
        auto &half = count < digitsPerHalf ? packed.high : packed.low;
        half = (half << 4U) | static_cast<std::uint64_t>(digits.find(digit));
        ++count;
    }
    return packed;
}

auto unpackKey(const packed_key &packed) -> core::job_key
{
    std::string text{zeroUuid};
    int count = 0;
    for (auto &character : text) {
        if (character == '-') {
            continue;
        }
        const auto half = count < digitsPerHalf ? packed.high : packed.low;
        const auto shift = 4U * static_cast<unsigned>(digitsPerHalf - 1 - count % digitsPerHalf);
        character = digits[(half >> shift) & 0xFU];
        ++count;
    }
    return core::job_key{text};
}

auto mintTimeOf(const packed_key &key) -> core::wall_time
{
    return core::fromUnixMilliseconds(static_cast<std::int64_t>(key.high >> millisecondShift));
}
} // namespace poplarpass::request
