#pragma once

#include <poplarpass/core/string_id.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

/// Settings that a process is started with.
namespace poplarpass::settings
{
/// \brief Section [process]: identity and location of the process.
struct identity_settings
{
    core::member_id name; ///< Name of this process; unchanged when the process is replaced.
    core::region_id region; ///< Region of its host.
    core::zone_id zone; ///< Availability zone of its host.
};

/// \brief Section [listen]: addresses "IP:port" that the process binds; port 0 selects a free port.
struct listen_settings
{
    std::string callers; ///< HTTP for callers' requests; may be empty for a control process.
    std::string peers; ///< Links from other processes.
    std::string admin; ///< Metrics and status.
    std::string advertise; ///< Address at which peers reach this process; equal to peers unless set.
};

/// \brief Section [deployment]: settings shared by all processes of a deployment.
struct deployment_settings
{
    std::string name; ///< Name of the deployment.
    std::vector<core::zone_id> zones; ///< Availability zones of its processes.
    std::string secret; ///< Shared key of peers and operators, also when it was read from secretFile.
    std::string secretFile; ///< File that holds the shared key; empty if the key is in the settings.
};

/// \brief Section [platform]: addresses "IP:port" of the platform's services.
struct platform_settings
{
    std::string log; ///< Log service.
    std::string hostList; ///< Host list.
    std::string collector; ///< Trace collector (OTLP/HTTP); empty if there is none.
};

/// \brief Kind of a process.
enum class peer_kind {
    entry, ///< Accepts callers' requests.
    control, ///< May hold the control role.
};

/// \brief Section [[peers]]: one process of the deployment; may be this process itself.
struct peer_settings
{
    core::member_id name; ///< Name of the process.
    std::string address; ///< "IP:port" of its link.
    peer_kind kind = peer_kind::entry; ///< Kind of the process.
};

/// \brief Section [limits]: limits on requests, connections and stored idempotency keys.
struct limit_settings
{
    std::uint64_t maxBodyBytes = 0; ///< Maximum size of a request body, bytes.
    std::uint64_t maxQueue = 0; ///< Maximum number of queued jobs of one pool.
    std::chrono::milliseconds requestReadTimeout{}; ///< Timeout for receiving a complete request from a caller.
    std::uint64_t maxConnections = 0; ///< Maximum number of open connections from callers.
    std::uint64_t maxRememberedKeys = 0; ///< Maximum number of idempotency keys in memory.
    std::chrono::seconds keyRetention{}; ///< Retention time of an idempotency key.
    std::chrono::seconds keyClockSkew{}; ///< Permitted clock skew of a caller.
};

/// \brief Section [timing]: periods and timeouts between the processes.
struct timing_settings
{
    std::chrono::milliseconds heartbeat{}; ///< Period of heartbeats to peers.
    std::chrono::milliseconds freshness{}; ///< Time for which a confirmed view remains valid.
    std::chrono::milliseconds removalEffect{}; ///< Delay until the removal of a member takes effect.
    std::chrono::milliseconds hostListPoll{}; ///< Polling period of the host list.
    std::chrono::milliseconds leaseRenew{}; ///< Period of renewing the leases of workers.
};

/// \brief Section [log]: event log of the process.
struct log_settings
{
    std::string level; ///< Minimum level that is logged: trace, debug, info, warning or error.
};

/// \brief All settings of one process.
/// \sa load
struct process_settings
{
    identity_settings process; ///< [process]
    listen_settings listen; ///< [listen]
    deployment_settings deployment; ///< [deployment]
    platform_settings platform; ///< [platform]
    std::vector<peer_settings> peers; ///< [[peers]]
    limit_settings limits; ///< [limits]
    timing_settings timing; ///< [timing]
    log_settings log; ///< [log]
};

/// \brief Term of the lease that a worker grants.
inline constexpr std::chrono::milliseconds workerLeaseTerm{3000};
/// \brief Margin between the expiry of every authority of a removed member and the effect of its removal.
inline constexpr std::chrono::milliseconds removalMargin{1000};
/// \brief Minimum length of the shared key, characters.
inline constexpr std::size_t minSecretLength = 16;

/// \brief Returns the wire name of \p kind.
auto nameOf(peer_kind kind) -> std::string_view;
} // namespace poplarpass::settings
