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
/// \brief A host process that calls the fleet.
struct fleet_caller
{
    process_port port; ///< Receives the answers.
    std::function<bool()> canReachWorkers; ///< Whether workers are reachable from it.
    std::function<bool()> healthy; ///< Whether its host is healthy.
};

/// \brief Injected faults of the host service.
struct host_service_faults
{
    bool down = false; ///< No call arrives.
    double lostAnswers = 0; ///< Share of orders that are executed but not answered.
};

/// \brief Resources of each machine.
inline constexpr jobs::resources capacityOfMachine{16'000, 32'000, 0};

/// \brief One machine with its pool, its worker and its injected faults. Times are milliseconds since the start.
struct sim_machine
{
    core::host_id id;
    core::pool_id pool;
    std::string rack;
    capacity::host_condition condition = capacity::host_condition::up;
    std::string worker; ///< Identifier of its worker; empty while there is none.
    std::unique_ptr<fakes::worker_model> model;
    std::int64_t unreachableUntil = 0; ///< Cut off from the network until then.
    std::int64_t failingUntil = 0; ///< Runs started before then fail.
    std::int64_t delayedUntil = 0; ///< Some orders are executed late and not answered until then.
    std::int64_t lostAnswersUntil = 0; ///< Some answers are lost until then.
    std::optional<std::int64_t> drainingSince; ///< Time of its drain notice.
    std::int64_t entryWrittenAt = 0; ///< Time of the last write of its entry.
    std::int64_t firstEntryAt = 0; ///< Time of its first entry; the host service lists the worker before that.
    bool hasEntry = false; ///< Whether its entry is in the store.
    std::uint64_t token = 0; ///< Highest fencing token of orders for the machine.
    std::string holder; ///< Holder that sent the last order.
    std::optional<std::int64_t> orderedAt; ///< Time of the last order.
    bool orderedByHealthyHost = false; ///< Whether the host that sent it was healthy.
    std::set<std::int64_t> maintainedWaves; ///< Waves for which it had maintenance.
    std::int64_t activeWave = 0; ///< Wave of the maintenance in progress; 0 if none.

    struct waiting_renewal
    {
        std::string worker;
        bool pending = true;
        std::function<void(host::renewal_answer)> answer;
    };
    std::list<std::shared_ptr<waiting_renewal>> waiting; ///< Long-polling renewals that wait for the end of a run.
};

/// \brief All machines with their workers, the host service and the advice service.
class sim_fleet
{
public:
    sim_fleet(sim_network &network, sim_store &store, rule_checker &rules);

    /// \brief Adds \p count machines to \p pool; machines of a standby pool run no worker.
    auto addMachines(const core::pool_id &pool, int count, bool standby) -> void;

    /// \brief Returns the worker calls of one process.
    auto workersFor(const fleet_caller &caller) -> host::worker_calls;

    /// \brief Returns the host service calls of one process.
    auto hostsFor(const fleet_caller &caller) -> host::host_calls;

    /// \brief Returns the advice service calls of one process.
    auto adviceFor(const process_port &port) -> host::advice_calls;

    /// \brief Advances runs, renews worker entries and expires stale ones.
    auto tick() -> void;

    /// \brief Whether some worker of \p pool may run \p step and has \p need free.
    [[nodiscard]] auto isAllowedAnywhere(const std::string &step, const core::pool_id &pool,
                                         const jobs::resources &need) const -> bool;

    /// \brief Crashes the worker; it restarts under the same or under a new identifier.
    auto crash(sim_machine &machine, bool sameIdentifier) -> void;

    /// \brief Drains the worker: it announces its shutdown and stops some time later.
    auto drain(sim_machine &machine) -> void;

    /// \brief Adds a maintenance wave requested by the operator.
    auto addWave(const capacity::wave_request &wave) -> void;

    /// \brief Returns all requested waves by number.
    [[nodiscard]] auto waves() const -> const std::map<std::int64_t, capacity::wave_request> &;

    /// \brief Returns the machines that still lack maintenance, with their waves, as text.
    [[nodiscard]] auto unmaintainedHosts() const -> std::string;

    /// \brief Whether machine \p id had maintenance for \p wave.
    [[nodiscard]] auto isMaintained(const core::host_id &id, std::int64_t wave) const -> bool;

    auto machines() -> std::vector<std::unique_ptr<sim_machine>> &;

    /// \brief Decodes a worker's entry in the store.
    static auto decodeWorkerEntry(std::string_view key, std::string_view value) -> core::result<jobs::worker_entry>;

    host_service_faults hostFaults; ///< Injected faults of the host service.
    bool adviceDown = false; ///< Whether the advice service is unreachable.
    std::set<core::pool_id> standbyPools; ///< Pools whose machines run no worker.

private:
    auto machineAt(const std::string &address) -> sim_machine *;
    auto machineOf(const core::host_id &id) -> sim_machine *;
    auto isReachable(const sim_machine &machine) const -> bool;
    auto isOperational(const sim_machine &machine) const -> bool;
    auto startWorker(sim_machine &machine) -> void;
    auto stopWorker(sim_machine &machine) -> void;
    auto writeEntry(sim_machine &machine) -> void;
    auto removeEntry(sim_machine &machine) -> void;
    auto recordAvailableTasks(sim_machine &machine) -> void;
    auto answerRenewals(sim_machine &machine) -> void;
    auto makeObserver(sim_machine &machine) -> fakes::worker_observer;
    auto makeRestartCheck(const call_delivery &delivery, const std::string &address) -> std::function<bool()>;
    auto workerDelivery(const fleet_caller &caller, const std::string &address) -> call_delivery;
    auto renew(const host::renewal_call &call, std::function<void(host::renewal_answer)> answer) -> void;
    auto start(const host::worker_target &target, const jobs::start_order &order, std::int64_t deadlineMs)
        -> std::optional<jobs::run_start_answer>;
    auto stop(const host::worker_target &target, const jobs::stop_order &order) -> std::optional<jobs::stop_answer>;
    auto order(const host::host_lease_holder &holder, const capacity::host_order &order, bool healthy)
        -> capacity::host_order_outcome;
    auto checkHolder(sim_machine &machine, const host::host_lease_holder &holder, bool healthy) -> void;
    auto checkWave(const sim_machine &machine, std::int64_t wave) -> void;
    auto executeOrder(sim_machine &machine, const capacity::host_order &order) -> void;
    auto list() const -> std::vector<capacity::host_entry>;
    auto isValidTicket(const jobs::start_order &order, const tracked_job &job, const std::string &worker) const -> bool;

    sim_network &m_network;
    sim_store &m_store;
    rule_checker &m_rules;
    std::vector<std::unique_ptr<sim_machine>> m_machines;
    std::map<std::int64_t, capacity::wave_request> m_waves;
    std::uint64_t m_workerSerial = 0;
    bool m_startFromHealthyHost = false; ///< Whether the start being executed came, without delay, from a healthy host.
};
} // namespace tests::system_sim
