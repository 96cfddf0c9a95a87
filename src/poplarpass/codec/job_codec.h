#pragma once

#include <poplarpass/core/error.h>
#include <poplarpass/jobs/job_state.h>

#include <string>
#include <string_view>

namespace poplarpass::codec
{
/// \brief The part of \p job that never changes, as CBOR: queue, specification and time of acceptance.
auto encodeJob(const jobs::multistep_job_record &job) -> std::string;

/// \brief Job that encodeJob() wrote, with all tasks waiting.
/// \returns malformed_message when \p bytes are none
auto decodeJob(const jobs::job_id &id, std::string_view bytes) -> core::result<jobs::multistep_job_record>;
} // namespace poplarpass::codec
