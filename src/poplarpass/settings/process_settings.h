#pragma once

#include <poplarpass/core/string_id.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

/// Settings that a process is started with.
namespace poplarpass::settings
{
/// \brief Section [process]: which process this is and where it stands.
struct identity_settings
{
    core::member_id name; ///< Name of this process; a replacement keeps it.
    core::region_id region; ///< Region of its host.
    core::zone_id zone; ///< Availability zone of its host.
};

/// \brief Section [listen]: addresses "IP:port" that the process binds; port 0 takes a free one.
struct listen_settings
{
    std::string callers; ///< HTTP of the callers; may be empty for a control.
    std::string peers; ///< Links of the other processes.
    std::string admin; ///< Metrics and status.
    std::string advertise; ///< Address at which peers reach this process; that of the links unless set.
};

/// \brief Section [deployment]: what all processes of one deployment have in common.
struct deployment_settings
{
    std::string name; ///< Name of the deployment.
    std::vector<core::zone_id> zones; ///< Availability zones in which its processes stand.
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

/// \brief Kind of one of the system's processes.
enum class peer_kind {
    entry, ///< Takes requests of callers.
    control, ///< May hold the control role.
};

/// \brief Section [[peers]]: one process of the deployment; may be this process itself.
struct peer_settings
{
    core::member_id name; ///< Its name.
    std::string address; ///< "IP:port" of its link.
    peer_kind kind = peer_kind::entry; ///< Its kind.
};

/// \brief Section [limits]: bounds on what the process takes in and remembers.
struct limit_settings
{
    std::uint64_t maxBodyBytes = 0; ///< Body of one request, bytes.
    std::uint64_t maxQueue = 0; ///< Queued jobs of one pool.
    std::chrono::milliseconds requestReadTimeout{}; ///< Time for a caller to send a request.
    std::uint64_t maxConnections = 0; ///< Open connections of callers.
    std::uint64_t maxRememberedKeys = 0; ///< Idempotency keys kept in memory.
    std::chrono::seconds keyRetention{}; ///< Time that an idempotency key is remembered.
    std::chrono::seconds keyClockSkew{}; ///< Permitted difference of a caller's clock.
};

/// \brief Section [timing]: periods and timeouts between the processes.
struct timing_settings
{
    std::chrono::milliseconds heartbeat{}; ///< Period of heartbeats to peers.
    std::chrono::milliseconds freshness{}; ///< Time that a confirmed view stays good.
    std::chrono::milliseconds removalEffect{}; ///< Delay until the removal of a member takes effect.
    std::chrono::milliseconds hostListPoll{}; ///< Period of reading the host list.
    std::chrono::milliseconds leaseRenew{}; ///< Period of renewing the leases of workers.
};

/// \brief Section [log]: event log of the process.
struct log_settings
{
    std::string level; ///< Least level that is written: trace, debug, info, warning or error.
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
/// \brief Margin between the end of every authority of a removed member and the effect of its removal.
inline constexpr std::chrono::milliseconds removalMargin{1000};
/// \brief Least length of the shared key, characters.
inline constexpr std::size_t minSecretLength = 16;

/// \brief Wire name of \p kind.
auto nameOf(peer_kind kind) -> std::string_view;
} // namespace poplarpass::settings
