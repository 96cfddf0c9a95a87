#include "collector_standin.h"

#include "json_http.h"

namespace standins
{
using nlohmann::json;
using poplarpass::net::http_request;
using poplarpass::net::http_response;

namespace
{
auto countSpans(const json &document) -> std::uint64_t
{
    std::uint64_t count = 0;
    for (const auto &resource : document.at("resourceSpans")) {
        for (const auto &scope : resource.at("scopeSpans")) {
            count += scope.at("spans").size();
        }
    }
    return count;
}
} // namespace

collector_standin::collector_standin(boost::asio::io_context &loop, std::string_view address)
    : m_server{loop, address, {}, [this](const http_request &request, const responder_ptr &responder) {
                   handle(request, responder);
               }}
{
}

auto collector_standin::address() const -> std::string
{
    return m_server.address();
}

auto collector_standin::handle(const http_request &request, const responder_ptr &responder) -> void
{
    if (request.method == "POST" && request.path() == "/v1/traces") {
        responder->respond(receive(request));
    } else if (request.method == "GET" && request.path() == "/stats") {
        responder->respond(jsonResponse(200, {{"requests", m_requests}, {"spans", m_spans}, {"rejected", m_rejected}}));
    } else {
        responder->respond(errorResponse(404, "unknown path"));
    }
}

auto collector_standin::receive(const http_request &request) -> http_response
{
    try {
        m_spans += countSpans(json::parse(request.body));
        ++m_requests;
        return jsonResponse(200, {{"partialSuccess", json::object()}});
    } catch (const json::exception &problem) {
        ++m_rejected;
        return errorResponse(400, problem.what());
    }
}
} // namespace standins
