#pragma once

#include <poplarpass/core/error.h>
#include <poplarpass/core/string_id.h>
#include <poplarpass/core/time.h>
#include <poplarpass/request/constants.h>
#include <poplarpass/request/fair_queue.h>
#include <poplarpass/request/job.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <queue>
#include <unordered_map>
#include <utility>
#include <vector>

namespace poplarpass::request
{
/// \brief Identifies a job in an admission queue; chosen by the entry process.
using ticket_id = std::uint64_t;

/// \brief Deadline of a job that has none.
inline constexpr core::monotonic_time noDeadline = core::monotonic_time::max();

/// \brief Admission parameters of one job.
struct admission_request
{
    ticket_id ticket = 0; ///< Unique among the queued and running jobs.
    core::team_id team; ///< Team whose quota and share are charged.
    urgency level = urgency::normal; ///< Priority class.
    core::duration expected{}; ///< Expected run time.
    core::monotonic_time deadline = noDeadline; ///< Time after which the caller has no use for the answer.
};

/// \brief Share and quota of one team in the pool.
struct team_share
{
    double weight = 1.0; ///< Relative share of the slots among the teams with queued jobs.
    std::size_t maxQueued = std::numeric_limits<std::size_t>::max(); ///< Maximum number of queued jobs.
    std::size_t maxRunning = std::numeric_limits<std::size_t>::max(); ///< Maximum number of running jobs.
};

/// \brief Queues the jobs of one pool at this entry, selects the next to start and rejects jobs early.
///
/// Within an urgency level, teams are served by weighted fair queueing.
class admission_queue
{
public:
    /// \param maxQueued maximum number of queued jobs; batch jobs are limited to three quarters of it
    explicit admission_queue(std::size_t maxQueued);

    /// \brief Sets the share and quota of \p team; other teams have the default ones.
    auto setTeamShare(const core::team_id &team, team_share share) -> void;
    /// \brief Sets the number of the pool's slots that this entry can plan with.
    auto setCapacity(int slots) -> void;
    /// \brief Sets the wait that expectedWait() returns while the pool has no slots.
    auto setExpectedSlotWait(core::duration wait) -> void;

    /// \brief Queues a job.
    /// \returns quota_exceeded, queue_full, deadline_passed or deadline_unreachable; all but deadline_passed with a
    /// retry-after time
    auto submit(const admission_request &job, core::monotonic_time now) -> core::result<void>;
    /// \brief Removes the job to start next from the queue and marks it as running.
    /// \param freeSlots this entry's estimate of the free slots in the pool
    /// \returns none if no slot is free, or no queued job may use one now
    auto next(int freeSlots, core::monotonic_time now) -> std::optional<ticket_id>;
    /// \brief Returns a job from next() that did not start or was checkpointed to the head of its queue.
    auto requeue(ticket_id ticket, core::monotonic_time now) -> void;
    /// \brief Removes a running job that ended.
    auto finished(ticket_id ticket) -> void;
    /// \brief Removes a queued job.
    /// \returns false if the job was not queued
    auto cancel(ticket_id ticket) -> bool;
    /// \brief Removes and returns the queued jobs whose deadline has passed.
    auto expire(core::monotonic_time now) -> std::vector<ticket_id>;
    /// \brief Selects running batch jobs to preempt (checkpoint or throttle) so that urgent jobs meet their start bound
    /// and normal jobs start soon.
    ///
    /// A job is selected once; after requeue() or preemptionFailed() it can be selected again.
    auto preemptBatchJobs(int freeSlots, core::monotonic_time now) -> std::vector<ticket_id>;
    /// \brief Records that a job selected by preemptBatchJobs() cannot be checkpointed or throttled.
    auto preemptionFailed(ticket_id ticket) -> void;

    /// \brief Estimates the queueing time of a new job of that team and level.
    [[nodiscard]] auto expectedWait(const core::team_id &team, urgency level) const -> core::duration;
    /// \brief Returns the number of queued jobs.
    [[nodiscard]] auto queued() const -> std::size_t;
    /// \brief Returns the number of queued jobs of one level.
    [[nodiscard]] auto queued(urgency level) const -> std::size_t;
    /// \brief Returns the number of running jobs.
    [[nodiscard]] auto running() const -> std::size_t;
    /// \brief Returns how long the urgent job that is next to start has been queued; zero if there is none.
    [[nodiscard]] auto oldestUrgentWait(core::monotonic_time now) const -> core::duration;

private:
    struct admitted_job
    {
        std::uint32_t team = 0;
        urgency level = urgency::normal;
        bool isRunning = false;
        bool preempting = false;
        core::duration expected{};
        core::monotonic_time deadline;
        core::monotonic_time stateSince;
    };

    struct team_state
    {
        team_share share;
        std::size_t queued = 0;
        std::size_t running = 0;
    };

    auto teamIndex(const core::team_id &team) -> std::uint32_t;
    auto checkAdmission(const admission_request &job, const team_state &team, core::monotonic_time now) const
        -> std::optional<core::error>;
    [[nodiscard]] auto selectLevel(int freeSlots) const -> std::optional<urgency>;
    [[nodiscard]] auto canStartLongJob() const -> bool;
    auto removeFromQueue(ticket_id ticket, admitted_job &job) -> void;
    auto start(ticket_id ticket, admitted_job &job, core::monotonic_time now) -> void;
    auto releaseSlot(admitted_job &job) -> void;
    [[nodiscard]] auto preemptionCandidates() const -> std::vector<ticket_id>;
    [[nodiscard]] auto headOf(urgency level) const -> const admitted_job *;
    auto updateCapped(std::uint32_t team) -> void;

    using due_job = std::pair<core::monotonic_time, ticket_id>;

    std::size_t m_maxQueued;
    int m_capacity = 0;
    core::duration m_expectedSlotWait = noSlotsWait;
    std::unordered_map<core::team_id, std::uint32_t> m_teamIndex;
    std::vector<team_state> m_teams;
    std::unordered_map<ticket_id, admitted_job> m_jobs;
    std::array<fair_queue, urgencyCount> m_levels;
    std::array<double, urgencyCount> m_servedCost{};
    std::priority_queue<due_job, std::vector<due_job>, std::greater<>> m_deadlines;
    std::size_t m_queued = 0;
    std::size_t m_running = 0;
    std::size_t m_longRunning = 0;
    std::size_t m_preempting = 0;
    double m_runningSeconds = 0.0;
    bool m_urgentReceived = false;
};
} // namespace poplarpass::request
