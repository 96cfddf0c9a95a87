#pragma once

#include <poplarpass/core/time.h>

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace poplarpass::net
{
/// \brief Header that matches a response to its request; the server echoes it.
inline constexpr std::string_view requestIdHeader = "X-Request-Id";

/// \brief Limits of an HTTP server.
struct server_limits
{
    std::uint32_t headerBytes = 16 * 1024; ///< Maximum size of a request's header section; also bounds the size of
                                           ///< a chunk's extensions and of the trailers.
    std::uint64_t bodyBytes = std::uint64_t{4} * 1024 * 1024; ///< Maximum size of a request body.
    core::duration readTimeout = std::chrono::seconds{10}; ///< From the first byte of a request to the last.
    core::duration writeTimeout = std::chrono::seconds{30}; ///< For writing one complete response.
    core::duration idleTimeout = std::chrono::seconds{60}; ///< Maximum time between requests on one connection.
    core::duration drainIdleTimeout = std::chrono::milliseconds{500}; ///< Replaces idleTimeout while draining.
    core::duration lingerTimeout = std::chrono::seconds{1}; ///< For the caller to read the response before the close.
    std::size_t maxConnections = 4096; ///< Open connections; others wait in the listen backlog.
    std::size_t memoryBytes = std::size_t{256} * 1024 * 1024; ///< Maximum memory that all connections hold together:
                                                              ///< buffers, requests and responses.
};

/// \brief Limits of an HTTP client.
struct client_limits
{
    std::size_t connectionsPerEndpoint = 64; ///< Connections to one "IP:port"; further requests wait.
    std::size_t waitingPerEndpoint = 4096; ///< Requests waiting for a connection to one "IP:port".
    std::uint32_t headerBytes = 16 * 1024; ///< Maximum size of a response's header section.
    std::uint64_t bodyBytes = std::uint64_t{64} * 1024 * 1024; ///< Maximum size of a response body.
    core::duration connectTimeout = std::chrono::seconds{1}; ///< For establishing a connection.
    core::duration unacknowledgedTimeout = std::chrono::seconds{2}; ///< Written bytes that the peer has not
                                                                    ///< acknowledged after this time are discarded.
    core::duration idleTimeout = std::chrono::seconds{5}; ///< Idle connections are closed after this time; must be
                                                          ///< below the idle timeout of the servers.
};

namespace internal
{
inline constexpr std::size_t readChunkBytes = std::size_t{8} * 1024;
inline constexpr std::size_t bodyReadBytes = std::size_t{16} * 1024;
// Bytes of a message for each byte that its body may have; a chunk of one byte takes six.
inline constexpr std::uint64_t maxFramingFactor = 8;
inline constexpr std::size_t lingerBytes = std::size_t{1024} * 1024;
inline constexpr std::chrono::milliseconds acceptRetryDelay{100};
inline constexpr std::chrono::milliseconds evictableIdleTime{100};
inline constexpr std::chrono::milliseconds evictableReadingTime{1000};
// Estimated size of a connection without its buffer: socket, timer, parser and fields.
inline constexpr std::size_t connectionBytes = std::size_t{2} * 1024;
// A request that is handled exists as received, as parsed, and in the message to the owner or to the store.
inline constexpr std::size_t requestCopies = 3;
} // namespace internal
} // namespace poplarpass::net
