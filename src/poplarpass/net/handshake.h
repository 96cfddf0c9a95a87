#pragma once

#include <poplarpass/core/error.h>
#include <poplarpass/core/string_id.h>
#include <poplarpass/net/sealed_channel.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace poplarpass::net
{
/// \brief Identity of one side of a peer link.
struct peer_identity
{
    core::member_id name; ///< Configured name; a replacement process has the same one.
    std::uint64_t incarnation = 0; ///< Differs for each start of a process.

    auto operator==(const peer_identity &) const -> bool = default;
};

/// \brief Client side of the mutual challenge-response handshake; performs no I/O.
///
/// The client sends hello(), then the proof returned by acceptChallenge(), then waits for a welcome frame on channel().
class client_handshake
{
public:
    /// \param secret key that all processes of the deployment share
    client_handshake(std::string_view secret, const peer_identity &self, const core::member_id &server);

    /// \brief Returns the first message.
    [[nodiscard]] auto hello() const -> const std::string &;

    /// \brief Verifies the server's proof and returns the client's; fails with unauthorised or malformed_message.
    auto acceptChallenge(std::string_view challenge) -> core::result<std::string>;

    /// \brief Returns the server's identity; its incarnation is 0 until acceptChallenge() succeeds.
    [[nodiscard]] auto server() const -> const peer_identity &;

    /// \brief Returns the connection's channel.
    /// \pre acceptChallenge() succeeded
    [[nodiscard]] auto channel() const -> sealed_channel;

private:
    authenticator m_authenticator;
    peer_identity m_server;
    std::string m_hello;
    std::string m_challenge;
};

/// \brief Server side of the mutual challenge-response handshake; performs no I/O.
///
/// The server replies to a hello with the challenge returned by acceptHello(), verifies the proof with acceptProof(),
/// and sends a welcome frame on channel().
class server_handshake
{
public:
    /// \param secret key that all processes of the deployment share
    server_handshake(std::string_view secret, const peer_identity &self);

    /// \brief Decodes the client's hello and returns the challenge; fails with unauthorised or malformed_message.
    auto acceptHello(std::string_view hello) -> core::result<std::string>;

    /// \brief Returns whether \p proof shows that the client has the secret.
    /// \pre acceptHello() succeeded
    [[nodiscard]] auto acceptProof(std::string_view proof) const -> bool;

    /// \brief Returns the identity that the client claims; authenticated only after acceptProof() has returned true.
    [[nodiscard]] auto client() const -> const peer_identity &;

    /// \brief Returns the connection's channel.
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
