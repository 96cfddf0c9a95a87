#pragma once

#include <poplarpass/jobs/job_spec.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// Which queue a request belongs to, by the configuration in force.
namespace poplarpass::route
{
/// \brief One route: requests for a name and a path prefix go to a queue.
struct route
{
    std::string hostName; ///< Host name that callers ask for, in lower case.
    std::string pathPrefix; ///< Prefix of the path.
    std::chrono::milliseconds timeout{0}; ///< Time for an answer.
    jobs::queue_policy queue; ///< The queue.

    auto operator==(const route &) const -> bool = default;
};

/// \brief One pool of the configuration.
struct pool_config
{
    core::pool_id name; ///< The pool.
    bool enforcesCapacity = true; ///< Whether its workers reject what does not fit.
    bool standby = false; ///< Whether its hosts are off.

    auto operator==(const pool_config &) const -> bool = default;
};

/// \brief The operator's configuration.
struct route_config
{
    std::uint64_t version = 0; ///< Greater in each newer configuration.
    std::vector<route> routes; ///< All routes.
    std::vector<pool_config> pools; ///< All pools.
    std::uint64_t maxBodyBytes = 262144; ///< Longest request body.
};

/// \brief The part of a path after the prefix of its route, and the route.
struct route_match
{
    const route *matched = nullptr; ///< The route; null when none fits.
    std::string_view rest; ///< What follows the prefix.
};

/// \brief The newest configuration; an older one never replaces it.
class route_table
{
public:
    /// \brief Takes \p config if it is newer than what is in force.
    /// \returns whether it was taken
    auto update(route_config config) -> bool;

    /// \brief Route of a request: its host name, and the longest prefix of its path.
    [[nodiscard]] auto match(std::string_view hostName, std::string_view path) const -> route_match;

    /// \brief Configuration in force; version 0 before the first.
    [[nodiscard]] auto config() const -> const route_config &;

private:
    route_config m_config;
};
} // namespace poplarpass::route
