#include <poplarpass/capacity/capped_demand.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <limits>

namespace poplarpass::capacity
{
namespace
{
using resource_field = std::int64_t jobs::resources::*;

constexpr std::array<resource_field, 3> fields{&jobs::resources::cpu, &jobs::resources::memoryMb,
                                               &jobs::resources::gpu};

auto times(const jobs::resources &need, std::int64_t count) -> jobs::resources
{
    return {need.cpu * count, need.memoryMb * count, need.gpu * count};
}

/// \brief Returns the share of \p total that fits into \p room, at most 1.
auto fittingShare(const jobs::resources &room, const jobs::resources &total) -> double
{
    double share = 1;
    for (const auto field : fields) {
        if (total.*field > 0) {
            const auto available = static_cast<double>(std::max<std::int64_t>(room.*field, 0));
            share = std::min(share, available / static_cast<double>(total.*field));
        }
    }
    return share;
}
} // namespace

auto startsIn(const jobs::resources &room, const jobs::resources &need) -> std::int64_t
{
    auto count = std::numeric_limits<std::int64_t>::max();
    for (const auto field : fields) {
        if (room.*field < 0) {
            return 0;
        }
        if (need.*field > 0) {
            count = std::min(count, room.*field / (need.*field));
        }
    }
    return count;
}

auto ratePerSecond(std::int64_t work, core::duration window) -> std::int64_t
{
    constexpr std::int64_t millisecondsPerSecond = 1000;
    return work * millisecondsPerSecond / std::chrono::duration_cast<std::chrono::milliseconds>(window).count();
}

capped_demand::capped_demand(const jobs::job_engine &engine)
    : m_engine{engine}
{
}

auto capped_demand::applies(const jobs::account_id &account) const -> bool
{
    const auto *limits = account.empty() ? nullptr : m_engine.limitsOf(account);
    return limits != nullptr && jobs::isLimited(limits->cap);
}

auto capped_demand::addWaiting(const jobs::multistep_job_record &job, const jobs::resources &need, std::int64_t count)
    -> void
{
    m_accounts[job.account].waiting.push_back({job.queue.pool, need, count});
}

auto capped_demand::addOffered(const jobs::account_id &account, const core::pool_id &pool, std::int64_t work) -> void
{
    m_accounts[account].offered[pool] += work;
}

// Rounding leaves room for a few more tasks, which are added in the order of the groups.
auto capped_demand::waitingByPool() const -> std::map<core::pool_id, std::int64_t>
{
    std::map<core::pool_id, std::int64_t> result;
    for (const auto &[account, demand] : m_accounts) {
        auto room = jobs::roomUnder(m_engine.limitsOf(account)->cap, m_engine.accountUsage().usageOf(account));
        jobs::resources total;
        for (const auto &group : demand.waiting) {
            total += times(group.need, group.count);
        }
        const auto share = fittingShare(room, total);
        std::vector<std::int64_t> rest;
        for (const auto &group : demand.waiting) {
            const auto wanted = static_cast<std::int64_t>(static_cast<double>(group.count) * share);
            const auto count = std::min(wanted, startsIn(room, group.need));
            room -= times(group.need, count);
            result[group.pool] += group.need.cpu * count;
            rest.push_back(group.count - count);
        }
        for (std::size_t index = 0; index < rest.size(); ++index) {
            const auto &group = demand.waiting[index];
            const auto count = std::min(rest[index], startsIn(room, group.need));
            room -= times(group.need, count);
            result[group.pool] += group.need.cpu * count;
        }
    }
    return result;
}

cap_rooms::cap_rooms(const jobs::job_engine &engine)
    : m_engine{engine}
{
}

auto cap_rooms::take(const jobs::account_id &account, const jobs::resources &need, std::int64_t count) -> std::int64_t
{
    const auto *limits = account.empty() ? nullptr : m_engine.limitsOf(account);
    if (limits == nullptr || !jobs::isLimited(limits->cap)) {
        return count;
    }
    auto room = m_rooms.find(account);
    if (room == m_rooms.end()) {
        const auto left = jobs::roomUnder(limits->cap, m_engine.accountUsage().usageOf(account));
        room = m_rooms.emplace(account, left).first;
    }
    const auto taken = std::min(count, startsIn(room->second, need));
    room->second -= times(need, taken);
    return taken;
}

auto capped_demand::offeredByPool(core::duration window) const -> std::map<core::pool_id, std::int64_t>
{
    std::map<core::pool_id, std::int64_t> result;
    for (const auto &[account, demand] : m_accounts) {
        std::int64_t total = 0;
        for (const auto &[pool, work] : demand.offered) {
            total += ratePerSecond(work, window);
        }
        const auto cap = m_engine.limitsOf(account)->cap.cpu;
        const double share = cap > 0 && total > cap ? static_cast<double>(cap) / static_cast<double>(total) : 1.0;
        for (const auto &[pool, work] : demand.offered) {
            const auto rate = static_cast<double>(ratePerSecond(work, window));
            result[pool] += static_cast<std::int64_t>(rate * share);
        }
    }
    return result;
}
} // namespace poplarpass::capacity
