#include <poplarpass/codec/cbor_depth.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace poplarpass::codec::internal
{
namespace
{
constexpr unsigned majorShift = 5;
constexpr std::uint8_t infoMask = 0x1F;
constexpr std::uint8_t firstWideInfo = 24;
constexpr std::uint8_t lastWideInfo = 27;

enum major_type : std::uint8_t {
    byte_string = 2,
    text_string = 3,
    array = 4,
    map = 5,
    tag = 6,
};

// Decodes the argument of an item head and advances position past its bytes.
auto readArgument(std::string_view bytes, std::size_t &position, std::uint8_t info) -> std::optional<std::uint64_t>
{
    if (info < firstWideInfo) {
        return info;
    }
    const std::size_t width = std::size_t{1} << (info - firstWideInfo);
    if (info > lastWideInfo || bytes.size() - position < width) {
        return std::nullopt;
    }
    std::uint64_t value = 0;
    for (std::size_t index = 0; index < width; ++index) {
        value = (value << 8U) | static_cast<std::uint8_t>(bytes[position + index]);
    }
    position += width;
    return value;
}

// Closes each container whose items have all been read. remaining counts the items left in each open container, the
// outermost first.
auto closeCompleted(std::vector<std::uint64_t> &remaining) -> void
{
    while (!remaining.empty() && remaining.back() == 0) {
        remaining.pop_back();
        if (!remaining.empty()) {
            --remaining.back();
        }
    }
}
} // namespace

// The CBOR parser of nlohmann::json is recursive, so a deeply nested message would exhaust the stack. It also throws on
// a declared count that is far too large, even with exceptions disabled.
auto cborDepthWithin(std::string_view bytes, std::size_t limit) -> bool
{
    std::vector<std::uint64_t> remaining{1};
    std::size_t position = 0;
    while (!remaining.empty() && position < bytes.size()) {
        const auto initial = static_cast<std::uint8_t>(bytes[position]);
        ++position;
        const auto type = initial >> majorShift;
        const std::uint8_t info = initial & infoMask;
        if (info > lastWideInfo) {
            return false;
        }
        const auto argument = readArgument(bytes, position, info);
        if (!argument) {
            return true;
        }
        if (type == array || type == map || type == tag) {
            if (remaining.size() > limit || (type != tag && *argument > bytes.size() - position)) {
                return false;
            }
            remaining.push_back(type == tag ? 1 : *argument * (type == map ? 2 : 1));
            closeCompleted(remaining);
            continue;
        }
        if (type == byte_string || type == text_string) {
            if (*argument > bytes.size() - position) {
                return true;
            }
            position += *argument;
        }
        --remaining.back();
        closeCompleted(remaining);
    }
    return true;
}
} // namespace poplarpass::codec::internal
