#include "sim_fleet.h"

#include <algorithm>
#include <sstream>

namespace tests::system_sim
{
namespace
{
constexpr std::int64_t heartbeatMs = 1000;
constexpr std::int64_t entryLifetimeMs = 3000;
constexpr std::int64_t maxFirstEntryDelayMs = 600;
constexpr std::int64_t drainNoticeMs = 3000;
constexpr std::size_t machinesPerRack = 3;
} // namespace

sim_fleet::sim_fleet(sim_network &network, sim_store &store, rule_checker &rules)
    : m_network{network}
    , m_store{store}
    , m_rules{rules}
{
}

auto sim_fleet::addMachines(const core::pool_id &pool, int count, bool standby) -> void
{
    if (standby) {
        standbyPools.insert(pool);
    }
    for (int index = 0; index < count; ++index) {
        auto machine = std::make_unique<sim_machine>();
        machine->id = core::host_id{"m" + std::to_string(m_machines.size())};
        machine->pool = pool;
        machine->rack = "r" + std::to_string(m_machines.size() / machinesPerRack);
        const auto clockRate = 1.0 - static_cast<double>(m_network.randomInteger(0, 20)) / 1000.0;
        machine->model = std::make_unique<fakes::worker_model>(makeObserver(*machine), clockRate, capacityOfMachine);
        m_machines.push_back(std::move(machine));
        startWorker(*m_machines.back());
    }
}

auto sim_fleet::makeObserver(sim_machine &machine) -> fakes::worker_observer
{
    fakes::worker_observer observer;
    observer.onStart = [this, &machine](const std::string &task, std::uint32_t) {
        m_rules.onStart(machine.worker, machine.pool, task, m_startFromHealthyHost);
        if (machine.drainingSince && m_startFromHealthyHost
            && m_network.nowMs() > *machine.drainingSince + drainNoticeMs) {
            m_rules.reportViolation("DRAIN", task + " starts on the draining worker " + machine.worker);
        }
    };
    observer.onEnd = [this, &machine](const std::string &task, std::uint32_t run, jobs::end_kind how) {
        m_rules.onEnd(machine.worker, task, run, how);
    };
    observer.onAcknowledged = [this](const jobs::ended_run &end) {
        m_rules.onEndAcknowledged(end);
    };
    return observer;
}

auto sim_fleet::machines() -> std::vector<std::unique_ptr<sim_machine>> &
{
    return m_machines;
}

auto sim_fleet::machineAt(const std::string &address) -> sim_machine *
{
    return machineOf(core::host_id{address});
}

auto sim_fleet::machineOf(const core::host_id &id) -> sim_machine *
{
    const auto found = std::ranges::find_if(m_machines, [&](const auto &machine) { return machine->id == id; });
    return found == m_machines.end() ? nullptr : found->get();
}

auto sim_fleet::isReachable(const sim_machine &machine) const -> bool
{
    return machine.condition == capacity::host_condition::up && !machine.worker.empty()
        && m_network.nowMs() >= machine.unreachableUntil;
}

auto sim_fleet::isOperational(const sim_machine &machine) const -> bool
{
    return isReachable(machine) && !machine.drainingSince && m_network.nowMs() >= machine.failingUntil;
}

auto sim_fleet::startWorker(sim_machine &machine) -> void
{
    machine.condition = capacity::host_condition::up;
    machine.activeWave = 0;
    machine.drainingSince.reset();
    if (standbyPools.contains(machine.pool)) {
        return;
    }
    machine.worker = "w" + std::to_string(++m_workerSerial);
    machine.model->restart(m_network.nowMs());
    machine.entryWrittenAt = m_network.nowMs();
    machine.firstEntryAt = m_network.nowMs() + m_network.randomInteger(0, maxFirstEntryDelayMs);
}

auto sim_fleet::stopWorker(sim_machine &machine) -> void
{
    for (const auto &task : machine.model->runningTasks()) {
        m_rules.onEnd(machine.worker, task, 0, std::nullopt);
    }
    machine.model->killRuns();
    m_rules.onWorkerStateLost(machine.worker);
    for (const auto &waiting : std::exchange(machine.waiting, {})) {
        waiting->pending = false;
    }
}

auto sim_fleet::writeEntry(sim_machine &machine) -> void
{
    if (m_store.faults.down) {
        return;
    }
    std::ostringstream out;
    out << machine.model->incarnation() << ' ' << machine.pool.str() << ' ' << machine.id.str() << ' ' << machine.rack
        << ' ' << (machine.drainingSince ? 1 : 0) << ' ' << machine.model->clockAt(m_network.nowMs());
    m_store.put(store::topic::worker_records, machine.worker, out.str());
    machine.entryWrittenAt = m_network.nowMs();
    machine.hasEntry = true;
}

auto sim_fleet::removeEntry(sim_machine &machine) -> void
{
    if (std::exchange(machine.hasEntry, false)) {
        m_store.put(store::topic::worker_records, machine.worker, {});
    }
}

auto sim_fleet::decodeWorkerEntry(std::string_view key, std::string_view value) -> core::result<jobs::worker_entry>
{
    std::istringstream in{std::string{value}};
    jobs::worker_entry entry;
    entry.id = jobs::worker_id{std::string{key}};
    std::string pool;
    std::string rack;
    in >> entry.incarnation >> pool >> entry.address >> rack >> entry.draining >> entry.clockMs;
    if (in.fail()) {
        return core::failure(core::error_kind::malformed_message, "worker entry");
    }
    entry.pool = core::pool_id{pool};
    entry.capacity = capacityOfMachine;
    entry.labels = {"kind", rack};
    return entry;
}

auto sim_fleet::tick() -> void
{
    const auto now = m_network.nowMs();
    for (auto &machine : m_machines) {
        if (machine->worker.empty() || machine->condition != capacity::host_condition::up) {
            continue;
        }
        machine->model->advance(now);
        recordAvailableTasks(*machine);
        const bool reachesStore =
            now >= std::max(machine->unreachableUntil, machine->firstEntryAt) && !m_store.faults.down;
        if (reachesStore && (now - machine->entryWrittenAt >= heartbeatMs || !machine->hasEntry)) {
            writeEntry(*machine);
        } else if (now - machine->entryWrittenAt > entryLifetimeMs) {
            removeEntry(*machine);
        }
        if (machine->model->hasUnacknowledgedEnds()) {
            answerRenewals(*machine);
        }
    }
}

auto sim_fleet::answerRenewals(sim_machine &machine) -> void
{
    for (const auto &waiting : std::exchange(machine.waiting, {})) {
        if (std::exchange(waiting->pending, false) && isReachable(machine)) {
            waiting->answer({host::renewal_outcome::reported, machine.model->report(m_network.nowMs())});
        }
    }
}

auto sim_fleet::crash(sim_machine &machine, bool sameIdentifier) -> void
{
    if (machine.worker.empty() || machine.condition != capacity::host_condition::up) {
        return;
    }
    stopWorker(machine);
    if (sameIdentifier) {
        machine.condition = capacity::host_condition::down;
        m_network.time.after(m_network.randomDuration(200, 2500), [this, &machine, worker = machine.worker] {
            if (machine.condition == capacity::host_condition::down && machine.worker == worker) {
                machine.condition = capacity::host_condition::up;
                machine.drainingSince.reset();
                machine.model->restart(m_network.nowMs());
                writeEntry(machine);
            }
        });
        return;
    }
    machine.condition = capacity::host_condition::down;
    const auto crashedWorker = machine.worker;
    m_network.time.after(std::chrono::milliseconds{entryLifetimeMs}, [this, &machine, crashedWorker] {
        if (machine.worker == crashedWorker) {
            removeEntry(machine);
            machine.worker.clear();
        }
    });
    m_network.time.after(std::chrono::milliseconds{entryLifetimeMs} + m_network.randomDuration(100, 3000),
                         [this, &machine] {
                             if (machine.condition == capacity::host_condition::down) {
                                 startWorker(machine);
                             }
                         });
}

auto sim_fleet::drain(sim_machine &machine) -> void
{
    if (!isOperational(machine)) {
        return;
    }
    machine.drainingSince = m_network.nowMs();
    writeEntry(machine);
    const auto drainedWorker = machine.worker;
    m_network.time.after(m_network.randomDuration(2100, 6000), [this, &machine, drainedWorker] {
        if (machine.worker != drainedWorker || machine.condition != capacity::host_condition::up) {
            return;
        }
        stopWorker(machine);
        removeEntry(machine);
        machine.worker.clear();
        machine.condition = capacity::host_condition::down;
        m_network.time.after(m_network.randomDuration(300, 2000), [this, &machine] {
            if (machine.condition == capacity::host_condition::down) {
                startWorker(machine);
            }
        });
    });
}

} // namespace tests::system_sim
