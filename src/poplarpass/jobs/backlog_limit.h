#pragma once

#include <poplarpass/jobs/job_spec.h>

#include <optional>

namespace poplarpass::jobs
{
/// \brief Waiting work of an account in a pool when it submits a job.
struct account_backlog
{
    bool isPoolFull = false; ///< Whether tasks wait that the pool has no room for.
    bool isOverShare = false; ///< Whether the account uses at least its share of the pool.
    double waitingCoreSeconds = 0; ///< Estimated processor time of its tasks that wait, core seconds.
    double shareCores = 0; ///< Processor time that its share provides, cores.
};

/// \brief A backlog may take this many times the span from acceptance to the objective of the submitted job.
inline constexpr double maxBacklogSpans = 3.0;
/// \brief A backlog may take at least this long: a job that starts late is of more use to its caller than a refusal.
inline constexpr std::chrono::seconds minBacklogBound{60};
/// \brief Time after which a refused caller is told to retry, before jitter: half of the smallest bound has drained.
inline constexpr std::chrono::seconds backlogRetry{30};

/// \brief Decides whether an account with \p backlog may add the job \p id.
/// \param objectiveSpan time from the acceptance of the job to its objective
/// \returns time after which to retry when it is refused; nothing when it may be accepted
auto backlogRetryAfter(const account_backlog &backlog, core::duration objectiveSpan, const job_id &id)
    -> std::optional<std::chrono::seconds>;
} // namespace poplarpass::jobs
