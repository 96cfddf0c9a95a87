#include <poplarpass/host/pool_owner.h>

#include <algorithm>
#include <array>

// Log lines of the engine's decisions.
namespace poplarpass::host
{
using observe::log_level;

namespace
{
// Failures are logged as warnings, which have a rate limit of their own in the log.
auto logLevelOf(const jobs::decision &decision) -> log_level
{
    static constexpr std::array<std::string_view, 8> warningEvents{
        "job_given_up",     "run_lost",         "run_given_up",   "start_rejected",
        "start_unanswered", "task_without_run", "worker_crashed", "worker_paused"};
    const bool isWarning =
        decision.reason == "failed" || std::ranges::find(warningEvents, decision.event) != warningEvents.end();
    return isWarning ? log_level::warning : log_level::info;
}

auto addLostRunFields(const jobs::lost_run_details &lost, core::monotonic_time now, std::vector<observe::field> &fields)
    -> void
{
    fields.emplace_back("ran_ms", std::chrono::duration_cast<std::chrono::milliseconds>(lost.ranFor).count());
    fields.emplace_back("open_start", lost.hasOpenStart);
    if (lost.lastOrderAt) {
        const auto sinceOrder = std::chrono::duration_cast<std::chrono::milliseconds>(now - *lost.lastOrderAt);
        fields.emplace_back("ordered_ms", sinceOrder.count());
    }
}

auto addFailureFields(const jobs::failure_evidence &failure, std::vector<observe::field> &fields) -> void
{
    fields.emplace_back("task", failure.task);
    fields.emplace_back("failed_runs", failure.failedRuns);
    fields.emplace_back("max_failed_runs", failure.maxFailedRuns);
    if (const auto &crashes = failure.crashes) {
        fields.emplace_back("crashes_at_start", crashes->atStart);
        fields.emplace_back("crashes_alone", crashes->alone);
        fields.emplace_back("crashes_certain", crashes->certain);
        fields.emplace_back("crashes_later", crashes->later);
    }
}

auto addWaitFields(const jobs::wait_details &wait, std::vector<observe::field> &fields) -> void
{
    fields.emplace_back("waited_ms", std::chrono::duration_cast<std::chrono::milliseconds>(wait.waited).count());
    if (!wait.lastEnd.empty()) {
        fields.emplace_back("ended", wait.lastEnd);
    }
    if (wait.leaseFor) {
        fields.emplace_back("lease_ms", std::chrono::duration_cast<std::chrono::milliseconds>(*wait.leaseFor).count());
    }
    if (wait.inPool) {
        fields.emplace_back("pool", wait.inPool->pool);
        fields.emplace_back("tasks", wait.inPool->tasks);
    }
}
} // namespace

auto pool_owner::logDecision(const jobs::decision &decision) -> void
{
    const auto now = m_env.time.now();
    m_jobTimes.onDecision(decision, now);
    const bool concernsAccount = decision.event == "account_at_cap" || decision.event == "account_below_cap";
    m_env.log.logWith(logLevelOf(decision), decision.event, [this, &decision, now, concernsAccount] {
        return concernsAccount ? accountFieldsOf(decision) : fieldsOf(decision, now);
    });
}

auto pool_owner::fieldsOf(const jobs::decision &decision, core::monotonic_time now) -> std::vector<observe::field>
{
    std::vector<observe::field> fields{{"id", decision.subject}};
    if (!decision.worker.empty()) {
        fields.emplace_back("worker", decision.worker);
        fields.emplace_back("run", decision.run);
        if (const auto *worker = m_engine.workers().find(jobs::worker_id{decision.worker})) {
            const auto sinceAnswer =
                std::chrono::duration_cast<std::chrono::milliseconds>(now - worker->lastResponseAt);
            fields.emplace_back("born", worker->entry.incarnation);
            fields.emplace_back("heard_ms", sinceAnswer.count());
        }
    }
    fields.emplace_back("reason", decision.reason);
    if (const auto &lost = decision.details.lost) {
        addLostRunFields(*lost, now, fields);
    }
    if (const auto &crash = decision.details.crash) {
        fields.emplace_back("placed", crash->placed);
        fields.emplace_back("suspects", crash->suspects);
    }
    if (const auto &failure = decision.details.failure) {
        addFailureFields(*failure, fields);
    }
    if (const auto &wait = decision.details.wait) {
        addWaitFields(*wait, fields);
    }
    fields.emplace_back("epoch", m_term.epoch());
    fields.emplace_back("config", m_env.routes.config().version);
    return fields;
}
} // namespace poplarpass::host
