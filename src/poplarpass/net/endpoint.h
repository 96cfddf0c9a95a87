#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <string_view>

namespace poplarpass::net::internal
{
/// \brief Parses \p address, "IP:port" or "[IPv6]:port".
/// \throws boost::system::system_error when \p address is malformed
auto parseEndpoint(std::string_view address) -> boost::asio::ip::tcp::endpoint;

/// \brief Returns \p endpoint as "IP:port" or "[IPv6]:port".
auto formatEndpoint(const boost::asio::ip::tcp::endpoint &endpoint) -> std::string;
} // namespace poplarpass::net::internal
