#pragma once

#include <poplarpass/core/error.h>
#include <poplarpass/jobs/job_state.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace poplarpass::codec
{
/// \brief How the progress of a job is stored beside its specification.
enum class progress_layout : std::uint8_t {
    one_record, ///< The progress of all tasks in one record.
    parts, ///< One record for the phase of the job and one for each group of tasks.
};

/// \brief A job decoded from its specification.
struct decoded_job
{
    jobs::multistep_job_record job; ///< The job, without progress.
    progress_layout layout = progress_layout::one_record; ///< How its progress is stored.
};

/// \brief Encodes the specification of \p job and all that is fixed at its acceptance, for the store.
auto encodeJob(const jobs::multistep_job_record &job, progress_layout layout = progress_layout::one_record)
    -> std::string;

/// \brief Returns an upper bound on the size of what encodeJob() returns, without encoding the job.
auto maxEncodedBytes(const jobs::multistep_job_record &job) -> std::size_t;

/// \brief Decodes what encodeJob() returned; the job has no progress.
auto decodeJob(const jobs::job_id &id, std::string_view bytes) -> core::result<decoded_job>;
} // namespace poplarpass::codec
