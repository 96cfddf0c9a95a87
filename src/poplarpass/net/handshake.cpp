#include <poplarpass/net/handshake.h>

#include <nlohmann/json.hpp>

#include <cassert>

namespace poplarpass::net
{
namespace internal
{
using json = nlohmann::json;

constexpr std::uint64_t protocolVersion = 1;

// Each code covers a label of its own, so that a code cannot be reflected in place of another.
constexpr std::string_view serverLabel = "poplarpass server proof";
constexpr std::string_view clientLabel = "poplarpass client proof";
constexpr std::string_view fromServerLabel = "poplarpass frames from server";
constexpr std::string_view fromClientLabel = "poplarpass frames from client";

struct handshake_message
{
    peer_identity from;
    core::member_id to;
    std::string nonce;
};

auto encode(const handshake_message &message) -> std::string
{
    const auto bytes =
        json::to_cbor(json::array({protocolVersion, message.from.name.str(), message.from.incarnation, message.to.str(),
                                   json::binary({message.nonce.begin(), message.nonce.end()})}));
    return {bytes.begin(), bytes.end()};
}

auto decode(std::string_view bytes) -> std::optional<handshake_message>
{
    const auto fields = json::from_cbor(bytes, true, false);
    const bool isComplete = fields.is_array() && fields.size() == 5 && fields[0] == protocolVersion
        && fields[1].is_string() && fields[2].is_number_unsigned() && fields[3].is_string() && fields[4].is_binary();
    if (!isComplete) {
        return std::nullopt;
    }
    const auto &nonce = fields[4].get_binary();
    if (nonce.size() != nonceBytes) {
        return std::nullopt;
    }
    const peer_identity from{core::member_id{fields[1].get<std::string>()}, fields[2].get<std::uint64_t>()};
    return handshake_message{from, core::member_id{fields[3].get<std::string>()}, {nonce.begin(), nonce.end()}};
}

// The length prefix makes the boundary between hello and challenge unambiguous in the signed bytes.
auto lengthOf(std::string_view text) -> std::string
{
    return "|" + std::to_string(text.size()) + "|";
}

auto signTranscript(const authenticator &key, std::string_view label, std::string_view hello,
                    std::string_view challenge) -> message_mac
{
    return key.sign({label, lengthOf(hello), hello, challenge});
}

auto verifyTranscript(const authenticator &key, std::string_view label, std::string_view hello,
                      std::string_view challenge, std::string_view mac) -> bool
{
    return mac.size() == macBytes && key.verify({label, lengthOf(hello), hello, challenge}, mac);
}

auto malformed(std::string_view what) -> tl::unexpected<core::error>
{
    return core::failure(core::error_kind::malformed_message, std::string{what});
}

auto unauthorised(std::string_view what) -> tl::unexpected<core::error>
{
    return core::failure(core::error_kind::unauthorised, std::string{what});
}
} // namespace internal

client_handshake::client_handshake(std::string_view secret, const peer_identity &self, const core::member_id &server)
    : m_authenticator{secret}
    , m_server{server, 0}
    , m_hello{internal::encode({self, server, randomNonce()})}
{
}

auto client_handshake::hello() const -> const std::string &
{
    return m_hello;
}

auto client_handshake::acceptChallenge(std::string_view challenge) -> core::result<std::string>
{
    if (challenge.size() <= macBytes) {
        return internal::malformed("challenge too short");
    }
    const auto body = challenge.substr(0, challenge.size() - macBytes);
    const auto mac = challenge.substr(body.size());
    if (!internal::verifyTranscript(m_authenticator, internal::serverLabel, m_hello, body, mac)) {
        return internal::unauthorised("invalid proof of the server");
    }
    const auto decoded = internal::decode(body);
    if (!decoded) {
        return internal::malformed("challenge");
    }
    if (decoded->from.name != m_server.name) {
        return internal::unauthorised("server has another member name: " + decoded->from.name.str());
    }
    m_server = decoded->from;
    m_challenge = body;
    const auto proof = internal::signTranscript(m_authenticator, internal::clientLabel, m_hello, m_challenge);
    return std::string{bytesOf(proof)};
}

auto client_handshake::server() const -> const peer_identity &
{
    return m_server;
}

auto client_handshake::channel() const -> sealed_channel
{
    assert(!m_challenge.empty());
    const auto out = internal::signTranscript(m_authenticator, internal::fromClientLabel, m_hello, m_challenge);
    const auto in = internal::signTranscript(m_authenticator, internal::fromServerLabel, m_hello, m_challenge);
    return {frame_sealer{bytesOf(out)}, frame_opener{bytesOf(in)}};
}

server_handshake::server_handshake(std::string_view secret, const peer_identity &self)
    : m_authenticator{secret}
    , m_self{self}
{
}

auto server_handshake::acceptHello(std::string_view hello) -> core::result<std::string>
{
    const auto decoded = internal::decode(hello);
    if (!decoded) {
        return internal::malformed("hello");
    }
    if (decoded->to != m_self.name) {
        return internal::unauthorised("hello is addressed to another member: " + decoded->to.str());
    }
    m_client = decoded->from;
    m_hello = hello;
    m_challenge = internal::encode({m_self, m_client.name, randomNonce()});
    const auto mac = internal::signTranscript(m_authenticator, internal::serverLabel, m_hello, m_challenge);
    return m_challenge + std::string{bytesOf(mac)};
}

auto server_handshake::acceptProof(std::string_view proof) const -> bool
{
    return internal::verifyTranscript(m_authenticator, internal::clientLabel, m_hello, m_challenge, proof);
}

auto server_handshake::client() const -> const peer_identity &
{
    return m_client;
}

auto server_handshake::channel() const -> sealed_channel
{
    const auto out = internal::signTranscript(m_authenticator, internal::fromServerLabel, m_hello, m_challenge);
    const auto in = internal::signTranscript(m_authenticator, internal::fromClientLabel, m_hello, m_challenge);
    return {frame_sealer{bytesOf(out)}, frame_opener{bytesOf(in)}};
}
} // namespace poplarpass::net
