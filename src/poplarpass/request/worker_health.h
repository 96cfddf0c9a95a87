#pragma once

#include <poplarpass/core/string_id.h>
#include <poplarpass/core/time.h>

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace poplarpass::request
{
/// \brief How an attempt ended, for the judgement of its worker.
enum class attempt_result {
    succeeded, ///< It ran to its end.
    job_failed, ///< It ran and failed: by the job's fault or by the worker's.
    worker_failed, ///< The worker broke off, refused the connection or gave no whole answer.
};

/// \brief Whether a worker gets work.
enum class worker_state {
    healthy, ///< It gets work.
    ejected, ///< It gets none for a time.
    probing, ///< It gets one job at a time, as a test.
};

/// \brief Takes workers out that fail what succeeds elsewhere, and tests them again one job at a time.
class worker_health
{
public:
    /// \brief Takes the end of one attempt.
    auto record(const core::host_id &host, const core::work_kind &kind, attempt_result result, core::monotonic_time now)
        -> void;
    /// \brief State of \p host at \p now.
    [[nodiscard]] auto stateOf(const core::host_id &host, core::monotonic_time now) const -> worker_state;
    /// \brief Whether \p host may get a job now.
    [[nodiscard]] auto mayPlace(const core::host_id &host, core::monotonic_time now) const -> bool;
    /// \brief Notes that a job is sent to \p host; a worker under test gets no other before that one ends.
    auto sent(const core::host_id &host, core::monotonic_time now) -> void;
    /// \brief Notes that a start was rejected, which says nothing about the worker's health.
    auto rejected(const core::host_id &host) -> void;
    /// \brief Share of recent attempts that failed by the worker's own fault.
    [[nodiscard]] auto failureRate(const core::host_id &host) const -> double;
    /// \brief Forgets \p host, for instance after a reboot.
    auto forget(const core::host_id &host) -> void;
    /// \brief Sets how many workers there are, so that at most a third of them is taken out.
    auto setWorkerCount(std::size_t count) -> void;
    /// \brief Workers taken out or under test at \p now.
    [[nodiscard]] auto ejectedCount() const -> std::size_t;

private:
    struct host_state
    {
        double failureRate = 0.0;
        int streak = 0;
        int ejections = 0;
        bool out = false;
        bool testing = false;
        core::monotonic_time until;
    };

    struct failed_on
    {
        core::host_id host;
        core::monotonic_time at;
    };

    struct kind_state
    {
        std::vector<failed_on> failures;
        core::monotonic_time succeededAt;
        core::host_id succeededOn;
    };

    [[nodiscard]] auto failsElsewhere(const core::host_id &host, const core::work_kind &kind,
                                      core::monotonic_time now) const -> bool;
    auto noteKind(const core::host_id &host, const core::work_kind &kind, attempt_result result,
                  core::monotonic_time now) -> void;
    auto succeed(host_state &state) -> void;
    auto blame(host_state &state, core::monotonic_time now) -> void;
    auto exonerate(const core::work_kind &kind, core::monotonic_time now) -> void;

    std::unordered_map<core::host_id, host_state> m_hosts;
    std::unordered_map<core::work_kind, kind_state> m_kinds;
    std::size_t m_out = 0;
    std::size_t m_workers = 0;
};
} // namespace poplarpass::request
