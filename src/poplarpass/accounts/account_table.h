#pragma once

#include <poplarpass/accounts/account.h>

#include <cstddef>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace poplarpass::accounts
{
/// \brief The client accounts of a configuration, by key and by name.
class account_table
{
public:
    account_table() = default;

    /// \brief Of several accounts with the same key or name, the first is found.
    explicit account_table(std::span<const accounts::account> accounts);

    /// \brief Returns the account that \p key authenticates, or null.
    [[nodiscard]] auto find(const key_digest &key) const -> const accounts::account *;

    /// \brief Returns the account called \p name, or null.
    [[nodiscard]] auto account(const jobs::account_id &name) const -> const accounts::account *;

    /// \brief Returns all accounts, in the order of the configuration.
    [[nodiscard]] auto all() const -> std::span<const accounts::account>;

    /// \brief Returns the limits of all accounts, in the same order.
    [[nodiscard]] auto limits() const -> std::span<const jobs::account_limits>;

private:
    std::vector<accounts::account> m_accounts;
    std::vector<jobs::account_limits> m_limits;
    std::unordered_map<key_digest, std::size_t> m_byKey; ///< Positions in m_accounts.
    std::unordered_map<std::string, std::size_t> m_byName; ///< Positions in m_accounts.
};
} // namespace poplarpass::accounts
