#pragma once

#include <poplarpass/net/http_server.h>

#include <cstdint>

namespace standins
{
/// \brief Accepts traces as OTLP/HTTP JSON and counts their spans.
class collector_standin
{
public:
    /// \param address "IP:port" to listen on
    collector_standin(boost::asio::io_context &loop, std::string_view address);

    /// \brief Returns the "IP:port" that the server listens on.
    [[nodiscard]] auto address() const -> std::string;

private:
    using responder_ptr = std::shared_ptr<poplarpass::net::responder>;

    auto handle(const poplarpass::net::http_request &request, const responder_ptr &responder) -> void;
    auto receive(const poplarpass::net::http_request &request) -> poplarpass::net::http_response;

    std::uint64_t m_requests = 0;
    std::uint64_t m_spans = 0;
    std::uint64_t m_rejected = 0;
    poplarpass::net::http_server m_server;
};
} // namespace standins
