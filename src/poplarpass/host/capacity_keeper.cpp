#include <poplarpass/core/parse_integer.h>
#include <poplarpass/host/capacity_keeper.h>
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
constexpr core::duration holderMargin = std::chrono::milliseconds{700};

auto maintainedKey(const capacity::maintained_host &record) -> std::string
{
    return maintainedPrefix + std::to_string(record.wave) + "/" + record.host.str();
}

auto maintainedOf(std::string_view key) -> std::optional<capacity::maintained_host>
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

capacity_keeper::capacity_keeper(capacity_environment environment)
    : m_env{std::move(environment)}
{
}

auto capacity_keeper::start(const store::newest_result &stored) -> void
{
    for (const auto &record : stored.records) {
        if (!record.key.empty()) {
            restoreRecord(record);
        }
    }
    readHosts();
}

auto capacity_keeper::restoreRecord(const store::stored_record &record) -> void
{
    const auto rest = std::string_view{record.key}.substr(1);
    const auto number = core::parseInteger<std::int64_t>(record.value);
    bool readable = true;
    if (record.key.front() == maintainedPrefix) {
        const auto host = maintainedOf(record.key);
        readable = host.has_value();
        if (host) {
            m_planner.restoreMaintained(*host);
        }
    } else if (record.key.front() == deadlinePrefix) {
        const auto wave = core::parseInteger<std::int64_t>(rest);
        readable = wave && number;
        if (readable) {
            m_waveDeadlines[*wave] = core::fromUnixMilliseconds(*number);
        }
    } else if (record.key.front() == orderPrefix) {
        readable = number.has_value();
        if (number) {
            // Hosts' clocks differ a little, and an order takes a moment from its record to its effect.
            const auto age = m_env.time.wallNow() - core::fromUnixMilliseconds(*number);
            const auto wait = std::clamp<core::duration>(m_env.holderTerm + holderMargin - age, core::duration{0},
                                                         m_env.holderTerm + holderMargin);
            m_planner.restoreOrderDelay(core::host_id{std::string{rest}}, m_env.time.now() + wait);
        }
    }
    if (!readable) {
        m_env.log.log(log_level::error, "capacity_record_unreadable", {{"key", record.key}});
    }
}

auto capacity_keeper::onJob(const jobs::multistep_job_record &job) -> void
{
    m_planner.onJob(job, m_env.time.now());
}

auto capacity_keeper::isAwaitingHosts() const -> bool
{
    return m_planner.isAwaitingHosts();
}

auto capacity_keeper::readHosts() -> void
{
    const auto askedAt = m_env.time.now();
    m_env.hosts.list(m_life.guard([this, askedAt](const std::optional<std::vector<capacity::host_entry>> &hosts) {
        if (hosts) {
            m_planner.updateHosts(*hosts, askedAt, m_env.time.now());
            m_env.onChange();
        }
        if (std::exchange(m_hostsLost, !hosts) != m_hostsLost) {
            m_env.log.log(hosts ? log_level::info : log_level::warning,
                          hosts ? "host_service_regained" : "host_service_lost",
                          {{"effect", hosts ? "none" : "no_moves_no_maintenance"}});
        }
        m_env.time.callAfter(m_planner.isAwaitingHosts() ? hostListBusyPeriod : hostListPeriod,
                             m_life.guard([this] { readHosts(); }));
    }));
}

auto capacity_keeper::readWaves() -> void
{
    for (const auto &[key, value] : m_env.operatorRecords()) {
        if (!key.starts_with(m_env.waves.keyPrefix) || value.empty() || m_seenWaves[key] == value) {
            continue;
        }
        m_seenWaves[key] = value;
        auto wave = m_env.waves.decode(value);
        if (!wave) {
            m_env.log.log(log_level::error, "wave_unreadable", {{"key", key}, {"detail", wave.error().detail}});
            continue;
        }
        // The time of a wave counts from when its first owner saw it.
        const auto now = m_env.time.wallNow();
        const auto [known, isNew] = m_waveDeadlines.try_emplace(wave->number, now + wave->duration);
        if (isNew) {
            m_env.stored.writeRecord({deadlinePrefix + std::to_string(wave->number),
                                      std::to_string(core::toUnixMilliseconds(known->second))});
        }
        wave->duration = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::clamp<core::duration>(known->second - now, core::duration{0}, wave->duration));
        m_env.log.log(log_level::info, "wave_known",
                      {{"wave", wave->number},
                       {"hosts", wave->hosts.size()},
                       {"cap", wave->cap},
                       {"rest_ms", wave->duration.count()}});
        m_planner.addWave(*wave, m_env.time.now());
    }
}

auto capacity_keeper::plan() -> void
{
    const auto now = m_env.time.now();
    if (now - m_lastPlan < capacityPlanPeriod || !m_env.mayOrder()) {
        m_planner.excludeLeavingWorkers(m_env.engine);
        return;
    }
    m_lastPlan = now;
    readWaves();
    for (const auto &order : m_planner.plan(m_env.engine, m_env.routes.config().pools, now)) {
        record(order);
    }
    recordMaintained();
    queueStatus();
    logLoads(now);
}

auto capacity_keeper::logLoads(core::monotonic_time now) -> void
{
    if (now - m_lastLoadLog < loadLogPeriod) {
        return;
    }
    m_lastLoadLog = now;
    for (const auto &[pool, balance] : m_planner.balances()) {
        m_env.log.log(log_level::info, "pool_load",
                      {{"pool", pool.str()},
                       {"hosts", balance.have},
                       {"hosts_wanted", balance.targetHosts},
                       {"cpu", balance.load.capacity},
                       {"cpu_placed", balance.load.placed},
                       {"cpu_waiting", balance.load.waiting},
                       {"cpu_offered", balance.load.offered}});
    }
}

// The next owner must know of the order when it is carried out, so that it does not give another one too soon.
auto capacity_keeper::record(const capacity::host_order &order) -> void
{
    m_env.stored.writeRecord(
        {orderPrefix + order.host.str(), std::to_string(core::toUnixMilliseconds(m_env.time.wallNow()))},
        m_life.guard([this, order] {
            if (m_env.mayOrder()) {
                give(order);
            } else {
                m_planner.onOrderAnswer(order, capacity::host_order_outcome::failed, m_env.time.now());
            }
        }));
}

// While the record waited for the store, an earlier order for the host may have been carried out late: its new worker
// has work.
auto capacity_keeper::give(const capacity::host_order &order) -> void
{
    if (!m_planner.isCurrent(order)) {
        m_planner.onOrderAnswer(order, capacity::host_order_outcome::busy, m_env.time.now());
        return;
    }
    const auto worker = m_planner.workerOf(order.host);
    m_env.hosts.order(m_env.holder, order, m_life.guard([this, order, worker](capacity::host_order_outcome outcome) {
        onAnswer(order, worker, outcome);
    }));
}

auto capacity_keeper::onAnswer(const capacity::host_order &order, const jobs::worker_id &worker,
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

auto capacity_keeper::recordMaintained() -> void
{
    for (const auto &record : m_planner.consumeMaintained()) {
        m_env.stored.writeRecord({maintainedKey(record), "1"});
    }
}

auto capacity_keeper::queueStatus() -> void
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

auto capacity_keeper::writeStatus() -> void
{
    if (m_statusBusy || m_statusWrites.empty()) {
        return;
    }
    m_statusBusy = true;
    store::record_append request;
    request.to = store::topic::status_records;
    request.keyedRecords.push_back({m_statusWrites.front().key, m_statusWrites.front().value});
    request.fence = store::writer_fence{m_env.holder.fencingToken, m_statusSequence};
    m_env.records.append(std::move(request), m_life.guard([this](const store::append_result &answer) {
        m_statusBusy = false;
        onStatusWritten(answer);
    }));
}

auto capacity_keeper::onStatusWritten(const store::append_result &answer) -> void
{
    switch (answer.outcome) {
    case store::append_outcome::appended:
        ++m_statusSequence;
        m_statusWrites.pop_front();
        writeStatus();
        return;
    case store::append_outcome::refused:
    case store::append_outcome::unknown:
        m_env.time.callAfter(storeRetry, m_life.guard([this] { writeStatus(); }));
        return;
    case store::append_outcome::fenced:
    case store::append_outcome::conflict:
    case store::append_outcome::out_of_sequence:
        m_env.onFenced();
        return;
    }
}
} // namespace poplarpass::host
