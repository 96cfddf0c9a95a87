#pragma once

#include "fakes/worker_model.h"
#include "rule_checker.h"
#include "sim_store.h"

#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace tests::system_sim
{
/// \brief What the fleet needs to know of a calling process.
struct fleet_caller
{
    process_port port; ///< Where answers arrive.
    std::function<bool()> reachesWorkers; ///< Whether it reaches workers at present.
    std::function<bool()> inTouch; ///< Whether it had no trouble for a while.
};

/// \brief What is wrong with the service for hosts at present.
struct host_service_faults
{
    bool down = false; ///< It answers nobody.
    double lostAnswers = 0; ///< Share of orders that are carried out and not answered.
};

/// \brief What each machine has.
inline constexpr jobs::resources capacityOfMachine{16'000, 32'000, 0};

/// \brief One machine: its pool, its worker, and its troubles. Times are milliseconds since the start.
struct sim_machine
{
    core::host_id id;
    core::pool_id pool;
    std::string rack;
    capacity::host_condition condition = capacity::host_condition::up;
    std::string worker; ///< Identifier of its worker; empty while there is none.
    std::unique_ptr<fakes::worker_model> model;
    std::int64_t darkUntil = 0; ///< Nothing reaches it, and it reaches nothing.
    std::int64_t greyUntil = 0; ///< All runs that begin there fail.
    std::int64_t lateUntil = 0; ///< Some orders are left unanswered and carried out late.
    std::int64_t lostAnswersUntil = 0; ///< Some answers are lost.
    std::optional<std::int64_t> drainingSince; ///< It said that it leaves.
    std::int64_t heardAt = 0; ///< When it last wrote its entry.
    std::int64_t entryFrom = 0; ///< It writes its first entry then; the service for hosts shows it at once.
    bool listed = false; ///< Whether the store holds its entry.
    std::uint64_t token = 0; ///< Greatest fencing token of orders for the machine.
    std::string holder; ///< Who last ordered it about.
    std::optional<std::int64_t> orderedAt; ///< When.
    bool orderedInTouch = false; ///< Whether that process was in touch.
    std::set<std::int64_t> maintainedFor; ///< Waves.
    std::int64_t upkeepWave = 0; ///< Wave of the maintenance in progress.

    struct waiting_renewal
    {
        std::string worker;
        bool open = true;
        std::function<void(host::renewal_answer)> answer;
    };
    std::list<std::shared_ptr<waiting_renewal>> waiting; ///< Renewals that wait for an end.
};

/// \brief All machines with their workers, the service that moves them, and the service for advice.
class sim_fleet
{
public:
    sim_fleet(sim_network &network, sim_store &store, rule_checker &rules);

    /// \brief Adds \p count machines to \p pool; those of a standby pool are off.
    auto addMachines(const core::pool_id &pool, int count, bool standby) -> void;

    /// \brief Calls of workers for one process.
    auto workersFor(const fleet_caller &caller) -> host::worker_calls;

    /// \brief Calls of the service for hosts for one process.
    auto hostsFor(const fleet_caller &caller) -> host::host_calls;

    /// \brief Calls of the service for advice for one process.
    auto adviceFor(const process_port &port) -> host::advice_calls;

    /// \brief Lets workers work, write their entries and expire.
    auto tick() -> void;

    /// \brief Whether some worker of \p pool that is up may run \p step, and has \p need free.
    [[nodiscard]] auto isAllowedAnywhere(const std::string &step, const core::pool_id &pool,
                                         const jobs::resources &need) const -> bool;

    /// \brief A worker dies; it starts again under its identifier, or its machine brings a new one.
    auto crash(sim_machine &machine, bool sameIdentifier) -> void;

    /// \brief A worker says that it leaves, and is gone a while later.
    auto drain(sim_machine &machine) -> void;

    /// \brief The operator asks for a wave.
    auto addWave(const capacity::wave_request &wave) -> void;

    /// \brief Waves that the operator asked for.
    [[nodiscard]] auto waves() const -> const std::map<std::int64_t, capacity::wave_request> &;

    /// \brief Machines of any wave that had no maintenance for it, by name.
    [[nodiscard]] auto leftOfWaves() const -> std::string;

    /// \brief Whether machine \p id had its maintenance for \p wave.
    [[nodiscard]] auto isMaintained(const core::host_id &id, std::int64_t wave) const -> bool;

    /// \brief All machines.
    auto machines() -> std::vector<std::unique_ptr<sim_machine>> &;

    /// \brief What a worker's entry in the store says.
    static auto decodeWorker(std::string_view key, std::string_view value) -> core::result<jobs::worker_entry>;

    host_service_faults hostFaults; ///< What is wrong with the service for hosts.
    bool adviceDown = false; ///< Whether the service for advice answers nobody.
    std::set<core::pool_id> standbyPools; ///< Pools whose machines are off.

private:
    auto machineAt(const std::string &address) -> sim_machine *;
    auto machineOf(const core::host_id &id) -> sim_machine *;
    auto isReached(const sim_machine &machine) const -> bool;
    auto isSound(const sim_machine &machine) const -> bool;
    auto bringUp(sim_machine &machine) -> void;
    auto takeDown(sim_machine &machine) -> void;
    auto writeEntry(sim_machine &machine) -> void;
    auto dropEntry(sim_machine &machine) -> void;
    auto noteAtWork(sim_machine &machine) -> void;
    auto wakeRenewals(sim_machine &machine) -> void;
    auto watchOf(sim_machine &machine) -> fakes::worker_observer;
    auto isGoneLater(const call_fate &fate, const std::string &address) -> std::function<bool()>;
    auto workerFate(const fleet_caller &caller, const std::string &address) -> call_fate;
    auto renew(const host::renewal_call &call, std::function<void(host::renewal_answer)> answer) -> void;
    auto start(const host::worker_target &target, const jobs::start_order &order, std::int64_t deadlineMs)
        -> std::optional<jobs::run_start_answer>;
    auto stop(const host::worker_target &target, const jobs::stop_order &order) -> std::optional<jobs::stop_answer>;
    auto order(const host::host_lease_holder &holder, const capacity::host_order &order, bool inTouch)
        -> capacity::host_order_outcome;
    auto checkHolder(sim_machine &machine, const host::host_lease_holder &holder, bool inTouch) -> void;
    auto checkWave(const sim_machine &machine, std::int64_t wave) -> void;
    auto carryOutOrder(sim_machine &machine, const capacity::host_order &order) -> void;
    auto list() const -> std::vector<capacity::host_entry>;
    auto isGoodTicket(const jobs::start_order &order, const known_job &job, const std::string &worker) const -> bool;

    sim_network &m_network;
    sim_store &m_store;
    rule_checker &m_rules;
    std::vector<std::unique_ptr<sim_machine>> m_machines;
    std::map<std::int64_t, capacity::wave_request> m_waves;
    std::uint64_t m_workerSerial = 0;
    bool m_startInTouch = false; ///< Whether the start that is being carried out came from a process in touch.
};
} // namespace tests::system_sim
