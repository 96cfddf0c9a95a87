#pragma once

#include "worker_types.h"

#include <unordered_map>

namespace standins
{
/// \brief Lease grants of one worker; every grant has an expiry of its own.
class worker_leases
{
public:
    /// \param term time from a grant to its lapse
    explicit worker_leases(std::chrono::milliseconds term);

    /// \brief Gives a new grant at \p now.
    auto grant(steady_time now) -> std::uint64_t;

    /// \brief Whether \p grantId was given, not revoked, and has not lapsed at \p now.
    [[nodiscard]] auto isValid(std::uint64_t grantId, steady_time now) const -> bool;

    /// \brief Revokes every grant.
    auto revokeAll() -> void;

private:
    std::chrono::milliseconds m_term;
    std::unordered_map<std::uint64_t, steady_time> m_expiries;
    std::uint64_t m_lastId = 0;
};
} // namespace standins
