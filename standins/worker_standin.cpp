#include "worker_standin.h"

#include "json_http.h"
#include "worker_codec.h"

#include <algorithm>

namespace standins
{
using nlohmann::json;
using poplarpass::net::http_request;
using poplarpass::net::http_response;

namespace
{
auto makeWorkers(boost::asio::io_context &loop, std::span<const inventory_host> hosts, const worker_options &options)
    -> std::vector<std::unique_ptr<worker_endpoint>>
{
    std::vector<std::unique_ptr<worker_endpoint>> workers;
    for (const auto &host : hosts) {
        workers.push_back(std::make_unique<worker_endpoint>(loop, host, options));
    }
    return workers;
}
} // namespace

worker_standin::worker_standin(boost::asio::io_context &loop, std::string_view controlAddress,
                               std::span<const inventory_host> hosts, const worker_options &options)
    : m_workers{makeWorkers(loop, hosts, options)}
    , m_server{loop, controlAddress, {}, [this](const http_request &request, const responder_ptr &responder) {
                   handle(request, responder);
               }}
{
}

auto worker_standin::controlAddress() const -> std::string
{
    return m_server.address();
}

auto worker_standin::workers() const -> std::span<const std::unique_ptr<worker_endpoint>>
{
    return m_workers;
}

auto worker_standin::handle(const http_request &request, const responder_ptr &responder) -> void
{
    if (request.method == "GET" && request.path() == "/workers") {
        responder->respond(listWorkers());
    } else if (request.method == "GET" && request.path() == "/journal") {
        responder->respond(journals());
    } else if (request.method == "POST" && request.path() == "/behaviour") {
        responder->respond(setBehaviour(request));
    } else {
        responder->respond(errorResponse(404, "unknown path"));
    }
}

auto worker_standin::setBehaviour(const http_request &request) -> http_response
{
    const auto worker = find(request.query("host").value_or(""));
    const auto document = jsonBody(request);
    if (worker == nullptr || !document) {
        return errorResponse(worker == nullptr ? 404 : 400, "no such worker, or not a behaviour");
    }
    worker->setBehaviour(decodeBehaviour(*document, worker->behaviour()));
    return jsonResponse(200, json::object());
}

auto worker_standin::listWorkers() const -> http_response
{
    json workers = json::array();
    for (const auto &worker : m_workers) {
        workers.push_back(encodeHost(worker->listed()));
    }
    return jsonResponse(200, {{"workers", std::move(workers)}});
}

auto worker_standin::journals() const -> http_response
{
    json workers = json::array();
    for (const auto &worker : m_workers) {
        workers.push_back(worker->journalJson());
    }
    return jsonResponse(200, {{"workers", std::move(workers)}});
}

auto worker_standin::find(std::string_view host) const -> worker_endpoint *
{
    const auto found =
        std::ranges::find_if(m_workers, [host](const auto &worker) { return worker->listed().host.str() == host; });
    return found == m_workers.end() ? nullptr : found->get();
}
} // namespace standins
