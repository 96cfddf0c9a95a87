#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <string_view>

namespace poplarpass::net::internal
{
/// \brief Endpoint written as \p address, "IP:port" or "[IPv6]:port".
/// \throws boost::system::system_error when it is not one
auto parseEndpoint(std::string_view address) -> boost::asio::ip::tcp::endpoint;

/// \brief "IP:port" of \p endpoint.
auto formatEndpoint(const boost::asio::ip::tcp::endpoint &endpoint) -> std::string;
} // namespace poplarpass::net::internal
