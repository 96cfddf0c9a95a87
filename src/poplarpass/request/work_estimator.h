#pragma once

#include <poplarpass/core/string_id.h>
#include <poplarpass/core/time.h>

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace poplarpass::request
{
/// \brief Expected run time and size of one job.
struct work_estimate
{
    core::duration typical{}; ///< Median run time of its kind of work.
    core::duration high{}; ///< 95th percentile of the run time of its kind of work.
    int cores = 1; ///< Processor cores to place it by.
    int memoryMb = 0; ///< Memory in MB to place it by.
    bool observed = false; ///< Whether the run times come from earlier jobs instead of the declaration.
};

/// \brief Estimates run times and sizes by kind of work from earlier jobs, since declared ones are often far off.
class work_estimator
{
public:
    /// \brief Returns the estimate for a job of \p kind; the declared size is a lower bound.
    [[nodiscard]] auto estimate(const core::work_kind &kind, core::duration declaredRunTime, int declaredCores,
                                int declaredMemoryMb) const -> work_estimate;
    /// \brief Records the run time of a job that ran to completion.
    auto recordRunTime(const core::work_kind &kind, core::duration runTime) -> void;
    /// \brief Records that a job of \p kind needed that size.
    auto recordSize(const core::work_kind &kind, int cores, int memoryMb) -> void;
    /// \brief Returns the number of kinds of work with statistics.
    [[nodiscard]] auto size() const -> std::size_t;

private:
    struct kind_statistics
    {
        double logMedian = 0.0;
        double logHigh = 0.0;
        int samples = 0;
        int cores = 0;
        int memoryMb = 0;
        std::uint64_t lastUse = 0;
    };

    auto statisticsOf(const core::work_kind &kind) -> kind_statistics &;
    auto evictLeastRecentlyUsed() -> void;

    std::unordered_map<core::work_kind, kind_statistics> m_kinds;
    std::uint64_t m_useCount = 0;
};
} // namespace poplarpass::request
