#pragma once

#include <poplarpass/jobs/job_engine.h>

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace poplarpass::capacity
{
/// \brief Returns the rate of \p work, thousandths of core-seconds, over \p window.
auto ratePerSecond(std::int64_t work, core::duration window) -> std::int64_t;

/// \brief Returns how many starts that need \p need fit into \p room.
auto startsIn(const jobs::resources &room, const jobs::resources &need) -> std::int64_t;

/// \brief Demand of accounts with a cap, limited to what their caps leave.
class capped_demand
{
public:
    explicit capped_demand(const jobs::job_engine &engine);

    /// \brief Returns whether the demand of \p account has to be limited.
    [[nodiscard]] auto applies(const jobs::account_id &account) const -> bool;

    /// \brief Adds waiting tasks of \p job that need \p need for each of \p count starts.
    auto addWaiting(const jobs::multistep_job_record &job, const jobs::resources &need, std::int64_t count) -> void;

    /// \brief Adds work of \p account that arrived for \p pool, thousandths of core-seconds.
    auto addOffered(const jobs::account_id &account, const core::pool_id &pool, std::int64_t work) -> void;

    /// \brief Returns by pool the processor time of the waiting tasks that fit under the caps, thousandths of a core.
    ///
    /// What a cap leaves is divided between pools in proportion to the account's waiting tasks; only whole tasks count.
    [[nodiscard]] auto waitingByPool() const -> std::map<core::pool_id, std::int64_t>;

    /// \brief Returns by pool the rate of the work that arrived within \p window, thousandths of a core; in all pools
    /// together, no more than the account's cap.
    [[nodiscard]] auto offeredByPool(core::duration window) const -> std::map<core::pool_id, std::int64_t>;

private:
    struct waiting_group
    {
        core::pool_id pool;
        jobs::resources need; ///< Of one start.
        std::int64_t count = 0;
    };

    struct account_demand
    {
        std::vector<waiting_group> waiting;
        std::map<core::pool_id, std::int64_t> offered;
    };

    const jobs::job_engine &m_engine;
    std::unordered_map<jobs::account_id, account_demand> m_accounts;
};

/// \brief What the caps of accounts leave for tasks that wait, less the tasks that were counted.
class cap_rooms
{
public:
    explicit cap_rooms(const jobs::job_engine &engine);

    /// \brief Counts those of \p count starts of \p account that its cap permits; all of them without a cap.
    /// \param need resources of one start
    auto take(const jobs::account_id &account, const jobs::resources &need, std::int64_t count) -> std::int64_t;

private:
    const jobs::job_engine &m_engine;
    std::unordered_map<jobs::account_id, jobs::resources> m_rooms;
};
} // namespace poplarpass::capacity
