#include <poplarpass/request/constants.h>
#include <poplarpass/request/work_estimator.h>

#include <algorithm>
#include <cmath>

namespace poplarpass::request
{
namespace
{
constexpr double highQuantile = 0.95;
constexpr double firstStep = 0.7;
constexpr double smallestStep = 0.05;

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
auto moveQuantile(double estimate, double sample, double quantile, double step) -> double
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
    const auto &known = found->second;
    result.cores = std::max(declaredCores, known.cores);
    result.memoryMb = std::max(declaredMemoryMb, known.memoryMb);
    if (known.samples >= samplesToTrust) {
        result.typical = fromLog(known.logMedian);
        result.high = fromLog(std::max(known.logMedian, known.logHigh));
        result.learnt = true;
    }
    return result;
}

auto work_estimator::learnRunTime(const core::work_kind &kind, core::duration runTime) -> void
{
    auto &known = entryOf(kind);
    const auto sample = toLog(runTime);
    ++known.samples;
    if (known.samples == 1) {
        known.logMedian = sample;
        known.logHigh = sample;
        return;
    }
    const auto step = std::max(smallestStep, firstStep / std::sqrt(static_cast<double>(known.samples)));
    known.logMedian = moveQuantile(known.logMedian, sample, 0.5, 2.0 * step);
    known.logHigh = moveQuantile(known.logHigh, sample, highQuantile, 2.0 * step);
}

auto work_estimator::learnSize(const core::work_kind &kind, int cores, int memoryMb) -> void
{
    auto &known = entryOf(kind);
    known.cores = std::max(known.cores, cores);
    known.memoryMb = std::max(known.memoryMb, memoryMb);
}

auto work_estimator::size() const -> std::size_t
{
    return m_kinds.size();
}

auto work_estimator::entryOf(const core::work_kind &kind) -> learnt_kind &
{
    auto &known = m_kinds[kind];
    known.usedAt = ++m_uses;
    if (m_kinds.size() > maxLearntKinds) {
        dropOldest();
    }
    return m_kinds[kind];
}

auto work_estimator::dropOldest() -> void
{
    const auto oldest = std::ranges::min_element(
        m_kinds, [](const auto &left, const auto &right) { return left.second.usedAt < right.second.usedAt; });
    m_kinds.erase(oldest);
}
} // namespace poplarpass::request
