#pragma once

#include <poplarpass/core/time.h>
#include <poplarpass/jobs/job_engine.h>
#include <poplarpass/observe/metrics.h>

#include <string>
#include <unordered_map>

namespace poplarpass::host
{
/// \brief Records the queueing time and the total time of jobs. Covers only jobs that this owner accepted itself.
class job_time_metrics
{
public:
    explicit job_time_metrics(observe::metrics_registry &metrics);

    /// \brief Records a decision about a job made at \p now; ignores other decisions.
    auto onDecision(const jobs::decision &decision, core::monotonic_time now) -> void;

private:
    observe::metrics_registry &m_metrics;
    std::unordered_map<std::string, core::monotonic_time> m_acceptedAt;
};
} // namespace poplarpass::host
