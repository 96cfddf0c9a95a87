#pragma once

#include "timers.h"

#include <poplarpass/net/http_server.h>
#include <poplarpass/platform/host_list.h>

#include <map>

namespace standins
{
/// \brief List of live and leaving hosts that shows every change only after a lag.
class host_list_standin
{
public:
    /// \param address "IP:port" to listen on
    host_list_standin(boost::asio::io_context &loop, std::string_view address, std::chrono::milliseconds lag);

    /// \brief "IP:port" that it listens on.
    [[nodiscard]] auto address() const -> std::string;

    /// \brief Adds \p host, or replaces the one of that name; shown at once.
    auto add(const poplarpass::platform::listed_host &host) -> void;

    /// \brief Marks a host as leaving or not; shown after the lag.
    auto setLeaving(const poplarpass::core::host_id &host, bool leaving) -> void;

    /// \brief Takes a host from the list; shown after the lag.
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
