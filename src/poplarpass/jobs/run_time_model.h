#pragma once

#include <poplarpass/core/time.h>
#include <poplarpass/jobs/job_spec.h>

#include <chrono>
#include <functional>
#include <map>

namespace poplarpass::jobs
{
/// \brief Returns the expected run time of a task of a step of a queue.
using run_time_hook = std::function<std::chrono::milliseconds(const queue_id &, const step_spec &)>;

/// \brief Returns the run time that the caller declared for a task of \p step.
auto declaredRunTime(const queue_id &queue, const step_spec &step) -> std::chrono::milliseconds;

/// \brief Relation between declared and actual run times, for logs.
struct run_time_trend
{
    double trust = 1; ///< Exponent of the declared run time: 1 when it is taken as declared, 0 when it says nothing.
    double ratio = 1; ///< Mean of actual over expected declared run time, at the mean of the declared ones.
    double spread = 0; ///< Standard deviation of the logarithm of the actual run time around the expected one.
    double share = 0; ///< Weight of the learnt relation against the declared run times.
    double runs = 0; ///< Runs learnt from, older ones weighted less.
};

/// \brief Expects run times from the declared ones and from the runs that have ended, by queue.
class run_time_model
{
public:
    /// \brief Learns from a complete run of a task that was declared to take \p declared and took \p actual.
    auto learn(const queue_id &queue, std::chrono::milliseconds declared, core::duration actual) -> void;

    /// \brief Returns the expected run time of a task that is declared to take \p declared.
    [[nodiscard]] auto expected(const queue_id &queue, std::chrono::milliseconds declared) const
        -> std::chrono::milliseconds;

    /// \brief Returns what was learnt about each queue with ended runs.
    [[nodiscard]] auto trends() const -> std::map<queue_id, run_time_trend>;

    /// \brief Returns what was learnt about \p queue.
    [[nodiscard]] auto trendOf(const queue_id &queue) const -> run_time_trend;

private:
    /// \brief Weighted moments of the logarithms of declared (x) and actual (y) run times.
    struct moments
    {
        double weight = 0;
        double meanX = 0;
        double meanY = 0;
        double varianceX = 0; ///< Sum of squared deviations, as the next two.
        double varianceY = 0;
        double covariance = 0;
    };

    /// \brief What is known about the runs of one queue.
    struct learnt_queue
    {
        moments sums;
        run_time_trend trend; ///< Of sums.
        double maxOffset = 0; ///< Bound on how far a declared run time counts as off the mean, in logarithms.
    };

    static auto trendFrom(const moments &sums) -> run_time_trend;

    std::map<queue_id, learnt_queue> m_queues;
};
} // namespace poplarpass::jobs
