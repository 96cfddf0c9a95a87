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
/// \brief A job submitted by a caller.
struct job_submission
{
    request::job_spec spec; ///< The job; the key is empty if the caller sent none.
    bool wait = true; ///< Whether the caller waits for the answer.
};

/// \brief Configuration and time against which a submission is checked.
struct submission_context
{
    const config::fleet_config &config; ///< Configuration in force.
    core::wall_time now; ///< Current time, the origin of relative deadlines.
};

/// \brief Parses and checks the body of POST /v1/jobs.
/// \returns invalid_request, unknown_pool or unknown_team if it is rejected; outcome_unknown instead of the latter two
/// if the request has a key
auto parseSubmission(const net::http_request &message, const submission_context &context)
    -> core::result<job_submission>;

/// \brief Returns the response with the final answer of the job \p key.
auto answerResponse(const core::job_key &key, const request::job_answer &answer) -> net::http_response;

/// \brief Returns the response for a job \p key that has not finished.
auto pendingResponse(const core::job_key &key) -> net::http_response;

/// \brief Returns the response with the error \p problem; \p key may be empty.
auto errorResponse(const core::job_key &key, const core::error &problem) -> net::http_response;

/// \brief Returns the response to the cancellation of the job \p key.
auto cancelResponse(const core::job_key &key, request::cancel_outcome outcome, const request::shared_answer &answer)
    -> net::http_response;

/// \brief Returns the Markdown table of all error kinds, included in docs/CALLERS.md.
auto describeErrors() -> std::string;
} // namespace poplarpass::app
