#include <poplarpass/app/clock.h>
#include <poplarpass/app/worker_directory.h>

#include <algorithm>
#include <set>
#include <utility>

namespace poplarpass::app
{
namespace
{
auto resultOf(const platform::start_response &answer) -> request::attempt_result
{
    switch (answer.outcome) {
    case platform::start_outcome::finished:
    case platform::start_outcome::stopped:
        return request::attempt_result::succeeded;
    case platform::start_outcome::failed:
        return request::attempt_result::job_failed;
    case platform::start_outcome::not_started:
    case platform::start_outcome::uncertain:
        return request::attempt_result::worker_failed;
    }
    return request::attempt_result::worker_failed;
}

// A rejection due to a missing slot, lease or pool does not affect the worker's health; a refused connection does.
auto isHealthNeutral(const platform::start_response &answer) -> bool
{
    return answer.outcome == platform::start_outcome::not_started && answer.reason != platform::rejection::unreachable;
}
} // namespace

worker_directory::worker_directory(process_runtime &process, std::function<void()> onChange)
    : m_process{process}
    , m_onChange{std::move(onChange)}
{
}

auto worker_directory::poolOf(const core::pool_id &pool) -> request::worker_pool &
{
    return m_pools.try_emplace(pool, request::twoChoicesPlacement()).first->second;
}

auto worker_directory::applyState(const replication::fleet_state &state) -> void
{
    std::set<core::host_id> absent;
    for (const auto &[host, known] : m_hosts) {
        absent.insert(host);
    }
    for (const auto &host : state.hosts()) {
        absent.erase(host.description.host);
        addOrUpdate(host);
    }
    for (const auto &host : absent) {
        removeHost(host);
    }
    m_onChange();
}

auto worker_directory::applyHost(const replication::fleet_state &state, const core::host_id &host) -> void
{
    if (const auto *found = state.findHost(host)) {
        addOrUpdate(*found);
    } else {
        removeHost(host);
    }
    m_onChange();
}

auto worker_directory::addOrUpdate(const replication::host_state &host) -> void
{
    const auto &listed = host.description;
    const auto now = monotonicNow();
    const auto known = m_hosts.find(listed.host);
    if (known != m_hosts.end() && (known->second.pool != host.pool || known->second.generation != host.generation)) {
        poolOf(known->second.pool).remove(listed.host);
        m_leases.discardLease(listed.host);
    }
    auto &entry = m_hosts[listed.host];
    entry.pool = host.pool;
    entry.generation = host.generation;
    if (entry.address.empty()) {
        entry.address = listed.address;
    }
    request::worker_view view;
    view.host = listed.host;
    view.address = entry.address;
    view.zone = listed.zone;
    view.generation = host.generation;
    view.slots = listed.slots;
    view.connections = listed.connections;
    view.cores = listed.cores;
    view.memoryMb = listed.memoryMb;
    view.open = false;
    poolOf(host.pool).addOrUpdate(std::move(view));
    m_leaving.update(listed.host, request::leaving_source::control, !host.serves(), now);
    m_health.setWorkerCount(m_hosts.size());
    updateOpen(listed.host, entry, now);
}

auto worker_directory::removeHost(const core::host_id &host) -> void
{
    const auto known = m_hosts.find(host);
    if (known == m_hosts.end()) {
        return;
    }
    poolOf(known->second.pool).remove(host);
    m_hosts.erase(known);
    m_contacts.erase(host);
    m_leases.discardLease(host);
    m_leaving.discardHost(host);
    m_health.discardHost(host);
    m_health.setWorkerCount(m_hosts.size());
}

auto worker_directory::renewLeases() -> void
{
    const auto now = monotonicNow();
    for (const auto &[host, known] : m_hosts) {
        if (m_leases.renewalDue(host, now)) {
            requestLease(host, known);
        }
        updateOpen(host, known, now);
    }
}

auto worker_directory::requestLease(const core::host_id &host, const known_host &known) -> void
{
    const auto sentAt = monotonicNow();
    m_leases.requestSent(host, sentAt);
    platform::lease_request request{m_process.settings.process.name, known.pool, known.generation};
    m_process.workers.lease(known.address, std::move(request),
                            [this, host, sentAt](const core::result<platform::lease_response> &answer) {
                                handleLeaseAnswer(host, sentAt, answer);
                            });
}

auto worker_directory::handleLeaseAnswer(const core::host_id &host, core::monotonic_time sentAt,
                                         const core::result<platform::lease_response> &answer) -> void
{
    const auto known = m_hosts.find(host);
    if (known == m_hosts.end()) {
        return;
    }
    const auto now = monotonicNow();
    if (!answer) {
        m_leases.requestFailed(host);
        // A rejected lease shows that the worker is reachable, but not its boot ID, so no contact is recorded.
        if (answer.error().kind == core::error_kind::stale_epoch) {
            m_leases.discardLease(host);
            m_leases.requestFailed(host);
        } else {
            m_contacts[host] = {false, {}, sentAt};
        }
        updateOpen(host, known->second, now);
        return;
    }
    m_contacts[host] = {true, *answer, sentAt};
    if (m_leases.granted(host, *answer, sentAt)) {
        m_health.discardHost(host);
    }
    poolOf(known->second.pool).report(host, *answer, sentAt);
    m_leaving.update(host, request::leaving_source::worker, answer->leaving, now);
    updateOpen(host, known->second, now);
    m_onChange();
}

auto worker_directory::updateOpen(const core::host_id &host, const known_host &known, core::monotonic_time now) -> void
{
    auto &pool = poolOf(known.pool);
    const bool open = !m_leaving.isLeaving(host) && m_health.mayPlace(host, now)
        && m_leases.usable(host, known.pool, known.generation, now).has_value();
    if (const auto *view = pool.find(host); view != nullptr && view->open != open) {
        m_process.log.log(observe::log_level::info, open ? "endpoint_opened" : "endpoint_closed",
                          {{"host", host.str()},
                           {"pool", known.pool.str()},
                           {"generation", known.generation},
                           {"leaving", m_leaving.isLeaving(host)},
                           {"ejected", !m_health.mayPlace(host, now)}});
    }
    pool.setOpen(host, open);
    pool.setFailureRate(host, m_health.failureRate(host));
}

auto worker_directory::pollHostList() -> void
{
    m_process.hosts.fetch([this](const core::result<std::vector<platform::listed_host>> &listed) {
        if (listed) {
            applyHostList(*listed);
        }
    });
}

auto worker_directory::applyHostList(const std::vector<platform::listed_host> &listed) -> void
{
    const auto now = monotonicNow();
    for (const auto &host : listed) {
        const auto known = m_hosts.find(host.host);
        if (known == m_hosts.end()) {
            continue;
        }
        m_leaving.update(host.host, request::leaving_source::host_list, host.leaving, now);
        if (known->second.address != host.address) {
            known->second.address = host.address;
            m_leases.discardLease(host.host);
        }
        updateOpen(host.host, known->second, now);
    }
}

auto worker_directory::choose(const core::pool_id &pool, const request::placement_query &query)
    -> std::optional<worker_choice>
{
    const auto now = monotonicNow();
    auto &workers = poolOf(pool);
    // Leases may have expired since the workers were opened; after a suspend possibly all of them.
    for (std::size_t tries = workers.workers().size(); tries > 0; --tries) {
        const auto *chosen = workers.choose(query, m_process.random);
        if (chosen == nullptr) {
            return std::nullopt;
        }
        const auto host = chosen->host;
        if (auto lease = m_leases.usable(host, pool, chosen->generation, now); lease && !m_leaving.isLeaving(host)) {
            return worker_choice{host, m_hosts[host].address, *std::move(lease)};
        }
        workers.setOpen(host, false);
    }
    return std::nullopt;
}

auto worker_directory::recordSent(const core::pool_id &pool, const core::host_id &host, core::monotonic_time at) -> void
{
    m_leaving.requireMaySend(host, at);
    poolOf(pool).sent(host, at);
    m_health.sent(host, at);
}

auto worker_directory::recordEnded(const core::pool_id &pool, const core::host_id &host, core::monotonic_time sentAt,
                                   const core::work_kind &kind, const platform::start_response &answer) -> void
{
    const auto now = monotonicNow();
    auto &workers = poolOf(pool);
    workers.ended(host, sentAt);
    if (isHealthNeutral(answer)) {
        m_health.rejected(host);
    } else {
        m_health.record(host, kind, resultOf(answer), now);
    }
    if (answer.reason == platform::rejection::no_slot) {
        workers.rejectedNoSlot(host);
    } else if (answer.reason == platform::rejection::leaving) {
        m_leaving.update(host, request::leaving_source::worker, true, now);
    } else if (answer.reason == platform::rejection::lease_lapsed || answer.reason == platform::rejection::wrong_pool) {
        m_leases.discardLease(host);
    }
    if (const auto known = m_hosts.find(host); known != m_hosts.end()) {
        updateOpen(host, known->second, now);
    }
}

auto worker_directory::fitsAnyWorker(const core::pool_id &pool, const request::placement_query &query) const -> bool
{
    const auto found = m_pools.find(pool);
    return found == m_pools.end() || found->second.workers().empty() || found->second.fitsAnyWorker(query);
}

auto worker_directory::freeSlots(const core::pool_id &pool) const -> int
{
    const auto found = m_pools.find(pool);
    return found == m_pools.end() ? 0 : found->second.freeSlots();
}

auto worker_directory::hasPendingFirstLease(const core::pool_id &pool) const -> bool
{
    const auto found = m_pools.find(pool);
    return found != m_pools.end()
        && std::ranges::any_of(found->second.workers(), [this](const request::worker_view &worker) {
               return !m_leaving.isLeaving(worker.host) && m_leases.awaitsFirstLease(worker.host);
           });
}

auto worker_directory::openSlots(const core::pool_id &pool) const -> int
{
    const auto found = m_pools.find(pool);
    return found == m_pools.end() ? 0 : found->second.openSlots();
}

auto worker_directory::addressOf(const core::host_id &host) const -> std::string
{
    const auto found = m_hosts.find(host);
    return found == m_hosts.end() ? std::string{} : found->second.address;
}

auto worker_directory::drainContacts() -> std::vector<request::worker_contact>
{
    const auto now = monotonicNow();
    std::vector<request::worker_contact> contacts;
    contacts.reserve(m_contacts.size());
    for (const auto &[host, last] : m_contacts) {
        contacts.push_back({host, last.reached, last.report.bootId, last.report.leaving, last.report.pool,
                            last.report.generation, now - last.at});
    }
    m_contacts.clear();
    return contacts;
}

auto worker_directory::size() const -> std::size_t
{
    return m_hosts.size();
}
} // namespace poplarpass::app
