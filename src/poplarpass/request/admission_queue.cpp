#include <poplarpass/request/admission_queue.h>
#include <poplarpass/request/constants.h>

#include <algorithm>
#include <cassert>
#include <cmath>

namespace poplarpass::request
{
namespace
{
auto toSeconds(core::duration time) -> double
{
    return std::chrono::duration<double>(time).count();
}

auto fromSeconds(double seconds) -> core::duration
{
    return std::chrono::duration_cast<core::duration>(std::chrono::duration<double>(seconds));
}

auto indexOf(urgency level) -> std::size_t
{
    return static_cast<std::size_t>(level);
}

// The minimum cost keeps a team from queueing an unlimited number of jobs that it declares as instant.
auto costOf(core::duration expected) -> double
{
    return std::max(toSeconds(expected), minJobCost);
}

auto isLongJob(core::duration expected) -> bool
{
    return expected > urgentStartBound;
}

auto rejectionError(core::error_kind kind, core::duration retryAfter, std::string detail) -> core::error
{
    return core::error{kind, std::move(detail), std::max<core::duration>(retryAfter, minRetryAfter)};
}
} // namespace

admission_queue::admission_queue(std::size_t maxQueued)
    : m_maxQueued{maxQueued}
{
}

auto admission_queue::setTeamShare(const core::team_id &team, team_share share) -> void
{
    const auto index = teamIndex(team);
    m_teams[index].share = share;
    for (auto &level : m_levels) {
        level.setWeight(index, share.weight);
    }
    updateCapped(index);
}

auto admission_queue::setCapacity(int slots) -> void
{
    m_capacity = slots;
}

auto admission_queue::setExpectedSlotWait(core::duration wait) -> void
{
    m_expectedSlotWait = wait;
}

auto admission_queue::submit(const admission_request &job, core::monotonic_time now) -> core::result<void>
{
    assert(!m_jobs.contains(job.ticket));
    const auto index = teamIndex(job.team);
    auto &team = m_teams[index];
    if (auto rejection = checkAdmission(job, team, now)) {
        return tl::make_unexpected(std::move(*rejection));
    }
    m_urgentReceived = m_urgentReceived || job.level == urgency::urgent;
    m_jobs.emplace(job.ticket, admitted_job{index, job.level, false, false, job.expected, job.deadline, now});
    auto &level = m_levels[indexOf(job.level)];
    if (level.size() == 0) {
        const auto other = job.level == urgency::batch ? urgency::normal : urgency::batch;
        m_servedCost[indexOf(job.level)] = std::max(m_servedCost[indexOf(job.level)], m_servedCost[indexOf(other)]);
    }
    level.push(index, job.ticket, costOf(job.expected));
    ++team.queued;
    ++m_queued;
    if (job.deadline != noDeadline) {
        m_deadlines.emplace(job.deadline, job.ticket);
    }
    return {};
}

auto admission_queue::next(int freeSlots, core::monotonic_time now) -> std::optional<ticket_id>
{
    const auto level = selectLevel(freeSlots);
    if (!level) {
        return std::nullopt;
    }
    const auto ticket = m_levels[indexOf(*level)].pop();
    auto &job = m_jobs.at(*ticket);
    start(*ticket, job, now);
    return ticket;
}

auto admission_queue::requeue(ticket_id ticket, core::monotonic_time now) -> void
{
    const auto found = m_jobs.find(ticket);
    if (found == m_jobs.end() || !found->second.isRunning) {
        return;
    }
    auto &job = found->second;
    releaseSlot(job);
    job.isRunning = false;
    job.stateSince = now;
    m_levels[indexOf(job.level)].pushFront(job.team, ticket, costOf(job.expected));
    ++m_teams[job.team].queued;
    ++m_queued;
    if (job.deadline != noDeadline) {
        m_deadlines.emplace(job.deadline, ticket);
    }
}

auto admission_queue::finished(ticket_id ticket) -> void
{
    const auto found = m_jobs.find(ticket);
    if (found == m_jobs.end() || !found->second.isRunning) {
        return;
    }
    releaseSlot(found->second);
    m_jobs.erase(found);
}

auto admission_queue::cancel(ticket_id ticket) -> bool
{
    const auto found = m_jobs.find(ticket);
    if (found == m_jobs.end() || found->second.isRunning) {
        return false;
    }
    removeFromQueue(ticket, found->second);
    m_jobs.erase(found);
    return true;
}

auto admission_queue::expire(core::monotonic_time now) -> std::vector<ticket_id>
{
    std::vector<ticket_id> expired;
    while (!m_deadlines.empty() && m_deadlines.top().first <= now) {
        const auto due = m_deadlines.top();
        m_deadlines.pop();
        const auto found = m_jobs.find(due.second);
        const bool waiting = found != m_jobs.end() && !found->second.isRunning && found->second.deadline == due.first;
        if (waiting) {
            expired.push_back(due.second);
            cancel(due.second);
        }
    }
    return expired;
}

// A surge fills the queue faster than a checkpoint completes, so preemption cannot wait until a job is overdue. It
// starts as soon as the slots without long jobs cannot finish the queued work within its drain target.
auto admission_queue::preemptBatchJobs(int freeSlots, core::monotonic_time /*now*/) -> std::vector<ticket_id>
{
    std::vector<ticket_id> selected;
    const auto &urgent = m_levels[indexOf(urgency::urgent)];
    const auto &normal = m_levels[indexOf(urgency::normal)];
    if (static_cast<int>(urgent.size() + normal.size()) <= freeSlots) {
        return selected;
    }
    const auto candidates = preemptionCandidates();
    const auto shortSlots =
        static_cast<double>(freeSlots) + static_cast<double>(m_running - m_longRunning + m_preempting);
    const auto forUrgent = urgent.seconds() / toSeconds(urgentDrainTarget);
    const auto forNormal = normal.seconds() / toSeconds(normalDrainTarget);
    const auto batchSlots = std::ceil(batchShare * m_capacity);
    const auto excessBatch = std::max(0.0, static_cast<double>(candidates.size()) - batchSlots);
    const auto freeSoon = static_cast<double>(freeSlots) + static_cast<double>(m_preempting);
    const auto urgentWithoutSlot = std::max(0.0, static_cast<double>(urgent.size()) - freeSoon);
    const auto preemptForUrgent = std::clamp(std::ceil(forUrgent - shortSlots), 0.0, urgentWithoutSlot);
    const auto leftForNormal = std::max(0.0, shortSlots - forUrgent);
    const auto preemptForNormal =
        std::clamp(std::ceil(forNormal - leftForNormal), 0.0, static_cast<double>(normal.size()));
    const auto preemptions = std::max(preemptForUrgent, std::min(excessBatch, preemptForUrgent + preemptForNormal));
    for (const auto ticket : candidates) {
        if (static_cast<double>(selected.size()) >= preemptions) {
            break;
        }
        m_jobs.at(ticket).preempting = true;
        ++m_preempting;
        selected.push_back(ticket);
    }
    return selected;
}

auto admission_queue::preemptionFailed(ticket_id ticket) -> void
{
    if (const auto found = m_jobs.find(ticket); found != m_jobs.end() && found->second.preempting) {
        found->second.preempting = false;
        --m_preempting;
    }
}

// Work of higher levels comes first. Within the level, the wait is bounded by all of its queued work and by the team's
// own queued work at the team's share, whichever is shorter: fair queueing lets a team with few jobs overtake a team
// with a long queue.
auto admission_queue::expectedWait(const core::team_id &team, urgency level) const -> core::duration
{
    if (m_capacity <= 0) {
        return m_expectedSlotWait;
    }
    const auto found = m_teamIndex.find(team);
    const auto index = found == m_teamIndex.end() ? static_cast<std::uint32_t>(m_teams.size()) : found->second;
    const auto &levelQueue = m_levels[indexOf(level)];
    double ahead = 0.0;
    for (std::size_t higher = 0; higher < indexOf(level); ++higher) {
        ahead += m_levels[higher].seconds();
    }
    const double byShare =
        levelQueue.secondsOf(index) * levelQueue.activeWeightWith(index) / levelQueue.weightOf(index);
    ahead += std::min(levelQueue.seconds(), byShare);
    const double slots = m_capacity;
    const bool allBusy = m_running >= static_cast<std::size_t>(m_capacity);
    const double untilFree = allBusy ? m_runningSeconds / static_cast<double>(m_running) / slots : 0.0;
    return fromSeconds(ahead / slots + untilFree);
}

auto admission_queue::queued() const -> std::size_t
{
    return m_queued;
}

auto admission_queue::queued(urgency level) const -> std::size_t
{
    return m_levels[indexOf(level)].size();
}

auto admission_queue::running() const -> std::size_t
{
    return m_running;
}

auto admission_queue::oldestUrgentWait(core::monotonic_time now) const -> core::duration
{
    const auto *head = headOf(urgency::urgent);
    return head == nullptr ? core::duration::zero() : now - head->stateSince;
}

auto admission_queue::teamIndex(const core::team_id &team) -> std::uint32_t
{
    const auto [entry, added] = m_teamIndex.try_emplace(team, static_cast<std::uint32_t>(m_teams.size()));
    if (added) {
        m_teams.emplace_back();
    }
    return entry->second;
}

auto admission_queue::checkAdmission(const admission_request &job, const team_state &team,
                                     core::monotonic_time now) const -> std::optional<core::error>
{
    const auto wait = expectedWait(job.team, job.level);
    if (team.queued >= team.share.maxQueued) {
        return rejectionError(core::error_kind::quota_exceeded, wait, "team=" + job.team.str());
    }
    const auto limit = job.level == urgency::batch ? m_maxQueued - m_maxQueued / 4 : m_maxQueued;
    if (m_queued >= limit) {
        return rejectionError(core::error_kind::queue_full, wait, "queued=" + std::to_string(m_queued));
    }
    if (job.deadline == noDeadline) {
        return std::nullopt;
    }
    if (job.deadline <= now) {
        return core::error{core::error_kind::deadline_passed, {}, std::nullopt};
    }
    const auto overrun = now + wait + job.expected - job.deadline;
    if (overrun > core::duration::zero()) {
        return rejectionError(core::error_kind::deadline_unreachable, overrun,
                              "expected_wait_us=" + std::to_string(wait.count()));
    }
    return std::nullopt;
}

// Urgent jobs go first. Of the other levels, the one below its share of the slot-seconds goes next, so that batch jobs
// progress under any load of normal jobs. Long jobs leave some slots to jobs that release them soon.
auto admission_queue::selectLevel(int freeSlots) const -> std::optional<urgency>
{
    if (freeSlots <= 0) {
        return std::nullopt;
    }
    if (m_levels[indexOf(urgency::urgent)].eligible()) {
        return urgency::urgent;
    }
    const auto startable = [this](urgency level) {
        const auto *head = headOf(level);
        return head != nullptr && (!isLongJob(head->expected) || canStartLongJob());
    };
    const bool normal = startable(urgency::normal);
    const bool batch = startable(urgency::batch);
    if (normal && batch) {
        return m_servedCost[indexOf(urgency::batch)] < m_servedCost[indexOf(urgency::normal)] ? urgency::batch
                                                                                              : urgency::normal;
    }
    if (normal) {
        return urgency::normal;
    }
    return batch ? std::optional{urgency::batch} : std::nullopt;
}

auto admission_queue::canStartLongJob() const -> bool
{
    if (!m_urgentReceived) {
        return true;
    }
    const auto reserve = std::max(1, static_cast<int>(urgentReserveShare * m_capacity));
    return static_cast<int>(m_longRunning) < m_capacity - reserve;
}

auto admission_queue::removeFromQueue(ticket_id ticket, admitted_job &job) -> void
{
    m_levels[indexOf(job.level)].remove(job.team, ticket, costOf(job.expected));
    --m_teams[job.team].queued;
    --m_queued;
}

auto admission_queue::start(ticket_id /*ticket*/, admitted_job &job, core::monotonic_time now) -> void
{
    job.isRunning = true;
    job.stateSince = now;
    --m_teams[job.team].queued;
    --m_queued;
    ++m_teams[job.team].running;
    ++m_running;
    m_longRunning += isLongJob(job.expected) ? 1 : 0;
    m_runningSeconds += costOf(job.expected);
    const double levelShare = job.level == urgency::batch ? batchShare : 1.0 - batchShare;
    m_servedCost[indexOf(job.level)] += costOf(job.expected) / levelShare;
    updateCapped(job.team);
}

auto admission_queue::releaseSlot(admitted_job &job) -> void
{
    --m_teams[job.team].running;
    --m_running;
    m_longRunning -= isLongJob(job.expected) ? 1 : 0;
    m_preempting -= job.preempting ? 1 : 0;
    job.preempting = false;
    m_runningSeconds -= costOf(job.expected);
    updateCapped(job.team);
}

// Most recently started first: the jobs that have run longest are closest to their end.
auto admission_queue::preemptionCandidates() const -> std::vector<ticket_id>
{
    std::vector<std::pair<core::monotonic_time, ticket_id>> candidates;
    for (const auto &[ticket, job] : m_jobs) {
        if (job.isRunning && !job.preempting && job.level == urgency::batch && isLongJob(job.expected)) {
            candidates.emplace_back(job.stateSince, ticket);
        }
    }
    std::ranges::sort(candidates, std::greater<>{});
    std::vector<ticket_id> tickets;
    for (const auto &[stateSince, ticket] : candidates) {
        tickets.push_back(ticket);
    }
    return tickets;
}

auto admission_queue::headOf(urgency level) const -> const admitted_job *
{
    const auto head = m_levels[indexOf(level)].front();
    return head ? &m_jobs.at(*head) : nullptr;
}

auto admission_queue::updateCapped(std::uint32_t team) -> void
{
    const bool capped = m_teams[team].running >= m_teams[team].share.maxRunning;
    for (auto &level : m_levels) {
        level.setCapped(team, capped);
    }
}
} // namespace poplarpass::request
