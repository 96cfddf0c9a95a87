#include "host_list_standin.h"

#include "inventory.h"
#include "json_http.h"

namespace standins
{
using nlohmann::json;
using poplarpass::core::host_id;
using poplarpass::net::http_request;
using poplarpass::net::http_response;

host_list_standin::host_list_standin(boost::asio::io_context &loop, std::string_view address,
                                     std::chrono::milliseconds lag)
    : m_lag{lag}
    , m_timers{loop}
    , m_server{loop, address, {}, [this](const http_request &request, const responder_ptr &responder) {
                   handle(request, responder);
               }}
{
}

auto host_list_standin::address() const -> std::string
{
    return m_server.address();
}

auto host_list_standin::add(const poplarpass::platform::listed_host &host) -> void
{
    m_hosts.insert_or_assign(host.host, host);
}

auto host_list_standin::setLeaving(const host_id &host, bool leaving) -> void
{
    m_timers.after(m_lag, [this, host, leaving] {
        if (const auto found = m_hosts.find(host); found != m_hosts.end()) {
            found->second.leaving = leaving;
        }
    });
}

auto host_list_standin::remove(const host_id &host) -> void
{
    m_timers.after(m_lag, [this, host] { m_hosts.erase(host); });
}

auto host_list_standin::handle(const http_request &request, const responder_ptr &responder) -> void
{
    if (request.method == "GET" && request.path() == "/hosts") {
        responder->respond(m_outage ? errorResponse(503, "outage") : list());
        return;
    }
    try {
        const auto status = request.method == "POST" ? handleChange(request) : 404;
        responder->respond(jsonResponse(status, json::object()));
    } catch (const json::exception &problem) {
        responder->respond(errorResponse(400, problem.what()));
    }
}

auto host_list_standin::handleChange(const http_request &request) -> int
{
    const auto document = json::parse(request.body);
    if (request.path() == "/fault") {
        readMember(document, "outage", m_outage);
    } else if (request.path() == "/register") {
        add(decodeHost(document));
    } else if (request.path() == "/mark") {
        setLeaving(host_id{document.at("host").get<std::string>()}, document.at("leaving").get<bool>());
    } else if (request.path() == "/remove") {
        remove(host_id{document.at("host").get<std::string>()});
    } else {
        return 404;
    }
    return 200;
}

auto host_list_standin::list() const -> http_response
{
    json hosts = json::array();
    for (const auto &[id, host] : m_hosts) {
        hosts.push_back(encodeHost(host));
    }
    return jsonResponse(200, {{"hosts", std::move(hosts)}});
}
} // namespace standins
