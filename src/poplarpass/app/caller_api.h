#pragma once

#include <poplarpass/core/error.h>
#include <poplarpass/net/http_message.h>
#include <poplarpass/replication/fleet_state.h>
#include <poplarpass/request.h>

#include <chrono>
#include <functional>
#include <string>
#include <string_view>

namespace poplarpass::app
{
/// \brief A job as a caller submitted it.
struct job_submission
{
    request::job_spec spec; ///< The job; its key is empty when the caller sent none.
    bool wait = true; ///< Whether the answer is awaited.
};

/// \brief Where the pool of a submission is looked up.
struct submission_context
{
    const config::fleet_config &config; ///< Configuration in force.
    core::wall_time now; ///< Present time, for relative deadlines.
};

/// \brief Reads the body of POST /v1/jobs.
/// \returns invalid_request, unknown_pool or unknown_team when it cannot be taken
auto parseSubmission(const net::http_request &message, const submission_context &context)
    -> core::result<job_submission>;

/// \brief Response that carries the final answer of the job \p key.
auto answerResponse(const core::job_key &key, const request::job_answer &answer) -> net::http_response;

/// \brief Response that says that the job \p key is still under way.
auto pendingResponse(const core::job_key &key) -> net::http_response;

/// \brief Response that carries \p problem; \p key may be empty.
auto errorResponse(const core::job_key &key, const core::error &problem) -> net::http_response;

/// \brief Response to a cancellation.
auto cancelResponse(const core::job_key &key, request::cancel_outcome outcome, const request::shared_answer &answer)
    -> net::http_response;

/// \brief Table of all error kinds in Markdown, as docs/CALLERS.md shows it.
auto describeErrors() -> std::string;
} // namespace poplarpass::app
