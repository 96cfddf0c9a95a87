#include <poplarpass/control/demand_forecast.h>

#include <algorithm>
#include <cassert>
#include <chrono>
#include <cmath>
#include <numeric>
#include <vector>

namespace poplarpass::control
{
namespace
{
auto secondsOf(core::duration length) -> double
{
    return std::chrono::duration<double>{length}.count();
}
} // namespace

demand_forecast::demand_forecast(forecast_settings settings)
    : m_settings{settings}
{
    assert(settings.bucket > core::duration::zero() && settings.bucketCount >= settings.minBuckets);
    assert(settings.quantile > 0.0 && settings.quantile <= 1.0);
}

auto demand_forecast::addDemand(const core::pool_id &pool, double slots, core::monotonic_time now) -> void
{
    const auto [position, isNew] = m_pools.try_emplace(pool);
    auto &history = position->second;
    if (isNew) {
        history.bucketStart = now;
        history.lastReport = now;
    }
    advance(history, now);
    history.lastReport = std::max(history.lastReport, now);
    history.lastSlots = std::max(0.0, slots);
}

auto demand_forecast::expectedSlots(const core::pool_id &pool) const -> std::optional<double>
{
    const auto position = m_pools.find(pool);
    if (position == m_pools.end() || position->second.averages.size() < m_settings.minBuckets) {
        return std::nullopt;
    }
    std::vector<double> sorted{position->second.averages.begin(), position->second.averages.end()};
    const auto rank = std::ceil(m_settings.quantile * static_cast<double>(sorted.size()));
    const auto nth = sorted.begin() + static_cast<std::ptrdiff_t>(std::max(rank, 1.0)) - 1;
    std::ranges::nth_element(sorted, nth);
    return *nth;
}

auto demand_forecast::meanSlots(const core::pool_id &pool) const -> std::optional<double>
{
    const auto position = m_pools.find(pool);
    if (position == m_pools.end() || position->second.averages.empty()) {
        return std::nullopt;
    }
    const auto &averages = position->second.averages;
    return std::accumulate(averages.begin(), averages.end(), 0.0) / static_cast<double>(averages.size());
}

// A report is valid for demandReportTimeout at most. Demand is unknown after that, and the time is left out of
// averages.
auto demand_forecast::advance(pool_history &history, core::monotonic_time now) const -> void
{
    const auto knownUntil = std::min(now, history.lastReport + demandReportTimeout);
    auto from = history.lastReport;
    while (history.bucketStart + m_settings.bucket <= now) {
        const auto end = history.bucketStart + m_settings.bucket;
        const auto length = std::max(core::duration::zero(), std::min(end, knownUntil) - from);
        history.slotSeconds += history.lastSlots * secondsOf(length);
        history.covered += length;
        from = std::max(from, end);
        closeBucket(history);
        history.bucketStart = end;
    }
    const auto rest = std::max(core::duration::zero(), knownUntil - from);
    history.slotSeconds += history.lastSlots * secondsOf(rest);
    history.covered += rest;
}

auto demand_forecast::closeBucket(pool_history &history) const -> void
{
    const bool isKnown = history.covered * 2 >= m_settings.bucket;
    if (isKnown) {
        history.averages.push_back(history.slotSeconds / secondsOf(history.covered));
    }
    if (history.averages.size() > m_settings.bucketCount) {
        history.averages.pop_front();
    }
    history.slotSeconds = 0.0;
    history.covered = core::duration::zero();
}
} // namespace poplarpass::control
