#pragma once

#include <poplarpass/jobs/account_limits.h>

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace poplarpass::jobs::internal
{
/// \brief Number of an account in this process; 0 for jobs without an account.
using account_number = std::uint32_t;

/// \brief Small consecutive numbers for accounts, so that planning cycles index vectors instead of hashing names.
class account_numbers
{
public:
    account_numbers();

    /// \brief Applies the configured accounts. Others keep their last weight, or weight 1.
    auto update(std::span<const account_limits> accounts) -> void;

    /// \brief Returns the number of \p account; adds it when it has none.
    auto numberOf(const account_id &account) -> account_number;

    /// \brief Returns the number of \p account; 0 when it has none.
    [[nodiscard]] auto find(const account_id &account) const -> account_number;

    /// \brief Returns the last known limits of an account.
    [[nodiscard]] auto limitsOf(account_number number) const -> const account_limits &;

    /// \brief Returns the numbers of the configured accounts.
    [[nodiscard]] auto configured() const -> std::span<const account_number>;

    /// \brief Returns whether any account is configured.
    [[nodiscard]] auto isAnyConfigured() const -> bool;

private:
    std::unordered_map<account_id, account_number> m_numbers; ///< Never shrinks, as the numbers are kept by jobs.
    std::vector<account_limits> m_limits; ///< By number.
    std::vector<account_number> m_configured;
};
} // namespace poplarpass::jobs::internal
