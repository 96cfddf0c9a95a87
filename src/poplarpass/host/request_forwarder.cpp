#include <poplarpass/core/parse_integer.h>
#include <poplarpass/host/constants.h>
#include <poplarpass/host/host_peers.h>
#include <poplarpass/host/request_forwarder.h>

#include <algorithm>
#include <utility>

namespace poplarpass::host
{
using observe::log_level;

/// \brief A caller's request and the state of its forwarding.
struct request_forwarder::forwarded_request
{
    client_request request;
    response_callback answer;
    core::monotonic_time receivedAt{};
    core::monotonic_time dueAt{}; ///< When it is given up.
    bool maybeCarriedOut = false; ///< Whether a copy that was sent may have been, or may still be, carried out.
    std::uint64_t unsettledEpoch = 0; ///< Highest epoch to which such a copy was sent.
    std::uint64_t answeredEpoch = 0; ///< Highest epoch of an owner that answered for itself.
    bool awaitingAnswer = false; ///< Whether it was sent to the owner and the answer is pending.
    bool answered = false;
    unsigned attempts = 0;

    auto finish(net::http_response response) -> void
    {
        if (!std::exchange(answered, true)) {
            answer(std::move(response));
        }
    }
};

request_forwarder::request_forwarder(forwarder_environment environment)
    : m_env{std::move(environment)}
{
}

auto request_forwarder::handleRequest(client_request request, core::duration time, response_callback answer) -> void
{
    if (m_unanswered.size() >= maxForwardedRequests) {
        m_env.log.log(log_level::warning, "request_refused",
                      {{"id", request.job.str()},
                       {"verb", nameOf(request.verb)},
                       {"reason", "too_many"},
                       {"open", m_unanswered.size()},
                       {"retry_after_s", retryAfterSeconds}});
        answer(refusalResponse(503, "too_many", retryAfterSeconds));
        return;
    }
    auto entry = std::make_shared<forwarded_request>();
    entry->request = std::move(request);
    entry->request.attempt = m_env.processName + "/" + std::to_string(++m_attempts);
    entry->answer =
        m_lifetime.guard([this, weak = std::weak_ptr{entry}, answer = std::move(answer)](net::http_response response) {
            if (const auto answered = weak.lock()) {
                m_unanswered.erase({answered->dueAt, answered});
            }
            answer(std::move(response));
        });
    entry->receivedAt = m_env.time.now();
    const auto timeLimit = std::chrono::duration<double, std::micro>{time} * requestTimeoutFraction;
    const auto dueAt = entry->receivedAt + std::chrono::duration_cast<core::duration>(timeLimit);
    abandonBy(entry, m_deadline ? std::min(dueAt, *m_deadline) : dueAt);
    forward(entry);
}

auto request_forwarder::answerBy(core::monotonic_time deadline) -> void
{
    m_deadline = deadline;
    const auto unanswered = m_unanswered;
    for (const auto &[dueAt, entry] : unanswered) {
        abandonBy(entry, std::min(dueAt, deadline));
    }
}

auto request_forwarder::abandonBy(const std::shared_ptr<forwarded_request> &entry, core::monotonic_time time) -> void
{
    m_unanswered.erase({entry->dueAt, entry});
    entry->dueAt = time;
    m_unanswered.emplace(time, entry);
    awaitNextDue();
}

// One timer serves all requests: a timer for each would keep answered requests in memory until their time limit.
auto request_forwarder::awaitNextDue() -> void
{
    if (m_unanswered.empty()) {
        return;
    }
    const auto next = m_unanswered.begin()->first;
    if (m_wakeAt && *m_wakeAt <= next) {
        return;
    }
    m_wakeAt = next;
    m_env.time.callAfter(std::max(next - m_env.time.now(), core::duration{0}), m_lifetime.guard([this, next] {
        if (m_wakeAt == next) {
            m_wakeAt.reset();
        }
        abandonDue();
    }));
}

auto request_forwarder::abandonDue() -> void
{
    const auto now = m_env.time.now();
    while (!m_unanswered.empty() && m_unanswered.begin()->first <= now) {
        const auto entry = m_unanswered.begin()->second;
        if (entry->awaitingAnswer) {
            markMaybeCarriedOut(entry);
        }
        abandon(entry);
    }
    awaitNextDue();
}

auto request_forwarder::forward(const std::shared_ptr<forwarded_request> &entry) -> void
{
    if (entry->answered) {
        return;
    }
    entry->request.configVersion = std::max(m_env.routes.config().version, m_newestVersion);
    entry->request.isRepeated = entry->maybeCarriedOut;
    entry->request.ownerEpoch = std::max(m_env.ownerEpoch(), entry->answeredEpoch);
    ++entry->attempts;
    entry->awaitingAnswer = true;
    const bool handled = m_env.handleLocally(
        entry->request,
        m_lifetime.guard([this, entry](net::http_response response) { onAnswer(entry, std::move(response)); }));
    if (handled) {
        return;
    }
    const auto address = m_env.ownerAddress();
    if (address) {
        if (!refuseIfUnconfirmed(entry, *address)) {
            send(entry, *address);
        }
    } else {
        entry->awaitingAnswer = false;
        retry(entry);
    }
}

// One request in each period is forwarded all the same, to detect that the owner responds again.
auto request_forwarder::refuseIfUnconfirmed(const std::shared_ptr<forwarded_request> &entry, const std::string &address)
    -> bool
{
    const bool isUnresponsive = m_ownerUnresponsive && m_calledOwner == address;
    if (!isUnresponsive || entry->maybeCarriedOut || m_env.time.now() - m_calledAt >= ownerProbePeriod) {
        return false;
    }
    auto refusal = m_env.refuseUnconfirmed(entry->request);
    if (!refusal) {
        return false;
    }
    entry->finish(std::move(*refusal));
    return true;
}

auto request_forwarder::send(const std::shared_ptr<forwarded_request> &entry, const std::string &address) -> void
{
    m_calledOwner = address;
    m_calledAt = m_env.time.now();
    m_env.peers.forwardRequest(address, entry->request, m_lifetime.guard([this, entry, address](peer_answer answer) {
        updateOwnerAvailability(address, answer.response.has_value());
        if (answer.response) {
            onAnswer(entry, std::move(*answer.response));
            return;
        }
        if (answer.maybeReceived) {
            markMaybeCarriedOut(entry);
        }
        entry->awaitingAnswer = false;
        retry(entry);
    }));
}

auto request_forwarder::updateOwnerAvailability(const std::string &address, bool responds) -> void
{
    if (std::exchange(m_ownerUnresponsive, !responds) == !responds) {
        return;
    }
    m_env.log.log(responds ? log_level::info : log_level::warning, responds ? "owner_regained" : "owner_lost",
                  {{"owner", address}, {"effect", responds ? "none" : "requests_wait"}});
}

auto request_forwarder::markMaybeCarriedOut(const std::shared_ptr<forwarded_request> &entry) -> void
{
    entry->maybeCarriedOut = true;
    entry->unsettledEpoch = std::max(entry->unsettledEpoch, entry->request.ownerEpoch);
}

auto request_forwarder::onAnswer(const std::shared_ptr<forwarded_request> &entry, net::http_response response) -> void
{
    const auto version = core::parseInteger<std::uint64_t>(response.header(configHeader));
    m_newestVersion = std::max(m_newestVersion, version.value_or(0));
    // While another copy may still be carried out, a refusal is passed on only if the owner rules that out; else the
    // owner is asked again.
    const bool isUncertain = isRefusal(response) && entry->maybeCarriedOut && hasEffect(entry->request.verb)
        && epochOf(response) < std::max(entry->unsettledEpoch, std::uint64_t{1});
    if (response.status != notOwnerStatus && response.status != outcomeUnknownStatus && !isUncertain) {
        std::erase_if(response.headers, [](const net::http_header &field) {
            return field.name != "Content-Type" && field.name != "Retry-After" && field.name != "WWW-Authenticate";
        });
        entry->finish(std::move(response));
        return;
    }
    // Without an epoch the owner does not know what became of the other copy, and would refuse each further one.
    if (isUncertain && !isTemporaryRefusal(response) && epochOf(response) == 0) {
        abandon(entry);
        return;
    }
    // An owner that was deposed while storing a job cannot determine whether the append succeeded.
    if (response.status == outcomeUnknownStatus) {
        markMaybeCarriedOut(entry);
    }
    entry->answeredEpoch = std::max(entry->answeredEpoch, epochOf(response));
    entry->awaitingAnswer = false;
    retry(entry);
}

auto request_forwarder::retry(const std::shared_ptr<forwarded_request> &entry) -> void
{
    if (!entry->answered) {
        m_env.time.callAfter(forwardRetryDelay, m_lifetime.guard([this, entry] { forward(entry); }));
    }
}

// A submission or a cancellation that may have been stored must not be reported as refused: a refused request is
// guaranteed to have no effect.
auto request_forwarder::abandon(const std::shared_ptr<forwarded_request> &entry) -> void
{
    const bool maybeStored = hasEffect(entry->request.verb) && entry->maybeCarriedOut;
    const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(m_env.time.now() - entry->receivedAt);
    m_env.log.log(log_level::warning, "request_given_up",
                  {{"id", entry->request.job.str()},
                   {"verb", nameOf(entry->request.verb)},
                   {"attempts", entry->attempts},
                   {"maybe_stored", maybeStored},
                   {"owner", m_env.ownerAddress().value_or("none")},
                   {"config", entry->request.configVersion},
                   {"ms", waited.count()}});
    entry->finish(maybeStored ? unsettledResponse()
                              : refusalResponse(unavailableStatus, "no_owner", retryAfterSeconds));
}

auto request_forwarder::newestVersion() const -> std::uint64_t
{
    return m_newestVersion;
}
} // namespace poplarpass::host
