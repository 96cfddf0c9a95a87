#pragma once

#include <poplarpass/core/time.h>
#include <poplarpass/jobs/account_limits.h>
#include <poplarpass/jobs/account_usage.h>
#include <poplarpass/jobs/job_spec.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace poplarpass::jobs
{
/// \brief Returns the resources that must be free at once for a task of \p step to start: those of all members for a
/// gang.
auto resourcesToStart(const step_spec &step) -> resources;

/// \brief Returns whether any resource of \p cap has a limit.
auto isLimited(const resources &cap) -> bool;

/// \brief Returns whether \p need is more than \p cap allows at all.
auto exceedsCap(const resources &cap, const resources &need) -> bool;

/// \brief Returns what \p cap leaves beside \p used; unlimited resources are returned as a very large number. A
/// resource is negative when its cap was lowered below the usage.
auto roomUnder(const resources &cap, const resources &used) -> resources;

/// \brief Caps of client accounts: decides which starts they permit, and keeps the order of each account's tasks.
///
/// When a task has to wait for its account's cap, tasks of the account that are ranked after it in its pool and use the
/// scarce resource wait as well, and tasks in other pools leave room for it. Otherwise small tasks would take each
/// resource that becomes free, and a large one would never start. After maxCapHold they wait only while the account
/// uses half of its cap or more.
class account_caps
{
public:
    /// \brief Resources that a task waits for.
    struct scarcity
    {
        bool cpu = false;
        bool memory = false;
        bool gpu = false;
    };

    /// \brief One account and its tasks that wait for the cap.
    struct account
    {
        /// \brief First task of a pool that waits for the cap.
        struct held_start
        {
            resources need; ///< What it needs.
            std::uint64_t position = 0; ///< Position in the order in which the pools began to wait.
            std::uint64_t plan = 0; ///< Plan in which it last waited.
            core::monotonic_time since{}; ///< When the pool began to wait.
        };

        account_limits limits;
        std::map<core::pool_id, held_start> held; ///< Pools in which tasks wait for the cap.
        std::optional<core::monotonic_time> atCapSince; ///< When a start was first held back; reset once it fits.
        resources atCapNeed; ///< What that start needs.
        std::string_view atCapResource; ///< The resource that it lacks.
        bool isTracked = false; ///< Whether it is in m_tracked.

        std::uint64_t pass = 0; ///< Pass for which the following are valid.
        scarcity scarce; ///< What tasks of the pool wait for.
        resources leastNeed; ///< No startable task of the pool needs less.
        std::optional<bool> isExhausted; ///< Result of isExhausted(), once known.
    };

    /// \brief Called with an account that reached its cap (true) or is below it again (false), and the resource.
    using change_observer = std::function<void(const account_id &, bool, std::string_view)>;

    /// \brief Applies the configured accounts. Accounts that are not in \p configured keep their limits.
    /// \returns whether an account was added
    auto update(std::span<const account_limits> configured) -> bool;

    /// \brief Removes all accounts, and with them their limits.
    auto clear() -> void;

    /// \brief Sets whether the caps in effect are known to be current. While they are not, accounts with a cap get no
    /// starts.
    auto setConfirmed(bool confirmed) -> void;

    /// \brief Returns account \p id; null when it was never configured. Valid until clear().
    auto find(const account_id &id) -> account *;
    [[nodiscard]] auto find(const account_id &id) const -> const account *;

    /// \brief Begins a plan.
    auto beginPlan(core::monotonic_time now) -> void;

    /// \brief Begins the part of a plan that concerns one pool.
    auto beginPool() -> void;

    /// \brief Adds a startable job of the pool that needs at least \p need for its next start.
    auto addCandidate(account &entry, const resources &need) const -> void;

    /// \brief Returns whether none of the jobs from addCandidate() can start; cheaper than asking for each of them.
    auto isExhausted(account &entry, const core::pool_id &pool, const account_usage &usage) -> bool;

    /// \brief Returns whether a start that needs \p need is permitted in \p pool, beside \p used of the account.
    ///
    /// Has to be called for the startable tasks of an account in the order of their rank.
    auto permits(account &entry, const core::pool_id &pool, const resources &need, const resources &used) -> bool;

    /// \brief Returns whether a start that needs \p need waits in \p pool for the cap, beside \p used of the account.
    [[nodiscard]] auto isHeldBack(const account &entry, const core::pool_id &pool, const resources &need,
                                  const resources &used) const -> bool;

    /// \brief Records that the start from the last permits() was placed.
    auto onStart(account &entry, const core::pool_id &pool) const -> void;

    /// \brief Returns whether a task that is stopped could start again beside the remaining \p used of the account.
    [[nodiscard]] auto mayRestart(const account &entry, const resources &used) const -> bool;

    /// \brief Ends a plan: reports accounts that have reached their caps, or are below them again.
    auto endPlan(const account_usage &usage, const change_observer &onChange) -> void;

private:
    auto isHeld(account &entry, const core::pool_id &pool, const resources &need, const resources &used) -> bool;
    auto hold(account &entry, const core::pool_id &pool, const resources &need, std::string_view resource) -> void;
    auto beginPass(account &entry) const -> void;
    [[nodiscard]] auto mayOvertake(const account &entry, const resources &used) const -> bool;
    [[nodiscard]] auto roomInPool(const account &entry, const core::pool_id &pool, const resources &used) const
        -> resources;

    std::unordered_map<account_id, account> m_accounts;
    std::vector<account *> m_tracked; ///< Accounts with held starts, or at their cap.
    core::monotonic_time m_now{}; ///< Time of the plan.
    std::uint64_t m_plan = 0;
    std::uint64_t m_pass = 0; ///< Number of the pool's part of the plan.
    std::uint64_t m_positions = 0; ///< Number of positions given to held starts.
    bool m_confirmed = true;
};
} // namespace poplarpass::jobs
