#pragma once

#include <poplarpass/accounts/key_digest.h>
#include <poplarpass/core/error.h>
#include <poplarpass/jobs/account_limits.h>
#include <poplarpass/jobs/job_spec.h>
#include <poplarpass/net/http_message.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace poplarpass::host
{
/// \brief Operation that a caller requests.
enum class client_verb : std::uint8_t {
    submit, ///< Submit a job.
    state, ///< Query the state of a job.
    cancel, ///< Cancel a job.
    pending, ///< Query the number of jobs pending in the queue.
};

/// \brief Name of \p verb in logs and metrics.
auto nameOf(client_verb verb) -> std::string_view;

/// \brief Whether a request with \p verb changes a job.
auto hasEffect(client_verb verb) -> bool;

/// \brief A caller's request, as received or as forwarded between hosts.
struct client_request
{
    client_verb verb = client_verb::state; ///< Requested operation.
    jobs::job_id job; ///< Job that it concerns; empty for pending.
    std::string hostName; ///< Host header of the request.
    std::string path; ///< Path of the request.
    std::string body; ///< Body of a submission.
    std::uint64_t configVersion = 0; ///< Oldest version of the configuration by which it may be handled.
    std::optional<accounts::key_digest> key; ///< Digest of its key; nothing without a key.
    jobs::account_id account; ///< Account of its key, set by the owner only; empty for an anonymous request.
    std::string attempt; ///< Identifier of the caller's request, equal in all its copies that are sent to owners.
    bool isRepeated = false; ///< Whether an earlier copy may still be carried out.
    std::uint64_t ownerEpoch = 0; ///< Epoch of the owner it is sent to, the only one that may handle it; 0 for any.
};

/// \brief Callback that receives the answer to a request.
using response_callback = std::function<void(net::http_response)>;

/// \brief HTTP status of a host that does not own the pools and has not processed the request.
inline constexpr int notOwnerStatus = 421;

/// \brief HTTP status of a host that cannot determine whether the request was carried out.
inline constexpr int outcomeUnknownStatus = 502;

/// \brief HTTP status of a refusal because of the limits of the caller's account; the request was not carried out.
inline constexpr int tooManyRequestsStatus = 429;

/// \brief HTTP status of the answer that there is no such job; it also confirms a cancellation.
inline constexpr int noSuchJobStatus = 410;

/// \brief HTTP status of the answer to a caller whose request may or may not have been carried out.
inline constexpr int unsettledStatus = 504;

/// \brief HTTP status of a submission that is too large to be accepted by any host at any time.
inline constexpr int tooLargeStatus = 413;

/// \brief HTTP status of any other refusal of a request that was not carried out.
inline constexpr int unavailableStatus = 503;

/// \brief Header of answers between hosts: the epoch of the owner that answers.
///
/// In a refusal it states that the owner has restored the jobs of all earlier epochs, that the job is not among them,
/// and that no copy of the attempt sent to this or an earlier epoch will be carried out. In an answer with
/// notOwnerStatus it states that the request was sent to another epoch.
inline constexpr std::string_view epochHeader = "X-Poplarpass-Epoch";

/// \brief Returns the epoch in epochHeader of \p response; 0 if it is missing.
auto epochOf(const net::http_response &response) -> std::uint64_t;

/// \brief Whether \p response states that the request was not carried out.
auto isRefusal(const net::http_response &response) -> bool;

/// \brief Whether the owner that refused with \p response may accept the same request soon.
auto isTemporaryRefusal(const net::http_response &response) -> bool;

/// \brief Response to a request that may or may not have been carried out.
auto unsettledResponse() -> net::http_response;

/// \brief Wraps \p answer so that it is called exactly once, even if its owner is destroyed before answering.
/// \returns a callback that answers with outcomeUnknownStatus if its last copy is destroyed without a call
auto answerExactlyOnce(response_callback answer) -> response_callback;

/// \brief Response that refuses a request which was not carried out, with a Retry-After header.
/// \param retryAfter time until the caller should retry, seconds
auto refusalResponse(int status, std::string_view reason, int retryAfter) -> net::http_response;

/// \brief Response that consists of a status and a JSON body with the reason.
auto plainResponse(int status, std::string_view reason) -> net::http_response;

/// \brief Decodes the body of a submission.
using job_decoder = std::function<core::result<jobs::multistep_job_spec>(std::string_view)>;
} // namespace poplarpass::host
