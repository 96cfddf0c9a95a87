#include <poplarpass/control/loan_count.h>

#include <algorithm>
#include <functional>

namespace poplarpass::control::internal
{
namespace
{
auto targetPoolOf(const replication::host_state &host) -> const core::pool_id &
{
    return host.movingTo.empty() ? host.pool : host.movingTo;
}

auto countHosts(const planning_view &view, const std::function<bool(const replication::host_state &)> &isCounted) -> int
{
    std::ptrdiff_t count = 0;
    for (const auto &pool : view.pools) {
        count += std::ranges::count_if(pool.hosts, isCounted);
    }
    return static_cast<int>(count);
}
} // namespace

auto isOnLoan(const replication::host_state &host) -> bool
{
    return targetPoolOf(host) != host.description.pool;
}

auto lentCount(const planning_view &view, const core::pool_id &pool) -> int
{
    return countHosts(
        view, [&pool](const replication::host_state &host) { return isOnLoan(host) && host.description.pool == pool; });
}

auto borrowedCount(const planning_view &view, const core::pool_id &pool) -> int
{
    return countHosts(
        view, [&pool](const replication::host_state &host) { return isOnLoan(host) && targetPoolOf(host) == pool; });
}
} // namespace poplarpass::control::internal
