#include <poplarpass/host/constants.h>
#include <poplarpass/host/pool_owner.h>

#include <utility>

// Handling of callers' requests by the owner.
namespace poplarpass::host
{
using observe::log_level;

namespace
{
auto acknowledge(const response_callback &answer) -> void
{
    answer(net::makeResponse(200, "{}"));
}
} // namespace

auto pool_owner::handle(const client_request &request, response_callback answer) -> void
{
    if (m_resigned) {
        answer(plainResponse(notOwnerStatus, "not_owner"));
        return;
    }
    // A copy that was sent to an earlier term of this host may have been refused by a later owner since.
    if (request.ownerEpoch != 0 && request.ownerEpoch != epoch()) {
        auto response = plainResponse(notOwnerStatus, "other_epoch");
        response.headers.push_back({std::string{epochHeader}, std::to_string(epoch())});
        answer(std::move(response));
        return;
    }
    if (!m_serving || request.configVersion > m_env.routes.config().version) {
        if (refuseUnconfirmed(request, answer)) {
            return;
        }
        if (m_waiting.isFull()) {
            refuse(request, answer, "too_many", retryAfterSeconds);
        } else {
            m_waiting.add({request, std::move(answer)});
            scheduleWaitingCheck();
        }
        return;
    }
    serve(request, answerExactlyOnce(withConfigVersion(std::move(answer))));
}

auto pool_owner::onConfig() -> void
{
    updateAccounts();
    if (m_serving) {
        handleWaiting();
    }
}

auto pool_owner::handleWaiting() -> void
{
    for (auto &entry : m_waiting.removeAll()) {
        handle(entry.request, std::move(entry.answer));
    }
}

auto pool_owner::serve(const client_request &request, const response_callback &answer) -> void
{
    auto account = authenticateRequest(request, answer);
    if (!account) {
        return;
    }
    if (account->empty()) {
        dispatch(request, answer);
        return;
    }
    auto authenticated = request;
    authenticated.account = std::move(*account);
    dispatch(authenticated, answer);
}

auto pool_owner::dispatch(const client_request &request, const response_callback &answer) -> void
{
    if (refuseOtherAccount(request, answer)) {
        return;
    }
    switch (request.verb) {
    case client_verb::submit:
        submit(request, answer);
        return;
    case client_verb::state:
        answerState(request, answer);
        return;
    case client_verb::cancel:
        cancel(request, answer);
        return;
    case client_verb::pending:
        answerPending(request, answer);
        return;
    }
}

auto pool_owner::submit(const client_request &request, const response_callback &answer) -> void
{
    if (answerKnownSubmission(request, answer)) {
        return;
    }
    const auto match = m_env.routes.match(request.hostName, request.path);
    if (match.matched == nullptr) {
        reject(request, plainResponse(404, "no_such_queue"), answer);
        return;
    }
    if (m_engine.submitCancelled(request.job, request.account)) {
        whenStored([answer] { acknowledge(answer); });
        return;
    }
    if (m_journal.isBusy()) {
        deferSubmission(request, answer);
        return;
    }
    if (!m_term.mayAnswer(m_env.time.now())) {
        refuseSubmission(request, answer, "term_lapsed", retryAfterSeconds);
        return;
    }
    submitNew(request, match.matched->queue, answer);
}

auto pool_owner::answerKnownSubmission(const client_request &request, const response_callback &answer) -> bool
{
    if (m_engine.find(request.job) != nullptr) {
        if (hasUnstoredChanges(request.job)) {
            whenStored([answer] { acknowledge(answer); });
        } else {
            acknowledge(answer);
        }
        return true;
    }
    if (m_refusedAttempts.contains(request.attempt)) {
        refuseSubmission(request, answer, "refused_before", retryAfterSeconds);
        return true;
    }
    return false;
}

auto pool_owner::submitNew(const client_request &request, const jobs::queue_policy &queue,
                           const response_callback &answer) -> void
{
    auto spec = m_env.decoders.decodeJob(request.body);
    if (!spec) {
        reject(request, plainResponse(400, "bad_body"), answer);
        return;
    }
    if (refuseUnstorable(request, queue, *spec, answer) || refuseForLimits(request, queue, *spec, answer)) {
        return;
    }
    if (m_engine.taskCount() + jobs::taskCountOf(*spec) > maxTasks) {
        refuseSubmission(request, answer, "too_many_tasks", longRetryAfterSeconds);
        return;
    }
    m_engine.submit(request.job, queue, std::move(*spec), m_env.time.wallNow(), request.account);
    m_capacity->onJob(*m_engine.find(request.job));
    requestCycle();
    whenStored([answer] { acknowledge(answer); });
}

// The same for every host and at any time, so the caller must not try again.
auto pool_owner::refuseUnstorable(const client_request &request, const jobs::queue_policy &queue,
                                  const jobs::multistep_job_spec &spec, const response_callback &answer) -> bool
{
    jobs::multistep_job_record job;
    job.id = request.job;
    job.queue = queue;
    job.spec = spec;
    job.account = request.account;
    if (m_journal.canStore(job)) {
        return false;
    }
    m_env.log.log(log_level::warning, "job_refused",
                  {{"id", request.job.str()},
                   {"reason", "too_large"},
                   {"steps", spec.steps.size()},
                   {"bytes", request.body.size()}});
    reject(request, plainResponse(tooLargeStatus, "job_too_large"), answer);
    return true;
}

// A submission that arrives while an append is pending is not processed before the store has answered. This adds no
// latency, as the next append could not begin sooner. If the store stays unavailable, the job can be refused with the
// guarantee that it never runs.
auto pool_owner::deferSubmission(const client_request &request, const response_callback &answer) -> void
{
    if (m_deferredSubmissions.isFull()) {
        refuseSubmission(request, answer, "too_many", retryAfterSeconds);
        return;
    }
    m_deferredSubmissions.add({request, answer});
    refuseDeferred();
}

// Only for requests that had no effect.
auto pool_owner::refuse(const client_request &request, const response_callback &answer, std::string_view reason,
                        int retryAfter) -> void
{
    m_env.log.log(log_level::warning, "request_refused",
                  {{"id", request.job.str()},
                   {"verb", nameOf(request.verb)},
                   {"reason", reason},
                   {"epoch", epoch()},
                   {"retry_after_s", retryAfter}});
    answer(refusalResponse(503, reason, retryAfter));
}

// Only for submissions of jobs that this owner does not know, once it has restored the stored jobs.
auto pool_owner::refuseSubmission(const client_request &request, const response_callback &answer,
                                  std::string_view reason, int retryAfter) -> void
{
    refuse(
        request, [&](net::http_response refusal) { answer(finalRefusal(request, std::move(refusal))); }, reason,
        retryAfter);
}

// The jobs that earlier owners stored are known, and their appends are fenced off. What is left are copies that were
// sent to this term. They are refused as well, if there are any and the attempt can be remembered.
auto pool_owner::finalRefusal(const client_request &request, net::http_response refusal) -> net::http_response
{
    if (!request.isRepeated || m_refusedAttempts.add(request.attempt, m_env.time.now())) {
        refusal.headers.push_back({std::string{epochHeader}, std::to_string(epoch())});
    }
    return refusal;
}

// A known job may be the one that an earlier copy submitted, also if the key or the route of the request is gone or its
// key belongs to another account by now. Which copies of a cancellation were carried out is not recorded.
auto pool_owner::mayHaveBeenCarriedOut(const client_request &request) const -> bool
{
    if (!request.isRepeated) {
        return false;
    }
    const bool isKnown = request.verb == client_verb::submit && m_engine.find(request.job) != nullptr;
    return isKnown || request.verb == client_verb::cancel;
}

auto pool_owner::reject(const client_request &request, net::http_response refusal, const response_callback &answer)
    -> void
{
    if (mayHaveBeenCarriedOut(request)) {
        m_env.log.log(log_level::warning, "request_unsettled",
                      {{"id", request.job.str()},
                       {"verb", nameOf(request.verb)},
                       {"status", refusal.status},
                       {"epoch", epoch()},
                       {"config", m_env.routes.config().version}});
        answer(unsettledResponse());
        return;
    }
    answer(request.verb == client_verb::submit ? finalRefusal(request, std::move(refusal)) : std::move(refusal));
}

auto pool_owner::refuseDeferred() -> void
{
    const auto stalled = m_journal.stalledFor(m_env.time.now());
    if (m_deferredSubmissions.isEmpty()) {
        return;
    }
    if (stalled < refusalStallThreshold) {
        scheduleDeferredRefusal(refusalStallThreshold - stalled);
        return;
    }
    const auto retryAfter = stalled >= longStallThreshold ? longRetryAfterSeconds : retryAfterSeconds;
    for (const auto &entry : m_deferredSubmissions.removeAll()) {
        m_env.log.log(log_level::warning, "job_refused",
                      {{"id", entry.request.job.str()},
                       {"reason", "store_away"},
                       {"stalled_ms", std::chrono::duration_cast<std::chrono::milliseconds>(stalled).count()},
                       {"retry_after_s", retryAfter}});
        entry.answer(finalRefusal(entry.request, refusalResponse(unavailableStatus, "store_away", retryAfter)));
    }
}

auto pool_owner::scheduleDeferredRefusal(core::duration delay) -> void
{
    if (!std::exchange(m_refusalScheduled, true)) {
        m_env.time.callAfter(delay, m_lifetime.guard([this] {
            m_refusalScheduled = false;
            refuseDeferred();
        }));
    }
}

auto pool_owner::submitDeferred() -> void
{
    for (const auto &entry : m_deferredSubmissions.removeAll()) {
        // Another account may have submitted the same identifier meanwhile.
        if (!refuseOtherAccount(entry.request, entry.answer)) {
            submit(entry.request, entry.answer);
        }
    }
}

// The term expires when the store does not accept the owner's renewals. The request has had no effect and is not
// queued: by the time of the retry either the store is available again or another host is the owner.
auto pool_owner::refuseTermExpired(const client_request &request, const response_callback &answer) -> void
{
    refuse(request, answer, "term_lapsed", retryAfterSeconds);
}

auto pool_owner::hasUnstoredChanges(const jobs::job_id &id) const -> bool
{
    return m_engine.isChanged(id) || m_journal.isPending(id);
}

auto pool_owner::answerState(const client_request &request, const response_callback &answer) -> void
{
    const auto *job = m_engine.find(request.job);
    if (job == nullptr && !m_term.mayAnswer(m_env.time.now())) {
        refuseTermExpired(request, answer);
        return;
    }
    if (job == nullptr) {
        answer(plainResponse(410, "no_such_job"));
        return;
    }
    if (hasUnstoredChanges(request.job)) {
        whenStored([this, request, answer] { answerState(request, answer); });
        return;
    }
    auto state = jobs::nameOf(job->phase);
    if (job->phase == jobs::multistep_job_phase::active && !job->started) {
        state = "queued";
    }
    answer(net::makeResponse(200, R"({"state":")" + std::string{state} + R"("})"));
}

auto pool_owner::cancel(const client_request &request, const response_callback &answer) -> void
{
    if (!m_term.mayAnswer(m_env.time.now())) {
        refuseTermExpired(request, answer);
        return;
    }
    const auto now = m_env.time.now();
    if (m_engine.cancel(request.job, now) != jobs::job_cancel_outcome::unknown) {
        whenStored([answer] { acknowledge(answer); });
        return;
    }
    // A submission of the job may still wait here, at its receiving host or on the way. It must not run once its caller
    // was told that there is no such job, also not under a later owner.
    if (!m_engine.cancelUnsubmitted(request.job, request.account, now)) {
        refuse(request, answer, "too_many", retryAfterSeconds);
        return;
    }
    whenStored([answer] { answer(plainResponse(410, "no_such_job")); });
}

auto pool_owner::answerPending(const client_request &request, const response_callback &answer) -> void
{
    const auto match = m_env.routes.match(request.hostName, request.path);
    if (match.matched == nullptr) {
        answer(plainResponse(404, "no_such_queue"));
        return;
    }
    if (!m_term.mayAnswer(m_env.time.now())) {
        refuseTermExpired(request, answer);
        return;
    }
    const auto count = m_engine.pendingCount(match.matched->queue.name);
    answer(net::makeResponse(200, R"({"pending":)" + std::to_string(count) + "}"));
}
} // namespace poplarpass::host
