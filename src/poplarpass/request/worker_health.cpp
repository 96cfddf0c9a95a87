#include <poplarpass/request/constants.h>
#include <poplarpass/request/worker_health.h>

#include <algorithm>

namespace poplarpass::request
{
namespace
{
auto ejectionTime(int ejections) -> core::duration
{
    auto length = initialEjectionTime;
    for (int count = 1; count < ejections && length < maxEjectionTime; ++count) {
        length *= 2;
    }
    return std::min(length, maxEjectionTime);
}
} // namespace

auto worker_health::record(const core::host_id &host, const core::work_kind &kind, attempt_result result,
                           core::monotonic_time now) -> void
{
    auto &state = m_hosts[host];
    state.probeInFlight = false;
    recordKindResult(host, kind, result, now);
    if (result == attempt_result::succeeded) {
        recordSuccess(state);
        return;
    }
    if (result == attempt_result::job_failed && alsoFailsElsewhere(host, kind, now)) {
        withdrawFailures(kind, now);
        return;
    }
    recordFailure(state, now);
}

auto worker_health::stateOf(const core::host_id &host, core::monotonic_time now) const -> health_state
{
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end() || !found->second.isEjected) {
        return health_state::healthy;
    }
    return now < found->second.ejectedUntil ? health_state::ejected : health_state::probing;
}

auto worker_health::mayPlace(const core::host_id &host, core::monotonic_time now) const -> bool
{
    switch (stateOf(host, now)) {
    case health_state::healthy:
        return true;
    case health_state::ejected:
        return false;
    case health_state::probing:
        break;
    }
    return !m_hosts.at(host).probeInFlight;
}

auto worker_health::sent(const core::host_id &host, core::monotonic_time now) -> void
{
    if (stateOf(host, now) == health_state::probing) {
        m_hosts[host].probeInFlight = true;
    }
}

auto worker_health::rejected(const core::host_id &host) -> void
{
    if (const auto found = m_hosts.find(host); found != m_hosts.end()) {
        found->second.probeInFlight = false;
    }
}

auto worker_health::failureRate(const core::host_id &host) const -> double
{
    const auto found = m_hosts.find(host);
    return found == m_hosts.end() ? 0.0 : found->second.failureRate;
}

auto worker_health::discardHost(const core::host_id &host) -> void
{
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end()) {
        return;
    }
    m_ejectedCount -= found->second.isEjected ? 1 : 0;
    m_hosts.erase(found);
}

auto worker_health::setWorkerCount(std::size_t count) -> void
{
    m_workerCount = count;
}

auto worker_health::ejectedCount() const -> std::size_t
{
    return m_ejectedCount;
}

// A kind of work that fails on several workers and has succeeded on none since is itself the cause.
auto worker_health::alsoFailsElsewhere(const core::host_id &host, const core::work_kind &kind,
                                       core::monotonic_time now) const -> bool
{
    const auto found = m_kinds.find(kind);
    if (found == m_kinds.end()) {
        return false;
    }
    const auto &kindState = found->second;
    core::monotonic_time lastElsewhere{};
    for (const auto &failure : kindState.failures) {
        if (failure.host != host && now - failure.at < kindFailureRetention) {
            lastElsewhere = std::max(lastElsewhere, failure.at);
        }
    }
    return lastElsewhere > core::monotonic_time{} && lastElsewhere >= kindState.succeededAt;
}

auto worker_health::recordKindResult(const core::host_id &host, const core::work_kind &kind, attempt_result result,
                                     core::monotonic_time now) -> void
{
    if (result == attempt_result::worker_failed) {
        return;
    }
    if (m_kinds.size() >= maxTrackedKinds && !m_kinds.contains(kind)) {
        m_kinds.erase(m_kinds.begin());
    }
    auto &kindState = m_kinds[kind];
    if (result == attempt_result::succeeded) {
        kindState.succeededAt = now;
        kindState.succeededOn = host;
        return;
    }
    std::erase_if(kindState.failures, [&](const kind_failure &failure) {
        return failure.host == host || now - failure.at >= kindFailureRetention;
    });
    kindState.failures.push_back({host, now});
    if (kindState.failures.size() > maxFailuresPerKind) {
        kindState.failures.erase(kindState.failures.begin());
    }
}

auto worker_health::recordSuccess(host_health &state) -> void
{
    state.failureRate *= 1.0 - failureWeight;
    state.consecutiveFailures = 0;
    if (state.isEjected) {
        state.isEjected = false;
        --m_ejectedCount;
    }
}

auto worker_health::recordFailure(host_health &state, core::monotonic_time now) -> void
{
    state.failureRate += failureWeight * (1.0 - state.failureRate);
    ++state.consecutiveFailures;
    const bool mayEject = m_workerCount == 0 || (m_ejectedCount + 1) * 3 <= std::max<std::size_t>(m_workerCount, 3);
    if (state.isEjected || (state.consecutiveFailures >= ejectionThreshold && mayEject)) {
        m_ejectedCount += state.isEjected ? 0 : 1;
        state.isEjected = true;
        ++state.ejections;
        state.ejectedUntil = now + ejectionTime(state.ejections);
    }
}

// Failures of this kind were counted against the first workers before the kind was known to fail everywhere.
auto worker_health::withdrawFailures(const core::work_kind &kind, core::monotonic_time now) -> void
{
    for (const auto &failure : m_kinds[kind].failures) {
        const auto found = m_hosts.find(failure.host);
        if (found == m_hosts.end() || now - failure.at >= kindFailureRetention) {
            continue;
        }
        found->second.consecutiveFailures = 0;
        found->second.failureRate *= 1.0 - failureWeight;
        if (found->second.isEjected && found->second.ejections <= 1) {
            found->second.isEjected = false;
            --m_ejectedCount;
        }
    }
}
} // namespace poplarpass::request
