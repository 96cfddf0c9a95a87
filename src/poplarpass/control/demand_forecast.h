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
/// \brief How demand is turned into a forecast.
struct forecast_settings
{
    core::duration bucket = demandBucket; ///< Demand is averaged over this long, which absorbs surges of seconds.
    std::size_t bucketCount = demandBucketCount; ///< Averages that the forecast looks back over.
    std::size_t minBuckets = demandMinBuckets; ///< Averages that it needs before it says anything.
    double quantile = demandQuantile; ///< Share of the averages that the forecast covers.
};

/// \brief Forecasts the slots that each pool's work needs, from the demand that was seen.
///
/// Demand counts running and waiting work, so that a full pool does not hide what it turns away.
/// \sa move_planner
class demand_forecast
{
public:
    explicit demand_forecast(forecast_settings settings = {});

    /// \brief Takes in that the work of \p pool needs \p slots from \p now on, until the next report.
    auto onDemand(const core::pool_id &pool, double slots, core::monotonic_time now) -> void;

    /// \brief Slots that the work of \p pool is expected to need at most; none before there is enough history.
    [[nodiscard]] auto expectedSlots(const core::pool_id &pool) const -> std::optional<double>;

    /// \brief Average demand of \p pool over the history, if there is any.
    [[nodiscard]] auto meanSlots(const core::pool_id &pool) const -> std::optional<double>;

private:
    struct pool_history
    {
        core::monotonic_time bucketStart{};
        core::monotonic_time lastReport{};
        double lastSlots = 0.0;
        double slotSeconds = 0.0; ///< Demand summed over the open bucket.
        core::duration covered{}; ///< Part of the open bucket for which demand is known.
        std::deque<double> averages; ///< Closed buckets, oldest first.
    };

    auto advance(pool_history &history, core::monotonic_time now) const -> void;
    auto closeBucket(pool_history &history) const -> void;

    forecast_settings m_settings;
    std::map<core::pool_id, pool_history> m_pools;
};
} // namespace poplarpass::control
