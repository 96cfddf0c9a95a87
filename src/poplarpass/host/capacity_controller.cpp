#include <poplarpass/core/parse_integer.h>
#include <poplarpass/host/capacity_controller.h>
#include <poplarpass/host/constants.h>

#include <algorithm>
#include <utility>

namespace poplarpass::host
{
using observe::log_level;

namespace
{
constexpr char maintainedPrefix = 'm';
constexpr char deadlinePrefix = 'v';
constexpr char orderPrefix = 'o';
constexpr core::duration holderTermMargin = std::chrono::milliseconds{700};

auto maintainedKey(const capacity::maintained_host &record) -> std::string
{
    return maintainedPrefix + std::to_string(record.wave) + "/" + record.host.str();
}

auto parseMaintainedKey(std::string_view key) -> std::optional<capacity::maintained_host>
{
    const auto slash = key.find('/');
    const auto wave =
        slash == std::string_view::npos ? std::nullopt : core::parseInteger<std::int64_t>(key.substr(1, slash - 1));
    if (!wave) {
        return std::nullopt;
    }
    return capacity::maintained_host{*wave, core::host_id{std::string{key.substr(slash + 1)}}};
}
} // namespace

capacity_controller::capacity_controller(capacity_environment environment)
    : m_env{std::move(environment)}
{
}

auto capacity_controller::start(const store::newest_result &stored) -> void
{
    for (const auto &record : stored.records) {
        if (!record.key.empty()) {
            restoreRecord(record);
        }
    }
    readHosts();
}

auto capacity_controller::restoreRecord(const store::stored_record &record) -> void
{
    const auto suffix = std::string_view{record.key}.substr(1);
    const auto number = core::parseInteger<std::int64_t>(record.value);
    bool isValid = true;
    if (record.key.front() == maintainedPrefix) {
        const auto host = parseMaintainedKey(record.key);
        isValid = host.has_value();
        if (host) {
            m_planner.restoreMaintained(*host);
        }
    } else if (record.key.front() == deadlinePrefix) {
        const auto wave = core::parseInteger<std::int64_t>(suffix);
        isValid = wave && number;
        if (isValid) {
            m_waveDeadlines[*wave] = core::fromUnixMilliseconds(*number);
        }
    } else if (record.key.front() == orderPrefix) {
        isValid = number.has_value();
        if (number) {
            // The margin covers clock skew between hosts and the delay between an order's record and its effect.
            const auto age = m_env.time.wallNow() - core::fromUnixMilliseconds(*number);
            const auto wait = std::clamp<core::duration>(m_env.holderTerm + holderTermMargin - age, core::duration{0},
                                                         m_env.holderTerm + holderTermMargin);
            m_planner.restoreOrderDelay(core::host_id{std::string{suffix}}, m_env.time.now() + wait);
        }
    }
    if (!isValid) {
        m_env.log.log(log_level::error, "capacity_record_unreadable", {{"key", record.key}});
    }
}

auto capacity_controller::onJob(const jobs::multistep_job_record &job) -> void
{
    m_planner.onJob(job, m_env.time.now());
}

auto capacity_controller::isAwaitingHosts() const -> bool
{
    return m_planner.isAwaitingHosts();
}

auto capacity_controller::readHosts() -> void
{
    const auto requestedAt = m_env.time.now();
    m_env.hosts.list(
        m_lifetime.guard([this, requestedAt](const std::optional<std::vector<capacity::host_entry>> &hosts) {
            if (hosts) {
                m_planner.updateHosts(*hosts, requestedAt, m_env.time.now());
                for (const auto &worker : m_endedWorkers.update(*hosts, requestedAt, m_env.engine.workers())) {
                    onWorkerEnded(worker, requestedAt);
                }
                m_env.onChange();
            }
            if (std::exchange(m_hostServiceUnavailable, !hosts) != m_hostServiceUnavailable) {
                m_env.log.log(hosts ? log_level::info : log_level::warning,
                              hosts ? "host_service_regained" : "host_service_lost",
                              {{"effect", hosts ? "none" : "no_moves_no_maintenance"}});
            }
            m_hostCount = hosts ? hosts->size() : m_hostCount;
            m_env.time.callAfter(hostListDelay(), m_lifetime.guard([this] { readHosts(); }));
        }));
}

auto capacity_controller::onWorkerEnded(const jobs::worker_id &worker, core::monotonic_time requestedAt) -> void
{
    if (m_endedWorkers.isReplaced(worker)) {
        m_env.engine.onHostReplaced(worker, m_env.time.now());
    } else {
        m_env.engine.onHostLost(worker, requestedAt);
    }
}

// A list takes time for each of its hosts, so large fleets are listed less often.
auto capacity_controller::hostListDelay() const -> core::duration
{
    const auto shortest = m_planner.isAwaitingHosts() ? hostListBusyPeriod : hostListPeriod;
    return std::max(shortest, hostListPeriodPerHost * static_cast<std::int64_t>(m_hostCount));
}

auto capacity_controller::readWaves() -> void
{
    for (const auto &[key, value] : m_env.operatorRecords()) {
        if (!key.starts_with(m_env.waves.keyPrefix) || value.empty() || m_waveRecords[key] == value) {
            continue;
        }
        m_waveRecords[key] = value;
        auto wave = m_env.waves.decode(value);
        if (!wave) {
            m_env.log.log(log_level::error, "wave_unreadable", {{"key", key}, {"detail", wave.error().detail}});
            continue;
        }
        // The duration of a wave counts from when an owner first read it, so its deadline is stored.
        const auto now = m_env.time.wallNow();
        const auto [deadline, isNew] = m_waveDeadlines.try_emplace(wave->number, now + wave->duration);
        if (isNew) {
            m_env.stateJournal.writeRecord({deadlinePrefix + std::to_string(wave->number),
                                            std::to_string(core::toUnixMilliseconds(deadline->second))});
        }
        wave->duration = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::clamp<core::duration>(deadline->second - now, core::duration{0}, wave->duration));
        m_env.log.log(log_level::info, "wave_known",
                      {{"wave", wave->number},
                       {"hosts", wave->hosts.size()},
                       {"cap", wave->cap},
                       {"rest_ms", wave->duration.count()}});
        m_planner.addWave(*wave, m_env.time.now());
    }
}

auto capacity_controller::plan() -> void
{
    const auto now = m_env.time.now();
    if (now - m_lastPlan < capacityPlanPeriod || !m_env.mayOrder()) {
        m_planner.excludeLeavingWorkers(m_env.engine);
        return;
    }
    m_lastPlan = now;
    readWaves();
    for (const auto &order : m_planner.plan(m_env.engine, m_env.routes.config().pools, now)) {
        recordOrder(order);
    }
    recordMaintained();
    queueStatus();
    logLoads(now);
}

auto capacity_controller::logLoads(core::monotonic_time now) -> void
{
    if (now - m_lastLoadLog < loadLogPeriod) {
        return;
    }
    m_lastLoadLog = now;
    auto usages = m_planner.usageByPool(m_env.engine);
    for (const auto &[pool, balance] : m_planner.balances()) {
        const auto &usage = usages[pool];
        m_env.log.log(log_level::info, "pool_load",
                      {{"pool", pool.str()},
                       {"hosts", balance.have},
                       {"hosts_wanted", balance.targetHosts},
                       {"hosts_spread", balance.load.minWorkers},
                       {"draining", usage.draining},
                       {"arriving", usage.arriving},
                       {"maintenance", usage.inMaintenance},
                       {"idle", usage.idle},
                       {"standby", balance.standby ? 1 : 0},
                       {"host_cpu", m_planner.largestHostCpu()},
                       {"cpu", balance.load.capacity},
                       {"cpu_placed", balance.load.placed},
                       {"cpu_waiting", balance.load.waiting},
                       {"cpu_offered", balance.load.offered}});
    }
}

// The record must be stored before the order is sent, so that the next owner does not issue another one too soon.
auto capacity_controller::recordOrder(const capacity::host_order &order) -> void
{
    m_env.stateJournal.writeRecord(
        {orderPrefix + order.host.str(), std::to_string(core::toUnixMilliseconds(m_env.time.wallNow()))},
        m_lifetime.guard([this, order] {
            if (m_env.mayOrder()) {
                sendOrder(order);
            } else {
                m_planner.onOrderAnswer(order, capacity::host_order_outcome::failed, m_env.time.now());
            }
        }));
}

// While the record was being stored, an earlier order for the host may have taken effect late, so that the host has a
// new worker with runs. Such an order is dropped as busy.
auto capacity_controller::sendOrder(const capacity::host_order &order) -> void
{
    if (!m_planner.isCurrent(order)) {
        m_planner.onOrderAnswer(order, capacity::host_order_outcome::busy, m_env.time.now());
        return;
    }
    const auto worker = m_planner.workerOf(order.host);
    m_env.hosts.order(m_env.holder, order,
                      m_lifetime.guard([this, order, worker](capacity::host_order_outcome outcome) {
                          onAnswer(order, worker, outcome);
                      }));
}

auto capacity_controller::onAnswer(const capacity::host_order &order, const jobs::worker_id &worker,
                                   capacity::host_order_outcome outcome) -> void
{
    m_env.log.log(log_level::info, order.pool ? "host_move" : "host_maintenance",
                  {{"host", order.host.str()},
                   {"worker", worker.str()},
                   {"pool", order.pool ? order.pool->str() : std::string{}},
                   {"wave", order.wave},
                   {"token", m_env.holder.fencingToken},
                   {"outcome", nameOf(outcome)}});
    m_planner.onOrderAnswer(order, outcome, m_env.time.now());
    if (outcome == capacity::host_order_outcome::fenced) {
        m_env.onFenced();
        return;
    }
    recordMaintained();
    m_env.onChange();
}

auto capacity_controller::recordMaintained() -> void
{
    for (const auto &record : m_planner.consumeMaintained()) {
        m_env.stateJournal.writeRecord({maintainedKey(record), "1"});
    }
}

auto capacity_controller::queueStatus() -> void
{
    for (const auto &wave : m_planner.consumeWaveUpdates()) {
        m_env.log.log(log_level::info, "wave_status",
                      {{"wave", wave.request.number},
                       {"completed", wave.completed},
                       {"maintained", wave.done.size()},
                       {"hosts", wave.request.hosts.size()}});
        m_statusWrites.push_back(
            {m_env.waves.keyPrefix + std::to_string(wave.request.number), m_env.waves.encodeStatus(wave.completed)});
    }
    writeStatus();
}

auto capacity_controller::writeStatus() -> void
{
    if (m_statusAppendInFlight || m_statusWrites.empty()) {
        return;
    }
    m_statusAppendInFlight = true;
    store::record_append request;
    request.to = store::topic::status_records;
    request.keyedRecords.push_back({m_statusWrites.front().key, m_statusWrites.front().value});
    request.fence = store::writer_fence{m_env.holder.fencingToken, m_statusSequence};
    m_env.records.append(std::move(request), m_lifetime.guard([this](const store::append_result &answer) {
        m_statusAppendInFlight = false;
        onStatusWritten(answer);
    }));
}

auto capacity_controller::onStatusWritten(const store::append_result &answer) -> void
{
    switch (answer.outcome) {
    case store::append_outcome::appended:
        ++m_statusSequence;
        m_statusWrites.pop_front();
        writeStatus();
        return;
    case store::append_outcome::refused:
    case store::append_outcome::unknown:
        m_env.time.callAfter(storeRetryDelay, m_lifetime.guard([this] { writeStatus(); }));
        return;
    case store::append_outcome::rejected:
        m_env.log.log(log_level::error, "wave_status_rejected", {{"key", m_statusWrites.front().key}});
        m_statusWrites.pop_front();
        writeStatus();
        return;
    case store::append_outcome::fenced:
    case store::append_outcome::conflict:
    case store::append_outcome::out_of_sequence:
        m_env.onFenced();
        return;
    }
}
} // namespace poplarpass::host
