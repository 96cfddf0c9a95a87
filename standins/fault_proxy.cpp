#include "fault_proxy.h"

#include "json_http.h"
#include "proxy_connection.h"

#include <poplarpass/net/endpoint.h>

#include <array>
#include <set>

namespace standins
{
using nlohmann::json;
using poplarpass::net::http_request;
using poplarpass::net::http_response;

namespace internal
{
using boost::asio::ip::tcp;
using boost::system::error_code;

/// \brief Acceptor and connections of one pair of addresses.
class proxy_pair : public std::enable_shared_from_this<proxy_pair>
{
public:
    proxy_pair(boost::asio::io_context &loop, const fault_proxy::route &route)
        : m_loop{loop}
        , m_acceptor{loop, poplarpass::net::internal::parseEndpoint(route.listen)}
        , m_target{poplarpass::net::internal::parseEndpoint(route.target)}
        , m_address{poplarpass::net::internal::formatEndpoint(m_acceptor.local_endpoint())}
        , m_faults{std::make_shared<proxy_faults>()}
    {
    }

    auto accept() -> void
    {
        m_acceptor.async_accept([self = shared_from_this()](error_code problem, tcp::socket client) {
            if (!self->m_acceptor.is_open()) {
                return;
            }
            if (!problem) {
                self->add(std::move(client));
            }
            self->accept();
        });
    }

    auto stop() -> void
    {
        error_code ignored;
        m_acceptor.close(ignored);
        closeConnections(false);
    }

    auto setFaults(const proxy_faults &faults) -> void
    {
        m_faults = std::make_shared<proxy_faults>(faults);
        const auto connections = m_connections;
        for (const auto &connection : connections) {
            connection->onFaultsChanged(m_faults);
        }
    }

    [[nodiscard]] auto faults() const -> const proxy_faults &
    {
        return *m_faults;
    }

    [[nodiscard]] auto address() const -> const std::string &
    {
        return m_address;
    }

    [[nodiscard]] auto connectionCount() const -> std::size_t
    {
        return m_connections.size();
    }

private:
    auto add(tcp::socket client) -> void
    {
        const auto connection = std::make_shared<proxy_connection>(
            m_loop, std::move(client), m_faults, [weak = weak_from_this()](proxy_connection &closed) {
                if (const auto self = weak.lock()) {
                    std::erase_if(self->m_connections,
                                  [&closed](const auto &candidate) { return candidate.get() == &closed; });
                }
            });
        m_connections.insert(connection);
        connection->start(m_target);
    }

    auto closeConnections(bool withReset) -> void
    {
        const auto connections = m_connections;
        for (const auto &connection : connections) {
            connection->close(withReset);
        }
    }

    boost::asio::io_context &m_loop;
    tcp::acceptor m_acceptor;
    tcp::endpoint m_target;
    std::string m_address;
    std::shared_ptr<const proxy_faults> m_faults;
    std::set<std::shared_ptr<proxy_connection>> m_connections;
};
} // namespace internal

namespace
{
constexpr std::array<std::string_view, 4> cutNames{"none", "to_server", "to_client", "both"};

auto decodeCut(std::string_view name) -> proxy_cut
{
    const auto found = std::ranges::find(cutNames, name);
    return found == cutNames.end() ? proxy_cut::none : static_cast<proxy_cut>(found - cutNames.begin());
}

// A request replaces all faults: those it omits are cleared.
auto decodeFaults(const json &document) -> proxy_faults
{
    proxy_faults faults;
    std::string cut = "none";
    readMember(document, "cut", cut);
    faults.cut = decodeCut(cut);
    readMember(document, "delay_ms", faults.delayMs);
    readMember(document, "reset", faults.reset);
    readMember(document, "half_open", faults.halfOpen);
    readMember(document, "truncate_after", faults.truncateAfter);
    readMember(document, "drip_bytes_per_s", faults.dripBytesPerS);
    readMember(document, "duplicate_response", faults.duplicateResponse);
    return faults;
}
} // namespace

fault_proxy::fault_proxy(boost::asio::io_context &loop, std::string_view controlAddress, std::span<const route> routes)
    : m_server{loop,
               controlAddress,
               {},
               [this](const http_request &request, const std::shared_ptr<poplarpass::net::responder> &responder) {
                   responder->respond(handle(request));
               }}
{
    for (const auto &route : routes) {
        m_pairs.push_back(std::make_shared<internal::proxy_pair>(loop, route));
        m_pairs.back()->accept();
    }
}

fault_proxy::~fault_proxy()
{
    for (const auto &pair : m_pairs) {
        pair->stop();
    }
}

auto fault_proxy::controlAddress() const -> std::string
{
    return m_server.address();
}

auto fault_proxy::address(std::size_t index) const -> std::string
{
    return m_pairs.at(index)->address();
}

auto fault_proxy::setFaults(std::size_t index, const proxy_faults &faults) -> void
{
    m_pairs.at(index)->setFaults(faults);
}

auto fault_proxy::connectionCount(std::size_t index) const -> std::size_t
{
    return m_pairs.at(index)->connectionCount();
}

auto fault_proxy::handle(const http_request &request) -> http_response
{
    const auto document = jsonBody(request);
    if (request.method != "POST" || request.path() != "/fault" || !document) {
        return errorResponse(404, "not a request of the proxy");
    }
    try {
        const auto faults = decodeFaults(*document);
        const auto selected = numberQuery(request, "pair", m_pairs.size());
        for (std::size_t index = 0; index < m_pairs.size(); ++index) {
            if (selected == m_pairs.size() || selected == index) {
                setFaults(index, faults);
            }
        }
        return jsonResponse(200, json::object());
    } catch (const json::exception &problem) {
        return errorResponse(400, problem.what());
    }
}
} // namespace standins
