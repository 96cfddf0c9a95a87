#pragma once

#include <poplarpass/core/string_id.h>
#include <poplarpass/core/time.h>

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace poplarpass::request
{
/// \brief Outcome of an attempt, as an indicator of the worker's health.
enum class attempt_result {
    succeeded, ///< The job ran to completion.
    job_failed, ///< The job ran and failed; the cause may be the job or the worker.
    worker_failed, ///< The worker aborted, refused the connection or sent no complete answer.
};

/// \brief Health state of a worker, which decides whether it receives jobs.
enum class health_state {
    healthy, ///< Receives jobs.
    ejected, ///< Receives no jobs until the ejection ends.
    probing, ///< Receives one job at a time, as a probe.
};

/// \brief Ejects workers that repeatedly fail jobs which succeed elsewhere, and probes them again one job at a time.
class worker_health
{
public:
    /// \brief Records the outcome of one attempt.
    auto record(const core::host_id &host, const core::work_kind &kind, attempt_result result, core::monotonic_time now)
        -> void;
    [[nodiscard]] auto stateOf(const core::host_id &host, core::monotonic_time now) const -> health_state;
    /// \brief Returns whether \p host may receive a job now.
    [[nodiscard]] auto mayPlace(const core::host_id &host, core::monotonic_time now) const -> bool;
    /// \brief Records that a job is sent to \p host; a probed worker receives no other job before that one ends.
    auto sent(const core::host_id &host, core::monotonic_time now) -> void;
    /// \brief Records that a start was rejected, which does not affect the worker's health.
    auto rejected(const core::host_id &host) -> void;
    /// \brief Returns the moving average of the share of attempts that failed because of the worker.
    [[nodiscard]] auto failureRate(const core::host_id &host) const -> double;
    /// \brief Discards the state of \p host, for instance after a reboot.
    auto discardHost(const core::host_id &host) -> void;
    /// \brief Sets the number of workers, of which at most a third (but at least one) is ejected; 0 sets no limit.
    auto setWorkerCount(std::size_t count) -> void;
    /// \brief Returns the number of workers that are ejected or probing.
    [[nodiscard]] auto ejectedCount() const -> std::size_t;

private:
    struct host_health
    {
        double failureRate = 0.0;
        int consecutiveFailures = 0;
        int ejections = 0;
        bool isEjected = false;
        bool probeInFlight = false;
        core::monotonic_time ejectedUntil;
    };

    struct kind_failure
    {
        core::host_id host;
        core::monotonic_time at;
    };

    struct kind_state
    {
        std::vector<kind_failure> failures;
        core::monotonic_time succeededAt;
        core::host_id succeededOn;
    };

    [[nodiscard]] auto alsoFailsElsewhere(const core::host_id &host, const core::work_kind &kind,
                                          core::monotonic_time now) const -> bool;
    auto recordKindResult(const core::host_id &host, const core::work_kind &kind, attempt_result result,
                          core::monotonic_time now) -> void;
    auto recordSuccess(host_health &state) -> void;
    auto recordFailure(host_health &state, core::monotonic_time now) -> void;
    auto withdrawFailures(const core::work_kind &kind, core::monotonic_time now) -> void;

    std::unordered_map<core::host_id, host_health> m_hosts;
    std::unordered_map<core::work_kind, kind_state> m_kinds;
    std::size_t m_ejectedCount = 0;
    std::size_t m_workerCount = 0;
};
} // namespace poplarpass::request
