#include <poplarpass/core/rendezvous.h>
#include <poplarpass/jobs/backlog_limit.h>

#include <algorithm>
#include <cmath>

namespace poplarpass::jobs
{
namespace
{
/// \brief Share below which an account counts as having none; avoids a division by zero.
constexpr double minShareCores = 1e-3;

/// \brief Returns up to half of \p delay, spread over identifiers so that refused callers do not retry all at once.
auto jitterFor(const job_id &id, std::int64_t delay) -> std::int64_t
{
    const auto hash = core::stableHash(id.str());
    return static_cast<std::int64_t>(hash % (static_cast<std::uint64_t>(delay) / 2 + 1));
}
} // namespace

auto backlogRetryAfter(const account_backlog &backlog, core::duration objectiveSpan, const job_id &id)
    -> std::optional<std::chrono::seconds>
{
    if (!backlog.isPoolFull || !backlog.isOverShare) {
        return std::nullopt;
    }
    const auto bound = maxBacklogSpans * std::chrono::duration<double>{objectiveSpan}.count();
    const auto drainTime = backlog.waitingCoreSeconds / std::max(backlog.shareCores, minShareCores);
    if (drainTime <= bound) {
        return std::nullopt;
    }
    const auto untilHalf = std::min(std::ceil(drainTime - bound / 2), static_cast<double>(maxBacklogRetry.count()));
    const auto delay = std::max<std::int64_t>(1, static_cast<std::int64_t>(untilHalf));
    return std::chrono::seconds{delay + jitterFor(id, delay)};
}
} // namespace poplarpass::jobs
