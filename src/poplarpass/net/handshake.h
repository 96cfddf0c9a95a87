#pragma once

#include <poplarpass/core/error.h>
#include <poplarpass/core/string_id.h>
#include <poplarpass/net/sealed_channel.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace poplarpass::net
{
/// \brief One side of a peer link.
struct peer_identity
{
    core::member_id name; ///< Configured name; a replacement keeps it.
    std::uint64_t incarnation = 0; ///< Differs for each start of a process.

    auto operator==(const peer_identity &) const -> bool = default;
};

/// \brief Client's half of the mutual challenge and response; does no I/O.
///
/// The client sends hello(), then the proof that acceptChallenge() gives, then waits for a welcome frame on channel().
class client_handshake
{
public:
    /// \param secret key that all processes of the deployment share
    client_handshake(std::string_view secret, const peer_identity &self, const core::member_id &server);

    /// \brief The first message.
    [[nodiscard]] auto hello() const -> const std::string &;

    /// \brief Checks the server's proof and gives the client's; fails with unauthorised or malformed_message.
    auto acceptChallenge(std::string_view challenge) -> core::result<std::string>;

    /// \brief The server; known after acceptChallenge().
    [[nodiscard]] auto server() const -> const peer_identity &;

    /// \brief The connection's channel.
    /// \pre acceptChallenge() succeeded
    [[nodiscard]] auto channel() const -> sealed_channel;

private:
    authenticator m_authenticator;
    peer_identity m_server;
    std::string m_hello;
    std::string m_challenge;
};

/// \brief Server's half of the mutual challenge and response; does no I/O.
///
/// The server answers a hello with what acceptHello() gives, checks the proof, and sends a welcome frame on channel().
class server_handshake
{
public:
    /// \param secret key that all processes of the deployment share
    server_handshake(std::string_view secret, const peer_identity &self);

    /// \brief Reads the client's hello and gives the challenge; fails with unauthorised or malformed_message.
    auto acceptHello(std::string_view hello) -> core::result<std::string>;

    /// \brief Whether \p proof shows that the client knows the secret.
    /// \pre acceptHello() succeeded
    [[nodiscard]] auto acceptProof(std::string_view proof) const -> bool;

    /// \brief The client as it calls itself; proven only when acceptProof() returned true.
    [[nodiscard]] auto client() const -> const peer_identity &;

    /// \brief The connection's channel.
    /// \pre acceptProof() returned true
    [[nodiscard]] auto channel() const -> sealed_channel;

private:
    authenticator m_authenticator;
    peer_identity m_self;
    peer_identity m_client;
    std::string m_hello;
    std::string m_challenge;
};
} // namespace poplarpass::net
