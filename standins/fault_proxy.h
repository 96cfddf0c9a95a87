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

/// \brief Directions in which a proxy holds data back. Data whose sender resets the connection during the cut is lost.
enum class proxy_cut {
    none, ///< Nothing is held back.
    to_server, ///< Data for the server is held back until the cut ends.
    to_client, ///< Data for the client is held back until the cut ends.
    both, ///< Data in both directions is held back until the cut ends.
};

/// \brief Faults injected into one pair, set by `POST /fault`.
struct proxy_faults
{
    std::int64_t delayMs = 0; ///< Delay of every chunk of data, in both directions.
    proxy_cut cut = proxy_cut::none; ///< Direction that is cut.
    bool reset = false; ///< Resets all open connections and every new one.
    bool halfOpen = false; ///< Open and new connections stay open but discard all data from then on.
    std::int64_t truncateAfter = -1; ///< Closes a connection after this many more bytes to the client; -1 is no limit.
    std::int64_t dripBytesPerS = 0; ///< Rate per direction in bytes per second; 0 is no limit.
    bool duplicateResponse = false; ///< Sends every complete HTTP response twice.
};

/// \brief TCP proxy that injects faults between pairs of addresses.
class fault_proxy
{
public:
    /// \brief Addresses of one pair.
    struct route
    {
        std::string listen; ///< "IP:port" to listen on.
        std::string target; ///< "IP:port" to connect to.
    };

    /// \param controlAddress "IP:port" of the control port, which accepts `POST /fault?pair=INDEX`; without `pair`
    /// the faults apply to all pairs
    fault_proxy(boost::asio::io_context &loop, std::string_view controlAddress, std::span<const route> routes);
    ~fault_proxy();
    fault_proxy(const fault_proxy &) = delete;
    auto operator=(const fault_proxy &) -> fault_proxy & = delete;

    /// \brief Returns the "IP:port" of the control port.
    [[nodiscard]] auto controlAddress() const -> std::string;

    /// \brief Returns the "IP:port" that pair \p index listens on.
    [[nodiscard]] auto address(std::size_t index) const -> std::string;

    /// \brief Replaces the faults of pair \p index.
    auto setFaults(std::size_t index, const proxy_faults &faults) -> void;

    /// \brief Returns the number of open connections of pair \p index.
    [[nodiscard]] auto connectionCount(std::size_t index) const -> std::size_t;

private:
    auto handle(const poplarpass::net::http_request &request) -> poplarpass::net::http_response;

    std::vector<std::shared_ptr<internal::proxy_pair>> m_pairs;
    poplarpass::net::http_server m_server;
};
} // namespace standins
