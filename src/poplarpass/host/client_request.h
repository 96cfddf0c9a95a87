#pragma once

#include <poplarpass/core/error.h>
#include <poplarpass/jobs/job_spec.h>
#include <poplarpass/net/http_message.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace poplarpass::host
{
/// \brief What a caller asks for.
enum class client_verb : std::uint8_t {
    submit, ///< Accept a job.
    state, ///< How far is a job.
    cancel, ///< Cancel a job.
    pending, ///< How many jobs of the queue wait.
};

/// \brief Name of \p verb in logs and metrics.
auto nameOf(client_verb verb) -> std::string_view;

/// \brief A caller's request, at any host.
struct client_request
{
    client_verb verb = client_verb::state; ///< What it asks for.
    jobs::job_id job; ///< Which job; empty for pending.
    std::string hostName; ///< Host name that the caller asked for.
    std::string path; ///< Path that the caller asked for.
    std::string body; ///< Body of a submission.
    std::uint64_t configVersion = 0; ///< Configuration by which the receiving host judged it.
};

/// \brief Takes the answer to a request.
using client_answer = std::function<void(net::http_response)>;

/// \brief Status by which a host says that it does not own the pools and has done nothing.
inline constexpr int notOwnerStatus = 421;

/// \brief Status by which a host says that it cannot tell whether the request was carried out.
inline constexpr int unsettledStatus = 502;

/// \brief Makes sure that a request is answered once, also when what would have answered it is gone.
/// \returns an answer that says unsettledStatus when its last copy goes without having been called
auto answeredOnce(client_answer answer) -> client_answer;

/// \brief Refusal of a request that was not carried out, with the time to come back.
/// \param retryAfter when to come back, seconds
auto refusalResponse(int status, std::string_view reason, int retryAfter) -> net::http_response;

/// \brief Answer that says nothing but its status and reason.
auto plainResponse(int status, std::string_view reason) -> net::http_response;

/// \brief Decodes the body of a submission.
using job_decoder = std::function<core::result<jobs::multistep_job_spec>(std::string_view)>;
} // namespace poplarpass::host
