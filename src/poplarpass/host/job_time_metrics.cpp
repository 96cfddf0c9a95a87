#include <poplarpass/host/job_time_metrics.h>

namespace poplarpass::host
{
job_time_metrics::job_time_metrics(observe::metrics_registry &metrics)
    : m_metrics{metrics}
{
}

auto job_time_metrics::onDecision(const jobs::decision &decision, core::monotonic_time now) -> void
{
    if (decision.event == "job_accepted") {
        m_acceptedAt[decision.subject] = now;
        return;
    }
    const auto accepted = m_acceptedAt.find(decision.subject);
    if (accepted == m_acceptedAt.end()) {
        return;
    }
    const auto elapsed = now - accepted->second;
    if (decision.event == "job_started") {
        m_metrics.histogramOf("poplarpass_job_queue_seconds", "From acceptance to the first run").record(elapsed);
    } else if (decision.event == "job_ended") {
        m_metrics
            .histogramOf("poplarpass_job_seconds", "From acceptance to the end of a job",
                         {{"outcome", std::string{decision.reason}}})
            .record(elapsed);
        m_acceptedAt.erase(accepted);
    }
}
} // namespace poplarpass::host
