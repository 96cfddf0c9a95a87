#include "sim_fleet.h"

#include <algorithm>

// Host service: moves between pools and maintenance.
namespace tests::system_sim
{
namespace
{
constexpr core::duration hostTimeout = std::chrono::milliseconds{1500};
constexpr core::duration moveTime = std::chrono::milliseconds{1500};
constexpr core::duration maintenanceTime = std::chrono::milliseconds{2000};
constexpr std::int64_t holderTermMs = 3000;
} // namespace

auto sim_fleet::hostsFor(const fleet_caller &caller) -> host::host_calls
{
    host::host_calls calls;
    calls.list = [this, caller](std::function<void(std::optional<std::vector<capacity::host_entry>>)> done) {
        using listing = std::optional<std::vector<capacity::host_entry>>;
        call_delivery delivery;
        delivery.arrives = !hostFaults.down && caller.canReachWorkers();
        m_network.call<listing>(
            caller.port, delivery, hostTimeout, std::nullopt,
            [this](const std::function<void(listing)> &answer) { answer(list()); }, std::move(done));
    };
    calls.order = [this, caller](const host::host_lease_holder &holder, const capacity::host_order &request,
                                 std::function<void(capacity::host_order_outcome)> done) {
        call_delivery delivery;
        delivery.arrives = !hostFaults.down && caller.canReachWorkers();
        delivery.answered = !m_network.randomBool(hostFaults.lostAnswers);
        m_network.call<capacity::host_order_outcome>(
            caller.port, delivery, hostTimeout, capacity::host_order_outcome::unknown,
            [this, caller, holder, request](const std::function<void(capacity::host_order_outcome)> &answer) {
                answer(order(holder, request, caller.healthy()));
            },
            std::move(done));
    };
    return calls;
}

auto sim_fleet::list() const -> std::vector<capacity::host_entry>
{
    std::vector<capacity::host_entry> entries;
    for (const auto &machine : m_machines) {
        capacity::host_entry entry;
        entry.id = machine->id;
        entry.pool = machine->pool;
        entry.condition = machine->condition;
        entry.worker = jobs::worker_id{machine->worker};
        entry.labels = {"kind", machine->rack};
        entry.capacity = capacityOfMachine;
        entries.push_back(std::move(entry));
    }
    return entries;
}

auto sim_fleet::order(const host::host_lease_holder &holder, const capacity::host_order &request, bool healthy)
    -> capacity::host_order_outcome
{
    auto *machine = machineOf(request.host);
    if (machine == nullptr) {
        return capacity::host_order_outcome::refused;
    }
    if (holder.fencingToken < machine->token) {
        return capacity::host_order_outcome::fenced;
    }
    checkHolder(*machine, holder, healthy);
    machine->token = holder.fencingToken;
    const bool alreadyDone =
        request.pool ? machine->pool == *request.pool : machine->maintainedWaves.contains(request.wave);
    if (alreadyDone) {
        return capacity::host_order_outcome::done;
    }
    if (machine->condition != capacity::host_condition::up || machine->drainingSince) {
        return capacity::host_order_outcome::busy;
    }
    if (!request.pool) {
        const auto wave = m_waves.find(request.wave);
        if (wave == m_waves.end() || std::ranges::find(wave->second.hosts, request.host) == wave->second.hosts.end()) {
            return capacity::host_order_outcome::refused;
        }
        checkWave(*machine, request.wave);
    }
    executeOrder(*machine, request);
    return capacity::host_order_outcome::done;
}

auto sim_fleet::checkHolder(sim_machine &machine, const host::host_lease_holder &holder, bool healthy) -> void
{
    const auto now = m_network.nowMs();
    const bool changed = machine.orderedAt && machine.holder != holder.name && now < *machine.orderedAt + holderTermMs;
    if (changed && healthy && machine.orderedByHealthyHost) {
        m_rules.reportViolation("ONE",
                                machine.id.str() + " receives orders of two holders at a time: " + machine.holder
                                    + " and " + holder.name);
    }
    machine.holder = holder.name;
    machine.orderedAt = now;
    machine.orderedByHealthyHost = healthy;
}

auto sim_fleet::checkWave(const sim_machine &machine, std::int64_t wave) -> void
{
    const auto down = std::ranges::count_if(m_machines, [&](const auto &other) { return other->activeWave == wave; });
    if (down >= static_cast<std::ptrdiff_t>(m_waves.at(wave).cap)) {
        m_rules.reportViolation("LIMIT",
                                machine.id.str() + " enters maintenance while " + std::to_string(down)
                                    + " hosts, the wave's limit or more, are in maintenance");
    }
}

auto sim_fleet::executeOrder(sim_machine &machine, const capacity::host_order &request) -> void
{
    if (!machine.worker.empty()) {
        std::ranges::for_each(m_machines, [this](const auto &other) { recordAvailableTasks(*other); });
        for (const auto &task : machine.model->runningTasks()) {
            if (isOperational(machine)) {
                m_rules.onTaskStopOrdered(task);
            }
        }
        stopWorker(machine);
        removeEntry(machine);
        machine.worker.clear();
    }
    if (request.pool) {
        machine.pool = *request.pool;
        machine.condition = capacity::host_condition::moving;
    } else {
        machine.maintainedWaves.insert(request.wave);
        machine.activeWave = request.wave;
        machine.condition = capacity::host_condition::maintenance;
    }
    m_network.time.after(request.pool ? moveTime : maintenanceTime, [this, &machine] { startWorker(machine); });
}

auto sim_fleet::addWave(const capacity::wave_request &wave) -> void
{
    m_waves[wave.number] = wave;
}

auto sim_fleet::waves() const -> const std::map<std::int64_t, capacity::wave_request> &
{
    return m_waves;
}

auto sim_fleet::isMaintained(const core::host_id &id, std::int64_t wave) const -> bool
{
    return std::ranges::any_of(
        m_machines, [&](const auto &machine) { return machine->id == id && machine->maintainedWaves.contains(wave); });
}

auto sim_fleet::unmaintainedHosts() const -> std::string
{
    std::string missing;
    for (const auto &[number, wave] : m_waves) {
        for (const auto &id : wave.hosts) {
            missing += isMaintained(id, number) ? "" : " " + id.str() + " of wave " + std::to_string(number);
        }
    }
    return missing;
}
} // namespace tests::system_sim
