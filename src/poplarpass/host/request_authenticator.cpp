#include <poplarpass/host/constants.h>
#include <poplarpass/host/request_authenticator.h>

#include <array>

namespace poplarpass::host
{
auto nameOf(authentication_error error) -> std::string_view
{
    static constexpr std::array<std::string_view, 5> names{"no_key", "bad_credentials", "unknown_key",
                                                           "configuration_unconfirmed", "other_account"};
    return names.at(static_cast<std::size_t>(error));
}

auto refusalResponse(authentication_error error) -> net::http_response
{
    if (error == authentication_error::configuration_unconfirmed) {
        return refusalResponse(503, nameOf(error), retryAfterSeconds);
    }
    if (error == authentication_error::other_account) {
        return plainResponse(403, nameOf(error));
    }
    auto response = plainResponse(401, nameOf(error));
    response.headers.push_back({"WWW-Authenticate", "Bearer"});
    return response;
}

auto authenticate(const accounts::account_table &accounts, bool allowsAnonymous,
                  const std::optional<accounts::key_digest> &key)
    -> tl::expected<jobs::account_id, authentication_error>
{
    if (!key) {
        return allowsAnonymous ? tl::expected<jobs::account_id, authentication_error>{}
                               : tl::unexpected{authentication_error::no_key};
    }
    const auto *account = accounts.find(*key);
    if (account == nullptr) {
        return tl::unexpected{authentication_error::unknown_key};
    }
    return account->limits.name;
}

// An older configuration may lack a key or a route that exists now, so it serves only what needs no key.
auto authenticateAtOwner(const accounts::account_table &accounts, const route::route *matched,
                         const std::optional<accounts::key_digest> &key, bool isConfirmed)
    -> tl::expected<jobs::account_id, authentication_error>
{
    const bool allowsAnonymous = matched != nullptr && matched->allowsAnonymous;
    if (!isConfirmed && (key || !allowsAnonymous)) {
        return tl::unexpected{authentication_error::configuration_unconfirmed};
    }
    return authenticate(accounts, allowsAnonymous, key);
}

auto mayUseJob(const jobs::account_id &caller, const jobs::account_id &jobAccount) -> bool
{
    return jobAccount.empty() || caller == jobAccount;
}
} // namespace poplarpass::host
