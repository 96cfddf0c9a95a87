#include "simulated_system.h"

#include <poplarpass/core/parse_integer.h>

#include <algorithm>

namespace tests::system_sim
{
namespace
{
constexpr core::duration tickTime = std::chrono::milliseconds{20};
constexpr double ticksPerSecond = 50;
constexpr int hostCount = 4;
constexpr int machinesPerPool = 4;
constexpr int standbyMachines = 3;
constexpr std::int64_t configApplyMs = 2000;
constexpr std::string_view wavePrefix = "wave/";
constexpr std::string_view completedText = "completed";
const core::pool_id firstPool{"first"};
const core::pool_id secondPool{"second"};
const core::pool_id standbyPool{"standby"};

auto policyOf(const std::string &name, const core::pool_id &pool) -> jobs::queue_policy
{
    jobs::queue_policy policy;
    policy.name = jobs::queue_id{name};
    policy.pool = pool;
    policy.maxAttempts = 4;
    policy.stretch = 1.6;
    policy.targetLatency = std::chrono::milliseconds{600};
    return policy;
}
} // namespace

simulated_system::simulated_system(std::uint64_t seed)
    : m_network{seed}
    , m_store{m_network}
    , m_rules{m_network}
    , m_fleet{m_network, m_store, m_rules}
    , m_hosts{m_network, m_store, m_fleet}
    , m_callers{m_network, m_hosts, m_rules}
{
    auto second = policyOf("second", secondPool);
    if (m_network.randomBool(0.4)) {
        second.advice =
            jobs::advice_policy{std::chrono::milliseconds{20}, std::chrono::milliseconds{4}, std::chrono::seconds{4}};
    }
    m_callers.queues = {{"/a/", policyOf("first", firstPool)}, {"/b/", second}};
    m_hosts.rules = &m_rules;
    m_rules.isAllowedAnywhere = [this](const std::string &step, const core::pool_id &pool,
                                       const jobs::resources &need) {
        return m_fleet.isAllowedAnywhere(step, pool, need);
    };
    m_store.onRecord = [this](store::topic topic, const store::stored_record &record) {
        m_digest = m_digest * 31 + std::hash<std::string>{}(record.key + record.value) + static_cast<unsigned>(topic);
    };
    makeDecoders();
    m_fleet.addMachines(firstPool, machinesPerPool, false);
    m_fleet.addMachines(secondPool, machinesPerPool, false);
    m_fleet.addMachines(standbyPool, standbyMachines, true);
    publish();
    for (int index = 0; index < hostCount; ++index) {
        m_hosts.add("host-" + std::to_string(index));
    }
    makeFaultKinds();
    m_network.time.runFor(std::chrono::seconds{4});
}

auto simulated_system::makeDecoders() -> void
{
    auto &decoders = m_hosts.decoders;
    decoders.operators.configKey = "config";
    decoders.operators.decodeConfig = [this](std::string_view text) -> core::result<route::route_config> {
        return configOf(core::parseInteger<std::uint64_t>(text).value_or(0));
    };
    decoders.decodeJob = [this](std::string_view body) {
        return m_callers.decode(body);
    };
    decoders.decodeWorker = sim_fleet::decodeWorkerEntry;
    decoders.waves.keyPrefix = wavePrefix;
    decoders.waves.decode = [this](std::string_view text) -> core::result<capacity::wave_request> {
        return m_fleet.waves().at(core::parseInteger<std::int64_t>(text).value_or(0));
    };
    decoders.waves.encodeStatus = [](bool completed) {
        return completed ? std::string{completedText} : std::string{"active"};
    };
}

// Versions divisible by three have an additional route.
auto simulated_system::configOf(std::uint64_t version) const -> route::route_config
{
    route::route_config config;
    config.version = version;
    for (const auto &queue : m_callers.queues) {
        config.routes.push_back({"jobs.example", queue.prefix, std::chrono::milliseconds{3000}, queue.policy});
    }
    if (version % 3 == 0) {
        config.routes.push_back(
            {"jobs.example", "/extra/", std::chrono::milliseconds{3000}, policyOf("extra", firstPool)});
    }
    config.pools = {{firstPool, true, false}, {secondPool, true, false}, {standbyPool, true, true}};
    return config;
}

auto simulated_system::publish() -> void
{
    m_configVersion += static_cast<std::uint64_t>(m_network.randomInteger(1, 3));
    m_publishedAt = m_network.nowMs();
    m_store.put(store::topic::operator_records, "config", std::to_string(m_configVersion));
}

auto simulated_system::beginWave() -> void
{
    capacity::wave_request wave;
    wave.number = static_cast<std::int64_t>(m_fleet.waves().size()) + 1;
    for (const auto &machine : m_fleet.machines()) {
        if (m_network.randomBool(0.5)) {
            wave.hosts.push_back(machine->id);
        }
    }
    wave.duration = std::chrono::milliseconds{m_network.randomInteger(8000, 20000)};
    wave.cap = static_cast<std::uint32_t>(m_network.randomInteger(1, 3));
    m_fleet.addWave(wave);
    m_store.put(store::topic::operator_records, std::string{wavePrefix} + std::to_string(wave.number),
                std::to_string(wave.number));
}

auto simulated_system::randomHost() -> sim_host &
{
    auto &all = m_hosts.all();
    return *all[static_cast<std::size_t>(m_network.randomInteger(0, static_cast<std::int64_t>(all.size()) - 1))];
}

auto simulated_system::ownerOrRandomHost() -> sim_host &
{
    auto *owner = m_hosts.currentOwner();
    return owner != nullptr && m_network.randomBool(0.7) ? *owner : randomHost();
}

auto simulated_system::randomMachine() -> sim_machine &
{
    auto &all = m_fleet.machines();
    return *all[static_cast<std::size_t>(m_network.randomInteger(0, static_cast<std::int64_t>(all.size()) - 1))];
}

auto simulated_system::makeFaultKinds() -> void
{
    makeHostFaults();
    makeStoreFaults();
    makeFleetFaults();
    makeOperatorEvents();
    for (auto &faultKind : m_faultKinds) {
        // Each seed has its own mix: a kind is off with probability 0.5, else its rate is scaled by 0.5 to 2.5.
        faultKind.perSecond *=
            m_network.randomBool(0.5) ? 0.0 : static_cast<double>(m_network.randomInteger(5, 25)) / 10.0;
    }
}

auto simulated_system::makeHostFaults() -> void
{
    const auto startLater = [this](sim_host &simHost) {
        m_network.time.after(m_network.randomDuration(300, 4000), [this, &simHost] {
            if (!simHost.up) {
                m_hosts.start(simHost);
            }
        });
    };
    m_faultKinds.push_back({"host_killed", 0.08, [this, startLater] {
                                auto &simHost = ownerOrRandomHost();
                                m_hosts.kill(simHost);
                                startLater(simHost);
                            }});
    m_faultKinds.push_back({"all_hosts_killed", 0.01, [this, startLater] {
                                for (const auto &simHost : m_hosts.all()) {
                                    m_hosts.kill(*simHost);
                                    startLater(*simHost);
                                }
                            }});
    m_faultKinds.push_back({"host_frozen", 0.08, [this] {
                                m_hosts.suspend(ownerOrRandomHost(), m_network.randomDuration(300, 9000));
                            }});
    m_faultKinds.push_back({"host_restarted", 0.05, [this] {
                                m_hosts.restart(ownerOrRandomHost());
                            }});
    m_faultKinds.push_back({"host_cut_from_workers", 0.04, [this] {
                                auto &simHost = ownerOrRandomHost();
                                simHost.cutFromWorkers = true;
                                m_network.time.after(m_network.randomDuration(500, 9000),
                                                     [&simHost] { simHost.cutFromWorkers = false; });
                            }});
    m_faultKinds.push_back({"host_cut_from_hosts", 0.06, [this] {
                                auto &simHost = ownerOrRandomHost();
                                auto &other = randomHost();
                                simHost.cutFromHosts.insert(other.name);
                                if (m_network.randomBool(0.5)) {
                                    other.cutFromHosts.insert(simHost.name);
                                }
                                m_network.time.after(m_network.randomDuration(500, 9000), [&simHost, &other] {
                                    simHost.cutFromHosts.erase(other.name);
                                    other.cutFromHosts.erase(simHost.name);
                                });
                            }});
    m_faultKinds.push_back({"forwards_late", 0.1, [this] {
                                m_hosts.lateForwards = 0.5;
                                m_network.time.after(m_network.randomDuration(500, 6000),
                                                     [this] { m_hosts.lateForwards = 0; });
                            }});
    m_faultKinds.push_back({"host_cut_from_store", 0.06, [this] {
                                const auto name = ownerOrRandomHost().name;
                                auto &faultyHosts = m_network.randomBool(0.5) ? m_store.faults.unreachableHosts
                                                                              : m_store.faults.refusedHosts;
                                faultyHosts.insert(name);
                                m_network.time.after(m_network.randomDuration(500, 9000),
                                                     [&faultyHosts, name] { faultyHosts.erase(name); });
                            }});
}

auto simulated_system::makeStoreFaults() -> void
{
    m_faultKinds.push_back({"store_down", 0.04, [this] {
                                m_store.faults.down = true;
                                m_network.time.after(m_network.randomDuration(200, 6000),
                                                     [this] { m_store.faults.down = false; });
                            }});
    m_faultKinds.push_back({"store_slow", 0.04, [this] {
                                m_store.faults.addedLatency = m_network.randomDuration(30, 900);
                                m_network.time.after(m_network.randomDuration(500, 5000),
                                                     [this] { m_store.faults.addedLatency = core::duration{0}; });
                            }});
    m_faultKinds.push_back({"store_answers_lost", 0.05, [this] {
                                m_store.faults.lostAnswers = 0.3;
                                m_network.time.after(m_network.randomDuration(500, 4000),
                                                     [this] { m_store.faults.lostAnswers = 0; });
                            }});
    m_faultKinds.push_back({"store_appends_late", 0.05, [this] {
                                m_store.faults.lateAppends = 0.3;
                                m_network.time.after(m_network.randomDuration(500, 4000),
                                                     [this] { m_store.faults.lateAppends = 0; });
                            }});
    m_faultKinds.push_back({"store_forgets_history", 0.05, [this] {
                                m_store.expireHistory();
                            }});
}

auto simulated_system::makeFleetFaults() -> void
{
    const auto until = [this](std::int64_t least, std::int64_t most) {
        return m_network.nowMs() + m_network.randomInteger(least, most);
    };
    m_faultKinds.push_back({"worker_crashed", 0.15, [this] {
                                m_fleet.crash(randomMachine(), m_network.randomBool(0.5));
                            }});
    m_faultKinds.push_back({"worker_dark", 0.12, [this, until] {
                                randomMachine().unreachableUntil = until(300, 12000);
                            }});
    m_faultKinds.push_back({"worker_grey", 0.06, [this, until] {
                                randomMachine().failingUntil = until(500, 6000);
                            }});
    m_faultKinds.push_back({"worker_late", 0.12, [this, until] {
                                randomMachine().delayedUntil = until(500, 5000);
                            }});
    m_faultKinds.push_back({"worker_answers_lost", 0.12, [this, until] {
                                randomMachine().lostAnswersUntil = until(500, 5000);
                            }});
    m_faultKinds.push_back({"worker_leaves", 0.08, [this] {
                                m_fleet.drain(randomMachine());
                            }});
    m_faultKinds.push_back({"host_service_down", 0.05, [this] {
                                m_fleet.hostFaults.down = true;
                                m_network.time.after(m_network.randomDuration(500, 6000),
                                                     [this] { m_fleet.hostFaults.down = false; });
                            }});
    m_faultKinds.push_back({"host_service_answers_lost", 0.05, [this] {
                                m_fleet.hostFaults.lostAnswers = 0.5;
                                m_network.time.after(m_network.randomDuration(500, 6000),
                                                     [this] { m_fleet.hostFaults.lostAnswers = 0; });
                            }});
    m_faultKinds.push_back({"advice_down", 0.05, [this] {
                                m_fleet.adviceDown = true;
                                m_network.time.after(m_network.randomDuration(500, 4000),
                                                     [this] { m_fleet.adviceDown = false; });
                            }});
}

auto simulated_system::makeOperatorEvents() -> void
{
    m_faultKinds.push_back({"config_published", 0.15, [this] {
                                publish();
                            }});
    m_faultKinds.push_back({"wave_begun", 0.05, [this] {
                                beginWave();
                            }});
    m_faultKinds.push_back({"burst", 0.06, [this] {
                                for (int count = 0; count < 25; ++count) {
                                    m_callers.submitRandom();
                                }
                            }});
    m_faultKinds.push_back({"cancel_storm", 0.04, [this] {
                                for (const auto &[id, job] : m_rules.trackedJobs()) {
                                    if (job.acceptedAt && !job.cancelSentAt && m_network.randomBool(0.4)) {
                                        m_callers.cancel(id);
                                    }
                                }
                            }});
}

auto simulated_system::tick(bool withFaults) -> void
{
    m_network.time.runFor(tickTime);
    m_fleet.tick();
    m_hosts.tick();
    checkReportedState();
    if (!withFaults) {
        return;
    }
    if (m_network.randomBool(m_jobsPerSecond / ticksPerSecond)) {
        m_callers.submitRandom();
    }
    for (const auto &faultKind : m_faultKinds) {
        if (m_network.randomBool(faultKind.perSecond / ticksPerSecond)) {
            ++injections[faultKind.name];
            faultKind.inject();
        }
    }
}

auto simulated_system::checkReportedState() -> void
{
    for (const auto &[number, wave] : m_fleet.waves()) {
        const auto status =
            m_store.newestOf(store::topic::status_records, std::string{wavePrefix} + std::to_string(number));
        for (const auto &id : wave.hosts) {
            if (status == completedText && !m_fleet.isMaintained(id, number)) {
                m_rules.reportViolation("MIXED",
                                        "wave " + std::to_string(number) + " is reported as completed but host "
                                            + id.str() + " has had no maintenance");
            }
        }
    }
    for (const auto &simHost : m_hosts.all()) {
        const bool overdue = m_network.nowMs() > m_publishedAt + configApplyMs && m_hosts.isHealthy(*simHost);
        if (overdue && simHost->core->routes().config().version != m_configVersion) {
            m_rules.reportViolation(
                "CONFIG", simHost->name + " has not applied configuration version " + std::to_string(m_configVersion));
        }
    }
}

auto simulated_system::endFaults() -> void
{
    m_store.faults = {};
    m_fleet.hostFaults = {};
    m_fleet.adviceDown = false;
    m_hosts.lateForwards = 0;
    for (const auto &simHost : m_hosts.all()) {
        simHost->cutFromWorkers = false;
        simHost->cutFromHosts.clear();
        if (!simHost->up) {
            m_hosts.start(*simHost);
        }
    }
    for (const auto &machine : m_fleet.machines()) {
        machine->unreachableUntil = 0;
        machine->failingUntil = 0;
        machine->delayedUntil = 0;
        machine->lostAnswersUntil = 0;
    }
}

auto simulated_system::isSettled() -> bool
{
    const bool allHealthy =
        std::ranges::all_of(m_hosts.all(), [this](const auto &simHost) { return m_hosts.isHealthy(*simHost); });
    return allHealthy && m_rules.isSettled() && m_fleet.unmaintainedHosts().empty();
}

auto simulated_system::run(core::duration time, core::duration recoveryLimit) -> void
{
    const auto faultEnd = m_network.time.now() + time;
    while (m_network.time.now() < faultEnd) {
        tick(true);
    }
    endFaults();
    const auto recoveryEnd = m_network.time.now() + recoveryLimit;
    while (m_network.time.now() < recoveryEnd && !isSettled()) {
        tick(false);
    }
    finish();
}

auto simulated_system::finish() -> void
{
    const auto rest = m_network.time.now() + std::chrono::seconds{5};
    m_callers.queryAll();
    while (m_network.time.now() < rest) {
        tick(false);
    }
    // Recent cancellations and drained workers need some time to settle.
    const auto last = rest + std::chrono::seconds{20};
    while (m_network.time.now() < last && !isSettled()) {
        tick(false);
    }
    m_rules.checkEnd();
    if (m_callers.unknownAtEnd > 0) {
        m_rules.reportViolation(
            "LOST", std::to_string(m_callers.unknownAtEnd) + " accepted jobs are reported as unknown at the end");
    }
    if (const auto missing = m_fleet.unmaintainedHosts(); !missing.empty()) {
        m_rules.reportViolation("MIXED", "not maintained at the end:" + missing);
    }
    if (m_hosts.currentOwner() == nullptr) {
        m_rules.reportViolation("OWNER", "no host, or more than one, owns the pools after the recovery time");
    }
    for (const auto &[id, job] : m_rules.trackedJobs()) {
        accepted += job.acceptedAt ? 1 : 0;
        finished += m_rules.isDone(id) ? 1 : 0;
    }
    eventNames = m_hosts.eventNames;
    takeovers = m_hosts.takeovers;
}

auto simulated_system::violations() const -> const std::vector<std::string> &
{
    return m_rules.violations;
}

auto simulated_system::digest() const -> std::uint64_t
{
    return m_digest;
}
} // namespace tests::system_sim
