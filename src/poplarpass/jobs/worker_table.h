#pragma once

#include <poplarpass/jobs/worker_report.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace poplarpass::jobs
{
/// \brief One worker: what it says of itself, what is placed on it, and until when its runs may live.
struct worker_slot
{
    worker_entry entry; ///< What it last said of itself.
    bool listed = false; ///< Whether the platform lists it at present.
    bool synced = false; ///< Whether it answered a renewal of this owner in this life.
    std::int64_t reportedIncarnation = 0; ///< Life that reported last; 0 before the first report.
    bool leaving = false; ///< Whether the system itself is about to take the host away.
    bool answering = false; ///< Whether its last renewal was answered.
    core::monotonic_time answeredAt{}; ///< When it last answered a renewal.
    core::monotonic_time pausedUntil{}; ///< No starts before this time.
    core::monotonic_time leaseSentAt{}; ///< When an order with a lease was last sent.
    core::monotonic_time leaseEnd{}; ///< When every run placed so far has surely ended, if nothing else is sent.
    core::monotonic_time clockReadAt{}; ///< When clockMs was read.
    std::int64_t clockMs = 0; ///< The worker's clock then, milliseconds.
    std::uint64_t lastHandledEnd = 0; ///< Number of the last end that was taken in.
    std::optional<std::chrono::milliseconds>
        recordedRemainder; ///< Rest of its lease as last recorded, while it is silent.
    std::uint32_t consecutiveFailures = 0; ///< Runs that failed since one ended as done.
    std::uint32_t bestEffortPace = 100; ///< Share at which tasks that fill may work there, percent.
    core::monotonic_time paceChangedAt{}; ///< When that share was last changed.
    std::uint32_t bestEffortRuns = 0; ///< Placed runs of steps that fill.
    std::uint32_t servingRuns = 0; ///< Placed runs of steps with a target.
    resources used; ///< What the placed runs take.
    std::set<task_ref> placed; ///< Tasks whose newest run is, or may be, there.

    /// \brief Whether starts may be sent at \p now.
    [[nodiscard]] auto takesStarts(core::monotonic_time now) const -> bool;

    /// \brief Resources that no placed run takes.
    [[nodiscard]] auto free() const -> resources;

    /// \brief Whether the worker has \p label.
    [[nodiscard]] auto hasLabel(std::string_view label) const -> bool;

    /// \brief The worker's clock at \p now, as far as it is known.
    [[nodiscard]] auto clockAt(core::monotonic_time now) const -> std::int64_t;
};

/// \brief A worker whose lease is not extended, as recorded for a later owner.
struct silence_record
{
    worker_id worker; ///< The worker.
    std::int64_t born = 0; ///< Its life.
    std::optional<std::chrono::milliseconds> rest; ///< Its runs have ended this long after the record was written; none
                                                   ///< when its lease is extended again.
};

/// \brief All workers by identifier.
class worker_table
{
public:
    /// \brief Takes in the whole list of entries; workers that are not in it stay while runs may live there.
    ///
    /// What ran in an earlier life of a worker stays placed until the new life has reported.
    auto update(std::span<const worker_entry> entries, core::monotonic_time now) -> void;

    /// \brief Worker \p id; null when there is none.
    auto find(const worker_id &id) -> worker_slot *;

    /// \brief Worker \p id; made when there is none, as one that is not listed.
    auto findOrAdd(const worker_id &id) -> worker_slot &;

    /// \brief All workers.
    [[nodiscard]] auto all() -> std::map<worker_id, worker_slot> &;

    /// \brief All workers.
    [[nodiscard]] auto all() const -> const std::map<worker_id, worker_slot> &;

    /// \brief Deadline on the worker's clock for an order sent at \p now; moves its leaseEnd.
    auto orderLease(worker_slot &worker, core::monotonic_time now) -> std::int64_t;

    /// \brief Takes in what a former owner recorded of a silent worker.
    auto restoreSilence(const silence_record &record, core::monotonic_time now) -> void;

    /// \brief No former owner gives orders after \p ordersUntil: shortens the leases that were taken to last longer.
    auto boundFormerOrders(core::monotonic_time ordersUntil) -> void;

    /// \brief Records that have to be stored before the lease of any of these workers is extended again.
    auto takeSilences(core::monotonic_time now) -> std::vector<silence_record>;

    /// \brief Forgets workers that are not listed and have nothing placed.
    auto removeUnused() -> void;

    /// \brief A new life of \p worker reported: nothing that was known of an earlier one holds.
    static auto startIncarnation(worker_slot &worker, std::int64_t born) -> void;

private:
    std::map<worker_id, worker_slot> m_workers;
};
} // namespace poplarpass::jobs
