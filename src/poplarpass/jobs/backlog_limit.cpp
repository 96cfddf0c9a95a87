#include <poplarpass/core/rendezvous.h>
#include <poplarpass/jobs/backlog_limit.h>

#include <algorithm>

namespace poplarpass::jobs
{
namespace
{
/// \brief Share below which an account counts as having none; avoids a division by zero.
constexpr double minShareCores = 1e-3;

/// \brief Returns up to half of backlogRetry, spread over identifiers so that refused callers do not retry all at once.
auto jitterFor(const job_id &id) -> std::chrono::seconds
{
    const auto hash = core::stableHash(id.str());
    return std::chrono::seconds{static_cast<std::int64_t>(hash % (backlogRetry.count() / 2 + 1))};
}
} // namespace

auto backlogRetryAfter(const account_backlog &backlog, core::duration objectiveSpan, const job_id &id)
    -> std::optional<std::chrono::seconds>
{
    if (!backlog.isPoolFull || !backlog.isOverShare) {
        return std::nullopt;
    }
    const auto spans = maxBacklogSpans * std::chrono::duration<double>{objectiveSpan}.count();
    const auto bound = std::max(spans, std::chrono::duration<double>{minBacklogBound}.count());
    const auto drainTime = backlog.waitingCoreSeconds / std::max(backlog.shareCores, minShareCores);
    if (drainTime <= bound) {
        return std::nullopt;
    }
    return backlogRetry + jitterFor(id);
}
} // namespace poplarpass::jobs
