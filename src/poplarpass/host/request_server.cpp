#include <poplarpass/host/authentication_log.h>
#include <poplarpass/host/host_peers.h>
#include <poplarpass/host/request_server.h>

#include <utility>

namespace poplarpass::host
{
using observe::log_level;

request_server::request_server(boost::asio::io_context &loop, const core::time_source &time, host_core &core,
                               observe::logger &log, observe::metrics_registry &metrics)
    : m_loop{loop}
    , m_time{time}
    , m_core{core}
    , m_log{log}
    , m_metrics{metrics}
{
}

auto request_server::listenForCallers(std::string_view address, const net::server_limits &limits) -> void
{
    m_callerServer = std::make_unique<net::http_server>(
        m_loop, address, limits,
        [this](const net::http_request &call, const std::shared_ptr<net::responder> &caller) {
            handleCallerRequest(call, caller);
        },
        [this](const core::error &problem) { return refuseUnread("callers", problem); });
    m_callerServer->setBodyLimit([this] { return m_core.routes().config().maxBodyBytes; });
}

auto request_server::listenForPeers(std::string_view address, const net::server_limits &limits) -> void
{
    m_peerServer = std::make_unique<net::http_server>(
        m_loop, address, limits,
        [this](const net::http_request &call, const std::shared_ptr<net::responder> &peer) {
            handlePeerRequest(call, peer);
        },
        [this](const core::error &problem) { return refuseUnread("peers", problem); });
}

// Only counted: a crowd of such clients would fill the log.
auto request_server::refuseUnread(std::string_view listener, const core::error &problem) -> net::http_response
{
    const auto &answer = core::errorSpecOf(problem.kind);
    m_metrics
        .counterOf("poplarpass_unread_requests_total", "Requests refused before they were read completely",
                   {{"listener", std::string{listener}}, {"reason", std::string{answer.name}}})
        .add();
    const auto retryAfter = static_cast<int>(answer.retryAfter.count());
    return retryAfter > 0 ? refusalResponse(answer.httpStatus, answer.name, retryAfter)
                          : plainResponse(answer.httpStatus, answer.name);
}

auto request_server::handleCallerRequest(const net::http_request &call, const std::shared_ptr<net::responder> &caller)
    -> void
{
    auto parsed = parseCallerRequest(call, m_core.routes(), m_core.configStanding());
    if (!parsed) {
        auto &refusal = parsed.error();
        logRefusal(call, refusal);
        recordRequestTime("none", refusal.response.status, core::duration{0});
        caller->respond(std::move(refusal.response));
        return;
    }
    const auto verb = parsed->request.verb;
    const auto receivedAt = m_time.now();
    m_core.handleRequest(std::move(parsed->request), parsed->time,
                         [this, verb, receivedAt, caller](net::http_response response) {
                             recordRequestTime(nameOf(verb), response.status, m_time.now() - receivedAt);
                             caller->respond(std::move(response));
                         });
}

auto request_server::logRefusal(const net::http_request &call, const caller_refusal &refusal) -> void
{
    const auto version = m_core.routes().config().version;
    if (refusal.authentication) {
        recordRefusal(m_log, m_metrics, *refusal.authentication,
                      {refusal.job, refusal.verb, version, m_core.configStanding().age, {}});
        return;
    }
    m_log.log(log_level::info, "call_refused",
              {{"host", call.header("Host")},
               {"path", call.path()},
               {"method", call.method},
               {"bytes", call.isBodyTooLarge ? "above_limit" : std::to_string(call.body.size())},
               {"status", refusal.response.status},
               {"config", version}});
}

auto request_server::recordRequestTime(std::string_view verb, int status, core::duration elapsed) -> void
{
    const std::string name{verb};
    m_metrics
        .histogramOf("poplarpass_request_seconds", "Time to answer a caller",
                     {{"status", std::to_string(status)}, {"verb", name}})
        .record(elapsed);
}

auto request_server::handlePeerRequest(const net::http_request &call, const std::shared_ptr<net::responder> &peer)
    -> void
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

auto request_server::drain(std::function<void()> done) -> void
{
    if (!m_callerServer) {
        done();
        return;
    }
    m_callerServer->setOnDrained(std::move(done));
    m_callerServer->drain();
}
} // namespace poplarpass::host
