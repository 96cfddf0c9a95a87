#pragma once

#include <poplarpass/net/http_server.h>

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace standins
{
namespace internal
{
class proxy_pair;
} // namespace internal

/// \brief Directions in which a proxy holds bytes back.
enum class proxy_cut {
    none, ///< Bytes flow.
    to_server, ///< Bytes to the server wait until the cut ends.
    to_client, ///< Bytes to the client wait until the cut ends.
    both, ///< All bytes wait until the cut ends.
};

/// \brief Faults of one pair, set by `POST /fault`.
struct proxy_faults
{
    std::int64_t delayMs = 0; ///< Delay of every piece of data, in both directions.
    proxy_cut cut = proxy_cut::none; ///< Which direction is cut.
    bool reset = false; ///< Resets the connections that are open, and every new one.
    bool halfOpen = false; ///< Open and new connections stay open, but nothing passes on them ever again.
    std::int64_t truncateAfter = -1; ///< Closes a connection after this many bytes to the client; -1 does not.
    std::int64_t dripBytesPerS = 0; ///< Rate in bytes a second; 0 does not limit it.
    bool duplicateResponse = false; ///< Sends every whole HTTP response twice.
};

/// \brief TCP proxy between pairs of addresses that injects faults.
class fault_proxy
{
public:
    /// \brief Addresses of one pair.
    struct route
    {
        std::string listen; ///< "IP:port" to listen on.
        std::string target; ///< "IP:port" to connect to.
    };

    /// \param controlAddress "IP:port" of the control port: `POST /fault?pair=INDEX` (all pairs without it)
    fault_proxy(boost::asio::io_context &loop, std::string_view controlAddress, std::span<const route> routes);
    ~fault_proxy();
    fault_proxy(const fault_proxy &) = delete;
    auto operator=(const fault_proxy &) -> fault_proxy & = delete;

    /// \brief "IP:port" of the control port.
    [[nodiscard]] auto controlAddress() const -> std::string;

    /// \brief "IP:port" that pair \p index listens on.
    [[nodiscard]] auto address(std::size_t index) const -> std::string;

    /// \brief Replaces the faults of pair \p index.
    auto setFaults(std::size_t index, const proxy_faults &faults) -> void;

    /// \brief Connections open through pair \p index.
    [[nodiscard]] auto connectionCount(std::size_t index) const -> std::size_t;

private:
    auto handle(const poplarpass::net::http_request &request) -> poplarpass::net::http_response;

    std::vector<std::shared_ptr<internal::proxy_pair>> m_pairs;
    poplarpass::net::http_server m_server;
};
} // namespace standins
