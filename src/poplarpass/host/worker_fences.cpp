#include <poplarpass/host/worker_fences.h>

#include <algorithm>
#include <utility>

namespace poplarpass::host
{
worker_fences::worker_fences(std::uint64_t epoch)
    : m_epoch{epoch}
{
}

auto worker_fences::tokenForCall(const jobs::worker_id &worker, std::uint64_t greatestToken) -> std::uint64_t
{
    auto &fence = m_fences[worker];
    fence.token = std::max(fence.token, m_epoch);
    if (fence.shouldRaise && greatestToken > fence.token) {
        fence.token = greatestToken;
        fence.shouldRaise = false;
    }
    return fence.token;
}

auto worker_fences::isOutdated(const jobs::worker_id &worker, std::uint64_t token) const -> bool
{
    const auto found = m_fences.find(worker);
    return found != m_fences.end() && token < found->second.token;
}

auto worker_fences::onReport(const jobs::worker_id &worker, std::int64_t incarnation) -> bool
{
    auto &fence = m_fences[worker];
    const auto earlier = std::exchange(fence.incarnation, std::max(fence.incarnation, incarnation));
    const bool hasRestarted = earlier != 0 && incarnation > earlier;
    fence.shouldRaise = fence.shouldRaise || hasRestarted;
    return hasRestarted;
}

auto worker_fences::onRestart(const jobs::worker_id &worker) -> void
{
    m_fences[worker].shouldRaise = true;
}
} // namespace poplarpass::host
