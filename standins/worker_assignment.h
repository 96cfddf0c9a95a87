#pragma once

#include "worker_types.h"

#include <string_view>

namespace standins
{
/// \brief Pool assignment and drain state of a worker, changed by orders of the control role.
class worker_assignment
{
public:
    /// \param pool initial pool, as generation 0
    explicit worker_assignment(std::string pool);

    /// \brief Applies \p request; a reboot order is only checked.
    /// \param runningJobs number of jobs running on the worker
    /// \returns nothing if accepted, else the reason: stale_epoch, stale_generation or jobs_running
    auto applyOrder(const poplarpass::platform::order_request &request, int runningJobs, steady_time now)
        -> std::optional<std::string_view>;

    [[nodiscard]] auto pool() const -> const std::string &;

    /// \brief Returns the generation of the assignment.
    [[nodiscard]] auto generation() const -> std::uint64_t;

    /// \brief Returns whether new tasks are refused because of a drain order.
    [[nodiscard]] auto isDraining() const -> bool;

    /// \brief Returns the time since the drain order, or nothing if not draining.
    [[nodiscard]] auto drainingFor(steady_time now) const -> std::optional<std::chrono::milliseconds>;

private:
    auto assign(const poplarpass::platform::order_request &request, int runningJobs) -> std::optional<std::string_view>;

    std::string m_pool;
    std::uint64_t m_generation = 0;
    std::uint64_t m_controlEpoch = 0;
    std::optional<steady_time> m_drainingSince;
};
} // namespace standins
