#pragma once

#include <poplarpass/core/lifetime.h>
#include <poplarpass/core/time_source.h>
#include <poplarpass/host/job_records.h>
#include <poplarpass/jobs/job_engine.h>
#include <poplarpass/observe/logger.h>
#include <poplarpass/store/record_store.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace poplarpass::host
{
/// \brief Stores the owner's state of jobs in batches and runs callbacks once a batch is stored.
///
/// Every append carries the owner's epoch and a sequence number as its fence. An append without a response is repeated
/// with the same number until the store responds, so it is applied exactly once.
class journal
{
public:
    /// \brief Called when the store will never accept an append: a later owner has written, or the append is invalid.
    using failed_hook = std::function<void()>;

    /// \param onIdle called whenever everything is stored
    journal(const core::time_source &time, const store::record_store &records, observe::logger &log,
            std::uint64_t epoch, failed_hook onFailed, std::function<void()> onIdle);

    /// \brief Fences off the appends of earlier owners with an empty append, then calls \p done.
    auto open(std::function<void()> done) -> void;

    /// \brief Stores the current state of \p changed and \p leases, then calls \p onStored.
    auto write(const jobs::job_engine &engine, const std::set<jobs::job_id> &changed,
               std::span<const jobs::unrenewed_lease> leases, std::function<void()> onStored) -> void;

    /// \brief Stores one record other than a job, then calls \p onStored if it is set.
    auto writeRecord(store::keyed_record record, std::function<void()> onStored = nullptr) -> void;

    /// \brief Removes the records of the jobs \p jobIds.
    auto remove(std::span<const jobs::job_id> jobIds) -> void;

    /// \brief Removes the records \p keys.
    auto removeKeys(std::span<const std::string> keys) -> void;

    /// \brief Returns whether any batch is not stored yet.
    [[nodiscard]] auto isBusy() const -> bool;

    /// \brief Returns the age of the append in flight; zero when there is none.
    [[nodiscard]] auto stalledFor(core::monotonic_time now) const -> core::duration;

    /// \brief Returns whether changes of \p id are not stored yet.
    [[nodiscard]] auto isPending(const jobs::job_id &id) const -> bool;

    /// \brief Returns whether \p job can be stored, whatever its progress will be.
    [[nodiscard]] auto canStore(const jobs::multistep_job_record &job) const -> bool;

    /// \brief Records what is stored already of a job that has not ended.
    auto markStored(const restored_job &job) -> void;

    /// \brief Cancels all batches and callbacks.
    auto stop() -> void;

private:
    struct batch
    {
        std::vector<store::keyed_record> records;
        std::size_t bytes = 0; ///< Size of the records.
        std::set<jobs::job_id> jobs;
        std::vector<std::function<void()>> onStored;
    };

    auto pendingBatch() -> batch &;
    /// \brief Adds records that must be stored by one append to the last batch, or to a new one if they do not fit.
    auto add(record_group records) -> batch &;
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
    failed_hook m_onFailed;
    std::function<void()> m_onIdle;
    job_records m_jobRecords;
    std::deque<batch> m_batches;
    bool m_busy = false;
    bool m_sendScheduled = false;
    bool m_appendFailing = false;
    core::monotonic_time m_sentAt{};
    core::lifetime m_lifetime;
};

/// \brief Decodes the unrenewed leases that a former owner stored; unreadable records are logged and skipped.
/// \param newest all records of the topic of jobs
auto restoreUnrenewedLeases(const store::newest_result &newest, observe::logger &log)
    -> std::vector<jobs::unrenewed_lease>;
} // namespace poplarpass::host
