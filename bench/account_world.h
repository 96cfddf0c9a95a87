#pragma once

#include <poplarpass/jobs.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bench
{
/// \brief Processor time and starts of an engine.
struct engine_usage
{
    std::chrono::nanoseconds busy{0}; ///< Time spent in the engine.
    std::uint64_t starts = 0; ///< Starts that were decided.
};

/// \brief A job engine alone with five pools whose jobs belong to many accounts, on a stepped clock.
///
/// The first account submits a third of all jobs, the others the rest in turn.
class account_world
{
public:
    /// \param accounts number of configured accounts; 0 for none
    account_world(int workers, int accounts);

    /// \brief Submits \p count jobs at once.
    auto submit(std::size_t count) -> void;

    /// \brief Plays \p time with \p jobsPerSecond new jobs a second.
    auto run(std::chrono::milliseconds time, double jobsPerSecond) -> void;

    /// \brief Returns the processor time and the starts so far.
    [[nodiscard]] auto usage() const -> engine_usage;

private:
    struct sim_worker
    {
        poplarpass::jobs::worker_id id;
        std::map<std::string, std::pair<std::uint32_t, std::int64_t>> running; ///< Run and its end by task.
        std::uint64_t lastEnd = 0;
        std::int64_t reportedMs = 0;
    };

    auto step(double jobsPerSecond) -> void;
    auto reportOf(sim_worker &worker) const -> poplarpass::jobs::renewal_report;
    auto nextAccount() -> poplarpass::jobs::account_id;
    [[nodiscard]] auto now() const -> poplarpass::core::monotonic_time;
    [[nodiscard]] auto wallNow() const -> poplarpass::core::wall_time;

    poplarpass::jobs::job_engine m_engine{nullptr};
    std::vector<sim_worker> m_workers;
    std::map<poplarpass::jobs::worker_id, std::size_t> m_positions;
    int m_accounts = 0;
    std::int64_t m_nowMs = 0;
    double m_dueJobs = 0;
    std::uint64_t m_jobs = 0;
    std::uint64_t m_refusals = 0;
    std::chrono::nanoseconds m_busy{0};
};
} // namespace bench
