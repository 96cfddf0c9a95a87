#include <poplarpass/host/front_door.h>
#include <poplarpass/host/host_peers.h>

#include <utility>

namespace poplarpass::host
{
using observe::log_level;

front_door::front_door(boost::asio::io_context &loop, const core::time_source &time, host_core &core,
                       observe::logger &log, observe::metrics_registry &metrics)
    : m_loop{loop}
    , m_time{time}
    , m_core{core}
    , m_log{log}
    , m_metrics{metrics}
{
}

auto front_door::listenForCallers(std::string_view address) -> void
{
    m_callerServer = std::make_unique<net::http_server>(
        m_loop, address, net::server_limits{},
        [this](const net::http_request &call, const std::shared_ptr<net::responder> &caller) {
            handleCallerRequest(call, caller);
        });
}

auto front_door::listenForPeers(std::string_view address) -> void
{
    m_peerServer = std::make_unique<net::http_server>(
        m_loop, address, net::server_limits{},
        [this](const net::http_request &call, const std::shared_ptr<net::responder> &peer) {
            handlePeerRequest(call, peer);
        });
}

auto front_door::handleCallerRequest(const net::http_request &call, const std::shared_ptr<net::responder> &caller)
    -> void
{
    auto parsed = readCallerRequest(call, m_core.routes());
    if (!parsed) {
        logRefusal(call, parsed.error());
        recordRequestTime("none", parsed.error().status, core::duration{0});
        caller->respond(std::move(parsed.error()));
        return;
    }
    const auto verb = parsed->request.verb;
    const auto receivedAt = m_time.now();
    m_core.take(std::move(parsed->request), parsed->time,
                [this, verb, receivedAt, caller](net::http_response response) {
                    recordRequestTime(nameOf(verb), response.status, m_time.now() - receivedAt);
                    caller->respond(std::move(response));
                });
}

auto front_door::logRefusal(const net::http_request &call, const net::http_response &refusal) -> void
{
    m_log.log(log_level::info, "call_refused",
              {{"host", call.header("Host")},
               {"path", call.path()},
               {"method", call.method},
               {"bytes", call.body.size()},
               {"status", refusal.status},
               {"config", m_core.routes().config().version}});
}

auto front_door::recordRequestTime(std::string_view verb, int status, core::duration elapsed) -> void
{
    const std::string name{verb};
    m_metrics
        .histogramOf("poplarpass_request_seconds", "Time to answer a caller",
                     {{"status", std::to_string(status)}, {"verb", name}})
        .record(elapsed);
}

auto front_door::handlePeerRequest(const net::http_request &call, const std::shared_ptr<net::responder> &peer) -> void
{
    if (isAnnouncement(call)) {
        const auto owner = parseAnnouncement(call);
        if (owner) {
            m_core.onAnnouncement(*owner);
        } else {
            m_log.log(log_level::warning, "announcement_unreadable", {{"bytes", call.body.size()}});
        }
        peer->respond(owner ? plainResponse(200, "noted") : plainResponse(400, "unreadable"));
        return;
    }
    const auto forwarded = parseForwardedRequest(call);
    if (!forwarded) {
        peer->respond(plainResponse(400, "bad_peer_request"));
        return;
    }
    m_core.handleForwardedRequest(*forwarded,
                                  [peer](net::http_response response) { peer->respond(std::move(response)); });
}

auto front_door::drain(std::function<void()> done) -> void
{
    if (!m_callerServer) {
        done();
        return;
    }
    m_callerServer->setOnDrained(std::move(done));
    m_callerServer->drain();
}
} // namespace poplarpass::host
