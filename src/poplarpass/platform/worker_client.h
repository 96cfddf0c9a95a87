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
/// \brief Counters of responses to starts that were not accepted.
struct worker_client_counters
{
    std::uint64_t late = 0; ///< No complete response within the timeout.
    std::uint64_t mismatched = 0; ///< The response named another task or attempt.
    std::uint64_t truncated = 0; ///< The response was truncated or unparsable.
};

/// \brief Returns a worker_service that uses HTTP.
/// \param client must outlive the returned object
/// \param counters incremented for each response that is not accepted
auto makeWorkerService(net::http_client &client, std::shared_ptr<worker_client_counters> counters) -> worker_service;
} // namespace poplarpass::platform
