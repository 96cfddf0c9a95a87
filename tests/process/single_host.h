#pragma once

#include "child_process.h"
#include "http_call.h"
#include "platform_standin.h"

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace tests
{
/// \brief Lowered resources of a host process in a test.
struct host_resources
{
    int memoryMb = 0; ///< Memory that the process may use, MB (10^6 bytes).
    int maxDescriptors = 0; ///< File descriptors that the process may have open.
};

/// \brief One real `poplarpass host` process on loopback, with a stand-in for the users' platform.
///
/// The host owns the pools of one queue at `/q/`, for bodies of at most maxBodyBytes.
class single_host
{
public:
    /// \brief limits.max_body_bytes of the operator's configuration.
    static constexpr std::size_t maxBodyBytes = 262'144;

    explicit single_host(host_resources resources);
    ~single_host();
    single_host(const single_host &) = delete;
    auto operator=(const single_host &) -> single_host & = delete;

    /// \brief Returns the process.
    auto process() -> child_process &;

    /// \brief Submits a job with a body of \p bodyBytes bytes until it is accepted.
    /// \returns whether that happened within a minute
    auto acceptsJob(std::size_t bodyBytes = 0) -> bool;

    /// \brief Whether the readiness and the metrics endpoint answer with status 200 within a minute.
    auto answersStatus() -> bool;

    std::string callers; ///< "IP:port" for callers' requests.
    std::string peers; ///< "IP:port" for the other hosts.
    std::string readiness; ///< "IP:port" of the readiness endpoint.
    std::string metrics; ///< "IP:port" for metrics.

private:
    platform_standin m_platform;
    std::filesystem::path m_settings;
    std::unique_ptr<child_process> m_process;
    unsigned m_jobs = 0;
};
} // namespace tests
