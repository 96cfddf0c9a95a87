#pragma once

#include <poplarpass/core/time.h>
#include <poplarpass/jobs/constants.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

/// Why tasks have no run, and when their waits are logged.
namespace poplarpass::jobs
{
/// \brief What a task without a run waits for.
enum class wait_reason : std::uint8_t {
    lease, ///< The lease of its silent worker, on which its run may still exist.
    stop, ///< The end of a run that is being stopped.
    start, ///< The answer to a start order.
    delayed, ///< The earliest time of its next start.
    open_start, ///< The worker of its last run, which may still carry out a start, or the time until it no longer may.
    pool_held, ///< The capacity of its pool's workers, which is not known.
    no_worker, ///< A worker of its pool that accepts starts.
    observed, ///< A worker that is reserved for the observed start of a task that may crash it.
    cap, ///< Room under the cap of its account.
    advice, ///< Permission of the advice service for a worker.
    gang_hold, ///< Workers that are held for a gang.
    share, ///< Room in a pool of which its account uses its share.
    no_room, ///< Room on a worker.
    planning, ///< Nothing of these: it starts in the next planning cycle.
};

/// \brief Returns the name of \p reason in logs.
auto nameOf(wait_reason reason) -> std::string_view;

/// \brief Long-running tasks without a run, at the last check.
struct wait_summary
{
    std::size_t tasks = 0; ///< Number of tasks.
    core::duration longest{0}; ///< For how long the first of them has had no run.
};

namespace internal
{
/// \brief What is known about a task without a run.
struct wait_facts
{
    bool isPlaced = false; ///< Whether its newest run may exist; the following two are about its worker and run.
    bool isWorkerSilent = false; ///< Whether the worker did not answer its last renewal.
    bool isClosing = false; ///< Whether the run is being stopped.
    bool isDelayed = false; ///< Whether its next start is due later.
    bool hasOpenStart = false; ///< Whether it may start on the worker of its last run only.
    bool isPoolHeld = false; ///< Whether no worker of the pool gets starts.
    bool hasWorker = false; ///< Whether a worker of the pool accepts starts.
    bool needsObservation = false; ///< Whether it waits for a reserved worker, or all that accept starts are reserved.
    bool isCapped = false; ///< Whether the cap of its account does not permit the start.
    bool isAdvised = false; ///< Whether it may run on any worker that accepts starts.
    bool hasRoom = false; ///< Whether one of these has room.
    bool hasRoomBesideGang = false; ///< Whether one of these that is not held for a gang has room.
    bool isOverShare = false; ///< Whether its account uses its share of the pool.
};

/// \brief Returns what a task waits for; of several reasons the one that has to end first.
auto reasonOf(const wait_facts &facts) -> wait_reason;

/// \brief Decides which waits are logged: each after longWait, then after each doubling of its length.
template <typename key_type>
class wait_schedule
{
public:
    /// \brief A wait that goes on.
    struct wait
    {
        key_type key;
        std::optional<core::monotonic_time> since{}; ///< When it began; if not known, it counts from its first update.
    };

    /// \brief Replaces the waits by \p current.
    /// \param most maximum number of waits that may be logged now
    /// \returns those to be logged, the longest first, each with the time at which it began
    auto update(std::span<const wait> current, core::monotonic_time now, std::size_t most) -> std::vector<wait>
    {
        std::map<key_type, entry> next;
        std::vector<wait> due;
        for (const auto &[key, since] : current) {
            const auto known = m_entries.find(key);
            const bool goesOn = known != m_entries.end() && (!since || *since == known->second.since);
            const auto &kept = next[key] = goesOn ? known->second : entry{since.value_or(now), longWait};
            if (now - kept.since >= kept.nextLineAfter) {
                due.push_back({key, kept.since});
            }
        }
        m_entries = std::move(next);
        std::ranges::stable_sort(due, {}, &wait::since);
        due.resize(std::min(due.size(), most));
        for (const auto &logged : due) {
            auto &kept = m_entries.at(logged.key);
            kept.nextLineAfter = 2 * (now - kept.since);
        }
        return due;
    }

    /// \brief Returns for how long the first of the waits has lasted; zero when there are none.
    [[nodiscard]] auto longest(core::monotonic_time now) const -> core::duration
    {
        core::duration longest{0};
        for (const auto &[key, kept] : m_entries) {
            longest = std::max(longest, now - kept.since);
        }
        return longest;
    }

private:
    struct entry
    {
        core::monotonic_time since{};
        core::duration nextLineAfter{}; ///< Length of the wait at which it is logged next.
    };

    std::map<key_type, entry> m_entries;
};
} // namespace internal
} // namespace poplarpass::jobs
