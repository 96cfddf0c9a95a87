#pragma once

#include <poplarpass/control/constants.h>
#include <poplarpass/core/string_id.h>
#include <poplarpass/core/time.h>

#include <cstddef>
#include <deque>
#include <map>
#include <optional>

namespace poplarpass::control
{
/// \brief Parameters of the demand forecast.
struct forecast_settings
{
    core::duration bucket = demandBucket; ///< Bucket length; averaging over it smooths surges of a few seconds.
    std::size_t bucketCount = demandBucketCount; ///< Number of bucket averages in the history.
    std::size_t minBuckets = demandMinBuckets; ///< Minimum number of bucket averages for a forecast.
    double quantile = demandQuantile; ///< Quantile of the bucket averages that the forecast returns.
};

/// \brief Forecasts the slots that each pool needs from its past demand.
///
/// Demand counts running and queued work, so that a full pool does not hide its unmet demand.
/// \sa move_planner
class demand_forecast
{
public:
    explicit demand_forecast(forecast_settings settings = {});

    /// \brief Records that \p pool needs \p slots slots from \p now until the next report.
    auto addDemand(const core::pool_id &pool, double slots, core::monotonic_time now) -> void;

    /// \brief Returns the forecast need of \p pool in slots, or none while there is too little history.
    [[nodiscard]] auto expectedSlots(const core::pool_id &pool) const -> std::optional<double>;

    /// \brief Returns the mean demand of \p pool in slots over the history, or none without history.
    [[nodiscard]] auto meanSlots(const core::pool_id &pool) const -> std::optional<double>;

private:
    struct pool_history
    {
        core::monotonic_time bucketStart{};
        core::monotonic_time lastReport{};
        double lastSlots = 0.0;
        double slotSeconds = 0.0; ///< Integral of the demand over the open bucket.
        core::duration covered{}; ///< Part of the open bucket for which demand is known.
        std::deque<double> averages; ///< Closed buckets, oldest first.
    };

    auto advance(pool_history &history, core::monotonic_time now) const -> void;
    auto closeBucket(pool_history &history) const -> void;

    forecast_settings m_settings;
    std::map<core::pool_id, pool_history> m_pools;
};
} // namespace poplarpass::control
