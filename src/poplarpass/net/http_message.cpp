#include <poplarpass/net/http_message.h>

#include <algorithm>
#include <cctype>
#include <charconv>

namespace poplarpass::net
{
namespace
{
auto lower(char letter) -> char
{
    return static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
}

auto equalNames(std::string_view left, std::string_view right) -> bool
{
    return std::ranges::equal(left, right, {}, lower, lower);
}

auto decodeEscape(std::string_view digits) -> std::optional<char>
{
    unsigned value = 0;
    const auto end = digits.data() + digits.size();
    const auto parsed = std::from_chars(digits.data(), end, value, 16);
    if (digits.size() != 2 || parsed.ptr != end) {
        return std::nullopt;
    }
    return static_cast<char>(value);
}

auto isUnreserved(char letter) -> bool
{
    return std::isalnum(static_cast<unsigned char>(letter)) != 0
        || std::string_view{"-._~"}.find(letter) != std::string_view::npos;
}
} // namespace

auto headerOf(std::span<const http_header> headers, std::string_view name) -> std::string_view
{
    const auto found = std::ranges::find_if(
        headers, [name](const http_header &candidate) { return equalNames(candidate.name, name); });
    return found == headers.end() ? std::string_view{} : std::string_view{found->value};
}

auto valuesOf(std::span<const http_header> headers, std::string_view name) -> std::vector<std::string_view>
{
    std::vector<std::string_view> values;
    for (const auto &field : headers) {
        if (equalNames(field.name, name)) {
            values.emplace_back(field.value);
        }
    }
    return values;
}

auto http_request::header(std::string_view name) const -> std::string_view
{
    return headerOf(headers, name);
}

auto http_request::path() const -> std::string_view
{
    return std::string_view{target}.substr(0, target.find('?'));
}

auto http_request::query(std::string_view name) const -> std::optional<std::string>
{
    const auto question = target.find('?');
    auto rest = question == std::string::npos ? std::string_view{} : std::string_view{target}.substr(question + 1);
    while (!rest.empty()) {
        const auto pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        const auto equals = std::min(pair.find('='), pair.size());
        if (percentDecode(pair.substr(0, equals)) == name) {
            return percentDecode(pair.substr(std::min(pair.size(), equals + 1)));
        }
    }
    return std::nullopt;
}

auto http_response::header(std::string_view name) const -> std::string_view
{
    return headerOf(headers, name);
}

auto makeResponse(int status, std::string body, std::string_view contentType) -> http_response
{
    return {status, {{"Content-Type", std::string{contentType}}}, std::move(body)};
}

auto percentDecode(std::string_view text) -> std::string
{
    std::string decoded;
    decoded.reserve(text.size());
    for (std::size_t index = 0; index < text.size(); ++index) {
        const auto escape = text[index] == '%' ? decodeEscape(text.substr(index + 1, 2)) : std::nullopt;
        if (escape) {
            decoded += *escape;
            index += 2;
        } else {
            decoded += text[index] == '+' ? ' ' : text[index];
        }
    }
    return decoded;
}

auto percentEncode(std::string_view text) -> std::string
{
    static constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char letter : text) {
        if (isUnreserved(letter)) {
            encoded += letter;
            continue;
        }
        const auto value = static_cast<unsigned char>(letter);
        encoded += '%';
        encoded += digits[value >> 4U];
        encoded += digits[value & 0x0FU];
    }
    return encoded;
}
} // namespace poplarpass::net
