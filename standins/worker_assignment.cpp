#include "worker_assignment.h"

namespace standins
{
using poplarpass::platform::order_request;
using poplarpass::platform::worker_order;

worker_assignment::worker_assignment(std::string pool)
    : m_pool{std::move(pool)}
{
}

auto worker_assignment::applyOrder(const order_request &request, int runningJobs, steady_time now)
    -> std::optional<std::string_view>
{
    if (request.controlEpoch < m_controlEpoch) {
        return "stale_epoch";
    }
    m_controlEpoch = request.controlEpoch;
    if (request.order == worker_order::assign) {
        return assign(request, runningJobs);
    }
    if (request.order == worker_order::reboot) {
        return runningJobs > 0 ? std::optional<std::string_view>{"jobs_running"} : std::nullopt;
    }
    if (request.order == worker_order::undrain) {
        m_drainingSince.reset();
    } else if (!m_drainingSince) {
        m_drainingSince = now;
    }
    return std::nullopt;
}

// Repeating the current assignment succeeds without effect, so that an order can be retried after a lost response.
auto worker_assignment::assign(const order_request &request, int runningJobs) -> std::optional<std::string_view>
{
    if (request.pool.str() == m_pool && request.generation == m_generation) {
        return std::nullopt;
    }
    if (request.generation <= m_generation) {
        return "stale_generation";
    }
    if (runningJobs > 0) {
        return "jobs_running";
    }
    m_pool = request.pool.str();
    m_generation = request.generation;
    return std::nullopt;
}

auto worker_assignment::pool() const -> const std::string &
{
    return m_pool;
}

auto worker_assignment::generation() const -> std::uint64_t
{
    return m_generation;
}

auto worker_assignment::isDraining() const -> bool
{
    return m_drainingSince.has_value();
}

auto worker_assignment::drainingFor(steady_time now) const -> std::optional<std::chrono::milliseconds>
{
    if (!m_drainingSince) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - *m_drainingSince);
}
} // namespace standins
