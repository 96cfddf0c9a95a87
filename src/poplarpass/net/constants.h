#pragma once

#include <poplarpass/core/time.h>

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace poplarpass::net
{
/// \brief Header by which a request and its answer are matched; the server echoes it.
inline constexpr std::string_view requestIdHeader = "X-Request-Id";

/// \brief Limits of an HTTP server.
struct server_limits
{
    std::uint32_t headerBytes = 16 * 1024; ///< Longest header section that is read.
    std::uint64_t bodyBytes = std::uint64_t{4} * 1024 * 1024; ///< Longest body that is read.
    core::duration readTimeout = std::chrono::seconds{10}; ///< From a request's first byte to its last.
    core::duration writeTimeout = std::chrono::seconds{30}; ///< For writing one whole answer.
    core::duration idleTimeout = std::chrono::seconds{60}; ///< Between requests on one connection.
    core::duration drainIdleTimeout = std::chrono::milliseconds{500}; ///< The same while draining.
    core::duration lingerTimeout = std::chrono::seconds{1}; ///< For the caller to take an answer before a close.
    std::size_t maxConnections = 4096; ///< Connections accepted at once; others wait in the backlog.
};

/// \brief Limits of an HTTP client.
struct client_limits
{
    std::size_t connectionsPerEndpoint = 64; ///< Connections to one "IP:port"; other requests wait.
    std::size_t waitingPerEndpoint = 4096; ///< Requests that wait for a connection to one "IP:port".
    std::uint32_t headerBytes = 16 * 1024; ///< Longest header section of an answer.
    std::uint64_t bodyBytes = std::uint64_t{64} * 1024 * 1024; ///< Longest body of an answer.
    core::duration connectTimeout = std::chrono::seconds{1}; ///< For a connection to be established.
    core::duration idleTimeout = std::chrono::seconds{5}; ///< Unused connections are closed after this; keep it below
                                                          ///< the idle timeout of the servers.
};

namespace internal
{
inline constexpr std::size_t readChunkBytes = std::size_t{8} * 1024;
inline constexpr std::size_t lingerBytes = std::size_t{1024} * 1024;
inline constexpr std::chrono::milliseconds acceptRetryDelay{100};
inline constexpr std::chrono::milliseconds evictableIdleTime{100};
} // namespace internal
} // namespace poplarpass::net
