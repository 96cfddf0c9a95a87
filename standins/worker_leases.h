#pragma once

#include "worker_types.h"

#include <unordered_map>

namespace standins
{
/// \brief Lease grants of one worker, each with its own expiry.
class worker_leases
{
public:
    /// \param term time from a grant to its expiry
    explicit worker_leases(std::chrono::milliseconds term);

    /// \brief Issues a new grant at \p now.
    /// \returns id of the grant
    auto grant(steady_time now) -> std::uint64_t;

    /// \brief Returns whether \p grantId was issued, is not revoked and has not expired at \p now.
    [[nodiscard]] auto isValid(std::uint64_t grantId, steady_time now) const -> bool;

    auto revokeAll() -> void;

private:
    std::chrono::milliseconds m_term;
    std::unordered_map<std::uint64_t, steady_time> m_expiries;
    std::uint64_t m_lastId = 0;
};
} // namespace standins
