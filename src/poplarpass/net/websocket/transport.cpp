#include <poplarpass/net/websocket/session.h>
#include <poplarpass/net/websocket/transport.h>

#include <boost/asio/io_context.hpp>
#include <websocketpp/client.hpp>
#include <websocketpp/server.hpp>

#include <map>
#include <optional>
#include <utility>

namespace poplarpass::net::websocket
{
namespace internal
{
namespace
{
using tcp = boost::asio::ip::tcp;

// The path and host of the opening handshake are not used; peers authenticate in their messages.
constexpr const char *peerUri = "ws://peer/";
constexpr std::chrono::milliseconds acceptRetryDelay{100};

// Addresses are numeric; no names are resolved.
auto parseAddress(const std::string &text) -> std::optional<tcp::endpoint>
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon + 1 == text.size()) {
        return std::nullopt;
    }
    auto host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    boost::system::error_code problem;
    const auto ip = boost::asio::ip::make_address(host, problem);
    const auto digits = text.substr(colon + 1);
    if (problem || digits.size() > 5 || digits.find_first_not_of("0123456789") != std::string::npos) {
        return std::nullopt;
    }
    const auto port = std::stoul(digits);
    if (port > 65535) {
        return std::nullopt;
    }
    return tcp::endpoint{ip, static_cast<std::uint16_t>(port)};
}
} // namespace
} // namespace internal

struct transport::implementation : std::enable_shared_from_this<implementation>
{
    struct entry
    {
        std::shared_ptr<internal::session> session;
        bool incoming = false;
    };

    implementation(boost::asio::io_context &ioContext, transport_limits bounds, transport_hooks callbacks)
        : context{ioContext}
        , limits{bounds}
        , hooks{std::move(callbacks)}
        , acceptor{ioContext}
        , acceptTimer{ioContext}
    {
        server.set_max_message_size(limits.initialMessageBytes);
        client.set_max_message_size(limits.initialMessageBytes);
    }

    boost::asio::io_context &context;
    transport_limits limits;
    transport_hooks hooks;
    websocketpp::server<internal::protocol_config> server;
    websocketpp::client<internal::protocol_config> client;
    internal::tcp::acceptor acceptor;
    boost::asio::steady_timer acceptTimer;
    std::map<session_id, entry> sessions;
    session_id lastId = 0;
    std::size_t incomingCount = 0;
    std::uint64_t rejectedIncoming = 0;
    bool detached = false;

    auto find(session_id id) const -> std::shared_ptr<internal::session>
    {
        const auto found = sessions.find(id);
        return found == sessions.end() ? nullptr : found->second.session;
    }

    auto remove(session_id id) -> std::shared_ptr<internal::session>
    {
        const auto found = sessions.find(id);
        if (found == sessions.end()) {
            return nullptr;
        }
        const auto removed = found->second;
        sessions.erase(found);
        incomingCount -= removed.incoming ? 1 : 0;
        return removed.session;
    }

    // The protocol objects refer to the endpoints above, so the hooks of a session hold a reference to this object.
    auto hooksOf(session_id id) -> internal::session_hooks
    {
        internal::session_hooks result;
        result.onOpen = [self = shared_from_this(), id] {
            if (!self->detached) {
                self->hooks.onOpen(id);
            }
        };
        result.onMessage = [self = shared_from_this(), id](std::string message) {
            if (!self->detached) {
                self->hooks.onMessage(id, std::move(message));
            }
        };
        result.onEnd = [self = shared_from_this(), id](end_reason reason) {
            self->remove(id);
            if (!self->detached) {
                self->hooks.onEnd(id, reason);
            }
        };
        return result;
    }

    auto add(internal::tcp::socket socket, internal::protocol_connection::ptr protocol, bool incoming) -> session_id
    {
        const auto id = ++lastId;
        auto created = std::make_shared<internal::session>(std::move(socket), std::move(protocol), hooksOf(id));
        sessions.emplace(id, entry{std::move(created), incoming});
        incomingCount += incoming ? 1 : 0;
        return id;
    }

    auto connect(const std::string &address) -> session_id
    {
        std::error_code problem;
        const auto protocol = client.get_connection(internal::peerUri, problem);
        const auto id = add(internal::tcp::socket{context}, protocol, false);
        const auto parsed = internal::parseAddress(address);
        if (!parsed || problem) {
            find(id)->postEnd(end_reason::unreachable);
            return id;
        }
        find(id)->connect(*parsed, [self = shared_from_this(), protocol] { self->client.connect(protocol); });
        return id;
    }

    auto listen(const std::string &address) -> boost::system::error_code
    {
        const auto parsed = internal::parseAddress(address);
        if (!parsed) {
            return boost::asio::error::invalid_argument;
        }
        boost::system::error_code problem;
        acceptor.open(parsed->protocol(), problem);
        if (!problem) {
            acceptor.set_option(internal::tcp::acceptor::reuse_address{true}, problem);
        }
        if (!problem) {
            acceptor.bind(*parsed, problem);
        }
        if (!problem) {
            acceptor.listen(boost::asio::socket_base::max_listen_connections, problem);
        }
        return problem;
    }

    auto accept() -> void
    {
        acceptor.async_accept([weak = weak_from_this()](const boost::system::error_code &problem, auto socket) {
            const auto self = weak.lock();
            if (self && self->acceptor.is_open()) {
                self->finishAccept(problem, std::move(socket));
            }
        });
    }

    auto finishAccept(const boost::system::error_code &problem, internal::tcp::socket socket) -> void
    {
        if (problem) {
            acceptAfterDelay();
            return;
        }
        if (incomingCount >= limits.maxIncoming) {
            ++rejectedIncoming;
        } else {
            acceptSession(std::move(socket));
        }
        if (acceptor.is_open()) {
            accept();
        }
    }

    auto acceptSession(internal::tcp::socket socket) -> void
    {
        const auto id = add(std::move(socket), server.get_connection(), true);
        const auto created = find(id);
        hooks.onAccepted(id);
        created->accept();
    }

    // The delay prevents a busy loop when file descriptors run out.
    auto acceptAfterDelay() -> void
    {
        acceptTimer.expires_after(internal::acceptRetryDelay);
        acceptTimer.async_wait([weak = weak_from_this()](const boost::system::error_code &problem) {
            const auto self = weak.lock();
            if (self && !problem && self->acceptor.is_open()) {
                self->accept();
            }
        });
    }

    auto stopListening() -> void
    {
        boost::system::error_code ignored;
        acceptor.close(ignored);
        acceptTimer.cancel();
    }

    template <class action_type>
    auto endAll(action_type action) -> void
    {
        stopListening();
        incomingCount = 0;
        for (const auto &[id, ending] : std::exchange(sessions, {})) {
            action(*ending.session);
        }
    }
};

transport::transport(boost::asio::io_context &context, transport_limits limits, transport_hooks hooks)
    : m_implementation{std::make_shared<implementation>(context, limits, std::move(hooks))}
{
}

transport::~transport()
{
    m_implementation->detached = true;
    m_implementation->endAll([](auto &session) { session.abort(); });
}

auto transport::listen(const std::string &address, std::string &problem) -> std::uint16_t
{
    if (const auto failure = m_implementation->listen(address)) {
        problem = failure.message();
        return 0;
    }
    m_implementation->accept();
    return m_implementation->acceptor.local_endpoint().port();
}

auto transport::connect(const std::string &address) -> session_id
{
    return m_implementation->connect(address);
}

auto transport::send(session_id session, const std::string &message) -> bool
{
    const auto found = m_implementation->find(session);
    return found && found->send(message);
}

auto transport::queuedBytes(session_id session) const -> std::size_t
{
    const auto found = m_implementation->find(session);
    return found ? found->queuedBytes() : 0;
}

auto transport::setMaxMessageBytes(session_id session, std::size_t bytes) -> void
{
    if (const auto found = m_implementation->find(session)) {
        found->setMaxMessageBytes(bytes);
    }
}

auto transport::close(session_id session) -> void
{
    if (const auto removed = m_implementation->remove(session)) {
        removed->close();
    }
}

auto transport::abort(session_id session) -> void
{
    if (const auto removed = m_implementation->remove(session)) {
        removed->abort();
    }
}

auto transport::closeAll() -> void
{
    m_implementation->endAll([](auto &session) { session.close(); });
}

auto transport::rejectedIncomingCount() const -> std::uint64_t
{
    return m_implementation->rejectedIncoming;
}
} // namespace poplarpass::net::websocket
