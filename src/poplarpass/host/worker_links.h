#pragma once

#include <poplarpass/core/lifetime.h>
#include <poplarpass/core/time_source.h>
#include <poplarpass/host/worker_calls.h>
#include <poplarpass/host/worker_fences.h>
#include <poplarpass/jobs/job_engine.h>
#include <poplarpass/observe/logger.h>

#include <functional>
#include <memory>
#include <unordered_map>

namespace poplarpass::host
{
/// \brief Callbacks of worker_links into the owner.
struct worker_link_hooks
{
    std::function<bool()> mayOrder; ///< Whether orders may be sent now.
    std::function<void()> onChange; ///< The state of workers changed; decisions must be re-evaluated.
    std::function<void(std::function<void()>)> whenStored; ///< Calls back once all state changes so far are stored.
    std::function<core::duration()> renewalDelay; ///< Delay between a worker's response and its next renewal.
    std::function<std::uint64_t()> greatestToken; ///< Greatest fencing token that this owner may use now.
    std::function<void()> onFenced; ///< A worker refused a call: it has received a greater fencing token.
};

/// \brief Renews the lease of every worker, processes its reports and sends orders.
class worker_links
{
public:
    worker_links(const core::time_source &time, const worker_calls &calls, jobs::job_engine &engine,
                 observe::logger &log, std::uint64_t fencingToken, worker_link_hooks hooks);

    /// \brief Starts renewals for listed workers that have none, and removes links to unlisted ones.
    auto refresh() -> void;

    /// \brief Sends orders; the records of their jobs must be stored.
    auto send(const jobs::order_batch &orders) -> void;

private:
    struct link
    {
        bool busy = false; ///< Whether a renewal is in progress or scheduled.
        std::int64_t incarnation = 0; ///< Start time of the incarnation to which acknowledgedEnd applies.
        std::uint64_t acknowledgedEnd = 0; ///< Number of the last end that is stored.
    };

    auto renew(const jobs::worker_id &id) -> void;
    auto onRenewed(const worker_target &target, const renewal_answer &answer, core::monotonic_time sentAt) -> void;
    auto onRenewalFenced(const worker_target &target) -> void;
    auto onReported(const jobs::worker_id &id, const jobs::renewal_report &report, core::monotonic_time sentAt) -> void;
    [[nodiscard]] auto renewalDelayOf(const jobs::worker_id &id) const -> core::duration;
    auto renewAfter(const jobs::worker_id &id, core::duration delay) -> void;
    auto sendStart(const jobs::start_order &order) -> void;
    auto onStartResult(const jobs::start_order &order, const worker_target &target, std::int64_t clockAtSending,
                       const start_result &result) -> void;
    auto sendStop(const jobs::stop_order &order) -> void;
    auto sendPace(const jobs::pace_order &order) -> void;
    [[nodiscard]] static auto isExpectedGone(const jobs::worker_slot &worker) -> bool;
    auto targetOf(const jobs::worker_slot &worker) -> worker_target;
    /// \brief Returns whether another owner has sent \p target a greater token, given that it refused a call for its
    /// token.
    [[nodiscard]] auto isDeposed(const worker_target &target) const -> bool;

    const core::time_source &m_time;
    const worker_calls &m_calls;
    jobs::job_engine &m_engine;
    observe::logger &m_log;
    worker_fences m_fences;
    worker_link_hooks m_hooks;
    std::unordered_map<jobs::worker_id, link> m_links;
    core::lifetime m_lifetime;
};
} // namespace poplarpass::host
