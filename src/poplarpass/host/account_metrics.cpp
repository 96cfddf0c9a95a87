#include <poplarpass/host/account_metrics.h>
#include <poplarpass/observe/metrics.h>

#include <algorithm>

namespace poplarpass::host
{
namespace
{
constexpr std::size_t maxNamedAccounts = 10;
constexpr double cpuUnitsPerCore = 1000;
} // namespace

// The series are rendered from a registry of their own: an account that is no longer among the largest must disappear,
// and the registry of the process keeps every series.
auto renderAccountMetrics(account_report report) -> std::string
{
    std::ranges::stable_sort(report, std::ranges::greater{},
                             [](const account_report_entry &entry) { return entry.use.cpu; });
    observe::metrics_registry metrics;
    for (std::size_t index = 0; index < report.size(); ++index) {
        const auto &entry = report[index];
        const observe::metric_labels labels{{"account", index < maxNamedAccounts ? entry.name.str() : "other"}};
        metrics.gaugeOf("poplarpass_account_used_cores", "Cores that runs of an account reserve", labels)
            .add(static_cast<double>(entry.use.cpu) / cpuUnitsPerCore);
        metrics.gaugeOf("poplarpass_account_waiting_tasks", "Tasks of an account that wait for a start", labels)
            .add(static_cast<double>(entry.waitingTasks));
        for (const auto &[reason, count] : entry.refused) {
            metrics
                .counterOf("poplarpass_account_refused_total", "Requests of accounts refused in this term",
                           {{"reason", reason}})
                .add(count);
        }
    }
    return metrics.render();
}
} // namespace poplarpass::host
