#pragma once

#include <poplarpass/codec/job_codec.h>
#include <poplarpass/jobs/job_state.h>
#include <poplarpass/observe/logger.h>
#include <poplarpass/store/record_store.h>

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace poplarpass::host
{
/// \brief Records that must be stored by one append.
using record_group = std::vector<store::keyed_record>;

/// \brief A job restored from its records.
struct restored_job
{
    jobs::multistep_job_record job;
    codec::progress_layout layout = codec::progress_layout::one_record; ///< How its progress is stored.
    std::vector<std::string> partKeys; ///< Keys of the parts of its progress.
};

/// \brief All jobs in the store.
struct restored_jobs
{
    std::vector<restored_job> jobs;
    std::vector<std::string> unusedKeys; ///< Parts of progress that belong to no job; their records may be removed.
};

/// \brief Makes the records that hold jobs in the store, each within the store's limit.
///
/// A job has a record of its specification and one of its progress. Progress that does not fit in one record is divided
/// into parts of a fixed number of tasks, of which only the changed ones are stored again.
class job_records
{
public:
    /// \brief Called when the layout of a job's progress changes.
    using layout_hook = std::function<void(const jobs::multistep_job_record &, codec::progress_layout)>;

    job_records(store::size_limits limits, layout_hook onLayoutChange);

    /// \brief Returns whether the specification of \p job fits in a record; if not, the job cannot be stored.
    [[nodiscard]] auto canStore(const jobs::multistep_job_record &job) const -> bool;

    /// \brief Returns the records that store the current state of \p job, as groups to be stored in this order.
    auto update(const jobs::multistep_job_record &job) -> std::vector<record_group>;

    /// \brief Returns the records that remove the job \p id.
    auto removalOf(const jobs::job_id &id) -> record_group;

    /// \brief Records what is stored of a job that has not ended.
    auto markStored(const restored_job &restored) -> void;

private:
    /// \brief What is stored of a job.
    struct stored_job
    {
        bool hasSpec = false;
        codec::progress_layout layout = codec::progress_layout::one_record;
        std::string phase; ///< Text of the phase, while the progress is stored in parts.
        std::map<std::string, std::string> parts; ///< Texts of the parts by key; empty for a text that is not known.
    };

    auto endRecords(const jobs::multistep_job_record &job) -> std::vector<record_group>;
    auto partRecords(const jobs::multistep_job_record &job, stored_job &stored) const -> std::vector<record_group>;
    auto headRecords(const jobs::multistep_job_record &job, stored_job &stored) const -> record_group;
    /// \returns the records that store the progress in one record again; nothing while it is too large
    auto mergedRecords(const jobs::multistep_job_record &job, stored_job &stored,
                       const std::map<std::string, std::string> &parts) const
        -> std::optional<std::vector<record_group>>;
    [[nodiscard]] auto maxValueBytes(const std::string &key) const -> std::size_t;

    store::size_limits m_limits;
    layout_hook m_onLayoutChange;
    std::unordered_map<std::string, stored_job> m_stored; ///< By identifier of the job.
};

/// \brief Decodes the jobs in the records of the store; unreadable records are logged and skipped.
/// \param newest all records of the topic of jobs
auto restoreJobs(const store::newest_result &newest, observe::logger &log) -> restored_jobs;
} // namespace poplarpass::host
