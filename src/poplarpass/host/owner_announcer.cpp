#include <poplarpass/app/ticker.h>
#include <poplarpass/host/constants.h>
#include <poplarpass/host/owner_announcer.h>

#include <utility>

namespace poplarpass::host
{
using observe::log_level;

owner_announcer::owner_announcer(boost::asio::io_context &loop, const store::record_store &records,
                                 net::http_client &peers, observe::logger &log, std::string hostName,
                                 std::string address)
    : m_loop{loop}
    , m_store{records}
    , m_peers{peers}
    , m_log{log}
    , m_hostName{std::move(hostName)}
    , m_address{std::move(address)}
{
}

owner_announcer::~owner_announcer()
{
    *m_alive = false;
}

auto owner_announcer::enrol() -> void
{
    store::append_request request;
    request.to = store::topic::hosts;
    request.keyedRecords.push_back({m_hostName, m_address});
    m_store.append(std::move(request), [this, alive = m_alive](const store::append_result &answer) {
        if (!*alive || answer.outcome == store::append_outcome::appended) {
            return;
        }
        app::callAfter(m_loop, storeRetry, [this, alive] {
            if (*alive) {
                enrol();
            }
        });
    });
}

auto owner_announcer::announce(const owner::owner_record &record, confirmed_hook onConfirmed) -> void
{
    m_announcement = owner::encodeOwnerRecord(record);
    m_onConfirmed = std::move(onConfirmed);
    m_confirmed.clear();
    round(++m_serial);
}

auto owner_announcer::stop() -> void
{
    ++m_serial;
    m_onConfirmed = nullptr;
}

// The list is read in each round, so that a host that came since is told too.
auto owner_announcer::round(std::uint64_t serial) -> void
{
    m_store.newest(store::topic::hosts, [this, alive = m_alive, serial](const store::newest_result &newest) {
        if (!*alive || serial != m_serial) {
            return;
        }
        for (const auto &record : newest.records) {
            m_hosts[record.key] = record.value;
        }
        bool allKnow = true;
        for (const auto &[host, address] : m_hosts) {
            if (host != m_hostName) {
                allKnow = allKnow && m_confirmed[host];
                tell(host, address, serial);
            }
        }
        app::callAfter(m_loop, allKnow ? announcementPeriod : announcementRetry, [this, alive, serial] {
            if (*alive && serial == m_serial) {
                round(serial);
            }
        });
    });
}

auto owner_announcer::tell(const std::string &host, const std::string &address, std::uint64_t serial) -> void
{
    net::http_request call;
    call.method = "POST";
    call.target = "/owner";
    call.headers.push_back({std::string{ownerHeader}, m_announcement});
    m_peers.send(
        address, std::move(call), announcementTimeout,
        [this, alive = m_alive, host, serial](const core::result<net::http_response> &answer, net::sent_state) {
            if (!*alive || serial != m_serial) {
                return;
            }
            const bool taken = answer && answer->status == 200;
            if (taken && !std::exchange(m_confirmed[host], true)) {
                m_log.log(log_level::info, "owner_announced", {{"host", host}});
                m_onConfirmed(host);
            }
        });
}
} // namespace poplarpass::host
