#pragma once

#include <poplarpass/platform/worker_service.h>

#include <cstdint>
#include <memory>

namespace poplarpass::net
{
class http_client;
} // namespace poplarpass::net

namespace poplarpass::platform
{
/// \brief Answers to starts that were not taken for the job's own.
struct worker_client_counters
{
    std::uint64_t late = 0; ///< No whole answer came within the time limit.
    std::uint64_t mismatched = 0; ///< The answer named another task or attempt.
    std::uint64_t truncated = 0; ///< The answer was cut off or could not be read.
};

/// \brief Workers behind HTTP.
/// \param client outlives the returned hooks
/// \param counters is counted up with every answer that is set aside
auto makeWorkerService(net::http_client &client, std::shared_ptr<worker_client_counters> counters) -> worker_service;
} // namespace poplarpass::platform
