#include <poplarpass/accounts/credential.h>

#include <algorithm>
#include <cctype>

namespace poplarpass::accounts
{
namespace
{
constexpr std::string_view bearerScheme = "bearer";

auto isBearer(std::string_view scheme) -> bool
{
    return std::ranges::equal(scheme, bearerScheme, {},
                              [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
}

auto isKey(std::string_view text) -> bool
{
    return !text.empty()
        && std::ranges::all_of(text, [](unsigned char character) { return std::isgraph(character) != 0; });
}
} // namespace

auto parseCredential(std::span<const std::string_view> authorization)
    -> tl::expected<std::optional<key_digest>, credential_error>
{
    if (authorization.empty()) {
        return std::nullopt;
    }
    if (authorization.size() > 1) {
        return tl::unexpected{credential_error::duplicated};
    }
    const auto value = authorization.front();
    const auto schemeEnd = value.find(' ');
    if (schemeEnd == std::string_view::npos || !isBearer(value.substr(0, schemeEnd))) {
        return tl::unexpected{credential_error::malformed};
    }
    // RFC 9110 permits several spaces between the scheme and the credential.
    const auto keyBegin = std::min(value.find_first_not_of(' ', schemeEnd), value.size());
    const auto key = value.substr(keyBegin);
    if (!isKey(key)) {
        return tl::unexpected{credential_error::malformed};
    }
    if (key.size() > maxKeyLength) {
        return tl::unexpected{credential_error::too_long};
    }
    return digestOf(key);
}
} // namespace poplarpass::accounts
