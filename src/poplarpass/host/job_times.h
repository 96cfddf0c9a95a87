#pragma once

#include <poplarpass/core/time.h>
#include <poplarpass/jobs/job_engine.h>
#include <poplarpass/observe/metrics.h>

#include <string>
#include <unordered_map>

namespace poplarpass::host
{
/// \brief Measures how long the jobs that one owner accepted waited and took.
class job_times
{
public:
    explicit job_times(observe::metrics_registry &metrics);

    /// \brief Takes in a decision about a job at \p now; others change nothing.
    auto onDecision(const jobs::decision &made, core::monotonic_time now) -> void;

private:
    observe::metrics_registry &m_metrics;
    std::unordered_map<std::string, core::monotonic_time> m_acceptedAt;
};
} // namespace poplarpass::host
