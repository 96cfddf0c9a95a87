#include <poplarpass/jobs/advice_cache.h>
#include <poplarpass/jobs/constants.h>

#include <algorithm>

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

// Which workers may run a step does not change, so a worker without permission is not included again in the same
// incarnation; a ticket that has expired is requested again.
auto advice_cache::makeRequest(const std::string &step, const advice_policy &policy,
                               std::span<worker_slot *const> workers, core::monotonic_time now)
    -> std::optional<advice_request>
{
    auto &advice = m_steps[step];
    if (advice.requestPending || now < advice.notBefore) {
        return std::nullopt;
    }
    std::vector<worker_slot *> outdated;
    for (auto *worker : workers) {
        const auto cached = advice.workers.find(worker->entry.id);
        const bool current = cached != advice.workers.end() && cached->second.incarnation == worker->entry.incarnation
            && (cached->second.ticket.empty() || now < cached->second.validUntil);
        if (!current) {
            outdated.push_back(worker);
        }
    }
    if (outdated.empty()) {
        return std::nullopt;
    }
    std::ranges::sort(outdated, std::greater{}, [](const worker_slot *worker) { return worker->free().cpu; });
    outdated.resize(std::min(outdated.size(), maxWorkersPerAdviceRequest));
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
