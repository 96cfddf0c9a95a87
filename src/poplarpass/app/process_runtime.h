#pragma once

#include <poplarpass/net/http_client.h>
#include <poplarpass/observe.h>
#include <poplarpass/platform.h>
#include <poplarpass/platform/worker_client.h>
#include <poplarpass/settings.h>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <random>
#include <string>

namespace poplarpass::app
{
/// \brief Event loop, observability and platform clients that every process uses.
struct process_runtime
{
    /// \param processSettings checked settings
    /// \param kind "entry", "control" or "operator", part of the service name in traces
    process_runtime(settings::process_settings processSettings, std::string kind);
    ~process_runtime();
    process_runtime(const process_runtime &) = delete;
    auto operator=(const process_runtime &) -> process_runtime & = delete;

    settings::process_settings settings; ///< Checked settings.
    boost::asio::io_context loop; ///< Single event loop of the process.
    std::mt19937_64 random; ///< Random source for identifiers and jitter.
    std::uint64_t incarnation; ///< Start time in Unix milliseconds; increases with each start of the same name.
    observe::logger log; ///< Event log.
    observe::metrics_registry metrics; ///< Metrics of this process.
    net::http_client http; ///< HTTP client for the platform.
    observe::tracer traces; ///< Trace spans.
    std::shared_ptr<platform::worker_client_counters> workerCounters; ///< Counters of discarded worker answers.
    platform::log_service logService; ///< Log service of the platform.
    platform::host_list hosts; ///< Host list of the platform.
    platform::worker_service workers; ///< Workers of the platform.
};
} // namespace poplarpass::app
