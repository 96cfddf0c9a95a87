#include <poplarpass/request/constants.h>
#include <poplarpass/request/work_estimator.h>

#include <algorithm>
#include <cmath>

namespace poplarpass::request
{
namespace
{
constexpr double highQuantile = 0.95;
constexpr double initialStep = 0.7;
constexpr double minStep = 0.05;

auto toLog(core::duration time) -> double
{
    return std::log(static_cast<double>(std::max<core::duration::rep>(1, time.count())));
}

auto fromLog(double value) -> core::duration
{
    return core::duration{static_cast<core::duration::rep>(std::exp(value))};
}

// Stochastic quantile update. The step shrinks with the number of samples and does not depend on the sample's distance,
// so outliers move the estimate no further than other samples.
auto updateQuantile(double estimate, double sample, double quantile, double step) -> double
{
    return sample > estimate ? estimate + step * quantile : estimate - step * (1.0 - quantile);
}
} // namespace

auto work_estimator::estimate(const core::work_kind &kind, core::duration declaredRunTime, int declaredCores,
                              int declaredMemoryMb) const -> work_estimate
{
    work_estimate result{declaredRunTime, declaredRunTime, declaredCores, declaredMemoryMb, false};
    const auto found = m_kinds.find(kind);
    if (found == m_kinds.end()) {
        return result;
    }
    const auto &statistics = found->second;
    result.cores = std::max(declaredCores, statistics.cores);
    result.memoryMb = std::max(declaredMemoryMb, statistics.memoryMb);
    if (statistics.samples >= minRunTimeSamples) {
        result.typical = fromLog(statistics.logMedian);
        result.high = fromLog(std::max(statistics.logMedian, statistics.logHigh));
        result.observed = true;
    }
    return result;
}

auto work_estimator::recordRunTime(const core::work_kind &kind, core::duration runTime) -> void
{
    auto &statistics = statisticsOf(kind);
    const auto sample = toLog(runTime);
    ++statistics.samples;
    if (statistics.samples == 1) {
        statistics.logMedian = sample;
        statistics.logHigh = sample;
        return;
    }
    const auto step = std::max(minStep, initialStep / std::sqrt(static_cast<double>(statistics.samples)));
    statistics.logMedian = updateQuantile(statistics.logMedian, sample, 0.5, 2.0 * step);
    statistics.logHigh = updateQuantile(statistics.logHigh, sample, highQuantile, 2.0 * step);
}

auto work_estimator::recordSize(const core::work_kind &kind, int cores, int memoryMb) -> void
{
    auto &statistics = statisticsOf(kind);
    statistics.cores = std::max(statistics.cores, cores);
    statistics.memoryMb = std::max(statistics.memoryMb, memoryMb);
}

auto work_estimator::size() const -> std::size_t
{
    return m_kinds.size();
}

auto work_estimator::statisticsOf(const core::work_kind &kind) -> kind_statistics &
{
    auto &statistics = m_kinds[kind];
    statistics.lastUse = ++m_useCount;
    if (m_kinds.size() > maxTrackedKinds) {
        evictLeastRecentlyUsed();
    }
    return m_kinds[kind];
}

auto work_estimator::evictLeastRecentlyUsed() -> void
{
    const auto oldest = std::ranges::min_element(
        m_kinds, [](const auto &left, const auto &right) { return left.second.lastUse < right.second.lastUse; });
    m_kinds.erase(oldest);
}
} // namespace poplarpass::request
