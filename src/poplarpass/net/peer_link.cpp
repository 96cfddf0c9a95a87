#include <poplarpass/net/peer_link.h>
#include <poplarpass/net/peer_link_implementation.h>

#include <algorithm>
#include <array>
#include <cassert>

namespace poplarpass::net
{
namespace internal
{
constexpr std::array<std::string_view, 4> downReasonNames{"refused", "closed", "timed_out", "superseded_incarnation"};
} // namespace internal

auto nameOf(down_reason reason) -> std::string_view
{
    return internal::downReasonNames.at(static_cast<std::size_t>(reason));
}

peer_link::peer_link(boost::asio::io_context &context, peer_link_options options, peer_link_hooks hooks)
{
    assert(options.random && hooks.onMessage && hooks.onUp && hooks.onDown);
    m_implementation = std::make_shared<implementation>(context, std::move(options), std::move(hooks));
}

peer_link::~peer_link()
{
    close();
}

auto peer_link::listen() -> core::result<std::uint16_t>
{
    std::string problem;
    const auto &address = m_implementation->options.listenAddress;
    m_implementation->port = m_implementation->transport.listen(address, problem);
    if (m_implementation->port == 0) {
        return core::failure(core::error_kind::invalid_request, "cannot listen on " + address + ": " + problem);
    }
    return m_implementation->port;
}

auto peer_link::port() const -> std::uint16_t
{
    return m_implementation->port;
}

auto peer_link::setPeers(std::span<const peer_address> peers) -> void
{
    m_implementation->dropPeersExcept(peers);
    for (const auto &peer : peers) {
        if (peer.name != m_implementation->options.name) {
            m_implementation->setPeer(peer);
        }
    }
    m_implementation->armTimer();
}

auto peer_link::send(const core::member_id &member, std::string_view bytes) -> bool
{
    return m_implementation->send(member, bytes);
}

auto peer_link::isUp(const core::member_id &member) const -> bool
{
    return m_implementation->isUp(member);
}

auto peer_link::counters() const -> peer_link_counters
{
    auto result = m_implementation->counters;
    result.rejectedIncoming = m_implementation->transport.rejectedIncomingCount();
    return result;
}

auto peer_link::close() -> void
{
    m_implementation->closed = true;
    m_implementation->timer.cancel();
    m_implementation->transport.closeAll();
    m_implementation->peers.clear();
    m_implementation->incoming.removeAll();
    m_implementation->outgoingMembers.clear();
}
} // namespace poplarpass::net
