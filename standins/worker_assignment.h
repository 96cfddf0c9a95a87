#pragma once

#include "worker_types.h"

#include <string_view>

namespace standins
{
/// \brief Which pool a worker serves, and whether it takes new work; changed by orders of the control role.
class worker_assignment
{
public:
    /// \param pool pool that is served at first, as generation 0
    explicit worker_assignment(std::string pool);

    /// \brief Carries out \p request; a reboot is only checked.
    /// \param runningJobs jobs that run on the worker
    /// \returns the reason for a refusal: stale_epoch, stale_generation, jobs_running
    auto applyOrder(const poplarpass::platform::order_request &request, int runningJobs, steady_time now)
        -> std::optional<std::string_view>;

    /// \brief Pool that is served.
    [[nodiscard]] auto pool() const -> const std::string &;

    /// \brief Generation of that assignment.
    [[nodiscard]] auto generation() const -> std::uint64_t;

    /// \brief Whether no new work is taken.
    [[nodiscard]] auto isDraining() const -> bool;

    /// \brief Time since the drain order, while draining.
    [[nodiscard]] auto drainingFor(steady_time now) const -> std::optional<std::chrono::milliseconds>;

private:
    auto assign(const poplarpass::platform::order_request &request, int runningJobs) -> std::optional<std::string_view>;

    std::string m_pool;
    std::uint64_t m_generation = 0;
    std::uint64_t m_controlEpoch = 0;
    std::optional<steady_time> m_drainingSince;
};
} // namespace standins
