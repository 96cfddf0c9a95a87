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

/// \brief A deadline that never comes.
inline constexpr core::monotonic_time noDeadline = core::monotonic_time::max();

/// \brief One job that asks for a slot.
struct admission_request
{
    ticket_id ticket = 0; ///< Its number, unique among the jobs in the queue or running.
    core::team_id team; ///< Team that pays for it.
    urgency level = urgency::normal; ///< How soon it should start.
    core::duration expected{}; ///< Expected run time.
    core::monotonic_time deadline = noDeadline; ///< When its answer is of no more use.
};

/// \brief Share and quota of one team in the pool.
struct team_share
{
    double weight = 1.0; ///< Share of the slots among the teams that wait.
    std::size_t maxQueued = std::numeric_limits<std::size_t>::max(); ///< Most jobs that wait.
    std::size_t maxRunning = std::numeric_limits<std::size_t>::max(); ///< Most jobs that run.
};

/// \brief Jobs of one pool at this entry: who waits, who is next, and who is refused early.
class admission_queue
{
public:
    /// \param maxQueued most jobs that wait; batch work may fill only a part of it
    explicit admission_queue(std::size_t maxQueued);

    /// \brief Sets the share of \p team; teams that are not set have the default share.
    auto setTeam(const core::team_id &team, team_share share) -> void;
    /// \brief Sets how many slots this entry may count on in the pool.
    auto setCapacity(int slots) -> void;
    /// \brief Sets how long a pool without slots is expected to stay so.
    auto setWaitForSlots(core::duration wait) -> void;

    /// \brief Queues a job.
    /// \returns quota_exceeded, queue_full, deadline_passed or deadline_unreachable, with when to come back
    auto submit(const admission_request &job, core::monotonic_time now) -> core::result<void>;
    /// \brief Takes the job that is to start next, if a free slot is for it; it counts as running then.
    /// \param freeSlots slots that are free in the pool as far as this entry sees
    auto next(int freeSlots, core::monotonic_time now) -> std::optional<ticket_id>;
    /// \brief Puts a job that next() gave, and that did not start or was checkpointed, back to the head of its queue.
    auto requeue(ticket_id ticket, core::monotonic_time now) -> void;
    /// \brief Notes that a job which next() gave ended.
    auto finished(ticket_id ticket) -> void;
    /// \brief Takes a waiting job out.
    /// \returns whether it was waiting
    auto cancel(ticket_id ticket) -> bool;
    /// \brief Takes out the jobs whose deadline passed while they waited.
    auto expire(core::monotonic_time now) -> std::vector<ticket_id>;
    /// \brief Running batch jobs to checkpoint or throttle now so that urgent work starts in time and normal work soon.
    ///
    /// Each job is named once; name it again by putting it back with requeue() or by makeRoomFailed().
    auto makeRoom(int freeSlots, core::monotonic_time now) -> std::vector<ticket_id>;
    /// \brief Notes that a job which makeRoom() named cannot be checkpointed or throttled.
    auto makeRoomFailed(ticket_id ticket) -> void;

    /// \brief Estimate of how long a job of that team and level would wait.
    [[nodiscard]] auto expectedWait(const core::team_id &team, urgency level) const -> core::duration;
    /// \brief Jobs that wait.
    [[nodiscard]] auto queued() const -> std::size_t;
    /// \brief Jobs of one level that wait.
    [[nodiscard]] auto queued(urgency level) const -> std::size_t;
    /// \brief Jobs that run.
    [[nodiscard]] auto running() const -> std::size_t;
    /// \brief How long the oldest waiting urgent job has waited.
    [[nodiscard]] auto oldestUrgentWait(core::monotonic_time now) const -> core::duration;

private:
    struct job_state
    {
        std::uint32_t team = 0;
        urgency level = urgency::normal;
        bool isRunning = false;
        bool asked = false;
        core::duration expected{};
        core::monotonic_time deadline;
        core::monotonic_time since;
    };

    struct team_state
    {
        team_share share;
        std::size_t queued = 0;
        std::size_t running = 0;
    };

    auto teamIndex(const core::team_id &team) -> std::uint32_t;
    auto refusal(const admission_request &job, const team_state &team, core::monotonic_time now) const
        -> std::optional<core::error>;
    [[nodiscard]] auto pickLevel(int freeSlots) const -> std::optional<urgency>;
    [[nodiscard]] auto longWorkAllowed() const -> bool;
    auto leaveQueue(ticket_id ticket, job_state &job) -> void;
    auto start(ticket_id ticket, job_state &job, core::monotonic_time now) -> void;
    auto stopRunning(job_state &job) -> void;
    [[nodiscard]] auto batchToAsk() const -> std::vector<ticket_id>;
    [[nodiscard]] auto headOf(urgency level) const -> const job_state *;
    auto updateCapped(std::uint32_t team) -> void;

    using due_job = std::pair<core::monotonic_time, ticket_id>;

    std::size_t m_maxQueued;
    int m_capacity = 0;
    core::duration m_waitForSlots = unservedWait;
    std::unordered_map<core::team_id, std::uint32_t> m_teamIndex;
    std::vector<team_state> m_teams;
    std::unordered_map<ticket_id, job_state> m_jobs;
    std::array<fair_queue, urgencyCount> m_levels;
    std::array<double, urgencyCount> m_served{};
    std::priority_queue<due_job, std::vector<due_job>, std::greater<>> m_deadlines;
    std::size_t m_queued = 0;
    std::size_t m_running = 0;
    std::size_t m_longRunning = 0;
    std::size_t m_asked = 0;
    double m_runningSeconds = 0.0;
    bool m_urgentSeen = false;
};
} // namespace poplarpass::request
