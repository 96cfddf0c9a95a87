#pragma once

#include <poplarpass/core/string_id.h>
#include <poplarpass/core/time.h>

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace poplarpass::request
{
/// \brief What is expected of one job.
struct work_estimate
{
    core::duration typical{}; ///< Run time that half of the jobs of its kind stay under.
    core::duration high{}; ///< Run time that nearly all jobs of its kind stay under.
    int cores = 1; ///< Size to place it by.
    int memoryMb = 0; ///< Size to place it by.
    bool learnt = false; ///< Whether this rests on earlier jobs, not on the declaration.
};

/// \brief Learns run times and sizes by kind of work, since the declared ones are often far off.
class work_estimator
{
public:
    /// \brief Estimate for a job of \p kind with the declared figures.
    [[nodiscard]] auto estimate(const core::work_kind &kind, core::duration declaredRunTime, int declaredCores,
                                int declaredMemoryMb) const -> work_estimate;
    /// \brief Learns from a job that ran to its end.
    auto learnRunTime(const core::work_kind &kind, core::duration runTime) -> void;
    /// \brief Learns that a job of \p kind needed that size.
    auto learnSize(const core::work_kind &kind, int cores, int memoryMb) -> void;
    /// \brief Kinds known.
    [[nodiscard]] auto size() const -> std::size_t;

private:
    struct learnt_kind
    {
        double logMedian = 0.0;
        double logHigh = 0.0;
        int samples = 0;
        int cores = 0;
        int memoryMb = 0;
        std::uint64_t usedAt = 0;
    };

    auto entryOf(const core::work_kind &kind) -> learnt_kind &;
    auto dropOldest() -> void;

    std::unordered_map<core::work_kind, learnt_kind> m_kinds;
    std::uint64_t m_uses = 0;
};
} // namespace poplarpass::request
