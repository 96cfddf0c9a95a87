#include "control_world.h"

#include <algorithm>
#include <set>

namespace fakes
{
auto event_queue::at(core::monotonic_time time, std::function<void()> action) -> void
{
    m_heap.push_back({time, ++m_sequence, std::move(action)});
    std::ranges::push_heap(m_heap, std::greater{}, [](const event &e) { return std::pair{e.time, e.sequence}; });
}

auto event_queue::runUntil(core::monotonic_time time, core::monotonic_time &now) -> void
{
    while (!m_heap.empty() && m_heap.front().time <= time) {
        std::ranges::pop_heap(m_heap, std::greater{}, [](const event &e) { return std::pair{e.time, e.sequence}; });
        auto next = std::move(m_heap.back());
        m_heap.pop_back();
        now = std::max(now, next.time);
        next.action();
    }
    now = time;
}

control_process::control_process(control_world &world, core::member_id processName, std::uint64_t processIncarnation)
    : name{std::move(processName)}
    , incarnation{processIncarnation}
    , m_world{world}
    , m_role{name, incarnation}
    , m_hosts{name,
              incarnation,
              {world.m_settings.drains ? world.m_settings.drains : control::leastLossPolicy(config::isOpen),
               world.m_settings.moves ? world.m_settings.moves() : control::move_policy{}, config::isOpen}}
{
}

auto control_process::localNow() const -> core::monotonic_time
{
    const auto since = m_world.now.time_since_epoch();
    return core::monotonic_time{clockStart + since + since * clockPpm / 1'000'000};
}

auto control_process::mayAct() const -> bool
{
    return m_role.mayAct(localNow());
}

auto control_process::tick() -> void
{
    if (!m_reading && !cutFromLog) {
        read();
    }
    std::vector<core::member_id> candidates;
    for (const auto &process : m_world.processes) {
        candidates.push_back(process->name);
    }
    if (const auto request = m_role.next(candidates, localNow())) {
        append(*request, true);
    }
    if (!mayAct()) {
        if (std::exchange(m_acted, false)) {
            m_hosts.onRoleLost();
            m_sightings.clear();
            m_outcomes.clear();
        }
        return;
    }
    m_acted = true;
    if (m_world.now - m_probedAt >= seconds{1}) {
        probe();
    }
    if (m_world.now - m_decidedAt >= milliseconds{200}) {
        act();
    }
}

auto control_process::read() -> void
{
    m_reading = true;
    const auto begun = localNow();
    const auto from = state.offset();
    m_world.deliver(m_world.m_alive[this], *this, [this, begun, from] {
        m_reading = false;
        if (!cutFromLog && !m_world.logDown) {
            takePage(begun, from);
        }
    });
}

// A page ends where the log ended when the read was begun, at least: records that land later may be missing from it.
auto control_process::takePage(core::monotonic_time begun, std::uint64_t from) -> void
{
    for (auto offset = from + 1; offset <= m_world.log.size(); ++offset) {
        const auto &[id, change] = m_world.log[offset - 1];
        state.apply(offset, id, change);
        m_role.onApplied(id, state.control(), localNow());
        m_hosts.onApplied(id);
    }
    m_role.onReadToEnd(begun);
}

auto control_process::append(const control::append_request &request, bool isForRole) -> void
{
    const bool isLost = cutFromLog || (m_world.logDown && m_world.random(2) == 0);
    const bool isAnswerLost = m_world.random(100) < m_world.lostAnswerPercent;
    const auto alive = std::weak_ptr{m_world.m_alive[this]};
    m_world.m_events.at(m_world.now + m_world.delay(m_world.logDelay), [=, this, &world = m_world] {
        if (!isLost && !world.logDown) {
            world.write(request.id, request.change);
        }
        if (isForRole && !alive.expired()) {
            world.deliver(alive, *this, [=, this] { m_role.onAppendAnswered(request.id, !isLost && !isAnswerLost); });
        }
    });
}

auto control_process::act() -> void
{
    m_decidedAt = m_world.now;
    std::vector<platform::listed_host> listed;
    for (const auto &[host, worker] : m_world.workers) {
        listed.push_back(worker.listed);
    }
    const auto sightings = std::exchange(m_sightings, {});
    const auto outcomes = std::exchange(m_outcomes, {});
    const control::host_observations observations{listed, sightings, outcomes};
    for (const auto &action : m_hosts.decide(state, observations, m_world.wallNow() + wallStep, localNow())) {
        if (const auto *request = std::get_if<control::append_request>(&action)) {
            append(*request, false);
        } else if (const auto *order = std::get_if<control::order_action>(&action)) {
            give(*order);
        }
    }
}

auto control_process::probe() -> void
{
    m_probedAt = m_world.now;
    const auto begun = localNow();
    for (const auto &[host, worker] : m_world.workers) {
        m_world.deliver(m_world.m_alive[this], *this, [this, begun, host = host] {
            const auto &seen = m_world.workers.at(host);
            control::host_sighting sighting{host, false, 0, false, {}, 0, begun};
            if (!cutFromWorkers && m_world.isUp(seen)) {
                sighting = {host, true, seen.bootId, seen.draining, seen.pool, seen.generation, begun};
            }
            m_sightings.push_back(std::move(sighting));
        });
    }
}

auto control_process::give(const control::order_action &action) -> void
{
    const auto alive = std::weak_ptr{m_world.m_alive[this]};
    const bool isCut = cutFromWorkers;
    const bool isAnswerLost = m_world.random(100) < m_world.lostAnswerPercent;
    m_world.m_events.at(m_world.now + m_world.delay(), [=, this, &world = m_world] {
        auto &worker = world.workers.at(action.host);
        core::result<platform::order_answer> answer = core::failure(core::error_kind::peer_unreachable);
        if (!isCut && world.isUp(worker)) {
            answer = world.serve(worker, action.request);
        }
        if (isAnswerLost) {
            answer = core::failure(core::error_kind::peer_unreachable);
        }
        if (!alive.expired()) {
            world.deliver(alive, *this, [=, this] { m_outcomes.push_back({action.host, action.request, answer}); });
        }
    });
}

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
        processes.push_back(std::make_unique<control_process>(*this, name, ++m_incarnation));
        m_alive[processes.back().get()] = std::make_shared<bool>(true);
        processes.back()->clockStart = seconds{random(100000)};
        processes.back()->clockPpm = static_cast<int>(random(20001)) - 10000;
    }
    entries.resize(static_cast<std::size_t>(m_settings.entries));
    fold::config_record first;
    first.config = m_settings.config;
    if (!write(core::record_id{"config"}, first)) {
        breach("the configuration is refused");
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
    auto next = std::make_unique<control_process>(*this, old->name, ++m_incarnation);
    next->clockStart = seconds{random(100000)};
    next->clockPpm = old->clockPpm;
    m_alive[next.get()] = std::make_shared<bool>(true);
    old = std::move(next);
}

auto control_world::startWave(const std::string &wave) -> void
{
    fold::wave_record change;
    change.wave = core::wave_id{wave};
    write(core::record_id{"start-" + wave}, change);
}

auto control_world::pauseWave(const std::string &wave, bool pause) -> void
{
    fold::wave_record change;
    change.wave = core::wave_id{wave};
    change.action = pause ? fold::wave_action::pause : fold::wave_action::resume;
    write(core::record_id{"pause-" + std::to_string(log.size())}, change);
}

auto control_world::holder() const -> control_process *
{
    const auto found = std::ranges::find_if(processes, [](const auto &process) { return process->mayAct(); });
    return found == processes.end() ? nullptr : found->get();
}

auto control_world::isWaveFinished(const std::string &wave) const -> bool
{
    const auto waves = truth.waves();
    const auto found = std::ranges::find(waves, core::wave_id{wave}, &fold::wave_state::name);
    return found != waves.end() && found->finished;
}

auto control_world::isSettled() const -> bool
{
    return std::ranges::all_of(truth.hosts(), [this](const fold::host_state &host) {
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

auto control_world::write(const core::record_id &id, const fold::record &change) -> bool
{
    log.emplace_back(id, change);
    const auto outcome = truth.apply(log.size(), id, change);
    if (!outcome.accepted) {
        return false;
    }
    const auto *host = std::get_if<fold::host_record>(&change);
    moves += host != nullptr && host->event == fold::host_event::join ? 1U : 0U;
    if (onAccepted) {
        onAccepted(change);
    }
    return true;
}

auto control_world::delay(core::duration extra) -> core::duration
{
    return core::duration{1 + random((m_settings.latency + extra).count())};
}

// What reaches a frozen process is handled when it wakes; what reaches one that ended is lost.
auto control_world::deliver(const std::weak_ptr<bool> &alive, control_process &to, std::function<void()> action) -> void
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

auto control_world::serve(fake_worker &worker, const platform::order_request &request)
    -> core::result<platform::order_answer>
{
    if (request.controlEpoch < worker.epochSeen) {
        return core::failure(core::error_kind::stale_epoch);
    }
    worker.epochSeen = request.controlEpoch;
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
        if (truth.findHost(worker.listed.host)->phase != fold::host_phase::rebooting) {
            breach("reboot of " + name + " without its record");
        }
        if (isBusy && worker.draining) {
            breach("reboot of " + name + " while jobs run");
        }
        if (isBusy) {
            return core::failure(core::error_kind::invalid_request);
        }
        worker.upAt = now + m_settings.reboot;
        worker.draining = false;
        worker.grants.clear();
        return platform::order_answer{0, worker.bootId++, true, worker.pool, worker.generation};
    case platform::worker_order::assign:
        if (isBusy) {
            return core::failure(core::error_kind::invalid_request);
        }
        worker.pool = request.pool;
        worker.generation = request.generation;
        worker.grants.clear();
        break;
    }
    return platform::order_answer{static_cast<int>(worker.jobs.size()), worker.bootId, worker.draining, worker.pool,
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
    if (!entry.cutFromLog && !logDown) {
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
    place(entry);
}

// The entry starts a job by any grant that it still holds, whatever it should know by now.
auto control_world::place(fake_entry &entry) -> void
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
    const auto *host = truth.findHost(grant.host);
    if (host == nullptr || host->pool != grant.pool || worker.pool != grant.pool) {
        breach("start on " + grant.host.str() + " for pool " + grant.pool.str());
    }
}

auto control_world::check() -> void
{
    const auto acting = std::ranges::count_if(processes, [](const auto &process) { return process->mayAct(); });
    if (acting > 1) {
        breach("two processes may act as the holder");
    }
    for (const auto &pool : truth.config().pools) {
        checkPromise(pool);
    }
}

// What the workers really serve, once the pool is complete, must cover the promise while losses are within the
// permitted.
auto control_world::checkPromise(const config::pool &pool) -> void
{
    const auto &profile = *truth.findProfile(pool.profile);
    int serving = 0;
    std::set<std::string> lost;
    for (const auto &host : truth.hosts()) {
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
    const bool isComplete = truth.hosts().size() == workers.size();
    const bool isPermitted = static_cast<int>(lost.size()) <= profile.maxLost;
    if (isComplete && isPermitted && serving < config::requiredSlots(pool, profile)) {
        breach("pool " + pool.name.str() + " serves " + std::to_string(serving) + " slots");
    }
}

auto control_world::breach(std::string text) -> void
{
    breaches.push_back(std::to_string(now.time_since_epoch().count()) + "us: " + std::move(text));
}

auto makeHosts(int pools, int perPool, int zones) -> std::vector<platform::listed_host>
{
    std::vector<platform::listed_host> hosts;
    for (int index = 0; index < pools * perPool; ++index) {
        platform::listed_host host;
        const auto number = std::to_string(1000 + index);
        const int rack = index / 4;
        host.host = core::host_id{"w" + number.substr(1)};
        host.address = "10.0.0." + number;
        host.zone = core::zone_id{"z" + std::to_string(rack % zones)};
        host.rack = core::rack_id{"r" + std::to_string(rack)};
        host.pool = core::pool_id{"p" + std::to_string(index % pools)};
        host.slots = 8;
        hosts.push_back(std::move(host));
    }
    return hosts;
}

auto makeConfig(int pools, int demandSlots, config::loss_domain domain, int maxLost, int maxOut) -> config::fleet_config
{
    config::fleet_config made;
    made.calendars = {{"always", 0, {{127, 0, 24 * 60}}}};
    for (int index = 0; index < pools; ++index) {
        const auto number = std::to_string(index);
        config::profile profile;
        profile.name = core::profile_id{"f" + number};
        profile.lossDomain = domain;
        profile.maxLost = maxLost;
        profile.maxOut = maxOut;
        profile.calendar = "always";
        profile.maxLent = 3;
        profile.maxBorrowed = 3;
        made.profiles.push_back(profile);
        made.pools.push_back({core::pool_id{"p" + number}, profile.name, demandSlots, index + 1 == pools});
    }
    return made;
}
} // namespace fakes
