#pragma once

#include <poplarpass/core/lifetime.h>
#include <poplarpass/core/time_source.h>
#include <poplarpass/host/peer_calls.h>
#include <poplarpass/observe/logger.h>
#include <poplarpass/owner/owner_monitor.h>
#include <poplarpass/store/record_store.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace poplarpass::host
{
/// \brief How other hosts reach a host, and whether it is large enough to own the pools under load.
struct registered_host
{
    std::string address; ///< "IP:port" for other hosts.
    bool isLarge = false; ///< Whether it keeps up as the owner during load spikes.

    auto operator==(const registered_host &) const -> bool = default;
};

/// \brief Encodes \p host as text for the store.
auto encodeRegisteredHost(const registered_host &host) -> std::string;

/// \brief Decodes a record that encodeRegisteredHost() wrote; a record without a size is that of a small host.
auto decodeRegisteredHost(std::string_view text) -> registered_host;

/// \brief Announces the owner to the other hosts, so that a host that cannot reach the store still finds it.
class owner_announcer
{
public:
    /// \brief Called with the name of a host that acknowledged an announcement and so sends no orders of a former term.
    using acknowledged_hook = std::function<void(const std::string &)>;

    owner_announcer(const core::time_source &time, const store::record_store &records, const peer_calls &peers,
                    observe::logger &log, std::string hostName, registered_host self);

    /// \brief Adds this host to the store's list of hosts; retries until that is stored.
    auto registerHost() -> void;

    /// \brief Announces \p record to every other host periodically until stop().
    auto announce(const owner::owner_record &record, acknowledged_hook onAcknowledged) -> void;

    /// \brief Returns whether a large host has acknowledged the current announcement, and so could take over.
    [[nodiscard]] auto hasLargeHostAcknowledged() const -> bool;

    /// \brief Stops the announcements.
    auto stop() -> void;

private:
    auto sendAnnouncements(std::uint64_t serial) -> void;
    auto sendAnnouncement(const std::string &host, const std::string &address, std::uint64_t serial) -> void;

    const core::time_source &m_time;
    const store::record_store &m_store;
    const peer_calls &m_peers;
    observe::logger &m_log;
    std::string m_hostName;
    registered_host m_self;
    owner::owner_record m_announcement;
    acknowledged_hook m_onAcknowledged;
    std::map<std::string, registered_host> m_hosts;
    std::map<std::string, bool> m_acknowledged;
    std::uint64_t m_serial = 0;
    core::lifetime m_lifetime;
};
} // namespace poplarpass::host
