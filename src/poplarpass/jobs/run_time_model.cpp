#include <poplarpass/jobs/run_time_model.h>

#include <algorithm>
#include <cmath>

namespace poplarpass::jobs
{
namespace
{
/// \brief Weight that a run keeps with each later run, so that a change of the work is learnt within some thousand
/// runs.
constexpr double retention = 0.9995;
/// \brief Runs that the declared run times weigh as much as; tasks of one job resemble each other.
constexpr double declaredWeight = 100;
/// \brief Variance of the logarithm of declared run times that is assumed for declaredWeight runs.
constexpr double declaredVariance = 0.25;
/// \brief A declared run time further from the mean, in standard deviations of the logarithm, counts as this far.
constexpr double maxDeviation = 3;

auto logOf(std::chrono::milliseconds time) -> double
{
    return std::log(static_cast<double>(std::max<std::chrono::milliseconds::rep>(time.count(), 1)));
}
} // namespace

auto declaredRunTime(const queue_id & /*queue*/, const step_spec &step) -> std::chrono::milliseconds
{
    return step.estimate;
}

// Updates the moments by one run, after Welford; earlier runs lose weight.
auto run_time_model::learn(const queue_id &queue, std::chrono::milliseconds declared, core::duration actual) -> void
{
    auto &learnt = m_queues[queue];
    auto &sums = learnt.sums;
    const auto x = logOf(declared);
    const auto y = logOf(std::chrono::duration_cast<std::chrono::milliseconds>(actual));
    sums.weight = sums.weight * retention + 1;
    const auto offsetX = x - sums.meanX;
    const auto offsetY = y - sums.meanY;
    sums.meanX += offsetX / sums.weight;
    sums.meanY += offsetY / sums.weight;
    sums.varianceX = sums.varianceX * retention + offsetX * (x - sums.meanX);
    sums.varianceY = sums.varianceY * retention + offsetY * (y - sums.meanY);
    sums.covariance = sums.covariance * retention + offsetX * (y - sums.meanY);
    learnt.trend = trendFrom(sums);
    learnt.maxOffset = maxDeviation * std::sqrt(sums.varianceX / sums.weight);
}

// A linear regression of the logarithms, whose slope is pulled towards 1: declared run times count as declaredWeight
// runs that took as long as declared.
auto run_time_model::trendFrom(const moments &sums) -> run_time_trend
{
    const auto declaredSum = declaredWeight * declaredVariance;
    const auto slope = std::clamp((sums.covariance + declaredSum) / (sums.varianceX + declaredSum), 0.0, 1.0);
    const auto residual = sums.varianceY - 2 * slope * sums.covariance + slope * slope * sums.varianceX;
    run_time_trend trend;
    trend.runs = sums.weight;
    trend.share = sums.weight / (sums.weight + declaredWeight);
    trend.trust = 1 - trend.share * (1 - slope);
    trend.spread = std::sqrt(std::max(residual, 0.0) / (sums.weight + declaredWeight));
    trend.ratio = std::exp(trend.share * (sums.meanY - sums.meanX + trend.spread * trend.spread / 2));
    return trend;
}

auto run_time_model::trends() const -> std::map<queue_id, run_time_trend>
{
    std::map<queue_id, run_time_trend> all;
    for (const auto &[queue, learnt] : m_queues) {
        all.emplace(queue, learnt.trend);
    }
    return all;
}

auto run_time_model::trendOf(const queue_id &queue) const -> run_time_trend
{
    const auto found = m_queues.find(queue);
    return found == m_queues.end() ? run_time_trend{} : found->second.trend;
}

auto run_time_model::expected(const queue_id &queue, std::chrono::milliseconds declared) const
    -> std::chrono::milliseconds
{
    const auto found = m_queues.find(queue);
    if (found == m_queues.end() || declared.count() <= 0) {
        return declared;
    }
    const auto &[sums, trend, maxOffset] = found->second;
    const auto offset = logOf(declared) - sums.meanX;
    const auto excess = offset - std::clamp(offset, -maxOffset, maxOffset);
    const auto expected = std::exp(sums.meanX + trend.trust * (offset - trend.share * excess)) * trend.ratio;
    return std::chrono::milliseconds{std::max<std::int64_t>(std::llround(expected), 1)};
}
} // namespace poplarpass::jobs
