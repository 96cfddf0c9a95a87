#pragma once

#include <poplarpass/host/client_request.h>
#include <poplarpass/net/http_client.h>
#include <poplarpass/net/http_server.h>
#include <poplarpass/observe/logger.h>
#include <poplarpass/observe/metrics.h>
#include <poplarpass/route/route_table.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace poplarpass::host
{
/// \brief What the front door needs of its process.
struct front_door_environment
{
    boost::asio::io_context &loop; ///< Event loop.
    net::http_client &peers; ///< Client towards the other hosts.
    const route::route_table &routes; ///< Configuration in force here.
    observe::logger &log; ///< Event log.
    observe::metrics_registry &metrics; ///< Metrics.
    std::function<bool(const client_request &, client_answer)> handleHere; ///< Takes a request if this process owns
                                                                           ///< the pools.
    std::function<void(std::string_view)> onAnnouncement; ///< Another host announced an owner.
    std::function<std::optional<std::string>()> ownerAddress; ///< "IP:port" of the owner, if one is known.
};

/// \brief Takes callers' requests at any host and hands them to the owner of the pools.
class front_door
{
public:
    explicit front_door(front_door_environment environment);
    ~front_door();
    front_door(const front_door &) = delete;
    auto operator=(const front_door &) -> front_door & = delete;

    /// \brief Listens for callers on "IP:port".
    auto listenForCallers(std::string_view address) -> void;

    /// \brief Listens for the other hosts on "IP:port".
    auto listenForPeers(std::string_view address) -> void;

    /// \brief Accepts no more callers, and calls \p done when all are answered.
    auto drain(std::function<void()> done) -> void;

private:
    struct forwarding;

    auto onCaller(const net::http_request &request, const std::shared_ptr<net::responder> &caller) -> void;
    auto onPeer(const net::http_request &request, const std::shared_ptr<net::responder> &peer) -> void;
    auto forward(const std::shared_ptr<forwarding> &entry) -> void;
    auto send(const std::shared_ptr<forwarding> &entry, const std::string &address) -> void;
    auto onAnswer(const std::shared_ptr<forwarding> &entry, net::http_response response) -> void;
    auto retry(const std::shared_ptr<forwarding> &entry) -> void;
    auto giveUp(const std::shared_ptr<forwarding> &entry) -> void;
    auto finish(const std::shared_ptr<forwarding> &entry, net::http_response response) -> void;

    front_door_environment m_env;
    std::unique_ptr<net::http_server> m_callers;
    std::unique_ptr<net::http_server> m_peerServer;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};
} // namespace poplarpass::host
