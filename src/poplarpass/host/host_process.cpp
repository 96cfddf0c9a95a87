#include <poplarpass/app/clock.h>
#include <poplarpass/app/ticker.h>
#include <poplarpass/host/constants.h>
#include <poplarpass/host/host_process.h>
#include <poplarpass/observe/line_writer.h>

#include <csignal>
#include <unistd.h>
#include <utility>

namespace poplarpass::host
{
using observe::log_level;

namespace
{
// Lines of one event a second; each start and end of the heaviest days gets its line.
constexpr std::uint32_t eventsPerSecond = 400;
constexpr unsigned rankCount = 4;
constexpr core::duration freshStart = std::chrono::seconds{15};
constexpr std::size_t connectionsPerWorker = 12;
constexpr std::size_t connectionsToStore = 16;

auto loggerOptions(const settings::host_settings &settings) -> observe::logger_options
{
    observe::logger_options options;
    options.processName = settings.name;
    options.burst = eventsPerSecond;
    options.level = observe::logLevelNamed(settings.logLevel).value_or(log_level::info);
    options.sink = [writer = std::make_shared<observe::line_writer>(STDOUT_FILENO)](log_level, std::string_view line) {
        writer->write(line);
    };
    return options;
}

auto clientLimits(std::size_t connections) -> net::client_limits
{
    net::client_limits limits;
    limits.connectionsPerEndpoint = connections;
    limits.connectTimeout = std::chrono::milliseconds{700};
    limits.idleTimeout = std::chrono::milliseconds{3500};
    return limits;
}
} // namespace

host_process::host_process(settings::host_settings settings, std::string settingsPath, platform_access access)
    : m_settings{std::move(settings)}
    , m_settingsPath{std::move(settingsPath)}
    , m_access{std::move(access)}
    , m_loop{1}
    , m_log{loggerOptions(m_settings)}
    , m_platformHttp{m_loop, clientLimits(connectionsToStore)}
    , m_workerHttp{m_loop, clientLimits(connectionsPerWorker)}
    , m_peerHttp{m_loop, clientLimits(connectionsToStore)}
    , m_store{m_access.makeStore(m_platformHttp, m_settings.store)}
    , m_workers{m_access.makeWorkers(m_workerHttp)}
    , m_hosts{m_access.makeHosts(m_platformHttp, m_settings.hostService)}
    , m_advice{m_access.makeAdvice(m_platformHttp, m_settings.advice)}
    , m_signals{m_loop, SIGTERM, SIGINT, SIGHUP}
{
}

host_process::~host_process() = default;

auto host_process::run() -> void
{
    m_log.log(log_level::info, "start", {{"zone", m_settings.zone}, {"peers", m_settings.peers}});
    m_config = std::make_unique<config_follower>(m_loop, m_store, m_log, m_access.operators, m_routes, [this] {
        if (m_owner) {
            m_owner->onConfig();
        }
    });
    m_startedAt = app::monotonicNow();
    m_election = makeElection();
    m_announcer =
        std::make_unique<owner_announcer>(m_loop, m_store, m_peerHttp, m_log, m_settings.name, m_settings.peers);
    m_announcer->enrol();
    listen();
    m_config->start();
    m_election->start();
    awaitSignals();
    m_loop.run();
    m_log.log(log_level::info, "stop", {});
}

auto host_process::listen() -> void
{
    front_door_environment environment{
        m_loop,
        m_peerHttp,
        m_routes,
        m_log,
        m_metrics,
        [this](const client_request &request, client_answer answer) { return handleHere(request, std::move(answer)); },
        [this](std::string_view announced) {
            if (const auto record = owner::decodeOwnerRecord(announced)) {
                m_election->onAnnouncement(*record);
            }
        },
        [this] {
            return ownerAddress();
        }};
    m_front = std::make_unique<front_door>(std::move(environment));
    m_front->listenForCallers(m_settings.callers);
    m_front->listenForPeers(m_settings.peers);
    const auto answer = [this](const net::http_request &request, const std::shared_ptr<net::responder> &caller) {
        caller->respond(answerStatus(request));
    };
    m_readiness = std::make_unique<net::http_server>(m_loop, m_settings.readiness, net::server_limits{}, answer);
    m_metricsServer = std::make_unique<net::http_server>(m_loop, m_settings.metrics, net::server_limits{}, answer);
}

auto host_process::makeElection() -> std::unique_ptr<owner_election>
{
    election_hooks hooks;
    hooks.onElected = [this](std::uint64_t epoch, core::monotonic_time claimedAt) {
        onElected(epoch, claimedAt);
    };
    hooks.onRenewing = [this](core::monotonic_time sentAt, core::duration silence) {
        if (m_owner) {
            m_owner->onRenewing(sentAt, silence);
        }
    };
    hooks.onRenewed = [this](core::monotonic_time sentAt, core::duration silence) {
        if (m_owner) {
            m_owner->onRenewed(sentAt, silence);
        }
    };
    hooks.onDeposed = [this] {
        onDeposed();
    };
    hooks.rank = [this] {
        return rank();
    };
    return std::make_unique<owner_election>(m_loop, m_store, m_log, m_settings.name, m_settings.peers,
                                            std::move(hooks));
}

auto host_process::onElected(std::uint64_t epoch, core::monotonic_time claimedAt) -> void
{
    pool_owner_environment environment{
        m_loop,
        m_store,
        m_workers,
        m_routes,
        m_log,
        m_metrics,
        m_access.decodeJob,
        m_access.decodeWorker,
        m_advice,
        m_hosts,
        m_access.waves,
        m_settings.name,
        m_settings.holderTerm,
        [this]() -> const std::map<std::string, std::string> & { return m_config->otherRecords(); },
        [this] {
            onDeposed();
        }};
    m_owner = std::make_unique<pool_owner>(std::move(environment), epoch, claimedAt, m_election->formerOwners());
    m_owner->start();
    m_announcer->announce(
        {owner::owner_record_kind::claim, epoch, m_settings.name, m_settings.peers, owner::longSilence},
        [this](const std::string &host) {
            if (m_owner) {
                m_owner->onConfirmed(host);
            }
        });
}

auto host_process::onDeposed() -> void
{
    if (m_owner) {
        m_log.log(log_level::warning, "owner_ends", {{"epoch", m_owner->epoch()}});
        m_owner.reset();
    }
    m_announcer->stop();
    m_election->drop();
}

auto host_process::handleHere(const client_request &request, client_answer answer) -> bool
{
    if (!m_owner) {
        return false;
    }
    m_owner->handle(request, std::move(answer));
    return true;
}

auto host_process::ownerAddress() const -> std::optional<std::string>
{
    const auto &current = m_election->current();
    if (!current || current->host == m_settings.name) {
        return std::nullopt;
    }
    return current->address;
}

// Mostly different between hosts. When hosts are restarted in turn, one that was restarted a moment ago stays.
auto host_process::rank() const -> unsigned
{
    const auto byName = static_cast<unsigned>(std::hash<std::string>{}(m_settings.name) % rankCount);
    const bool fresh = app::monotonicNow() - m_startedAt < freshStart;
    return fresh ? byName : byName + rankCount;
}

auto host_process::isReady() const -> bool
{
    return !m_stopping && m_routes.config().version > 0 && m_election->current().has_value();
}

auto host_process::answerStatus(const net::http_request &request) -> net::http_response
{
    if (request.path() == "/metrics") {
        if (m_owner) {
            m_owner->updateMetrics();
        }
        m_metrics.gaugeOf("poplarpass_config_version", "Configuration in force")
            .set(static_cast<double>(m_routes.config().version));
        m_metrics.gaugeOf("poplarpass_owns_pools", "Whether this host owns the pools").set(m_owner ? 1 : 0);
        return net::makeResponse(200, m_metrics.render(), observe::metricsContentType);
    }
    return isReady() ? plainResponse(200, "ready") : plainResponse(503, "not_ready");
}

auto host_process::awaitSignals() -> void
{
    m_signals.async_wait([this](const boost::system::error_code &problem, int signal) {
        if (problem) {
            return;
        }
        if (signal == SIGHUP) {
            reload();
        } else if (!m_stopping) {
            beginStop();
        }
        awaitSignals();
    });
}

auto host_process::reload() -> void
{
    auto loaded = settings::loadHostSettings(m_settingsPath);
    if (!loaded) {
        for (const auto &problem : loaded.error()) {
            m_log.log(log_level::error, "settings_unreadable", {{"key", problem.key}, {"expected", problem.expected}});
        }
        return;
    }
    m_log.setLevel(observe::logLevelNamed(loaded->logLevel).value_or(log_level::info));
    m_log.log(log_level::info, "reload", {{"log_level", loaded->logLevel}});
}

// The balancer goes on sending callers for a while, so they are served until it has noticed.
auto host_process::beginStop() -> void
{
    m_stopping = true;
    m_log.log(log_level::info, "stopping", {{"owner", m_owner != nullptr}});
    m_election->standAside();
    const auto resignation = [this] {
        m_election->resign([this] {
            m_log.log(log_level::info, "resigned", {});
            m_announcer->stop();
            m_owner.reset();
        });
    };
    if (m_owner && m_owner->isServing()) {
        m_owner->resign(resignation);
    } else {
        resignation();
    }
    app::callAfter(m_loop, balancerLag, [this] { m_front->drain([this] { endStop(); }); });
    app::callAfter(m_loop, m_settings.stopGrace - stopReserve, [this] { endStop(); });
}

auto host_process::endStop() -> void
{
    m_loop.stop();
}
} // namespace poplarpass::host
