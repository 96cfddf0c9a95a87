#pragma once

#include <poplarpass/core/error.h>
#include <poplarpass/jobs/job_state.h>

#include <string>
#include <string_view>

namespace poplarpass::codec
{
/// \brief Encodes the immutable part of \p job as CBOR: queue, specification and acceptance time.
auto encodeJob(const jobs::multistep_job_record &job) -> std::string;

/// \brief Decodes a job encoded by encodeJob(), with all tasks waiting.
/// \returns malformed_message if \p bytes are not an encoded job
auto decodeJob(const jobs::job_id &id, std::string_view bytes) -> core::result<jobs::multistep_job_record>;
} // namespace poplarpass::codec
