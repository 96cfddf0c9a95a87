#pragma once

#include "inventory.h"
#include "worker_endpoint.h"

#include <memory>
#include <span>
#include <vector>

namespace standins
{
/// \brief Simulated workers in one process, with one common control port.
///
/// The control port serves `GET /workers`, `GET /journal` and `POST /behaviour?host=NAME`, also for workers that are
/// down.
class worker_standin
{
public:
    /// \param controlAddress "IP:port" of the control port
    worker_standin(boost::asio::io_context &loop, std::string_view controlAddress,
                   std::span<const inventory_host> hosts, const worker_options &options);

    /// \brief Returns the "IP:port" of the control port.
    [[nodiscard]] auto controlAddress() const -> std::string;

    /// \brief Returns the workers in the order of the inventory.
    [[nodiscard]] auto workers() const -> std::span<const std::unique_ptr<worker_endpoint>>;

private:
    using responder_ptr = std::shared_ptr<poplarpass::net::responder>;

    auto handle(const poplarpass::net::http_request &request, const responder_ptr &responder) -> void;
    auto setBehaviour(const poplarpass::net::http_request &request) -> poplarpass::net::http_response;
    [[nodiscard]] auto listWorkers() const -> poplarpass::net::http_response;
    [[nodiscard]] auto journals() const -> poplarpass::net::http_response;
    [[nodiscard]] auto find(std::string_view host) const -> worker_endpoint *;

    std::vector<std::unique_ptr<worker_endpoint>> m_workers;
    poplarpass::net::http_server m_server;
};
} // namespace standins
