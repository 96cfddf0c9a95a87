#pragma once

#include <poplarpass/core/lifetime.h>
#include <poplarpass/core/time_source.h>
#include <poplarpass/jobs/job_engine.h>
#include <poplarpass/observe/logger.h>
#include <poplarpass/store/record_store.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <unordered_set>
#include <vector>

namespace poplarpass::host
{
/// \brief Stores the jobs of one owner, batch after batch, and then lets go of what had to wait for it.
///
/// Every append carries the owner's epoch and a sequence number. One without an answer is repeated under its number
/// until the store answers, so it is carried out once.
class journal
{
public:
    /// \brief Called once when a later owner writes.
    using fenced_hook = std::function<void()>;

    /// \param onIdle called whenever everything is stored
    journal(const core::time_source &time, const store::record_store &records, observe::logger &log,
            std::uint64_t epoch, fenced_hook onFenced, std::function<void()> onIdle);

    /// \brief Makes all appends of earlier owners fail from now on, then calls \p done.
    auto open(std::function<void()> done) -> void;

    /// \brief Stores the present state of \p changed and \p leases, and then calls \p onStored.
    auto write(const jobs::job_engine &engine, const std::set<jobs::job_id> &changed,
               std::span<const jobs::silence_record> leases, std::function<void()> onStored) -> void;

    /// \brief Stores one record beside the jobs and then calls \p onStored, if it is set.
    auto writeRecord(store::keyed_record record, std::function<void()> onStored = nullptr) -> void;

    /// \brief Removes the records of jobs.
    auto remove(std::span<const jobs::job_id> jobIds) -> void;

    /// \brief Whether an append is in progress.
    [[nodiscard]] auto isBusy() const -> bool;

    /// \brief How long the store has not taken an append; zero while it does.
    [[nodiscard]] auto stalledFor(core::monotonic_time now) const -> core::duration;

    /// \brief Whether changes of \p id are not stored yet.
    [[nodiscard]] auto isPending(const jobs::job_id &id) const -> bool;

    /// \brief The specification of \p id is in the store already.
    auto markSpecStored(const jobs::job_id &id) -> void;

    /// \brief Ends all activity.
    auto stop() -> void;

private:
    struct batch
    {
        std::vector<store::keyed_record> records;
        std::set<jobs::job_id> jobs;
        std::vector<std::function<void()>> onStored;
    };

    auto pendingBatch() -> batch &;
    auto scheduleSend() -> void;
    auto sendNextBatch() -> void;
    auto appendBatch() -> void;
    auto onAnswer(const store::append_result &answer) -> void;
    auto retryLater() -> void;

    const core::time_source &m_time;
    const store::record_store &m_store;
    observe::logger &m_log;
    std::uint64_t m_epoch;
    std::uint64_t m_sequence = 0;
    fenced_hook m_onFenced;
    std::function<void()> m_onIdle;
    std::unordered_set<std::string> m_storedSpecs;
    std::deque<batch> m_batches;
    bool m_busy = false;
    bool m_sendScheduled = false;
    bool m_appendFailing = false;
    core::monotonic_time m_sentAt{};
    core::lifetime m_life;
};

/// \brief Jobs read back from the store.
/// \param newest all records of the topic of jobs
auto restoreJobs(const store::newest_result &newest, observe::logger &log) -> std::vector<jobs::job_record>;

/// \brief Silent workers as a former owner recorded them.
/// \param newest all records of the topic of jobs
auto restoreUnrenewedLeases(const store::newest_result &newest, observe::logger &log)
    -> std::vector<jobs::silence_record>;
} // namespace poplarpass::host
