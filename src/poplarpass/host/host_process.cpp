#include <poplarpass/app/clock.h>
#include <poplarpass/app/ticker.h>
#include <poplarpass/host/account_metrics.h>
#include <poplarpass/host/constants.h>
#include <poplarpass/host/host_peers.h>
#include <poplarpass/host/host_process.h>
#include <poplarpass/host/listener_limits.h>
#include <poplarpass/observe/line_writer.h>

#include <algorithm>
#include <csignal>
#include <sys/sysinfo.h>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace poplarpass::host
{
using observe::log_level;

namespace
{
// Log lines of one event per second; enough for each start and end on days with the highest load.
constexpr std::uint32_t eventsPerSecond = 400;
// Delay before log lines are written, so that the lines of several decisions share one system call.
constexpr core::duration logWriteDelay = std::chrono::milliseconds{20};
// Orders that a worker leaves unanswered must not delay the renewal of its lease.
constexpr std::size_t renewalConnectionsPerWorker = 2;
constexpr std::size_t orderConnectionsPerWorker = 10;
constexpr std::size_t connectionsToStore = 16;
constexpr std::size_t bytesPerMb = 1'000'000;
// Without a setting, as a machine with more memory may run other processes.
constexpr std::size_t maxDefaultMemoryBytes = 256 * bytesPerMb;

auto loggerOptions(const settings::host_settings &settings, const core::time_source &time) -> observe::logger_options
{
    observe::logger_options options;
    options.processName = settings.name;
    options.burst = eventsPerSecond;
    options.level = observe::parseLogLevel(settings.logLevel).value_or(log_level::info);
    const auto defer = [&time](std::function<void()> flush) {
        time.callAfter(logWriteDelay, std::move(flush));
    };
    options.sink = [writer = std::make_shared<observe::line_writer>(STDOUT_FILENO, defer)](log_level,
                                                                                           std::string_view line) {
        writer->write(line);
    };
    return options;
}

// Half of the time for the withdrawal of keys: the other half covers a request on its way to the owner.
auto maxConfigAge(const settings::host_settings &settings) -> std::optional<core::duration>
{
    return settings.keyWithdrawal ? std::optional<core::duration>{*settings.keyWithdrawal / 2} : std::nullopt;
}

auto memoryOf(const settings::host_settings &settings) -> std::size_t
{
    if (settings.memoryMb) {
        return static_cast<std::size_t>(*settings.memoryMb) * bytesPerMb;
    }
    using machine_info = struct sysinfo;
    machine_info machine{};
    const bool isKnown = sysinfo(&machine) == 0;
    return isKnown ? std::min(maxDefaultMemoryBytes, std::size_t{machine.totalram} * machine.mem_unit)
                   : maxDefaultMemoryBytes;
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
    , m_time{makeTimeSource()}
    , m_log{loggerOptions(m_settings, m_time)}
    , m_platformHttp{m_loop, clientLimits(connectionsToStore)}
    , m_renewalHttp{m_loop, clientLimits(renewalConnectionsPerWorker)}
    , m_orderHttp{m_loop, clientLimits(orderConnectionsPerWorker)}
    , m_peerHttp{m_loop, clientLimits(connectionsToStore)}
    , m_callMetrics{m_time, m_metrics}
    , m_store{withCallMetrics(m_access.makeStore(m_platformHttp, m_settings.store), m_callMetrics)}
    , m_workers{withCallMetrics(m_access.makeWorkers(m_renewalHttp, m_orderHttp), m_callMetrics)}
    , m_hosts{withCallMetrics(m_access.makeHosts(m_platformHttp, m_settings.hostService), m_callMetrics)}
    , m_advice{withCallMetrics(m_access.makeAdvice(m_platformHttp, m_settings.advice), m_callMetrics)}
    , m_peers{makePeerCalls(m_peerHttp)}
    , m_signals{m_loop, SIGTERM, SIGINT, SIGHUP}
{
}

host_process::~host_process() = default;

// Callers' times and those of other hosts are compared with this clock, so a step of the time of day must not reach it.
auto host_process::makeTimeSource() -> core::time_source
{
    auto time = app::makeTimeSource(m_loop);
    time.wallNow = [this] {
        return m_wallClock.update(app::monotonicNow(), app::wallNow());
    };
    return time;
}

auto host_process::setAccountReportSource(account_report_source source) -> void
{
    m_accountReport = std::move(source);
}

auto host_process::run() -> void
{
    m_log.log(log_level::info, "start", {{"zone", m_settings.zone}, {"peers", m_settings.peers}});
    m_core = makeCore();
    setAccountReportSource([this] { return m_core->accountReport(); });
    listen();
    m_core->start();
    awaitSignals();
    std::error_code error;
    m_settingsModifiedAt = std::filesystem::last_write_time(m_settingsPath, error);
    pollSettings();
    m_loop.run();
    m_log.log(log_level::info, "stop", {});
}

auto host_process::makeCore() -> std::unique_ptr<host_core>
{
    host_environment environment{m_settings.name,
                                 m_settings.peers,
                                 owner::host_resources{m_settings.cores, m_settings.linkMbps},
                                 m_settings.holderTerm,
                                 m_time,
                                 m_store,
                                 m_workers,
                                 m_hosts,
                                 m_advice,
                                 m_peers,
                                 m_access.decoders,
                                 m_log,
                                 m_metrics,
                                 maxConfigAge(m_settings)};
    return std::make_unique<host_core>(std::move(environment));
}

auto host_process::listen() -> void
{
    m_requestServer = std::make_unique<request_server>(m_loop, m_time, *m_core, m_log, m_metrics);
    const auto limits = divideAmongListeners(memoryOf(m_settings), static_cast<std::size_t>(m_settings.maxDescriptors));
    m_requestServer->listenForCallers(m_settings.callers, limits.callers);
    m_requestServer->listenForPeers(m_settings.peers, limits.peers);
    const auto answer = [this](const net::http_request &request, const std::shared_ptr<net::responder> &caller) {
        caller->respond(answerStatus(request));
    };
    m_readiness = std::make_unique<net::http_server>(m_loop, m_settings.readiness, limits.status, answer);
    m_metricsServer = std::make_unique<net::http_server>(m_loop, m_settings.metrics, limits.status, answer);
}

auto host_process::answerStatus(const net::http_request &request) -> net::http_response
{
    if (request.path() == "/metrics") {
        m_core->updateMetrics();
        return net::makeResponse(200, renderMetrics(), observe::metricsContentType);
    }
    if (request.path() == "/accounts") {
        return answerAccountRequest(request, m_accountReport);
    }
    const bool ready = !m_stopping && m_core->isReady();
    return ready ? plainResponse(200, "ready") : plainResponse(503, "not_ready");
}

auto host_process::renderMetrics() const -> std::string
{
    const auto report = m_accountReport();
    return m_metrics.render() + (report ? renderAccountMetrics(*report) : std::string{});
}

auto host_process::awaitSignals() -> void
{
    m_signals.async_wait([this](const boost::system::error_code &error, int signal) {
        if (error) {
            return;
        }
        if (signal == SIGHUP) {
            reload();
        } else if (!m_stopping) {
            beginShutdown();
        }
        awaitSignals();
    });
}

// The platform also rewrites the settings file without sending a signal.
auto host_process::pollSettings() -> void
{
    std::error_code error;
    const auto modifiedAt = std::filesystem::last_write_time(m_settingsPath, error);
    if (!error && modifiedAt != std::exchange(m_settingsModifiedAt, modifiedAt)) {
        reload();
    }
    checkClock();
    m_time.callAfter(settingsPollPeriod, [this] { pollSettings(); });
}

auto host_process::checkClock() -> void
{
    (void)m_time.wallNow();
    const auto step = m_wallClock.step();
    const bool isStepped = step != core::duration{0};
    if (isStepped != m_isClockStepped) {
        m_isClockStepped = isStepped;
        m_log.log(m_isClockStepped ? log_level::warning : log_level::info,
                  m_isClockStepped ? "clock_stepped" : "clock_regular",
                  {{"ms", std::chrono::duration_cast<std::chrono::milliseconds>(step).count()},
                   {"effect", m_isClockStepped ? "ignored_for_a_minute" : "none"}});
    }
}

auto host_process::reload() -> void
{
    auto loaded = settings::loadHostSettings(m_settingsPath);
    if (!loaded) {
        for (const auto &error : loaded.error()) {
            m_log.log(log_level::error, "settings_unreadable", {{"key", error.key}, {"expected", error.expected}});
        }
        return;
    }
    m_log.setLevel(observe::parseLogLevel(loaded->logLevel).value_or(log_level::info));
    // Changed addresses take effect only after a restart.
    const bool needsRestart = settings::differsInAddresses(*loaded, m_settings);
    m_log.log(needsRestart ? log_level::warning : log_level::info, "reload",
              {{"log_level", loaded->logLevel}, {"effect", needsRestart ? "addresses_at_next_start" : "all"}});
}

// The load balancer keeps sending callers for a while after the process reports not ready, so they are still served.
auto host_process::beginShutdown() -> void
{
    m_stopping = true;
    m_log.log(log_level::info, "stopping", {{"owner", m_core->ownsPools()}});
    const auto timeToEnd = m_settings.stopGrace - shutdownMargin;
    m_core->relinquishOwnership(m_time.now() + timeToEnd - finalAnswerMargin);
    m_time.callAfter(loadBalancerLag, [this] { m_requestServer->drain([this] { finishShutdown(); }); });
    m_time.callAfter(timeToEnd, [this] { finishShutdown(); });
}

auto host_process::finishShutdown() -> void
{
    m_loop.stop();
}
} // namespace poplarpass::host
