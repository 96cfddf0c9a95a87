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

namespace poplarpass::host
{
/// \brief Announces the owner to the other hosts, so that a host that cannot reach the store still finds it.
class owner_announcer
{
public:
    /// \brief Called with the name of a host that acknowledged an announcement and so sends no orders of a former term.
    using acknowledged_hook = std::function<void(const std::string &)>;

    owner_announcer(const core::time_source &time, const store::record_store &records, const peer_calls &peers,
                    observe::logger &log, std::string hostName, std::string address);

    /// \brief Adds this host to the store's list of hosts; retries until that is stored.
    auto registerHost() -> void;

    /// \brief Announces \p record to every other host periodically until stop().
    auto announce(const owner::owner_record &record, acknowledged_hook onAcknowledged) -> void;

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
    std::string m_address;
    owner::owner_record m_announcement;
    acknowledged_hook m_onAcknowledged;
    std::map<std::string, std::string> m_hosts;
    std::map<std::string, bool> m_acknowledged;
    std::uint64_t m_serial = 0;
    core::lifetime m_lifetime;
};
} // namespace poplarpass::host
