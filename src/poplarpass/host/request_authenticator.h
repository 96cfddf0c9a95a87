#pragma once

#include <poplarpass/accounts/account_table.h>
#include <poplarpass/host/client_request.h>
#include <poplarpass/route/route_table.h>

#include <tl/expected.hpp>

#include <cstdint>
#include <optional>
#include <string_view>

namespace poplarpass::host
{
/// \brief Why a request is refused on account of its key. Such a request has no effect.
enum class authentication_error : std::uint8_t {
    no_key, ///< It has no key, and its route requires one.
    bad_credentials, ///< Its Authorization header cannot be read.
    unknown_key, ///< No account has its key.
    configuration_unconfirmed, ///< A newer configuration may have removed its key.
    other_account, ///< Its job belongs to another account.
};

/// \brief Returns the name of \p error in responses, logs and metrics.
auto nameOf(authentication_error error) -> std::string_view;

/// \brief Returns the response to a request that is refused because of \p error.
auto refusalResponse(authentication_error error) -> net::http_response;

/// \brief Finds the account of a request.
/// \param allowsAnonymous whether the route of the request requires no key
/// \returns the account; an empty name for an anonymous request
auto authenticate(const accounts::account_table &accounts, bool allowsAnonymous,
                  const std::optional<accounts::key_digest> &key)
    -> tl::expected<jobs::account_id, authentication_error>;

/// \brief Finds the account of a request at the owner, whose decision is final.
/// \param matched route of the request; null if there is none
/// \param isConfirmed whether the configuration that \p accounts belongs to is confirmed
auto authenticateAtOwner(const accounts::account_table &accounts, const route::route *matched,
                         const std::optional<accounts::key_digest> &key, bool isConfirmed)
    -> tl::expected<jobs::account_id, authentication_error>;

/// \brief Returns whether \p caller may read, cancel or repeat a job of the account \p jobAccount.
auto mayUseJob(const jobs::account_id &caller, const jobs::account_id &jobAccount) -> bool;
} // namespace poplarpass::host
