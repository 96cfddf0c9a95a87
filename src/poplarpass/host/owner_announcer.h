#pragma once

#include <poplarpass/net/http_client.h>
#include <poplarpass/observe/logger.h>
#include <poplarpass/owner/owner_watch.h>
#include <poplarpass/store/record_store.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace poplarpass::host
{
/// \brief Header that carries an announcement of the owner between hosts.
inline constexpr std::string_view ownerHeader = "X-Poplarpass-Owner";

/// \brief Tells the other hosts who owns the pools, so that a host that cannot reach the store finds the owner.
class owner_announcer
{
public:
    /// \brief Called with the name of a host that has taken note of an announcement: it gives no orders any more.
    using confirmed_hook = std::function<void(const std::string &)>;

    owner_announcer(boost::asio::io_context &loop, const store::record_store &records, net::http_client &peers,
                    observe::logger &log, std::string hostName, std::string address);
    ~owner_announcer();
    owner_announcer(const owner_announcer &) = delete;
    auto operator=(const owner_announcer &) -> owner_announcer & = delete;

    /// \brief Records this host among the hosts, until that is stored.
    auto enrol() -> void;

    /// \brief Announces \p record to every host, again and again, until stop().
    auto announce(const owner::owner_record &record, confirmed_hook onConfirmed) -> void;

    /// \brief Ends the announcements.
    auto stop() -> void;

private:
    auto round(std::uint64_t serial) -> void;
    auto tell(const std::string &host, const std::string &address, std::uint64_t serial) -> void;

    boost::asio::io_context &m_loop;
    const store::record_store &m_store;
    net::http_client &m_peers;
    observe::logger &m_log;
    std::string m_hostName;
    std::string m_address;
    std::string m_announcement;
    confirmed_hook m_onConfirmed;
    std::map<std::string, std::string> m_hosts;
    std::map<std::string, bool> m_confirmed;
    std::uint64_t m_serial = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};
} // namespace poplarpass::host
