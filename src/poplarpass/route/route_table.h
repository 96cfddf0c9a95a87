#pragma once

#include <poplarpass/accounts/account.h>
#include <poplarpass/accounts/account_table.h>
#include <poplarpass/jobs/job_spec.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Routing of requests to queues by the configuration in force.
namespace poplarpass::route
{
/// \brief Maps requests with a host name and a path prefix to a queue.
struct route
{
    std::string hostName; ///< Requested host name, in lower case.
    std::string pathPrefix; ///< Path prefix.
    std::chrono::milliseconds timeout{0}; ///< Time limit for an answer.
    jobs::queue_policy queue; ///< Target queue.
    bool allowsAnonymous = false; ///< Whether requests need no key where accounts are enabled.

    auto operator==(const route &) const -> bool = default;
};

/// \brief Configuration of one pool.
struct pool_config
{
    core::pool_id name; ///< Pool name.
    bool enforcesCapacity = true; ///< Whether workers of the pool reject tasks that exceed their capacity.
    bool standby = false; ///< Whether hosts of the pool are powered off.

    auto operator==(const pool_config &) const -> bool = default;
};

/// \brief Routing configuration published by the operator.
struct route_config
{
    std::uint64_t version = 0; ///< Version; increases with each configuration.
    std::vector<route> routes;
    std::vector<pool_config> pools;
    std::optional<std::vector<accounts::account>> accounts; ///< Client accounts; nothing when accounts are disabled.
    std::uint64_t maxBodyBytes = 262144; ///< Maximum size of a request body.
};

/// \brief Result of matching a request: its route, and the path after the prefix.
struct route_match
{
    const route *matched = nullptr; ///< Matched route; null when there is none.
    std::string_view rest; ///< Path after the prefix.
};

/// \brief Routing table of the newest configuration; never reverts to an older one.
class route_table
{
public:
    /// \brief Applies \p config if it is newer than the configuration in force.
    /// \returns whether it was applied
    auto update(route_config config) -> bool;

    /// \brief Returns the route with the requested host name and the longest matching path prefix.
    /// \param hostName case-insensitive; a port is ignored
    [[nodiscard]] auto match(std::string_view hostName, std::string_view path) const -> route_match;

    /// \brief Returns the configuration in force; its version is 0 before the first update.
    [[nodiscard]] auto config() const -> const route_config &;

    /// \brief Returns the client accounts of the configuration in force; null while accounts are disabled.
    [[nodiscard]] auto accounts() const -> const accounts::account_table *;

private:
    route_config m_config;
    accounts::account_table m_accounts;
};
} // namespace poplarpass::route
