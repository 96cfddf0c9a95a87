#include "sim_fleet.h"

#include <algorithm>

// Host service: moves between pools and maintenance.
namespace tests::system_sim
{
namespace
{
constexpr core::duration hostTimeout = std::chrono::milliseconds{1500};
constexpr core::duration migration = std::chrono::milliseconds{1500};
constexpr core::duration maintenance = std::chrono::milliseconds{2000};
constexpr std::int64_t holderTermMs = 3000;
} // namespace

auto sim_fleet::hostsFor(const fleet_caller &caller) -> host::host_calls
{
    host::host_calls calls;
    calls.list = [this, caller](std::function<void(std::optional<std::vector<capacity::host_entry>>)> done) {
        using listing = std::optional<std::vector<capacity::host_entry>>;
        call_fate fate;
        fate.arrives = !hostFaults.down && caller.reachesWorkers();
        m_network.call<listing>(
            caller.port, fate, hostTimeout, std::nullopt,
            [this](const std::function<void(listing)> &answer) { answer(list()); }, std::move(done));
    };
    calls.order = [this, caller](const host::host_holder &holder, const capacity::host_order &asked,
                                 std::function<void(capacity::host_order_outcome)> done) {
        call_fate fate;
        fate.arrives = !hostFaults.down && caller.reachesWorkers();
        fate.answered = !m_network.chance(hostFaults.lostAnswers);
        m_network.call<capacity::host_order_outcome>(
            caller.port, fate, hostTimeout, capacity::host_order_outcome::unknown,
            [this, caller, holder, asked](const std::function<void(capacity::host_order_outcome)> &answer) {
                answer(order(holder, asked, caller.inTouch()));
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

auto sim_fleet::order(const host::host_holder &holder, const capacity::host_order &asked, bool inTouch)
    -> capacity::host_order_outcome
{
    auto *machine = machineOf(asked.host);
    if (machine == nullptr) {
        return capacity::host_order_outcome::refused;
    }
    if (holder.fencingToken < machine->token) {
        return capacity::host_order_outcome::fenced;
    }
    checkHolder(*machine, holder, inTouch);
    machine->token = holder.fencingToken;
    const bool before = asked.pool ? machine->pool == *asked.pool : machine->maintainedFor.contains(asked.wave);
    if (before) {
        return capacity::host_order_outcome::done;
    }
    if (machine->condition != capacity::host_condition::up || machine->drainingSince) {
        return capacity::host_order_outcome::busy;
    }
    if (!asked.pool) {
        const auto wave = m_waves.find(asked.wave);
        if (wave == m_waves.end() || std::ranges::find(wave->second.hosts, asked.host) == wave->second.hosts.end()) {
            return capacity::host_order_outcome::refused;
        }
        checkWave(*machine, asked.wave);
    }
    carryOutOrder(*machine, asked);
    return capacity::host_order_outcome::done;
}

auto sim_fleet::checkHolder(sim_machine &machine, const host::host_holder &holder, bool inTouch) -> void
{
    const auto now = m_network.nowMs();
    const bool turn = machine.orderedAt && machine.holder != holder.name && now < *machine.orderedAt + holderTermMs;
    if (turn && inTouch && machine.orderedInTouch) {
        m_rules.broken("ONE",
                       machine.id.str() + " receives orders of two holders at a time: " + machine.holder + " and "
                           + holder.name);
    }
    machine.holder = holder.name;
    machine.orderedAt = now;
    machine.orderedInTouch = inTouch;
}

auto sim_fleet::checkWave(const sim_machine &machine, std::int64_t wave) -> void
{
    const auto down = std::ranges::count_if(m_machines, [&](const auto &other) { return other->upkeepWave == wave; });
    if (down >= static_cast<std::ptrdiff_t>(m_waves.at(wave).cap)) {
        m_rules.broken("LIMIT",
                       machine.id.str() + " enters maintenance while " + std::to_string(down)
                           + " hosts, the wave's limit or more, are in maintenance");
    }
}

auto sim_fleet::carryOutOrder(sim_machine &machine, const capacity::host_order &asked) -> void
{
    if (!machine.worker.empty()) {
        std::ranges::for_each(m_machines, [this](const auto &other) { noteAtWork(*other); });
        for (const auto &task : machine.model->runningTasks()) {
            if (isSound(machine)) {
                m_rules.onOrderedAway(task);
            }
        }
        takeDown(machine);
        dropEntry(machine);
        machine.worker.clear();
    }
    if (asked.pool) {
        machine.pool = *asked.pool;
        machine.condition = capacity::host_condition::moving;
    } else {
        machine.maintainedFor.insert(asked.wave);
        machine.upkeepWave = asked.wave;
        machine.condition = capacity::host_condition::maintenance;
    }
    m_network.time.after(asked.pool ? migration : maintenance, [this, &machine] { bringUp(machine); });
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
        m_machines, [&](const auto &machine) { return machine->id == id && machine->maintainedFor.contains(wave); });
}

auto sim_fleet::leftOfWaves() const -> std::string
{
    std::string left;
    for (const auto &[number, wave] : m_waves) {
        for (const auto &id : wave.hosts) {
            left += isMaintained(id, number) ? "" : " " + id.str() + " of wave " + std::to_string(number);
        }
    }
    return left;
}
} // namespace tests::system_sim
