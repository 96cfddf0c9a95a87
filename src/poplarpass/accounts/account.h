#pragma once

#include <poplarpass/accounts/key_digest.h>
#include <poplarpass/jobs/account_limits.h>

#include <vector>

namespace poplarpass::accounts
{
/// \brief A client account of the operator's configuration.
struct account
{
    jobs::account_limits limits; ///< Name, weight and cap.
    std::vector<key_digest> keys; ///< Digests of the keys that authenticate it; may be empty.

    auto operator==(const account &) const -> bool = default;
};
} // namespace poplarpass::accounts
