#pragma once

#include <poplarpass/core/lifetime.h>
#include <poplarpass/core/time_source.h>
#include <poplarpass/host/worker_calls.h>
#include <poplarpass/jobs/job_engine.h>
#include <poplarpass/observe/logger.h>

#include <functional>
#include <map>
#include <memory>

namespace poplarpass::host
{
/// \brief What the links tell the owner.
struct worker_link_hooks
{
    std::function<bool()> mayOrder; ///< Whether orders may be given at present.
    std::function<void()> onChange; ///< Something was learnt: decide again.
    std::function<void(std::function<void()>)> whenStored; ///< Calls back once all that is known now is stored.
    std::function<void()> onFenced; ///< A worker obeys a later owner.
};

/// \brief Keeps the lease of every worker, reads its runs, and sends orders.
class worker_links
{
public:
    worker_links(const core::time_source &time, const worker_calls &calls, jobs::job_engine &engine,
                 observe::logger &log, std::uint64_t fencingToken, worker_link_hooks hooks);

    /// \brief Starts a link to each listed worker that has none.
    auto refresh() -> void;

    /// \brief Sends orders whose jobs are stored.
    auto send(const jobs::order_batch &orders) -> void;

private:
    struct link
    {
        bool busy = false; ///< Whether a renewal is in progress or planned.
        std::int64_t incarnation = 0; ///< Life of the worker that acknowledgedEnd counts for.
        std::uint64_t acknowledgedEnd = 0; ///< Last end that is stored.
    };

    auto renew(const jobs::worker_id &id) -> void;
    auto onRenewed(const jobs::worker_id &id, const renewal_answer &answer, core::monotonic_time sentAt) -> void;
    auto renewAfter(const jobs::worker_id &id, core::duration delay) -> void;
    auto sendStart(const jobs::start_order &order) -> void;
    auto sendStop(const jobs::stop_order &order) -> void;
    auto sendPace(const jobs::pace_order &order) -> void;
    [[nodiscard]] auto targetOf(const jobs::worker_slot &worker) const -> worker_target;

    const core::time_source &m_time;
    const worker_calls &m_calls;
    jobs::job_engine &m_engine;
    observe::logger &m_log;
    std::uint64_t m_token;
    worker_link_hooks m_hooks;
    std::map<jobs::worker_id, link> m_links;
    core::lifetime m_lifetime;
};
} // namespace poplarpass::host
