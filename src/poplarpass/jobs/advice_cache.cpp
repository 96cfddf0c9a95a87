#include <poplarpass/jobs/advice_cache.h>
#include <poplarpass/jobs/constants.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace poplarpass::jobs
{
auto advice_cache::allowed(const std::string &step, std::span<worker_slot *const> workers,
                           core::monotonic_time now) const -> std::vector<worker_slot *>
{
    std::vector<worker_slot *> eligible;
    const auto found = m_steps.find(step);
    if (found == m_steps.end()) {
        return eligible;
    }
    for (auto *worker : workers) {
        const auto cached = found->second.workers.find(worker->entry.id);
        const bool permitted = cached != found->second.workers.end() && !cached->second.ticket.empty()
            && now < cached->second.validUntil && cached->second.incarnation == worker->entry.incarnation;
        if (permitted) {
            eligible.push_back(worker);
        }
    }
    return eligible;
}

auto advice_cache::ticketOf(const std::string &step, const worker_id &worker) const -> std::string
{
    const auto found = m_steps.find(step);
    if (found == m_steps.end()) {
        return {};
    }
    const auto cached = found->second.workers.find(worker);
    return cached == found->second.workers.end() ? std::string{} : cached->second.ticket;
}

auto advice_cache::addNeed(const advice_need &need, std::span<worker_slot *const> workers, core::monotonic_time now)
    -> void
{
    const auto found = m_steps.find(need.step);
    if (found != m_steps.end() && !mayRequest(found->second, workers, now)) {
        return;
    }
    if (need.waitingTasks == 0) {
        if (m_upToDate.empty()) {
            m_upToDate.push_back({need, {workers.begin(), workers.end()}});
        }
        return;
    }
    auto &ofPool = m_waiting[need.pool];
    if (ofPool.size() < maxAdviceRequestsInFlight) {
        ofPool.push_back({need, {workers.begin(), workers.end()}});
    } else {
        m_hasMoreWaiting = true;
    }
}

auto advice_cache::isCurrent(const step_advice &advice, const worker_slot &worker, core::monotonic_time now) -> bool
{
    const auto cached = advice.workers.find(worker.entry.id);
    return cached != advice.workers.end() && cached->second.incarnation == worker.entry.incarnation
        && (cached->second.ticket.empty() || now < cached->second.validUntil);
}

auto advice_cache::mayRequest(const step_advice &advice, std::span<worker_slot *const> workers,
                              core::monotonic_time now) -> bool
{
    return !advice.requestPending && now >= advice.notBefore
        && std::ranges::any_of(workers, [&](const worker_slot *worker) { return !isCurrent(advice, *worker, now); });
}

// A longer wait at the service would only outlast the time limit of a request and the validity of its tickets.
auto advice_cache::takeRequests(core::monotonic_time now) -> std::vector<advice_request>
{
    std::vector<advice_request> requests;
    while (m_inFlight < maxAdviceRequestsInFlight && !m_waiting.empty()) {
        auto waiting = takeWaiting();
        takeRequest(waiting, requests, now);
    }
    m_isBacklogged = !m_waiting.empty() || std::exchange(m_hasMoreWaiting, false);
    if (!m_isBacklogged && m_inFlight == 0 && !m_upToDate.empty()) {
        takeRequest(m_upToDate.front(), requests, now);
    }
    m_waiting.clear();
    m_upToDate.clear();
    return requests;
}

// The pools take turns, so that none waits for the backlog of another.
auto advice_cache::takeWaiting() -> waiting_step
{
    auto pool = m_waiting.upper_bound(m_lastPool);
    pool = pool == m_waiting.end() ? m_waiting.begin() : pool;
    m_lastPool = pool->first;
    auto first = std::move(pool->second.front());
    pool->second.pop_front();
    if (pool->second.empty()) {
        m_waiting.erase(pool);
    }
    return first;
}

// The answer takes time for each worker. While other steps wait, a step asks only for as many as its tasks need.
auto advice_cache::takeRequest(waiting_step &waiting, std::vector<advice_request> &requests, core::monotonic_time now)
    -> void
{
    const auto &need = waiting.need;
    const auto maxWorkers = m_isBacklogged
        ? std::min<std::size_t>(need.waitingTasks + spareAdvisedWorkers, maxWorkersPerAdviceRequest)
        : maxWorkersPerAdviceRequest;
    if (auto request = makeRequest(need.step, need.policy, waiting.workers, now, maxWorkers)) {
        requests.push_back(std::move(*request));
        ++m_inFlight;
    }
}

auto advice_cache::onAnswered() -> void
{
    m_inFlight -= m_inFlight > 0 ? 1 : 0;
}

// Which workers may run a step does not change, so a worker without permission is not included again in the same
// incarnation; a ticket that has expired is requested again.
auto advice_cache::makeRequest(const std::string &step, const advice_policy &policy,
                               std::span<worker_slot *const> workers, core::monotonic_time now, std::size_t maxWorkers)
    -> std::optional<advice_request>
{
    auto &advice = m_steps[step];
    if (!mayRequest(advice, workers, now)) {
        return std::nullopt;
    }
    std::vector<worker_slot *> outdated;
    std::ranges::copy_if(workers, std::back_inserter(outdated),
                         [&](const worker_slot *worker) { return !isCurrent(advice, *worker, now); });
    std::ranges::sort(outdated, std::greater{}, [](const worker_slot *worker) { return worker->free().cpu; });
    outdated.resize(std::min(outdated.size(), maxWorkers));
    advice_request request{step, {}, policy};
    advice.requestedIncarnations.clear();
    for (const auto *worker : outdated) {
        request.workers.push_back(worker->entry.id);
        advice.requestedIncarnations[worker->entry.id] = worker->entry.incarnation;
    }
    advice.requestPending = true;
    return request;
}

auto advice_cache::storeAnswer(const advice_request &request, std::span<const advice_ticket> tickets,
                               core::monotonic_time sentAt) -> void
{
    onAnswered();
    const auto found = m_steps.find(request.step);
    if (found == m_steps.end()) {
        return;
    }
    auto &advice = found->second;
    advice.requestPending = false;
    for (const auto &worker : request.workers) {
        advice.workers[worker] = {{}, advice.requestedIncarnations[worker], sentAt + request.policy.validity};
    }
    for (const auto &entry : tickets) {
        const auto cached = advice.workers.find(entry.worker);
        if (cached != advice.workers.end()) {
            cached->second.ticket = entry.ticket;
        }
    }
}

auto advice_cache::recordNoAnswer(const advice_request &request, core::monotonic_time now) -> void
{
    onAnswered();
    const auto found = m_steps.find(request.step);
    if (found != m_steps.end()) {
        found->second.requestPending = false;
        found->second.notBefore = now + adviceRetryDelay;
    }
}

auto advice_cache::discardTicket(const std::string &step, const worker_id &worker) -> void
{
    const auto found = m_steps.find(step);
    if (found != m_steps.end()) {
        found->second.workers.erase(worker);
    }
}

auto advice_cache::removeJob(const job_id &job) -> void
{
    const auto prefix = job.str() + ".";
    std::erase_if(m_steps, [&](const auto &entry) { return entry.first.starts_with(prefix); });
}
} // namespace poplarpass::jobs
