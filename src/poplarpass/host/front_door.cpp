#include <poplarpass/app/clock.h>
#include <poplarpass/app/ticker.h>
#include <poplarpass/core/number_text.h>
#include <poplarpass/host/constants.h>
#include <poplarpass/host/front_door.h>
#include <poplarpass/host/owner_announcer.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

namespace poplarpass::host
{
using observe::log_level;

namespace
{
constexpr std::string_view hostNameHeader = "X-Poplarpass-Host";
constexpr std::string_view configHeader = "X-Poplarpass-Config";
constexpr std::string_view jobHeader = "X-Poplarpass-Job";
constexpr std::string_view verbHeader = "X-Poplarpass-Verb";
constexpr std::string_view deadlineHeader = "Poplarpass-Deadline-Ms";
constexpr std::size_t jobIdLength = 16;

auto isJobId(std::string_view text) -> bool
{
    return text.size() == jobIdLength
        && std::ranges::all_of(text, [](unsigned char sign) { return std::isxdigit(sign) != 0; });
}

auto verbOf(std::string_view method, std::string_view rest) -> std::optional<client_verb>
{
    if (rest.empty()) {
        return method == "GET" ? std::optional{client_verb::pending} : std::nullopt;
    }
    if (method == "POST") {
        return client_verb::submit;
    }
    if (method == "GET") {
        return client_verb::state;
    }
    return method == "DELETE" ? std::optional{client_verb::cancel} : std::nullopt;
}

auto peerRequest(const client_request &request) -> net::http_request
{
    net::http_request call;
    call.method = "POST";
    call.target = request.path;
    call.headers.push_back({std::string{hostNameHeader}, request.hostName});
    call.headers.push_back({std::string{configHeader}, std::to_string(request.configVersion)});
    call.headers.push_back({std::string{jobHeader}, request.job.str()});
    call.headers.push_back({std::string{verbHeader}, std::to_string(static_cast<int>(request.verb))});
    call.body = request.body;
    return call;
}

auto fromPeer(const net::http_request &call) -> std::optional<client_request>
{
    const auto verb = core::wholeNumber<std::uint64_t>(call.header(verbHeader));
    const auto version = core::wholeNumber<std::uint64_t>(call.header(configHeader));
    if (!verb || !version || *verb > static_cast<std::uint64_t>(client_verb::pending)) {
        return std::nullopt;
    }
    client_request request;
    request.verb = static_cast<client_verb>(*verb);
    request.configVersion = *version;
    request.job = jobs::job_id{std::string{call.header(jobHeader)}};
    request.hostName = call.header(hostNameHeader);
    request.path = call.path();
    request.body = call.body;
    return request;
}
} // namespace

/// \brief A caller's request on its way to the owner.
struct front_door::forwarding
{
    client_request request;
    std::shared_ptr<net::responder> caller;
    core::monotonic_time receivedAt{};
    core::monotonic_time giveUpAt{};
    bool maybeCarriedOut = false;
    bool handedOver = false; ///< Whether the owner has it, and did not answer yet.
    bool answered = false;
    unsigned attempts = 0;
};

front_door::front_door(front_door_environment environment)
    : m_env{std::move(environment)}
{
}

front_door::~front_door()
{
    *m_alive = false;
}

auto front_door::listenForCallers(std::string_view address) -> void
{
    m_callers = std::make_unique<net::http_server>(
        m_env.loop, address, net::server_limits{},
        [this](const net::http_request &request, const std::shared_ptr<net::responder> &caller) {
            onCaller(request, caller);
        });
}

auto front_door::listenForPeers(std::string_view address) -> void
{
    m_peerServer = std::make_unique<net::http_server>(
        m_env.loop, address, net::server_limits{},
        [this](const net::http_request &request, const std::shared_ptr<net::responder> &peer) {
            onPeer(request, peer);
        });
}

auto front_door::onCaller(const net::http_request &request, const std::shared_ptr<net::responder> &caller) -> void
{
    if (m_env.routes.config().version == 0) {
        caller->respond(refusalResponse(503, "no_configuration", retryAfterSeconds));
        return;
    }
    const auto hostName = request.header("Host");
    const auto path = request.path();
    const auto match = m_env.routes.match(hostName, path);
    if (match.matched == nullptr) {
        m_env.log.log(log_level::info, "no_route",
                      {{"host", hostName}, {"path", path}, {"config", m_env.routes.config().version}});
        caller->respond(plainResponse(404, "no_such_queue"));
        return;
    }
    const auto verb = verbOf(request.method, match.rest);
    if (!verb || (*verb != client_verb::pending && !isJobId(match.rest))) {
        caller->respond(plainResponse(verb ? 400 : 405, verb ? "bad_job_id" : "bad_method"));
        return;
    }
    if (request.body.size() > m_env.routes.config().maxBodyBytes) {
        caller->respond(plainResponse(413, "body_too_large"));
        return;
    }
    auto entry = std::make_shared<forwarding>();
    entry->request.verb = *verb;
    entry->request.job = jobs::job_id{std::string{match.rest}};
    entry->request.hostName = hostName;
    entry->request.path = path;
    entry->request.body = request.body;
    entry->caller = caller;
    entry->receivedAt = app::monotonicNow();
    const auto stated = core::wholeNumber<std::uint64_t>(request.header(deadlineHeader));
    core::duration time =
        match.matched->timeout.count() > 0 ? core::duration{match.matched->timeout} : defaultRequestTime;
    if (stated) {
        time = std::min<core::duration>(time, std::chrono::milliseconds{*stated});
    }
    entry->giveUpAt = entry->receivedAt
        + std::chrono::duration_cast<core::duration>(std::chrono::duration<double, std::micro>{time}
                                                     * requestTimeShare);
    app::callAfter(m_env.loop, entry->giveUpAt - entry->receivedAt, [this, alive = m_alive, entry] {
        if (*alive && !entry->answered) {
            entry->maybeCarriedOut = entry->maybeCarriedOut || entry->handedOver;
            giveUp(entry);
        }
    });
    forward(entry);
}

auto front_door::forward(const std::shared_ptr<forwarding> &entry) -> void
{
    if (entry->answered) {
        return;
    }
    entry->request.configVersion = m_env.routes.config().version;
    ++entry->attempts;
    entry->handedOver = true;
    const bool taken = m_env.handleHere(entry->request, [this, alive = m_alive, entry](net::http_response response) {
        if (*alive) {
            onAnswer(entry, std::move(response));
        }
    });
    if (taken) {
        return;
    }
    const auto address = m_env.ownerAddress();
    if (address) {
        send(entry, *address);
    } else {
        entry->handedOver = false;
        retry(entry);
    }
}

auto front_door::send(const std::shared_ptr<forwarding> &entry, const std::string &address) -> void
{
    m_env.peers.send(address, peerRequest(entry->request), forwardTimeout,
                     [this, alive = m_alive, entry](core::result<net::http_response> answer, net::sent_state sent) {
                         if (!*alive) {
                             return;
                         }
                         if (answer) {
                             onAnswer(entry, std::move(*answer));
                             return;
                         }
                         entry->maybeCarriedOut = entry->maybeCarriedOut || sent == net::sent_state::maybe_sent;
                         entry->handedOver = false;
                         retry(entry);
                     });
}

auto front_door::onAnswer(const std::shared_ptr<forwarding> &entry, net::http_response response) -> void
{
    if (response.status != notOwnerStatus && response.status != unsettledStatus) {
        std::erase_if(response.headers, [](const net::http_header &field) {
            return field.name != "Content-Type" && field.name != "Retry-After";
        });
        finish(entry, std::move(response));
        return;
    }
    // An owner that was replaced while it stored a job cannot tell whether it did.
    entry->maybeCarriedOut = entry->maybeCarriedOut || response.status == unsettledStatus;
    entry->handedOver = false;
    retry(entry);
}

auto front_door::retry(const std::shared_ptr<forwarding> &entry) -> void
{
    if (entry->answered) {
        return;
    }
    app::callAfter(m_env.loop, forwardRetry, [this, alive = m_alive, entry] {
        if (*alive) {
            forward(entry);
        }
    });
}

// A submission that may have been stored must not be called refused.
auto front_door::giveUp(const std::shared_ptr<forwarding> &entry) -> void
{
    const bool submitted = entry->request.verb == client_verb::submit && entry->maybeCarriedOut;
    m_env.log.log(
        log_level::warning, "request_given_up",
        {{"id", entry->request.job.str()},
         {"verb", static_cast<int>(entry->request.verb)},
         {"attempts", entry->attempts},
         {"maybe_stored", submitted},
         {"ms",
          std::chrono::duration_cast<std::chrono::milliseconds>(app::monotonicNow() - entry->receivedAt).count()}});
    finish(entry,
           submitted ? plainResponse(504, "outcome_unknown") : refusalResponse(503, "no_owner", retryAfterSeconds));
}

auto front_door::finish(const std::shared_ptr<forwarding> &entry, net::http_response response) -> void
{
    if (std::exchange(entry->answered, true)) {
        return;
    }
    static constexpr std::array<std::string_view, 4> verbNames{"submit", "state", "cancel", "pending"};
    const auto verb = verbNames.at(static_cast<std::size_t>(entry->request.verb));
    m_env.metrics.histogramOf("poplarpass_request_seconds", "Time to answer a caller", {{"verb", std::string{verb}}})
        .record(app::monotonicNow() - entry->receivedAt);
    m_env.metrics
        .counterOf("poplarpass_requests_total", "Answered requests of callers",
                   {{"status", std::to_string(response.status)}, {"verb", std::string{verb}}})
        .add();
    entry->caller->respond(std::move(response));
}

auto front_door::onPeer(const net::http_request &request, const std::shared_ptr<net::responder> &peer) -> void
{
    if (const auto announced = request.header(ownerHeader); !announced.empty()) {
        m_env.onAnnouncement(announced);
        peer->respond(plainResponse(200, "noted"));
        return;
    }
    const auto decoded = fromPeer(request);
    if (!decoded) {
        peer->respond(plainResponse(400, "bad_peer_request"));
        return;
    }
    const bool taken =
        m_env.handleHere(*decoded, [peer](net::http_response response) { peer->respond(std::move(response)); });
    if (!taken) {
        peer->respond(plainResponse(notOwnerStatus, "not_owner"));
    }
}

auto front_door::drain(std::function<void()> done) -> void
{
    if (!m_callers) {
        done();
        return;
    }
    m_callers->setOnDrained(std::move(done));
    m_callers->drain();
}
} // namespace poplarpass::host
