#pragma once

#include "timers.h"

#include <poplarpass/net/http_server.h>
#include <poplarpass/platform/host_list.h>

#include <map>

namespace standins
{
/// \brief Host list service that makes changes visible only after a lag.
class host_list_standin
{
public:
    /// \param address "IP:port" to listen on
    host_list_standin(boost::asio::io_context &loop, std::string_view address, std::chrono::milliseconds lag);

    /// \brief Returns the "IP:port" that the server listens on.
    [[nodiscard]] auto address() const -> std::string;

    /// \brief Adds \p host or replaces the host of that name; visible at once.
    auto add(const poplarpass::platform::listed_host &host) -> void;

    /// \brief Sets whether a host is leaving; visible after the lag.
    auto setLeaving(const poplarpass::core::host_id &host, bool leaving) -> void;

    /// \brief Removes a host from the list; visible after the lag.
    auto remove(const poplarpass::core::host_id &host) -> void;

private:
    using responder_ptr = std::shared_ptr<poplarpass::net::responder>;

    auto handle(const poplarpass::net::http_request &request, const responder_ptr &responder) -> void;
    auto handleChange(const poplarpass::net::http_request &request) -> int;
    [[nodiscard]] auto list() const -> poplarpass::net::http_response;

    std::map<poplarpass::core::host_id, poplarpass::platform::listed_host> m_hosts;
    std::chrono::milliseconds m_lag;
    bool m_outage = false;
    timers m_timers;
    poplarpass::net::http_server m_server;
};
} // namespace standins
