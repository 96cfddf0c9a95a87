#include <poplarpass/jobs/pool_shares.h>
#include <poplarpass/jobs/task_placement.h>

namespace poplarpass::jobs::internal
{
namespace
{
constexpr double coreMillisecondsPerCoreSecond = 1e6;
constexpr double thousandthsPerCore = 1e3;

auto multiplied(const resources &need, std::uint32_t count) -> resources
{
    return {need.cpu * count, need.memoryMb * count, need.gpu * count};
}
} // namespace

auto waiting_demand::operator+=(const waiting_demand &other) -> waiting_demand &
{
    startableTasks += other.startableTasks;
    reserved += other.reserved;
    charged += other.charged;
    work += other.work;
    return *this;
}

auto waitingDemandOf(const multistep_job_record &job, core::wall_time now) -> waiting_demand
{
    waiting_demand demand;
    if (job.waiting == 0) {
        return demand;
    }
    for (std::uint32_t occurrence = 0; occurrence < job.spec.occurrences(); ++occurrence) {
        if (job.spec.repeatCount > 0 && job.dueTime(occurrence) > now) {
            break;
        }
        for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
            const auto count = job.waitingOf(occurrence, step);
            if (count == 0) {
                continue;
            }
            const auto &spec = job.spec.steps[step];
            if (!spec.longRunning) {
                demand.work += static_cast<double>(spec.perTask.cpu * spec.estimate.count()) * count
                    / coreMillisecondsPerCoreSecond;
            }
            if (job.areDependenciesDone(occurrence, step)) {
                demand.startableTasks += count;
                demand.reserved += multiplied(requiredResources(spec), count);
                demand.charged += multiplied(spec.perTask, count);
            }
        }
    }
    return demand;
}

auto pool_shares::beginCycle() -> void
{
    for (const auto account : m_seen) {
        const auto *live = m_entries[account].live;
        m_entries[account] = {};
        m_entries[account].live = live;
    }
    m_seen.clear();
    m_total = {};
    m_capacity = {};
    m_isFull = false;
}

auto pool_shares::entryOf(account_number account) -> entry &
{
    if (account >= m_entries.size()) {
        m_entries.resize(account + std::size_t{1});
    }
    auto &found = m_entries[account];
    if (!found.seen) {
        found.seen = true;
        m_seen.push_back(account);
    }
    return found;
}

auto pool_shares::add(account_number account, const waiting_demand &demand) -> void
{
    entryOf(account).waiting += demand;
    m_total += demand;
}

auto pool_shares::addWork(account_number account, double coreSeconds) -> void
{
    entryOf(account).waiting.work += coreSeconds;
}

auto pool_shares::total() const -> const waiting_demand &
{
    return m_total;
}

auto pool_shares::share(const resources &capacity, const account_numbers &accounts,
                        const std::function<const resources *(account_number)> &useOf) -> void
{
    m_capacity = capacity;
    std::vector<share_claim> claims;
    claims.reserve(m_seen.size());
    for (const auto account : m_seen) {
        auto &found = m_entries[account];
        // Found once per account: a search for each account in each cycle costs more than the sharing itself.
        if (found.live == nullptr) {
            found.live = useOf(account);
        }
        found.use = found.live != nullptr ? *found.live : resources{};
        claims.push_back({accounts.limitsOf(account).weight, found.use, found.waiting.charged});
    }
    const auto shares = fairShares(capacity, claims);
    for (std::size_t index = 0; index < m_seen.size(); ++index) {
        auto &found = m_entries[m_seen[index]];
        auto demand = claims[index].use;
        demand += claims[index].waiting;
        const auto wanted = dominantFraction(demand, capacity);
        found.share = shares[index];
        found.shareCores =
            wanted > 0 ? static_cast<double>(demand.cpu) / thousandthsPerCore * found.share / wanted : 0.0;
    }
}

auto pool_shares::isWithin(account_number account) const -> bool
{
    return account < m_entries.size()
        && dominantFraction(m_entries[account].use, m_capacity) < m_entries[account].share;
}

auto pool_shares::isOver(account_number account) const -> bool
{
    return account < m_entries.size() && m_entries[account].share > 0 && !isWithin(account);
}

auto pool_shares::allows(account_number account, const resources &need) const -> bool
{
    return account < m_entries.size() && dominantFraction(need, m_capacity) <= m_entries[account].share;
}

auto pool_shares::addUse(account_number account, const resources &amount) -> void
{
    entryOf(account).use += amount;
}

auto pool_shares::shareCoresOf(account_number account) const -> double
{
    return m_isFull && account < m_entries.size() ? m_entries[account].shareCores : 0.0;
}

auto pool_shares::waitingWorkOf(account_number account) const -> double
{
    return account < m_entries.size() ? m_entries[account].waiting.work : 0.0;
}

auto pool_shares::isFull() const -> bool
{
    return m_isFull;
}

auto pool_shares::setFull(bool full) -> void
{
    m_isFull = full;
}
} // namespace poplarpass::jobs::internal
