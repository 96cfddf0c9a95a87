#include "response_length.h"

#include <charconv>

namespace standins::internal
{
namespace
{
constexpr std::string_view lengthHeader = "\r\nContent-Length: ";
constexpr std::string_view headerEnd = "\r\n\r\n";
} // namespace

auto responseLength(std::string_view bytes) -> std::optional<std::size_t>
{
    const auto end = bytes.find(headerEnd);
    const auto field = bytes.find(lengthHeader);
    if (end == std::string_view::npos || field == std::string_view::npos || field > end) {
        return std::nullopt;
    }
    std::size_t length = 0;
    std::from_chars(bytes.data() + field + lengthHeader.size(), bytes.data() + end, length);
    const auto total = end + headerEnd.size() + length;
    return bytes.size() < total ? std::nullopt : std::optional{total};
}
} // namespace standins::internal
