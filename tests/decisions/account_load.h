#pragma once

#include "jobs_fixture.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace tests
{
/// \brief A job of a played load: one step of equal tasks.
struct load_job
{
    std::string account;
    std::int64_t submittedMs = 0;
    std::uint32_t tasks = 1;
    std::int64_t cpu = 1000;
    std::int64_t runMs = 500;
    bool gang = false;
};

/// \brief What a caller got for a job.
struct load_result
{
    load_job job;
    std::int64_t tookMs = -1; ///< Time from submission to completion; -1 when it did not complete.
    bool inTime = false; ///< Whether it met its objective.
    bool refused = false; ///< Whether it was refused for its account's backlog.
};

/// \brief Plays loads of several accounts through a real engine on a stepped clock.
class account_load
{
public:
    explicit account_load(int workers);

    /// \brief Sets the configured accounts, name and weight each.
    auto setAccounts(const std::map<std::string, double> &weights) -> void;

    /// \brief Sets whether submissions are refused for their account's backlog.
    auto setLimited(bool limited) -> void;

    /// \brief Plays \p load, which need not be in order, until \p endMs.
    /// \returns results in the order of submission
    auto play(std::vector<load_job> load, std::int64_t endMs) -> std::vector<load_result>;

    /// \brief Returns the processor time that runs of \p account used between two times of the last play, core
    /// milliseconds.
    [[nodiscard]] auto usedBetween(const std::string &account, std::int64_t fromMs, std::int64_t toMs) const -> double;

    /// \brief Returns the engine.
    auto engine() -> jobs_fixture::jobs::job_engine &;

private:
    struct sim_run
    {
        std::uint32_t run = 0;
        std::int64_t endsMs = 0;
    };

    struct sim_worker
    {
        std::map<std::string, sim_run> running;
        std::uint64_t lastEnd = 0;
    };

    auto submit(std::size_t number, std::int64_t nowMs) -> void;
    auto reportAll(std::int64_t nowMs) -> void;
    auto startAll(std::int64_t nowMs) -> void;
    auto recordUse(std::int64_t nowMs) -> void;
    auto collectEnded(std::int64_t nowMs) -> void;

    jobs_fixture::jobs::job_engine m_engine;
    std::map<std::string, sim_worker> m_workers;
    std::vector<load_result> m_results;
    std::vector<std::size_t> m_open;
    std::vector<std::pair<std::int64_t, std::map<std::string, double>>> m_use;
    bool m_isLimited = false;
};
} // namespace tests
