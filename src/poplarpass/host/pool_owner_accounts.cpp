#include <poplarpass/host/authentication_log.h>
#include <poplarpass/host/constants.h>
#include <poplarpass/host/host_peers.h>
#include <poplarpass/host/pool_owner.h>

#include <utility>

// Authentication of callers' requests by the owner, and the limits of client accounts.
namespace poplarpass::host
{
using observe::log_level;

namespace
{
/// \brief Text of \p amount in log lines: processor time in thousandths of a core, memory in MB, GPUs.
auto textOf(const jobs::resources &amount) -> std::string
{
    return std::to_string(amount.cpu) + "/" + std::to_string(amount.memoryMb) + "/" + std::to_string(amount.gpu);
}
} // namespace

auto pool_owner::updateAccounts() -> void
{
    const auto *accounts = m_env.routes.accounts();
    const auto version = m_env.routes.config().version;
    const bool isNew = std::exchange(m_accountsVersion, version) != version;
    if (accounts != nullptr) {
        m_engine.setCapsConfirmed(m_env.configStanding().isConfirmed);
    }
    if (!isNew) {
        return;
    }
    if (accounts == nullptr) {
        m_engine.disableAccounts();
    } else {
        m_engine.updateAccounts(accounts->limits());
    }
}

auto pool_owner::refuseForLimits(const client_request &request, const jobs::queue_policy &queue,
                                 const jobs::multistep_job_spec &spec, const response_callback &answer) -> bool
{
    if (request.account.empty()) {
        return false;
    }
    if (m_engine.exceedsCap(spec, request.account)) {
        refuseForAccount(request, answer, "exceeds_account_cap", capRetryAfterSeconds);
        return true;
    }
    if (const auto retryAfter = m_engine.checkBacklog(request.job, queue, spec, request.account)) {
        refuseForAccount(request, answer, "account_over_share", static_cast<int>(retryAfter->count()));
        return true;
    }
    return false;
}

auto pool_owner::refuseForAccount(const client_request &request, const response_callback &answer,
                                  std::string_view reason, int retryAfter) -> void
{
    m_env.metrics
        .counterOf("poplarpass_account_refused_total", "Submissions refused because of the limits of their account",
                   {{"reason", std::string{reason}}})
        .add(1);
    const auto standing = m_env.configStanding();
    m_env.log.log(log_level::warning, "request_refused",
                  {{"id", request.job.str()},
                   {"verb", nameOf(request.verb)},
                   {"reason", reason},
                   {"account", request.account.str()},
                   {"config", m_env.routes.config().version},
                   {"config_age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(standing.age).count()},
                   {"retry_after_s", retryAfter}});
    ++m_accountRefusals[request.account][std::string{reason}];
    answer(finalRefusal(request, refusalResponse(tooManyRequestsStatus, reason, retryAfter)));
}

// Runs again for a request that waited, since its key may have been removed meanwhile.
auto pool_owner::authenticateRequest(const client_request &request, const response_callback &answer)
    -> std::optional<jobs::account_id>
{
    const auto *accounts = m_env.routes.accounts();
    if (accounts == nullptr) {
        return jobs::account_id{};
    }
    const auto match = m_env.routes.match(request.hostName, request.path);
    const bool isConfirmed = m_env.configStanding().isConfirmed;
    if (match.matched == nullptr && isConfirmed) {
        reject(request, plainResponse(404, "no_such_queue"), answer);
        return std::nullopt;
    }
    // A host with an older configuration does not know where the prefix of the route ends.
    if (match.matched != nullptr && match.rest != request.job.str()) {
        reject(request, plainResponse(400, "bad_job_id"), answer);
        return std::nullopt;
    }
    auto account = authenticateAtOwner(*accounts, match.matched, request.key, isConfirmed);
    if (!account) {
        refuseUnauthenticated(request, answer, account.error());
        return std::nullopt;
    }
    return std::move(*account);
}

auto pool_owner::refuseUnauthenticated(const client_request &request, const response_callback &answer,
                                       authentication_error error) -> void
{
    recordRefusal(m_env.log, m_env.metrics, error,
                  {request.job.str(), nameOf(request.verb), m_env.routes.config().version, m_env.configStanding().age,
                   request.account.str()});
    // A 503 says that the job has not run. That is not known of a repeat whose first copy was accepted or may be.
    const bool isRepeat = request.verb == client_verb::submit
        && (m_engine.find(request.job) != nullptr || m_deferredSubmissions.contains(request.job)
            || m_waiting.contains(request.job));
    if (error == authentication_error::configuration_unconfirmed && isRepeat) {
        answer(unsettledResponse());
        return;
    }
    reject(request, refusalResponse(error), answer);
}

// A request that waits for a newer configuration is refused once the present one is not confirmed any more: the store
// does not answer, so the newer one may not arrive in time.
auto pool_owner::refuseUnconfirmed(const client_request &request, const response_callback &answer) -> bool
{
    const auto *accounts = m_env.routes.accounts();
    if (!m_serving || accounts == nullptr || m_env.configStanding().isConfirmed) {
        return false;
    }
    return !authenticateRequest(request, answer);
}

auto pool_owner::refuseOtherAccount(const client_request &request, const response_callback &answer) -> bool
{
    const auto *job = m_engine.find(request.job);
    if (job == nullptr || m_env.routes.accounts() == nullptr || mayUseJob(request.account, job->account)) {
        return false;
    }
    refuseUnauthenticated(request, answer, authentication_error::other_account);
    return true;
}

auto pool_owner::accountFieldsOf(const jobs::decision &decision) -> std::vector<observe::field>
{
    const jobs::account_id account{decision.subject};
    const auto *limits = m_engine.limitsOf(account);
    const auto cap = limits == nullptr ? jobs::resources{} : limits->cap;
    return {{"account", account.str()},
            {"resource", decision.reason},
            {"used", textOf(m_engine.accountUsage().usageOf(account))},
            {"cap", textOf(cap)},
            {"config", m_env.routes.config().version}};
}

auto pool_owner::accountReport() const -> std::optional<account_report>
{
    if (m_env.routes.accounts() == nullptr) {
        return std::nullopt;
    }
    account_report report;
    for (const auto &status : m_engine.accountStatus()) {
        account_report_entry entry;
        entry.name = status.limits.name;
        entry.weight = status.limits.weight;
        entry.cap = status.limits.cap;
        entry.use = status.use;
        entry.shareCores = status.shareCores;
        entry.waitingTasks = status.waitingTasks;
        entry.waitingCoreSeconds = status.waitingCoreSeconds;
        if (const auto refusals = m_accountRefusals.find(entry.name); refusals != m_accountRefusals.end()) {
            entry.refused = refusals->second;
        }
        if (const auto since = m_engine.atCapSince(entry.name)) {
            entry.atCapSinceMs = core::toUnixMilliseconds(m_env.time.wallNow() - (m_env.time.now() - *since));
        }
        report.push_back(std::move(entry));
    }
    return report;
}

auto pool_owner::withConfigVersion(response_callback answer) const -> response_callback
{
    if (m_env.routes.accounts() == nullptr) {
        return answer;
    }
    return [&routes = m_env.routes, answer = std::move(answer)](net::http_response response) {
        response.headers.push_back({std::string{configHeader}, std::to_string(routes.config().version)});
        answer(std::move(response));
    };
}

auto pool_owner::scheduleWaitingCheck() -> void
{
    if (m_env.routes.accounts() == nullptr || std::exchange(m_waitingCheckScheduled, true)) {
        return;
    }
    m_env.time.callAfter(waitingCheckPeriod, m_lifetime.guard([this] {
        m_waitingCheckScheduled = false;
        if (m_serving) {
            handleWaiting();
        }
    }));
}
} // namespace poplarpass::host
