#include <poplarpass/request/constants.h>
#include <poplarpass/request/worker_health.h>

#include <algorithm>

namespace poplarpass::request
{
namespace
{
auto pauseAfter(int ejections) -> core::duration
{
    auto pause = firstEjection;
    for (int count = 1; count < ejections && pause < longestEjection; ++count) {
        pause *= 2;
    }
    return std::min(pause, longestEjection);
}
} // namespace

auto worker_health::record(const core::host_id &host, const core::work_kind &kind, attempt_result result,
                           core::monotonic_time now) -> void
{
    auto &state = m_hosts[host];
    state.testing = false;
    noteKind(host, kind, result, now);
    if (result == attempt_result::succeeded) {
        succeed(state);
        return;
    }
    if (result == attempt_result::job_failed && failsElsewhere(host, kind, now)) {
        exonerate(kind, now);
        return;
    }
    blame(state, now);
}

auto worker_health::stateOf(const core::host_id &host, core::monotonic_time now) const -> worker_state
{
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end() || !found->second.out) {
        return worker_state::healthy;
    }
    return now < found->second.until ? worker_state::ejected : worker_state::probing;
}

auto worker_health::mayPlace(const core::host_id &host, core::monotonic_time now) const -> bool
{
    switch (stateOf(host, now)) {
    case worker_state::healthy:
        return true;
    case worker_state::ejected:
        return false;
    case worker_state::probing:
        break;
    }
    return !m_hosts.at(host).testing;
}

auto worker_health::sent(const core::host_id &host, core::monotonic_time now) -> void
{
    if (stateOf(host, now) == worker_state::probing) {
        m_hosts[host].testing = true;
    }
}

auto worker_health::rejected(const core::host_id &host) -> void
{
    if (const auto found = m_hosts.find(host); found != m_hosts.end()) {
        found->second.testing = false;
    }
}

auto worker_health::failureRate(const core::host_id &host) const -> double
{
    const auto found = m_hosts.find(host);
    return found == m_hosts.end() ? 0.0 : found->second.failureRate;
}

auto worker_health::forget(const core::host_id &host) -> void
{
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end()) {
        return;
    }
    m_out -= found->second.out ? 1 : 0;
    m_hosts.erase(found);
}

auto worker_health::setWorkerCount(std::size_t count) -> void
{
    m_workers = count;
}

auto worker_health::ejectedCount() const -> std::size_t
{
    return m_out;
}

// A kind of work that fails on several workers and has succeeded on none since is itself the cause.
auto worker_health::failsElsewhere(const core::host_id &host, const core::work_kind &kind,
                                   core::monotonic_time now) const -> bool
{
    const auto found = m_kinds.find(kind);
    if (found == m_kinds.end()) {
        return false;
    }
    const auto &known = found->second;
    core::monotonic_time lastElsewhere{};
    for (const auto &failure : known.failures) {
        if (failure.host != host && now - failure.at < kindMemory) {
            lastElsewhere = std::max(lastElsewhere, failure.at);
        }
    }
    return lastElsewhere > core::monotonic_time{} && lastElsewhere >= known.succeededAt;
}

auto worker_health::noteKind(const core::host_id &host, const core::work_kind &kind, attempt_result result,
                             core::monotonic_time now) -> void
{
    if (result == attempt_result::worker_failed) {
        return;
    }
    if (m_kinds.size() >= maxLearntKinds && !m_kinds.contains(kind)) {
        m_kinds.erase(m_kinds.begin());
    }
    auto &known = m_kinds[kind];
    if (result == attempt_result::succeeded) {
        known.succeededAt = now;
        known.succeededOn = host;
        return;
    }
    std::erase_if(known.failures,
                  [&](const failed_on &failure) { return failure.host == host || now - failure.at >= kindMemory; });
    known.failures.push_back({host, now});
    if (known.failures.size() > maxFailuresPerKind) {
        known.failures.erase(known.failures.begin());
    }
}

auto worker_health::succeed(host_state &state) -> void
{
    state.failureRate *= 1.0 - failureWeight;
    state.streak = 0;
    if (state.out) {
        state.out = false;
        --m_out;
    }
}

auto worker_health::blame(host_state &state, core::monotonic_time now) -> void
{
    state.failureRate += failureWeight * (1.0 - state.failureRate);
    ++state.streak;
    const bool mayEject = m_workers == 0 || (m_out + 1) * 3 <= std::max<std::size_t>(m_workers, 3);
    if (state.out || (state.streak >= failuresToEject && mayEject)) {
        m_out += state.out ? 0 : 1;
        state.out = true;
        ++state.ejections;
        state.until = now + pauseAfter(state.ejections);
    }
}

// The first workers to fail this kind were counted as failing before the kind was known to fail everywhere.
auto worker_health::exonerate(const core::work_kind &kind, core::monotonic_time now) -> void
{
    for (const auto &failure : m_kinds[kind].failures) {
        const auto found = m_hosts.find(failure.host);
        if (found == m_hosts.end() || now - failure.at >= kindMemory) {
            continue;
        }
        found->second.streak = 0;
        found->second.failureRate *= 1.0 - failureWeight;
        if (found->second.out && found->second.ejections <= 1) {
            found->second.out = false;
            --m_out;
        }
    }
}
} // namespace poplarpass::request
