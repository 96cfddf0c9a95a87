#pragma once

#include <poplarpass/jobs/worker_report.h>

#include <cstdint>
#include <unordered_map>

namespace poplarpass::host
{
/// \brief Fencing tokens of one owner's calls to workers.
///
/// A worker that restarts under its identifier has forgotten all tokens, so it would accept calls that were sent to its
/// earlier incarnation. Once its restart is known, it is called with a greater token, so that it refuses them.
class worker_fences
{
public:
    /// \param epoch token of calls to workers that have not restarted
    explicit worker_fences(std::uint64_t epoch);

    /// \brief Returns the token for the next call to \p worker.
    /// \param greatestToken greatest token that this owner may use
    auto tokenForCall(const jobs::worker_id &worker, std::uint64_t greatestToken) -> std::uint64_t;

    /// \brief Returns whether a later call to \p worker had a greater token than \p token.
    [[nodiscard]] auto isOutdated(const jobs::worker_id &worker, std::uint64_t token) const -> bool;

    /// \brief Processes the incarnation in a report of \p worker.
    /// \returns whether the worker has restarted since its last report to this owner
    auto onReport(const jobs::worker_id &worker, std::int64_t incarnation) -> bool;

    /// \brief Records that \p worker has restarted.
    auto onRestart(const jobs::worker_id &worker) -> void;

private:
    struct worker_fence
    {
        std::uint64_t token = 0; ///< Token of the last call; 0 before the first.
        std::int64_t incarnation = 0; ///< Incarnation that reported last; 0 before the first report.
        bool shouldRaise = false; ///< Whether the next call needs a greater token.
    };

    std::uint64_t m_epoch;
    std::unordered_map<jobs::worker_id, worker_fence> m_fences; ///< Kept for the owner's term: a lower token would be
                                                                ///< refused.
};
} // namespace poplarpass::host
