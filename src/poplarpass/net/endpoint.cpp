#include <poplarpass/net/endpoint.h>

#include <boost/asio/error.hpp>
#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace poplarpass::net::internal
{
namespace
{
[[noreturn]] auto throwInvalidAddress(std::string_view address) -> void
{
    throw boost::system::system_error{boost::asio::error::invalid_argument, std::string{address}};
}

auto withoutBrackets(std::string_view host) -> std::string_view
{
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    return bracketed ? host.substr(1, host.size() - 2) : host;
}
} // namespace

auto parseEndpoint(std::string_view address) -> boost::asio::ip::tcp::endpoint
{
    const auto colon = address.rfind(':');
    if (colon == std::string_view::npos) {
        throwInvalidAddress(address);
    }
    const auto digits = address.substr(colon + 1);
    std::uint16_t port = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (parsed.ec != std::errc{} || parsed.ptr != digits.data() + digits.size()) {
        throwInvalidAddress(address);
    }
    return {boost::asio::ip::make_address(std::string{withoutBrackets(address.substr(0, colon))}), port};
}

auto formatEndpoint(const boost::asio::ip::tcp::endpoint &endpoint) -> std::string
{
    const auto host = endpoint.address().to_string();
    const auto port = std::to_string(endpoint.port());
    return endpoint.address().is_v6() ? "[" + host + "]:" + port : host + ":" + port;
}
} // namespace poplarpass::net::internal
