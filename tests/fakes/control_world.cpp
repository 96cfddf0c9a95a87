#include "control_world.h"

#include <algorithm>
#include <set>

namespace fakes
{
control_world::control_world(world_settings settings)
    : m_settings{std::move(settings)}
    , m_random{m_settings.seed}
{
    for (const auto &listed : m_settings.hosts) {
        fake_worker worker;
        worker.listed = listed;
        worker.pool = listed.pool;
        workers.emplace(listed.host, worker);
    }
    for (int index = 0; index < m_settings.controls; ++index) {
        const core::member_id name{"control-" + std::to_string(index)};
        processes.push_back(std::make_unique<sim_control_process>(*this, name, ++m_incarnation));
        m_alive[processes.back().get()] = std::make_shared<bool>(true);
        processes.back()->clockStart = seconds{random(100000)};
        processes.back()->clockPpm = static_cast<int>(random(20001)) - 10000;
    }
    entries.resize(static_cast<std::size_t>(m_settings.entries));
    replication::config_record first;
    first.config = m_settings.config;
    if (!write(core::record_id{"config"}, first)) {
        recordBreach("initial configuration rejected by the fold");
    }
}

auto control_world::step() -> void
{
    m_events.runUntil(now + m_settings.tick, now);
    tickWorkers();
    for (auto &entry : entries) {
        if (entry.frozenUntil <= now) {
            tickEntry(entry);
        }
    }
    for (auto &process : processes) {
        if (process->frozenUntil <= now) {
            process->tick();
        }
    }
    check();
}

auto control_world::run(core::duration length) -> void
{
    const auto end = now + length;
    while (now < end) {
        step();
    }
}

auto control_world::kill(std::size_t process) -> void
{
    auto &old = processes[process];
    m_alive.erase(old.get());
    auto next = std::make_unique<sim_control_process>(*this, old->name, ++m_incarnation);
    next->clockStart = seconds{random(100000)};
    next->clockPpm = old->clockPpm;
    m_alive[next.get()] = std::make_shared<bool>(true);
    old = std::move(next);
}

auto control_world::startWave(const std::string &wave) -> void
{
    replication::wave_record change;
    change.wave = core::wave_id{wave};
    write(core::record_id{"start-" + wave}, change);
}

auto control_world::pauseWave(const std::string &wave, bool pause) -> void
{
    replication::wave_record change;
    change.wave = core::wave_id{wave};
    change.action = pause ? replication::wave_action::pause : replication::wave_action::resume;
    write(core::record_id{"pause-" + std::to_string(log.size())}, change);
}

auto control_world::holder() const -> sim_control_process *
{
    const auto found = std::ranges::find_if(processes, [](const auto &process) { return process->mayAct(); });
    return found == processes.end() ? nullptr : found->get();
}

auto control_world::isWaveFinished(const std::string &wave) const -> bool
{
    const auto waves = committedState.waves();
    const auto found = std::ranges::find(waves, core::wave_id{wave}, &replication::wave_state::name);
    return found != waves.end() && found->finished;
}

auto control_world::isSettled() const -> bool
{
    return std::ranges::all_of(committedState.hosts(), [this](const replication::host_state &host) {
        const auto &worker = workers.at(host.description.host);
        return host.serves() && isUp(worker) && !worker.draining && worker.pool == host.pool
            && worker.generation == host.generation;
    });
}

auto control_world::isUp(const fake_worker &worker) const -> bool
{
    return !worker.dead && worker.upAt <= now;
}

auto control_world::wallNow() const -> core::wall_time
{
    return core::wall_time{now.time_since_epoch()};
}

auto control_world::random(std::int64_t below) -> std::int64_t
{
    return static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(below));
}

auto control_world::write(const core::record_id &id, const replication::record &change) -> bool
{
    log.emplace_back(id, change);
    const auto outcome = committedState.apply(log.size(), id, change);
    if (!outcome.accepted) {
        return false;
    }
    const auto *host = std::get_if<replication::host_record>(&change);
    if (host != nullptr) {
        checkChange(*host);
    }
    moves += host != nullptr && host->event == replication::host_event::join ? 1U : 0U;
    if (onAccepted) {
        onAccepted(change);
    }
    return true;
}

auto control_world::delay(core::duration extra) -> core::duration
{
    return core::duration{1 + random((m_settings.latency + extra).count())};
}

// A message to a frozen process is delivered when it resumes; one to a terminated process is dropped.
auto control_world::deliver(const std::weak_ptr<bool> &alive, sim_control_process &to, std::function<void()> action)
    -> void
{
    const auto at = std::max(now + delay(logDelay), to.frozenUntil);
    m_events.at(at, [this, alive, &to, action = std::move(action)]() mutable {
        if (alive.expired()) {
            return;
        }
        if (to.frozenUntil > now) {
            deliver(alive, to, std::move(action));
            return;
        }
        action();
    });
}

auto control_world::handleOrder(fake_worker &worker, const platform::order_request &request)
    -> core::result<platform::order_response>
{
    if (request.controlEpoch < worker.highestEpoch) {
        return core::failure(core::error_kind::stale_epoch);
    }
    worker.highestEpoch = request.controlEpoch;
    const bool isBusy = !worker.jobs.empty();
    const auto &name = worker.listed.host.str();
    switch (request.order) {
    case platform::worker_order::drain:
        worker.draining = true;
        break;
    case platform::worker_order::undrain:
        worker.draining = false;
        break;
    case platform::worker_order::reboot:
        if (committedState.findHost(worker.listed.host)->phase != replication::host_phase::rebooting) {
            recordBreach("worker " + name + " received a reboot order before its reboot record");
        }
        if (isBusy && worker.draining) {
            recordBreach("worker " + name + " received a reboot order while jobs run");
        }
        if (isBusy) {
            return core::failure(core::error_kind::invalid_request);
        }
        worker.upAt = now + m_settings.reboot;
        worker.draining = false;
        worker.grants.clear();
        return platform::order_response{0, worker.bootId++, true, worker.pool, worker.generation};
    case platform::worker_order::assign:
        if (isBusy) {
            return core::failure(core::error_kind::invalid_request);
        }
        worker.pool = request.pool;
        worker.generation = request.generation;
        worker.grants.clear();
        break;
    }
    return platform::order_response{static_cast<int>(worker.jobs.size()), worker.bootId, worker.draining, worker.pool,
                                    worker.generation};
}

auto control_world::tickWorkers() -> void
{
    for (auto &[host, worker] : workers) {
        std::erase_if(worker.jobs, [this](core::monotonic_time end) { return end <= now; });
        std::erase_if(worker.grants, [this](const auto &grant) { return now - grant.second >= seconds{3}; });
    }
}

auto control_world::tickEntry(fake_entry &entry) -> void
{
    if (!entry.isLogUnreachable && !logDown) {
        for (auto offset = entry.state.offset() + 1; offset <= log.size(); ++offset) {
            entry.state.apply(offset, log[offset - 1].first, log[offset - 1].second);
        }
    }
    const auto hosts = entry.state.hosts();
    if (hosts.empty()) {
        return;
    }
    const auto &host = hosts[static_cast<std::size_t>(random(static_cast<std::int64_t>(hosts.size())))];
    auto &worker = workers.at(host.description.host);
    const bool isGranted = host.serves() && isUp(worker) && worker.pool == host.pool
        && worker.generation == host.generation && !worker.draining;
    if (isGranted) {
        worker.grants[++m_nextGrant] = now;
        entry.grants.push_back({host.description.host, host.pool, host.generation, m_nextGrant});
    }
    if (entry.grants.size() > 20) {
        entry.grants.pop_front();
    }
    startJob(entry);
}

// The entry may use any grant that it still holds, including outdated ones.
auto control_world::startJob(fake_entry &entry) -> void
{
    if (entry.grants.empty()) {
        return;
    }
    const auto index = static_cast<std::size_t>(random(static_cast<std::int64_t>(entry.grants.size())));
    const auto &grant = entry.grants[index];
    auto &worker = workers.at(grant.host);
    const bool isAccepted = isUp(worker) && !worker.draining && worker.grants.contains(grant.id)
        && static_cast<int>(worker.jobs.size()) < worker.listed.slots;
    if (!isAccepted) {
        return;
    }
    ++starts;
    worker.jobs.push_back(now + core::duration{1 + random(m_settings.longestJob.count())});
    const auto *host = committedState.findHost(grant.host);
    if (host == nullptr || host->pool != grant.pool || worker.pool != grant.pool) {
        recordBreach("job started on " + grant.host.str() + " with a grant of a foreign pool: " + grant.pool.str());
    }
}

auto control_world::check() -> void
{
    const auto acting = std::ranges::count_if(processes, [](const auto &process) { return process->mayAct(); });
    if (acting > 1) {
        recordBreach("more than one process may act as the holder");
    }
    for (const auto &pool : committedState.config().pools) {
        checkRequiredCapacity(pool);
    }
}

// After an unplanned restart during the change a worker accepts work again from entries with a stale state, so jobs on
// it are no violation.
auto control_world::checkChange(const replication::host_record &change) -> void
{
    auto &worker = workers.at(change.host);
    if (change.event == replication::host_event::leave || change.event == replication::host_event::drain_start) {
        worker.changeStart = now;
    }
    const bool needsIdle =
        change.event == replication::host_event::drained || change.event == replication::host_event::reboot_start;
    if (needsIdle && !worker.jobs.empty() && worker.restartedAt < worker.changeStart) {
        recordBreach(change.host.str() + " recorded as idle while jobs run");
    }
}

// Once all hosts are added, the workers that actually accept work must cover the required capacity while the losses are
// within the permitted ones.
auto control_world::checkRequiredCapacity(const config::pool &pool) -> void
{
    const auto &profile = *committedState.findProfile(pool.profile);
    int serving = 0;
    std::set<std::string> lost;
    for (const auto &host : committedState.hosts()) {
        if (host.pool != pool.name) {
            continue;
        }
        const auto &worker = workers.at(host.description.host);
        const bool isServing = isUp(worker) && !worker.draining && host.serves();
        serving += isServing ? host.description.slots : 0;
        if (worker.dead || host.down) {
            const auto &rack = host.description.rack.str();
            const auto &zone = host.description.zone.str();
            lost.insert(profile.lossDomain == config::loss_domain::zone       ? zone
                            : profile.lossDomain == config::loss_domain::rack ? rack
                                                                              : host.description.host.str());
        }
    }
    const bool isComplete = committedState.hosts().size() == workers.size();
    const bool isPermitted = static_cast<int>(lost.size()) <= profile.maxLost;
    if (isComplete && isPermitted && serving < config::requiredSlots(pool, profile)) {
        recordBreach("pool " + pool.name.str() + " below its required capacity: serves " + std::to_string(serving)
                     + " slots");
    }
}

auto control_world::recordBreach(std::string text) -> void
{
    breaches.push_back(std::to_string(now.time_since_epoch().count()) + "us: " + std::move(text));
}
} // namespace fakes
