#include "system_world.h"

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

system_world::system_world(std::uint64_t seed)
    : m_network{seed}
    , m_store{m_network}
    , m_rules{m_network}
    , m_fleet{m_network, m_store, m_rules}
    , m_hosts{m_network, m_store, m_fleet}
    , m_callers{m_network, m_hosts, m_rules}
{
    auto second = policyOf("second", secondPool);
    if (m_network.chance(0.4)) {
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
    makeTroubles();
    m_network.time.runFor(std::chrono::seconds{4});
}

auto system_world::makeDecoders() -> void
{
    auto &decoders = m_hosts.decoders;
    decoders.operators.configKey = "config";
    decoders.operators.decodeConfig = [this](std::string_view text) -> core::result<route::route_config> {
        return configOf(core::parseInteger<std::uint64_t>(text).value_or(0));
    };
    decoders.decodeJob = [this](std::string_view body) {
        return m_callers.decode(body);
    };
    decoders.decodeWorker = sim_fleet::decodeWorker;
    decoders.waves.keyPrefix = wavePrefix;
    decoders.waves.decode = [this](std::string_view text) -> core::result<capacity::wave_request> {
        return m_fleet.waves().at(core::parseInteger<std::int64_t>(text).value_or(0));
    };
    decoders.waves.encodeStatus = [](bool completed) {
        return completed ? std::string{completedText} : std::string{"active"};
    };
}

// Versions divisible by three have an additional route.
auto system_world::configOf(std::uint64_t version) const -> route::route_config
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

auto system_world::publish() -> void
{
    m_version += static_cast<std::uint64_t>(m_network.pick(1, 3));
    m_publishedAt = m_network.nowMs();
    m_store.put(store::topic::operator_records, "config", std::to_string(m_version));
}

auto system_world::beginWave() -> void
{
    capacity::wave_request wave;
    wave.number = static_cast<std::int64_t>(m_fleet.waves().size()) + 1;
    for (const auto &machine : m_fleet.machines()) {
        if (m_network.chance(0.5)) {
            wave.hosts.push_back(machine->id);
        }
    }
    wave.duration = std::chrono::milliseconds{m_network.pick(8000, 20000)};
    wave.cap = static_cast<std::uint32_t>(m_network.pick(1, 3));
    m_fleet.addWave(wave);
    m_store.put(store::topic::operator_records, std::string{wavePrefix} + std::to_string(wave.number),
                std::to_string(wave.number));
}

auto system_world::anyHost() -> sim_host &
{
    auto &all = m_hosts.all();
    return *all[static_cast<std::size_t>(m_network.pick(0, static_cast<std::int64_t>(all.size()) - 1))];
}

auto system_world::ownerOrAny() -> sim_host &
{
    auto *owner = m_hosts.currentOwner();
    return owner != nullptr && m_network.chance(0.7) ? *owner : anyHost();
}

auto system_world::anyMachine() -> sim_machine &
{
    auto &all = m_fleet.machines();
    return *all[static_cast<std::size_t>(m_network.pick(0, static_cast<std::int64_t>(all.size()) - 1))];
}

auto system_world::makeTroubles() -> void
{
    makeHostTroubles();
    makeStoreTroubles();
    makeFleetTroubles();
    makeOperatorTroubles();
    for (auto &one : m_troubles) {
        // Each kind of fault is off with probability 0.5, else its rate is scaled by 0.5 to 2.5.
        one.perSecond *= m_network.chance(0.5) ? 0.0 : static_cast<double>(m_network.pick(5, 25)) / 10.0;
    }
}

auto system_world::makeHostTroubles() -> void
{
    const auto again = [this](sim_host &one) {
        m_network.time.after(m_network.pickTime(300, 4000), [this, &one] {
            if (!one.up) {
                m_hosts.start(one);
            }
        });
    };
    m_troubles.push_back({"host_killed", 0.08, [this, again] {
                              auto &one = ownerOrAny();
                              m_hosts.kill(one);
                              again(one);
                          }});
    m_troubles.push_back({"all_hosts_killed", 0.01, [this, again] {
                              for (const auto &one : m_hosts.all()) {
                                  m_hosts.kill(*one);
                                  again(*one);
                              }
                          }});
    m_troubles.push_back({"host_frozen", 0.08, [this] {
                              m_hosts.freeze(ownerOrAny(), m_network.pickTime(300, 9000));
                          }});
    m_troubles.push_back({"host_restarted", 0.05, [this] {
                              m_hosts.restart(ownerOrAny());
                          }});
    m_troubles.push_back({"host_cut_from_workers", 0.04, [this] {
                              auto &one = ownerOrAny();
                              one.cutFromWorkers = true;
                              m_network.time.after(m_network.pickTime(500, 9000),
                                                   [&one] { one.cutFromWorkers = false; });
                          }});
    m_troubles.push_back({"host_cut_from_hosts", 0.06, [this] {
                              auto &one = ownerOrAny();
                              auto &other = anyHost();
                              one.cutFromHosts.insert(other.name);
                              if (m_network.chance(0.5)) {
                                  other.cutFromHosts.insert(one.name);
                              }
                              m_network.time.after(m_network.pickTime(500, 9000), [&one, &other] {
                                  one.cutFromHosts.erase(other.name);
                                  other.cutFromHosts.erase(one.name);
                              });
                          }});
    m_troubles.push_back({"host_cut_from_store", 0.06, [this] {
                              const auto name = ownerOrAny().name;
                              auto &cut = m_network.chance(0.5) ? m_store.faults.cutHosts : m_store.faults.refusedHosts;
                              cut.insert(name);
                              m_network.time.after(m_network.pickTime(500, 9000), [&cut, name] { cut.erase(name); });
                          }});
}

auto system_world::makeStoreTroubles() -> void
{
    m_troubles.push_back({"store_down", 0.04, [this] {
                              m_store.faults.down = true;
                              m_network.time.after(m_network.pickTime(200, 6000),
                                                   [this] { m_store.faults.down = false; });
                          }});
    m_troubles.push_back({"store_slow", 0.04, [this] {
                              m_store.faults.slow = m_network.pickTime(30, 900);
                              m_network.time.after(m_network.pickTime(500, 5000),
                                                   [this] { m_store.faults.slow = core::duration{0}; });
                          }});
    m_troubles.push_back({"store_answers_lost", 0.05, [this] {
                              m_store.faults.lostAnswers = 0.3;
                              m_network.time.after(m_network.pickTime(500, 4000),
                                                   [this] { m_store.faults.lostAnswers = 0; });
                          }});
    m_troubles.push_back({"store_appends_late", 0.05, [this] {
                              m_store.faults.lateAppends = 0.3;
                              m_network.time.after(m_network.pickTime(500, 4000),
                                                   [this] { m_store.faults.lateAppends = 0; });
                          }});
    m_troubles.push_back({"store_forgets_history", 0.05, [this] {
                              m_store.forgetHistory();
                          }});
}

auto system_world::makeFleetTroubles() -> void
{
    const auto until = [this](std::int64_t least, std::int64_t most) {
        return m_network.nowMs() + m_network.pick(least, most);
    };
    m_troubles.push_back({"worker_crashed", 0.15, [this] {
                              m_fleet.crash(anyMachine(), m_network.chance(0.5));
                          }});
    m_troubles.push_back({"worker_dark", 0.12, [this, until] {
                              anyMachine().darkUntil = until(300, 12000);
                          }});
    m_troubles.push_back({"worker_grey", 0.06, [this, until] {
                              anyMachine().greyUntil = until(500, 6000);
                          }});
    m_troubles.push_back({"worker_late", 0.12, [this, until] {
                              anyMachine().lateUntil = until(500, 5000);
                          }});
    m_troubles.push_back({"worker_answers_lost", 0.12, [this, until] {
                              anyMachine().lostAnswersUntil = until(500, 5000);
                          }});
    m_troubles.push_back({"worker_leaves", 0.08, [this] {
                              m_fleet.drain(anyMachine());
                          }});
    m_troubles.push_back({"host_service_down", 0.05, [this] {
                              m_fleet.hostFaults.down = true;
                              m_network.time.after(m_network.pickTime(500, 6000),
                                                   [this] { m_fleet.hostFaults.down = false; });
                          }});
    m_troubles.push_back({"host_service_answers_lost", 0.05, [this] {
                              m_fleet.hostFaults.lostAnswers = 0.5;
                              m_network.time.after(m_network.pickTime(500, 6000),
                                                   [this] { m_fleet.hostFaults.lostAnswers = 0; });
                          }});
    m_troubles.push_back({"advice_down", 0.05, [this] {
                              m_fleet.adviceDown = true;
                              m_network.time.after(m_network.pickTime(500, 4000),
                                                   [this] { m_fleet.adviceDown = false; });
                          }});
}

auto system_world::makeOperatorTroubles() -> void
{
    m_troubles.push_back({"config_published", 0.15, [this] {
                              publish();
                          }});
    m_troubles.push_back({"wave_begun", 0.05, [this] {
                              beginWave();
                          }});
    m_troubles.push_back({"burst", 0.06, [this] {
                              for (int count = 0; count < 25; ++count) {
                                  m_callers.submitAny();
                              }
                          }});
    m_troubles.push_back({"cancel_storm", 0.04, [this] {
                              for (const auto &[id, job] : m_rules.all()) {
                                  if (job.acceptedAt && !job.cancelSentAt && m_network.chance(0.4)) {
                                      m_callers.cancel(id);
                                  }
                              }
                          }});
}

auto system_world::tick(bool withTrouble) -> void
{
    m_network.time.runFor(tickTime);
    m_fleet.tick();
    m_hosts.tick();
    checkBeliefs();
    if (!withTrouble) {
        return;
    }
    if (m_network.chance(m_jobsPerSecond / ticksPerSecond)) {
        m_callers.submitAny();
    }
    for (const auto &one : m_troubles) {
        if (m_network.chance(one.perSecond / ticksPerSecond)) {
            ++troubles[one.name];
            one.begin();
        }
    }
}

auto system_world::checkBeliefs() -> void
{
    for (const auto &[number, wave] : m_fleet.waves()) {
        const auto status =
            m_store.newestOf(store::topic::status_records, std::string{wavePrefix} + std::to_string(number));
        for (const auto &id : wave.hosts) {
            if (status == completedText && !m_fleet.isMaintained(id, number)) {
                m_rules.broken("MIXED",
                               "wave " + std::to_string(number) + " is reported as completed but host " + id.str()
                                   + " has had no maintenance");
            }
        }
    }
    for (const auto &one : m_hosts.all()) {
        const bool late = m_network.nowMs() > m_publishedAt + configApplyMs && m_hosts.isInTouch(*one);
        if (late && one->core->routes().config().version != m_version) {
            m_rules.broken("CONFIG", one->name + " has not applied configuration version " + std::to_string(m_version));
        }
    }
}

auto system_world::endTroubles() -> void
{
    m_store.faults = {};
    m_fleet.hostFaults = {};
    m_fleet.adviceDown = false;
    for (const auto &one : m_hosts.all()) {
        one->cutFromWorkers = false;
        one->cutFromHosts.clear();
        if (!one->up) {
            m_hosts.start(*one);
        }
    }
    for (const auto &machine : m_fleet.machines()) {
        machine->darkUntil = 0;
        machine->greyUntil = 0;
        machine->lateUntil = 0;
        machine->lostAnswersUntil = 0;
    }
}

auto system_world::isSettled() -> bool
{
    const bool calm = std::ranges::all_of(m_hosts.all(), [this](const auto &one) { return m_hosts.isInTouch(*one); });
    return calm && m_rules.isSettled() && m_fleet.leftOfWaves().empty();
}

auto system_world::play(core::duration time, core::duration calm) -> void
{
    const auto troubleEnd = m_network.time.now() + time;
    while (m_network.time.now() < troubleEnd) {
        tick(true);
    }
    endTroubles();
    const auto calmEnd = m_network.time.now() + calm;
    while (m_network.time.now() < calmEnd && !isSettled()) {
        tick(false);
    }
    finish();
}

auto system_world::finish() -> void
{
    const auto rest = m_network.time.now() + std::chrono::seconds{5};
    m_callers.askAll();
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
        m_rules.broken("LOST",
                       std::to_string(m_callers.unknownAtEnd) + " accepted jobs are reported as unknown at the end");
    }
    if (const auto left = m_fleet.leftOfWaves(); !left.empty()) {
        m_rules.broken("MIXED", "not maintained at the end:" + left);
    }
    if (m_hosts.currentOwner() == nullptr) {
        m_rules.broken("OWNER", "no host, or more than one, owns the pools after the recovery time");
    }
    for (const auto &[id, job] : m_rules.all()) {
        accepted += job.acceptedAt ? 1 : 0;
        finished += m_rules.isDone(id) ? 1 : 0;
    }
    eventNames = m_hosts.eventNames;
    takeovers = m_hosts.takeovers;
}

auto system_world::breaches() const -> const std::vector<std::string> &
{
    return m_rules.breaches;
}

auto system_world::digest() const -> std::uint64_t
{
    return m_digest;
}
} // namespace tests::system_sim
