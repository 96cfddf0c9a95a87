#include <poplarpass/host/constants.h>
#include <poplarpass/host/request_forwarder.h>

#include <algorithm>
#include <utility>

namespace poplarpass::host
{
using observe::log_level;

/// \brief A caller's request and the state of its forwarding.
struct request_forwarder::forwarding
{
    client_request request;
    client_answer answer;
    core::monotonic_time receivedAt{};
    bool maybeCarriedOut = false;
    bool handedOver = false; ///< Whether it was sent to the owner and the answer is pending.
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

auto request_forwarder::take(client_request request, core::duration time, client_answer answer) -> void
{
    if (m_open >= mostForwarded) {
        m_env.log.log(log_level::warning, "request_refused",
                      {{"id", request.job.str()},
                       {"verb", nameOf(request.verb)},
                       {"reason", "too_many"},
                       {"open", m_open},
                       {"retry_after_s", retryAfterSeconds}});
        answer(refusalResponse(503, "too_many", retryAfterSeconds));
        return;
    }
    ++m_open;
    auto entry = std::make_shared<forwarding>();
    entry->request = std::move(request);
    entry->answer = m_life.guard([this, answer = std::move(answer)](net::http_response response) {
        --m_open;
        answer(std::move(response));
    });
    entry->receivedAt = m_env.time.now();
    const auto share = std::chrono::duration<double, std::micro>{time} * requestTimeShare;
    m_env.time.callAfter(std::chrono::duration_cast<core::duration>(share), m_life.guard([this, entry] {
        if (!entry->answered) {
            entry->maybeCarriedOut = entry->maybeCarriedOut || entry->handedOver;
            giveUp(entry);
        }
    }));
    forward(entry);
}

auto request_forwarder::forward(const std::shared_ptr<forwarding> &entry) -> void
{
    if (entry->answered) {
        return;
    }
    entry->request.configVersion = m_env.routes.config().version;
    ++entry->attempts;
    entry->handedOver = true;
    const bool taken = m_env.handleHere(entry->request, m_life.guard([this, entry](net::http_response response) {
        onAnswer(entry, std::move(response));
    }));
    if (taken) {
        return;
    }
    const auto address = m_env.ownerAddress();
    if (address) {
        send(entry, *address);
    } else {
        entry->handedOver = false;
        retry(entry);
    }
}

auto request_forwarder::send(const std::shared_ptr<forwarding> &entry, const std::string &address) -> void
{
    m_env.peers.hand(address, entry->request, m_life.guard([this, entry, address](peer_answer answer) {
        noteOwner(address, answer.response.has_value());
        if (answer.response) {
            onAnswer(entry, std::move(*answer.response));
            return;
        }
        entry->maybeCarriedOut = entry->maybeCarriedOut || answer.maybeTaken;
        entry->handedOver = false;
        retry(entry);
    }));
}

auto request_forwarder::noteOwner(const std::string &address, bool answers) -> void
{
    if (std::exchange(m_ownerLost, !answers) == !answers) {
        return;
    }
    m_env.log.log(answers ? log_level::info : log_level::warning, answers ? "owner_regained" : "owner_lost",
                  {{"owner", address}, {"effect", answers ? "none" : "requests_wait"}});
}

auto request_forwarder::onAnswer(const std::shared_ptr<forwarding> &entry, net::http_response response) -> void
{
    if (response.status != notOwnerStatus && response.status != unsettledStatus) {
        std::erase_if(response.headers, [](const net::http_header &field) {
            return field.name != "Content-Type" && field.name != "Retry-After";
        });
        entry->finish(std::move(response));
        return;
    }
    // An owner that was deposed while storing a job cannot determine whether the append succeeded.
    entry->maybeCarriedOut = entry->maybeCarriedOut || response.status == unsettledStatus;
    entry->handedOver = false;
    retry(entry);
}

auto request_forwarder::retry(const std::shared_ptr<forwarding> &entry) -> void
{
    if (!entry->answered) {
        m_env.time.callAfter(forwardRetry, m_life.guard([this, entry] { forward(entry); }));
    }
}

// A submission that may have been stored must not be reported as refused, which means that it was not carried out.
auto request_forwarder::giveUp(const std::shared_ptr<forwarding> &entry) -> void
{
    const bool maybeStored = entry->request.verb == client_verb::submit && entry->maybeCarriedOut;
    const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(m_env.time.now() - entry->receivedAt);
    m_env.log.log(log_level::warning, "request_given_up",
                  {{"id", entry->request.job.str()},
                   {"verb", nameOf(entry->request.verb)},
                   {"attempts", entry->attempts},
                   {"maybe_stored", maybeStored},
                   {"owner", m_env.ownerAddress().value_or("none")},
                   {"config", entry->request.configVersion},
                   {"ms", waited.count()}});
    entry->finish(maybeStored ? plainResponse(504, "outcome_unknown")
                              : refusalResponse(503, "no_owner", retryAfterSeconds));
}
} // namespace poplarpass::host
