#pragma once

#include <poplarpass/core/lifetime.h>
#include <poplarpass/core/time_source.h>
#include <poplarpass/host/peer_calls.h>
#include <poplarpass/observe/logger.h>
#include <poplarpass/route/route_table.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace poplarpass::host
{
/// \brief Dependencies of a request_forwarder.
struct forwarder_environment
{
    const core::time_source &time; ///< Clocks and timer.
    const peer_calls &peers; ///< Client of the other hosts.
    const route::route_table &routes; ///< Active configuration.
    observe::logger &log; ///< Event log.
    /// \brief Handles a request if this process owns the pools; else returns false.
    std::function<bool(const client_request &, response_callback)> handleLocally;
    std::function<std::optional<std::string>()> ownerAddress; ///< "IP:port" of the owner, if known.
    std::function<std::uint64_t()> ownerEpoch; ///< Epoch of the owner; 0 if none is known.
    std::string processName; ///< Name of this process, unlike that of any other one, also of the same host.
    /// \brief Refusal of a request whose key can be checked neither here nor, as it does not respond, by the owner.
    std::function<std::optional<net::http_response>(const client_request &)> refuseUnconfirmed =
        [](const client_request &) {
            return std::nullopt;
        };
};

/// \brief Forwards callers' requests to the current owner of the pools; retries until a request's time limit is near.
class request_forwarder
{
public:
    explicit request_forwarder(forwarder_environment environment);

    /// \brief Answers \p request exactly once, at the latest shortly before \p time has passed.
    auto handleRequest(client_request request, core::duration time, response_callback answer) -> void;

    /// \brief Answers all requests by \p deadline, those that wait now and later ones: the process ends then.
    auto answerBy(core::monotonic_time deadline) -> void;

    /// \brief Returns the highest version of the configuration in answers of owners; 0 for none.
    [[nodiscard]] auto newestVersion() const -> std::uint64_t;

private:
    struct forwarded_request;

    auto forward(const std::shared_ptr<forwarded_request> &entry) -> void;
    auto send(const std::shared_ptr<forwarded_request> &entry, const std::string &address) -> void;
    auto refuseIfUnconfirmed(const std::shared_ptr<forwarded_request> &entry, const std::string &address) -> bool;
    auto updateOwnerAvailability(const std::string &address, bool responds) -> void;
    auto markMaybeCarriedOut(const std::shared_ptr<forwarded_request> &entry) -> void;
    auto onAnswer(const std::shared_ptr<forwarded_request> &entry, net::http_response response) -> void;
    auto retry(const std::shared_ptr<forwarded_request> &entry) -> void;
    auto abandonBy(const std::shared_ptr<forwarded_request> &entry, core::monotonic_time time) -> void;
    auto awaitNextDue() -> void;
    auto abandonDue() -> void;
    auto abandon(const std::shared_ptr<forwarded_request> &entry) -> void;

    forwarder_environment m_env;
    bool m_ownerUnresponsive = false; ///< Whether the last call to the owner got no answer.
    std::uint64_t m_attempts = 0; ///< Number of requests so far; numbers their attempts.
    std::string m_calledOwner; ///< Address of the last call to the owner.
    core::monotonic_time m_calledAt{}; ///< When it was sent.
    std::uint64_t m_newestVersion = 0;
    std::set<std::pair<core::monotonic_time, std::shared_ptr<forwarded_request>>>
        m_unanswered; ///< With the time by which each is given up.
    std::optional<core::monotonic_time> m_wakeAt; ///< When the next timer for them expires.
    std::optional<core::monotonic_time> m_deadline; ///< By when all requests must be answered.
    core::lifetime m_lifetime;
};
} // namespace poplarpass::host
