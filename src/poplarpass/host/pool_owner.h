#pragma once

#include <poplarpass/core/lifetime.h>
#include <poplarpass/core/time_source.h>
#include <poplarpass/host/account_report.h>
#include <poplarpass/host/advice_calls.h>
#include <poplarpass/host/capacity_controller.h>
#include <poplarpass/host/client_request.h>
#include <poplarpass/host/config_standing.h>
#include <poplarpass/host/job_time_metrics.h>
#include <poplarpass/host/journal.h>
#include <poplarpass/host/platform_decoders.h>
#include <poplarpass/host/refused_attempts.h>
#include <poplarpass/host/request_authenticator.h>
#include <poplarpass/host/waiting_requests.h>
#include <poplarpass/host/worker_links.h>
#include <poplarpass/host/worker_list.h>
#include <poplarpass/jobs/job_engine.h>
#include <poplarpass/observe/logger.h>
#include <poplarpass/observe/metrics.h>
#include <poplarpass/owner/owner_monitor.h>
#include <poplarpass/route/route_table.h>
#include <poplarpass/store/record_store.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace poplarpass::host
{
/// \brief Dependencies of a pool_owner, supplied by its process.
struct pool_owner_environment
{
    const core::time_source &time; ///< Clocks and timer.
    const store::record_store &records; ///< The store.
    const worker_calls &workers; ///< Calls of workers.
    const route::route_table &routes; ///< Active configuration of this host.
    observe::logger &log; ///< Event log.
    observe::metrics_registry &metrics; ///< Metrics.
    const platform_decoders &decoders; ///< Decoders of the platform's formats.
    const advice_calls &advice; ///< Calls of the placement advice service.
    const host_calls &hosts; ///< Calls of the platform's host service.
    std::string hostName; ///< Name of this host.
    core::duration holderTerm; ///< Time for which only one holder may send orders for a host.
    std::function<const std::map<std::string, std::string> &()> operatorRecords; ///< Latest records of the operator.
    std::function<void()> onOwnershipLost; ///< Called when this process is no longer the owner.
    std::function<config_standing()> configStanding = [] {
        return config_standing{};
    }; ///< How far keys may be checked by the active configuration.
};

/// \brief One term of this process as owner of all pools: decides, stores the decisions and sends orders.
class pool_owner
{
public:
    /// \param formerOwners names of hosts that may still send orders as former owners
    pool_owner(pool_owner_environment environment, std::uint64_t epoch, core::monotonic_time claimedAt,
               std::vector<std::string> formerOwners);
    ~pool_owner();
    pool_owner(const pool_owner &) = delete;
    auto operator=(const pool_owner &) -> pool_owner & = delete;

    /// \brief Restores the stored jobs and then begins to serve.
    auto start() -> void;

    /// \brief Answers a caller's request, or queues it until it can be served.
    auto handle(const client_request &request, response_callback answer) -> void;

    /// \brief Handles a newer active configuration: requests that waited for it are served.
    auto onConfig() -> void;

    /// \brief Handles a renewal about to be sent, which lets others claim after \p electionTimeout.
    auto onRenewing(core::monotonic_time sentAt, core::duration electionTimeout) -> void;

    /// \brief Handles the confirmation that the renewal sent at \p sentAt is stored.
    auto onRenewed(core::monotonic_time sentAt, core::duration electionTimeout) -> void;

    /// \brief Called when this owner may use \p token as fencing token; tokens increase.
    auto onFencingToken(std::uint64_t token) -> void;

    /// \brief Handles the acknowledgement of host \p name, which sends no orders of a former term any more.
    auto onAnnouncementAcknowledged(const std::string &name) -> void;

    /// \brief Stops deciding, waits until all pending changes are stored, then calls \p done.
    auto resign(std::function<void()> done) -> void;

    /// \brief Returns the epoch of this term.
    [[nodiscard]] auto epoch() const -> std::uint64_t;

    /// \brief Returns whether requests are served.
    [[nodiscard]] auto isServing() const -> bool;

    /// \brief Returns for how long requests have been served in this term.
    [[nodiscard]] auto servingFor() const -> core::duration;

    /// \brief Returns what operators see of the client accounts; nothing while accounts are disabled.
    [[nodiscard]] auto accountReport() const -> std::optional<account_report>;

    /// \brief Updates the gauges of the owner.
    auto updateMetrics() -> void;

private:
    auto makeWorkerList() -> std::unique_ptr<worker_list>;
    auto makeCapacity() -> std::unique_ptr<capacity_controller>;
    auto readJobs() -> void;
    auto onJobsRead(const store::newest_result &newest) -> void;
    auto onWorkersRead() -> void;
    auto updateWorkers() -> void;
    auto holdPoolsWithStaleCapacity() -> void;
    auto beginServing() -> void;
    auto removeEndedJobs() -> void;
    auto logRunTimes() -> void;
    auto serve(const client_request &request, const response_callback &answer) -> void;
    auto submit(const client_request &request, const response_callback &answer) -> void;
    /// \returns whether the job is known, or the attempt was refused before, so that the submission is answered
    auto answerKnownSubmission(const client_request &request, const response_callback &answer) -> bool;
    auto submitNew(const client_request &request, const jobs::queue_policy &queue, const response_callback &answer)
        -> void;
    auto deferSubmission(const client_request &request, const response_callback &answer) -> void;
    auto refuse(const client_request &request, const response_callback &answer, std::string_view reason, int retryAfter)
        -> void;
    auto refuseSubmission(const client_request &request, const response_callback &answer, std::string_view reason,
                          int retryAfter) -> void;
    [[nodiscard]] auto mayHaveBeenCarriedOut(const client_request &request) const -> bool;
    [[nodiscard]] auto finalRefusal(const client_request &request, net::http_response refusal) -> net::http_response;
    /// \brief Passes \p refusal on, or answers that the outcome is unknown if an earlier copy may have been carried
    /// out.
    auto reject(const client_request &request, net::http_response refusal, const response_callback &answer) -> void;
    auto refuseDeferred() -> void;
    auto scheduleDeferredRefusal(core::duration delay) -> void;
    auto refuseTermExpired(const client_request &request, const response_callback &answer) -> void;
    auto submitDeferred() -> void;
    auto answerState(const client_request &request, const response_callback &answer) -> void;
    auto cancel(const client_request &request, const response_callback &answer) -> void;
    auto answerPending(const client_request &request, const response_callback &answer) -> void;
    auto updateAccounts() -> void;
    auto authenticateRequest(const client_request &request, const response_callback &answer)
        -> std::optional<jobs::account_id>;
    /// \returns whether the submission was refused because the store cannot hold the job
    auto refuseUnstorable(const client_request &request, const jobs::queue_policy &queue,
                          const jobs::multistep_job_spec &spec, const response_callback &answer) -> bool;
    /// \returns whether the submission was refused because of the cap or the share of its account
    auto refuseForLimits(const client_request &request, const jobs::queue_policy &queue,
                         const jobs::multistep_job_spec &spec, const response_callback &answer) -> bool;
    auto refuseForAccount(const client_request &request, const response_callback &answer, std::string_view reason,
                          int retryAfter) -> void;
    auto refuseUnauthenticated(const client_request &request, const response_callback &answer,
                               authentication_error error) -> void;
    auto refuseUnconfirmed(const client_request &request, const response_callback &answer) -> bool;
    auto refuseOtherAccount(const client_request &request, const response_callback &answer) -> bool;
    [[nodiscard]] auto withConfigVersion(response_callback answer) const -> response_callback;
    auto scheduleWaitingCheck() -> void;
    auto dispatch(const client_request &request, const response_callback &answer) -> void;
    [[nodiscard]] auto hasUnstoredChanges(const jobs::job_id &id) const -> bool;
    auto handleWaiting() -> void;
    auto requestCycle() -> void;
    auto scheduleNextCycle() -> void;
    auto scheduleCycle(core::monotonic_time due) -> void;
    auto runCycle() -> void;
    auto onStored() -> void;
    auto requestAdvice(const jobs::advice_request &request) -> void;
    auto whenStored(std::function<void()> callback) -> void;
    auto logDecision(const jobs::decision &decision) -> void;
    auto accountFieldsOf(const jobs::decision &decision) -> std::vector<observe::field>;
    auto fieldsOf(const jobs::decision &decision, core::monotonic_time now) -> std::vector<observe::field>;
    auto stepDown(std::string_view reason) -> void;

    pool_owner_environment m_env;
    owner::owner_term m_term;
    std::uint64_t m_greatestToken = 0; ///< Greatest fencing token beyond the epoch; 0 before there is one.
    job_time_metrics m_jobTimes;
    jobs::job_engine m_engine;
    journal m_journal;
    std::unique_ptr<worker_links> m_links;
    std::unique_ptr<capacity_controller> m_capacity;
    std::unique_ptr<worker_list> m_workers;
    waiting_requests m_waiting; ///< Requests that wait for the owner to serve or for a newer configuration.
    waiting_requests m_deferredSubmissions; ///< Submissions that wait for the store.
    refused_attempts m_refusedAttempts;
    std::map<jobs::account_id, std::map<std::string, std::uint64_t>> m_accountRefusals; ///< By account and reason.
    std::vector<std::function<void()>> m_afterNextWrite;
    std::set<std::string> m_formerOwners;
    bool m_restored = false;
    bool m_serving = false;
    bool m_resigned = false;
    bool m_ownershipLost = false;
    bool m_cycleScheduled = false;
    bool m_refusalScheduled = false;
    bool m_cycleRequested = false;
    bool m_waitingCheckScheduled = false;
    std::uint64_t m_accountsVersion = 0; ///< Version whose limits of accounts the engine has.
    std::uint64_t m_cycleSerial = 0;
    core::monotonic_time m_cycleDue{};
    core::duration m_cycleLateness{0}; ///< How late the last decision cycle began, because the process was busy.
    core::monotonic_time m_lastCycleAt{};
    core::monotonic_time m_startedAt{};
    core::monotonic_time m_servingSince{};
    core::monotonic_time m_runTimesLoggedAt{}; ///< When what was learnt about run times was last logged.
    core::lifetime m_lifetime;
};
} // namespace poplarpass::host
