#include <poplarpass/host/job_times.h>

namespace poplarpass::host
{
job_times::job_times(observe::metrics_registry &metrics)
    : m_metrics{metrics}
{
}

auto job_times::onDecision(const jobs::decision &made, core::monotonic_time now) -> void
{
    if (made.event == "job_accepted") {
        m_acceptedAt[made.subject] = now;
        return;
    }
    const auto accepted = m_acceptedAt.find(made.subject);
    if (accepted == m_acceptedAt.end()) {
        return;
    }
    const auto took = now - accepted->second;
    if (made.event == "job_started") {
        m_metrics.histogramOf("poplarpass_job_queue_seconds", "From acceptance to the first run").record(took);
    } else if (made.event == "job_ended") {
        m_metrics
            .histogramOf("poplarpass_job_seconds", "From acceptance to the end of a job",
                         {{"outcome", std::string{made.reason}}})
            .record(took);
        m_acceptedAt.erase(accepted);
    }
}
} // namespace poplarpass::host
