#pragma once

#include <poplarpass/jobs/account_numbers.h>
#include <poplarpass/jobs/fair_shares.h>
#include <poplarpass/jobs/job_state.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <vector>

namespace poplarpass::jobs::internal
{
/// \brief Waiting tasks of a job or an account.
struct waiting_demand
{
    std::uint32_t startableTasks = 0; ///< Waiting tasks of steps that may start.
    resources reserved; ///< What workers reserve for those.
    resources charged; ///< What the account is charged for those.
    double work = 0; ///< Estimated processor time of all waiting tasks that are due, core seconds.

    auto operator+=(const waiting_demand &other) -> waiting_demand &;
};

/// \brief Returns the waiting tasks of \p job; occurrences that are not due do not count.
auto waitingDemandOf(const multistep_job_record &job, core::wall_time now) -> waiting_demand;

/// \brief Accounts of one pool: their waiting demand and, while not all of it fits, their shares.
class pool_shares
{
public:
    /// \brief Clears what the last planning cycle found.
    auto beginCycle() -> void;

    /// \brief Adds waiting tasks of an account.
    auto add(account_number account, const waiting_demand &demand) -> void;

    /// \brief Adds waiting work that arrived after the last planning cycle.
    auto addWork(account_number account, double coreSeconds) -> void;

    /// \brief Returns the waiting demand of all accounts.
    [[nodiscard]] auto total() const -> const waiting_demand &;

    /// \brief Computes the share of each account that was added.
    /// \param useOf returns the resources of an account's runs in the pool, kept up to date; null while it had none
    auto share(const resources &capacity, const account_numbers &accounts,
               const std::function<const resources *(account_number)> &useOf) -> void;

    /// \brief Returns whether \p account uses less than its share.
    [[nodiscard]] auto isWithin(account_number account) const -> bool;

    /// \brief Returns whether \p account has a share and uses at least that much.
    [[nodiscard]] auto isOver(account_number account) const -> bool;

    /// \brief Returns whether the share of \p account is at least \p need.
    [[nodiscard]] auto allows(account_number account, const resources &need) const -> bool;

    /// \brief Adds a run to the use of \p account.
    auto addUse(account_number account, const resources &amount) -> void;

    /// \brief Returns the processor time that the share of \p account provides, cores; 0 while all tasks fit.
    [[nodiscard]] auto shareCoresOf(account_number account) const -> double;

    /// \brief Returns the estimated waiting work of \p account, core seconds.
    [[nodiscard]] auto waitingWorkOf(account_number account) const -> double;

    /// \brief Returns whether the last cycle found more waiting demand than the pool had room for.
    [[nodiscard]] auto isFull() const -> bool;
    auto setFull(bool full) -> void;

private:
    struct entry
    {
        bool seen = false; ///< Whether the account was added in this cycle.
        waiting_demand waiting;
        resources use;
        const resources *live = nullptr; ///< Use as the engine counts it; null until there was any.
        double share = 0; ///< Dominant fraction of the pool.
        double shareCores = 0;
    };

    auto entryOf(account_number account) -> entry &;

    std::vector<entry> m_entries; ///< By account number.
    std::vector<account_number> m_seen;
    waiting_demand m_total;
    resources m_capacity;
    bool m_isFull = false;
};
} // namespace poplarpass::jobs::internal
