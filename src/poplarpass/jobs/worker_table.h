#pragma once

#include <poplarpass/jobs/worker_report.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace poplarpass::jobs
{
/// \brief Reservation of a worker for tasks of one job that may crash it: no other task starts there meanwhile.
struct start_observation
{
    job_id job; ///< Job whose tasks may start there.
    core::monotonic_time until{}; ///< End of the reservation.
    bool started = false; ///< Whether one of them was placed there.
};

/// \brief State of one worker: its published entry, the runs placed on it and the end of its lease.
struct worker_slot
{
    worker_entry entry; ///< Last published entry.
    bool listed = false; ///< Whether the platform currently lists it.
    bool synced = false; ///< Whether this owner has processed a complete report of this incarnation.
    std::int64_t reportedIncarnation = 0; ///< Incarnation that reported last; 0 before the first report.
    bool isCrashRecorded = false; ///< Whether its end was recorded as a crash, while runs stay placed there.
    bool leaving = false; ///< Whether the system drains its host, or has ordered the host to move or to maintenance.
    bool responsive = false; ///< Whether its last renewal was answered.
    core::monotonic_time reportSentAt{}; ///< When its last complete report was requested.
    core::monotonic_time lastResponseAt{}; ///< When it last answered a renewal.
    core::monotonic_time lastHeardAt{}; ///< When it last answered any call.
    core::monotonic_time contactLostAt{}; ///< When it first did not answer a renewal; valid while it is unresponsive.
    core::monotonic_time pausedUntil{}; ///< No starts before this time.
    std::optional<core::monotonic_time> leaseSentAt; ///< When this owner last sent a lease extension; empty before.
    core::monotonic_time leaseEnd{}; ///< Time by which placed runs have ended if no further lease is sent; later for
                                     ///< those with an open start, see openStartsEnd.
    core::monotonic_time openStartsEnd{}; ///< Time by which those have ended, too, while the worker is unresponsive.
    core::monotonic_time clockReadAt{}; ///< Local time at which clockMs was received.
    std::int64_t clockMs = 0; ///< Worker's clock at clockReadAt, milliseconds.
    std::uint64_t lastHandledEnd = 0; ///< Number of the last processed end.
    std::size_t listedEnds = 0; ///< Number of ends in its last report.
    std::map<std::uint64_t, core::monotonic_time>
        heldEnds; ///< Numbers of processed ends that must not be acknowledged yet, with the time until when.
    std::optional<std::chrono::milliseconds>
        recordedRemainder; ///< Remaining lease as last recorded, while it is unresponsive.
    std::uint32_t consecutiveFailures = 0; ///< Failed runs since the last one that ended as done.
    std::optional<start_observation> observation; ///< Reservation for an observed start; may have expired.
    std::uint32_t bestEffortPace = 100; ///< Pace of best-effort tasks there, percent.
    core::monotonic_time paceChangedAt{}; ///< When bestEffortPace was last changed.
    std::uint32_t bestEffortRuns = 0; ///< Placed runs of best-effort steps.
    std::uint32_t servingRuns = 0; ///< Placed runs of serving steps, which have a tail latency target.
    std::uint32_t longRunningRuns = 0; ///< Placed runs of long-running steps.
    resources used; ///< Resources reserved by the placed runs.
    resources longRunningUse; ///< Those of them reserved by runs of long-running steps.
    resources lingering; ///< Resources reserved by runs that may exist although they are not placed.
    resources reservedRoom; ///< Resources kept free for the tasks of roomReservedFor (see room_reservations.h).
    std::set<task_ref> roomReservedFor; ///< Long-running tasks that are to start there next.
    std::size_t waitingOpenStarts = 0; ///< Waiting tasks of which it may still carry out a start.
    std::set<task_ref> placed; ///< Tasks whose newest run exists, or may exist, there.

    /// \brief Returns whether starts may be sent at \p now.
    [[nodiscard]] auto acceptsStarts(core::monotonic_time now) const -> bool;

    /// \brief Returns the number of the last end that may be acknowledged once it is stored; 0 for none.
    [[nodiscard]] auto acknowledgeableEnd() const -> std::uint64_t;

    /// \brief Returns whether it is reserved at \p now for the observed start of tasks of one job.
    [[nodiscard]] auto isReserved(core::monotonic_time now) const -> bool;

    /// \brief Returns the unreserved resources.
    [[nodiscard]] auto free() const -> resources;

    /// \brief Returns the resources that would be unreserved if only long-running tasks ran there.
    [[nodiscard]] auto freeOfShortTasks() const -> resources;

    /// \brief Returns whether runs are placed there, or a start of a waiting task may still be carried out there.
    [[nodiscard]] auto mayRunTasks() const -> bool;

    /// \brief Returns whether the worker has no entry and no runs.
    [[nodiscard]] auto isIdleAndUnlisted() const -> bool;

    /// \brief Returns whether the worker has \p label.
    [[nodiscard]] auto hasLabel(std::string_view label) const -> bool;

    /// \brief Returns the estimated clock of the worker at \p now, milliseconds.
    [[nodiscard]] auto clockAt(core::monotonic_time now) const -> std::int64_t;
};

/// \brief Remaining lease of an unresponsive worker, as recorded for a later owner.
struct unrenewed_lease
{
    worker_id worker;
    std::int64_t incarnation = 0; ///< Its incarnation.
    std::optional<std::chrono::milliseconds> remaining; ///< Time from the writing of the record until its runs have
                                                        ///< ended; nothing once its lease is extended again.
};

/// \brief All workers by identifier.
class worker_table
{
public:
    worker_table() = default;
    worker_table(worker_table &&) = default;
    auto operator=(worker_table &&) -> worker_table & = default;

    /// \brief Applies the complete list of entries; workers not in it are kept while runs are placed there.
    ///
    /// Runs of an earlier incarnation of a worker stay placed until the new incarnation has reported.
    auto update(std::span<const worker_entry> entries, core::monotonic_time now) -> void;

    /// \brief Returns worker \p id; null when there is none.
    auto find(const worker_id &id) -> worker_slot *;

    /// \brief Returns worker \p id; adds it as not listed when there is none.
    auto findOrAdd(const worker_id &id) -> worker_slot &;

    /// \brief Returns all workers by identifier.
    [[nodiscard]] auto all() -> std::map<worker_id, worker_slot> &;

    /// \brief Returns all workers by identifier.
    [[nodiscard]] auto all() const -> const std::map<worker_id, worker_slot> &;

    /// \brief Records that \p worker answered its last renewal.
    static auto markResponsive(worker_slot &worker, core::monotonic_time now) -> void;

    /// \brief Records that \p worker did not answer its last renewal, or that another instance did.
    auto markUnresponsive(worker_slot &worker, core::monotonic_time now) -> void;

    /// \brief Returns by identifier the workers whose last renewal was not answered, and those that have answered again
    /// since the last collectUnrenewedLeases().
    [[nodiscard]] auto unrenewed() const -> const std::map<worker_id, worker_slot *> &;

    /// \brief Returns the listed workers that drain, by identifier; valid until workers are added or removed.
    [[nodiscard]] auto draining() -> std::span<worker_slot *const>;

    /// \brief Returns the workers whose last entry is in \p pool, by identifier; valid until workers are added or
    /// removed.
    [[nodiscard]] auto ofPool(const core::pool_id &pool) -> std::span<worker_slot *const>;

    /// \brief Returns the same for all pools.
    [[nodiscard]] auto byPool() -> const std::map<core::pool_id, std::vector<worker_slot *>> &;

    /// \brief Extends the worker's lease for an order sent at \p now and updates its leaseEnd.
    /// \returns end of the lease on the worker's clock, milliseconds
    auto extendLease(worker_slot &worker, core::monotonic_time now) -> std::int64_t;

    /// \brief Accounts for leases in terms of the clock of an earlier incarnation that \p worker may have granted since
    /// its restart, which was noticed at \p now.
    static auto onRestartNoticed(worker_slot &worker, core::monotonic_time now) -> void;

    /// \brief Accounts at the first report of \p worker to this owner for the leases that former owners sent; from now
    /// on it rejects their calls.
    /// \param startedAt when its incarnation started
    static auto limitFormerLease(worker_slot &worker, core::monotonic_time startedAt, core::monotonic_time now) -> void;

    /// \brief Returns the time by which runs have ended that a worker may have begun after a restart that was not
    /// noticed, given that nothing was sent to it after \p lastSentAt.
    static auto leaseEndAfterRestart(core::monotonic_time lastSentAt) -> core::monotonic_time;

    /// \brief Restores the remaining lease of a worker from the record of a former owner.
    auto restoreUnrenewedLease(const unrenewed_lease &record, core::monotonic_time now) -> void;

    /// \brief Shortens leases that were assumed to end later, given that no former owner sends orders after \p
    /// ordersUntil.
    auto limitFormerLeases(core::monotonic_time ordersUntil) -> void;

    /// \brief Returns the new records of unresponsive workers; they have to be stored before any of these leases is
    /// extended again.
    auto collectUnrenewedLeases(core::monotonic_time now) -> std::vector<unrenewed_lease>;

    /// \brief Removes workers that are not listed, on which no runs may exist, and where no call may extend a lease any
    /// more.
    auto removeUnused(core::monotonic_time now) -> void;

    /// \brief Resets the state of \p worker for a new incarnation.
    static auto startIncarnation(worker_slot &worker, std::int64_t incarnation) -> void;

private:
    auto findOrCreate(const worker_id &id) -> worker_slot &;
    auto updateIndexes() -> void;

    std::map<worker_id, worker_slot> m_workers;
    std::unordered_map<std::string_view, worker_slot *> m_byId; ///< All of m_workers; the keys are stored there.
    std::map<core::pool_id, std::vector<worker_slot *>> m_byPool;
    std::vector<worker_slot *> m_draining;
    bool m_areIndexesCurrent = false; ///< Whether m_byPool and m_draining match m_workers.
    std::map<worker_id, worker_slot *> m_unrenewed; ///< Unresponsive workers, and those whose lease record is obsolete.
};
} // namespace poplarpass::jobs
