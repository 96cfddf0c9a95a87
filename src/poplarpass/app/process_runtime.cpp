#include <poplarpass/app/clock.h>
#include <poplarpass/app/process_runtime.h>
#include <poplarpass/platform/host_list_client.h>
#include <poplarpass/platform/log_client.h>

#include <utility>

namespace poplarpass::app
{
namespace
{
constexpr core::duration collectorTimeout = std::chrono::seconds{2};
constexpr int httpSuccessBegin = 200;
constexpr int httpSuccessEnd = 300;

auto loggerOptions(const settings::process_settings &settings) -> observe::logger_options
{
    observe::logger_options options;
    options.processName = settings.process.name.str();
    options.level = observe::parseLogLevel(settings.log.level).value_or(observe::log_level::info);
    return options;
}

auto clientLimits() -> net::client_limits
{
    net::client_limits limits;
    limits.bodyBytes = std::uint64_t{64} * 1024 * 1024;
    return limits;
}

auto sendToCollector(process_runtime &process, std::string json, std::function<void(bool)> done) -> void
{
    net::http_request request;
    request.method = "POST";
    request.target = "/v1/traces";
    request.headers.push_back({"Content-Type", "application/json"});
    request.body = std::move(json);
    process.http.send(process.settings.platform.collector, std::move(request), collectorTimeout,
                      [done = std::move(done)](const core::result<net::http_response> &answer, net::sent_state) {
                          done(answer && answer->status >= httpSuccessBegin && answer->status < httpSuccessEnd);
                      });
}

auto tracerOptions(process_runtime &process, std::string kind) -> observe::tracer_options
{
    observe::tracer_options options;
    options.serviceName = "poplarpass-" + std::move(kind);
    options.instance = process.settings.process.name.str();
    options.random = [&process] {
        return process.random();
    };
    options.now = wallNow;
    if (!process.settings.platform.collector.empty()) {
        options.send = [&process](std::string json, std::function<void(bool)> done) {
            sendToCollector(process, std::move(json), std::move(done));
        };
    }
    return options;
}
} // namespace

process_runtime::process_runtime(settings::process_settings processSettings, std::string kind)
    : settings{std::move(processSettings)}
    , loop{1}
    , random{std::random_device{}()}
    , incarnation{static_cast<std::uint64_t>(core::toUnixMilliseconds(wallNow()))}
    , log{loggerOptions(settings)}
    , http{loop, clientLimits()}
    , traces{tracerOptions(*this, std::move(kind))}
    , workerCounters{std::make_shared<platform::worker_client_counters>()}
    , logService{platform::makeLogService(http, settings.platform.log)}
    , hosts{platform::makeHostList(http, settings.platform.hostList)}
    , workers{platform::makeWorkerService(http, workerCounters)}
{
}

process_runtime::~process_runtime() = default;
} // namespace poplarpass::app
