#pragma once

#include <poplarpass/jobs/account_limits.h>

#include <unordered_map>

namespace poplarpass::jobs
{
/// \brief Resources that placed runs reserve, per account over all pools and per account and pool.
///
/// The runs of jobs without an account count under the empty account. All operations take constant time.
class account_usage
{
public:
    /// \brief Adds a run of \p account in \p pool.
    auto add(const account_id &account, const core::pool_id &pool, const resources &need) -> void;

    /// \brief Removes a run that was added before.
    auto remove(const account_id &account, const core::pool_id &pool, const resources &need) -> void;

    /// \brief Returns the usage of \p account over all pools.
    [[nodiscard]] auto usageOf(const account_id &account) const -> resources;

    /// \brief Returns the usage of \p account in \p pool.
    [[nodiscard]] auto usageOf(const account_id &account, const core::pool_id &pool) const -> resources;

private:
    struct entry
    {
        resources total;
        std::unordered_map<core::pool_id, resources> byPool;
    };

    std::unordered_map<account_id, entry> m_entries; ///< Never shrinks: there are as many as accounts had runs.
};
} // namespace poplarpass::jobs
