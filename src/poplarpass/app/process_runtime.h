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
/// \brief What every long-running process has: its loop, its eyes and its ways to the platform.
struct process_runtime
{
    /// \param given checked settings
    /// \param kind "entry" or "control", for traces
    process_runtime(settings::process_settings given, std::string kind);
    ~process_runtime();
    process_runtime(const process_runtime &) = delete;
    auto operator=(const process_runtime &) -> process_runtime & = delete;

    settings::process_settings settings; ///< Settings of this process.
    boost::asio::io_context loop; ///< The process's only event loop.
    std::mt19937_64 random; ///< Source of identifiers and jitter.
    std::uint64_t incarnation; ///< Greater at each start of the same name: start time in Unix milliseconds.
    observe::logger log; ///< Event log.
    observe::metrics_registry metrics; ///< Metrics of this process.
    net::http_client http; ///< Client towards the platform.
    observe::tracer traces; ///< Spans of each hop.
    std::shared_ptr<platform::worker_client_counters> workerCounters; ///< Worker answers set aside.
    platform::log_service logService; ///< Platform's log.
    platform::host_list hosts; ///< Platform's host list.
    platform::worker_service workers; ///< Platform's workers.
};
} // namespace poplarpass::app
