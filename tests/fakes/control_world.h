#pragma once

#include "event_queue.h"

#include <poplarpass/config/calendar.h>
#include <poplarpass/control.h>
#include <poplarpass/core.h>
#include <poplarpass/platform.h>
#include <poplarpass/replication/fleet_state.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

/// Simulation of control processes with a fake log and fake workers on a simulated clock.
namespace fakes
{
using namespace poplarpass;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// \brief Parameters of the simulation; all random choices derive from the seed.
struct world_settings
{
    std::uint64_t seed = 1;
    int controls = 3;
    int entries = 2;
    core::duration tick = milliseconds{100};
    core::duration latency = milliseconds{5}; ///< Maximum delay of a message.
    core::duration reboot = seconds{8};
    core::duration longestJob = seconds{3};
    config::fleet_config config;
    std::vector<platform::listed_host> hosts;
    control::wave_policy drains; ///< leastLossPolicy() if empty.
    std::function<control::move_policy()> moves; ///< Creates the policy of each process; no moves if empty.
};

/// \brief Simulated worker.
struct fake_worker
{
    platform::listed_host listed;
    core::pool_id pool;
    std::uint64_t generation = 0;
    std::uint64_t bootId = 1;
    std::uint64_t highestEpoch = 0;
    bool dead = false; ///< Down without a plan.
    bool draining = false;
    core::monotonic_time changeStart{}; ///< When the latest drain or leave of its host was accepted.
    core::monotonic_time restartedAt{}; ///< Latest unplanned restart.
    core::monotonic_time upAt{}; ///< End of the latest planned reboot.
    std::vector<core::monotonic_time> jobs; ///< End times of the running jobs.
    std::map<std::uint64_t, core::monotonic_time> grants; ///< Grant times of the leases by id.
};

class control_world;

/// \brief Control process that runs the production decision logic against the fake log and workers, which may fail.
class sim_control_process
{
public:
    sim_control_process(control_world &world, core::member_id name, std::uint64_t incarnation);

    auto tick() -> void;
    [[nodiscard]] auto localNow() const -> core::monotonic_time;
    [[nodiscard]] auto mayAct() const -> bool;

    core::member_id name;
    std::uint64_t incarnation;
    core::monotonic_time frozenUntil{};
    bool isLogUnreachable = false;
    bool areWorkersUnreachable = false;
    core::duration wallOffset{}; ///< Sum of the injected steps of the wall clock.
    core::duration clockStart{}; ///< Initial value of its monotonic clock.
    int clockPpm = 0; ///< Rate error of its monotonic clock in parts per million; positive if fast.
    replication::fleet_state state;

private:
    friend class control_world;
    auto read() -> void;
    auto applyPage(core::monotonic_time startedAt, std::uint64_t from) -> void;
    auto append(const control::append_request &request, bool isForRole) -> void;
    auto act() -> void;
    auto probe() -> void;
    auto sendOrder(const control::order_action &action) -> void;

    control_world &m_world;
    control::role_manager m_role;
    control::host_controller m_hosts;
    bool m_reading = false;
    bool m_acted = false;
    core::monotonic_time m_probedAt{};
    core::monotonic_time m_decidedAt{};
    std::vector<control::host_contact> m_contacts;
    std::vector<control::order_outcome> m_outcomes;
};

/// \brief Entry process that acquires leases and starts jobs by the state it last read, which may be stale.
struct fake_entry
{
    replication::fleet_state state;
    core::monotonic_time frozenUntil{};
    bool isLogUnreachable = false;
    struct grant
    {
        core::host_id host;
        core::pool_id pool;
        std::uint64_t generation = 0;
        std::uint64_t id = 0;
    };
    std::deque<grant> grants;
};

/// \brief Simulation of the log, the workers and all processes, with injected faults.
class control_world
{
public:
    explicit control_world(world_settings settings);

    auto step() -> void; ///< Advances the simulation by one tick.
    auto run(core::duration length) -> void;
    auto kill(std::size_t process) -> void; ///< Terminates a process and starts a new incarnation of it.
    auto startWave(const std::string &wave) -> void;
    auto pauseWave(const std::string &wave, bool pause) -> void;
    [[nodiscard]] auto holder() const -> sim_control_process *; ///< Process that may act as the holder, or null.
    [[nodiscard]] auto isWaveFinished(const std::string &wave) const -> bool;
    [[nodiscard]] auto isSettled() const -> bool; ///< Whether every host serves, both in the log and at its worker.
    [[nodiscard]] auto isUp(const fake_worker &worker) const -> bool;
    [[nodiscard]] auto wallNow() const -> core::wall_time;
    auto random(std::int64_t below) -> std::int64_t;
    auto write(const core::record_id &id, const replication::record &change)
        -> bool; ///< Returns whether it was accepted.

    std::vector<std::unique_ptr<sim_control_process>> processes;
    std::vector<fake_entry> entries;
    std::map<core::host_id, fake_worker> workers;
    std::vector<std::pair<core::record_id, replication::record>> log;
    replication::fleet_state committedState; ///< Fold of the whole log; processes may lag behind it.
    core::monotonic_time now{seconds{1000}};
    bool logDown = false;
    core::duration logDelay{}; ///< Maximum additional delay of the log.
    int lostAnswerPercent = 0; ///< Percentage of appends and orders whose answer is lost although they take effect.
    std::vector<std::string> breaches;
    std::function<void(const replication::record &)> onAccepted; ///< Called after each accepted record.
    std::uint64_t moves = 0;
    std::uint64_t starts = 0;

private:
    friend class sim_control_process;
    auto delay(core::duration extra = {}) -> core::duration;
    auto deliver(const std::weak_ptr<bool> &alive, sim_control_process &to, std::function<void()> action) -> void;
    auto handleOrder(fake_worker &worker, const platform::order_request &request)
        -> core::result<platform::order_response>;
    auto tickWorkers() -> void;
    auto tickEntry(fake_entry &entry) -> void;
    auto startJob(fake_entry &entry) -> void;
    auto check() -> void;
    auto checkChange(const replication::host_record &change) -> void;
    auto checkRequiredCapacity(const config::pool &pool) -> void;
    auto recordBreach(std::string text) -> void;

    world_settings m_settings;
    std::mt19937_64 m_random;
    event_queue m_events;
    std::uint64_t m_nextGrant = 0;
    std::uint64_t m_incarnation = 0;
    std::map<const sim_control_process *, std::shared_ptr<bool>> m_alive;
};

/// \brief Returns pools of \p perPool hosts each over \p zones availability zones, four hosts to a rack; the last pool
/// is the spare.
auto makeHosts(int pools, int perPool, int zones) -> std::vector<platform::listed_host>;

/// \brief Returns a configuration for makeHosts() in which each pool needs \p demandSlots and may lose \p maxLost of \p
/// domain.
auto makeConfig(int pools, int demandSlots, config::loss_domain domain, int maxLost, int maxOut)
    -> config::fleet_config;
} // namespace fakes
