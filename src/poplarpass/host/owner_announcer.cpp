#include <poplarpass/host/constants.h>
#include <poplarpass/host/owner_announcer.h>

#include <algorithm>
#include <utility>

namespace poplarpass::host
{
using observe::log_level;

namespace
{
constexpr std::string_view largeSuffix = " large";
} // namespace

auto encodeRegisteredHost(const registered_host &host) -> std::string
{
    return host.address + std::string{host.isLarge ? largeSuffix : std::string_view{}};
}

auto decodeRegisteredHost(std::string_view text) -> registered_host
{
    const bool isLarge = text.ends_with(largeSuffix);
    text.remove_suffix(isLarge ? largeSuffix.size() : 0);
    return {std::string{text}, isLarge};
}

owner_announcer::owner_announcer(const core::time_source &time, const store::record_store &records,
                                 const peer_calls &peers, observe::logger &log, std::string hostName,
                                 registered_host self)
    : m_time{time}
    , m_store{records}
    , m_peers{peers}
    , m_log{log}
    , m_hostName{std::move(hostName)}
    , m_self{std::move(self)}
{
}

auto owner_announcer::registerHost() -> void
{
    store::record_append request;
    request.to = store::topic::hosts;
    request.keyedRecords.push_back({m_hostName, encodeRegisteredHost(m_self)});
    m_store.append(std::move(request), m_lifetime.guard([this](const store::append_result &answer) {
        if (answer.outcome != store::append_outcome::appended) {
            m_time.callAfter(storeRetryDelay, m_lifetime.guard([this] { registerHost(); }));
        }
    }));
}

auto owner_announcer::announce(const owner::owner_record &record, acknowledged_hook onAcknowledged) -> void
{
    m_announcement = record;
    m_onAcknowledged = std::move(onAcknowledged);
    m_acknowledged.clear();
    sendAnnouncements(++m_serial);
}

auto owner_announcer::hasLargeHostAcknowledged() const -> bool
{
    return std::ranges::any_of(m_hosts, [this](const auto &entry) {
        const auto acknowledged = m_acknowledged.find(entry.first);
        return entry.second.isLarge && acknowledged != m_acknowledged.end() && acknowledged->second;
    });
}

auto owner_announcer::stop() -> void
{
    ++m_serial;
    m_onAcknowledged = nullptr;
}

// Reads the list of hosts in each round, so that hosts registered since the last round are included.
auto owner_announcer::sendAnnouncements(std::uint64_t serial) -> void
{
    m_store.newest(store::topic::hosts, m_lifetime.guard([this, serial](const store::newest_result &newest) {
        if (serial != m_serial) {
            return;
        }
        for (const auto &record : newest.records) {
            m_hosts[record.key] = decodeRegisteredHost(record.value);
        }
        bool allAcknowledged = true;
        for (const auto &[host, registered] : m_hosts) {
            if (host != m_hostName) {
                allAcknowledged = allAcknowledged && m_acknowledged[host];
                sendAnnouncement(host, registered.address, serial);
            }
        }
        m_time.callAfter(allAcknowledged ? announcementPeriod : announcementRetryPeriod,
                         m_lifetime.guard([this, serial] {
                             if (serial == m_serial) {
                                 sendAnnouncements(serial);
                             }
                         }));
    }));
}

auto owner_announcer::sendAnnouncement(const std::string &host, const std::string &address, std::uint64_t serial)
    -> void
{
    m_peers.announce(address, m_announcement, m_lifetime.guard([this, host, serial](bool acknowledged) {
        if (serial == m_serial && acknowledged && !std::exchange(m_acknowledged[host], true)) {
            m_log.log(log_level::info, "owner_announced", {{"host", host}});
            m_onAcknowledged(host);
        }
    }));
}
} // namespace poplarpass::host
