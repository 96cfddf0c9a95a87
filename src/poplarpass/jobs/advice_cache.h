#pragma once

#include <poplarpass/jobs/constants.h>
#include <poplarpass/jobs/worker_table.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace poplarpass::jobs
{
/// \brief A request to the advice service, which decides which workers may run a step.
struct advice_request
{
    std::string step; ///< Job, occurrence and step: ID.OCCURRENCE.STEP.
    std::vector<worker_id> workers; ///< Workers that the request is about.
    advice_policy policy; ///< Expected response time and validity of the answer.
};

/// \brief A worker that may run a step.
struct advice_ticket
{
    worker_id worker;
    std::string ticket; ///< Sent with each start.
};

/// \brief A step that needs advice.
struct advice_need
{
    std::string step; ///< Job, occurrence and step: ID.OCCURRENCE.STEP.
    core::pool_id pool; ///< Pool of its queue.
    advice_policy policy;
    std::uint32_t waitingTasks = 0; ///< Tasks that wait for a worker; with none the advice is only kept up to date.
};

/// \brief Answers of the advice service, cached by step, and the order in which steps ask it.
///
/// The service answers the calls of one host one at a time, so only maxAdviceRequestsInFlight are made at once; the
/// steps that wait for theirs are ordered and thinned out here.
class advice_cache
{
public:
    /// \brief Records that a step needs advice about \p workers; called in the order in which steps are to ask.
    auto addNeed(const advice_need &need, std::span<worker_slot *const> workers, core::monotonic_time now) -> void;

    /// \brief Returns the requests to be made now for the steps that were added since the last call.
    auto takeRequests(core::monotonic_time now) -> std::vector<advice_request>;

    /// \brief Returns those of \p workers that have a valid ticket for \p step at \p now.
    auto allowed(const std::string &step, std::span<worker_slot *const> workers, core::monotonic_time now) const
        -> std::vector<worker_slot *>;

    /// \brief Returns the ticket of \p worker for \p step; empty when there is none.
    [[nodiscard]] auto ticketOf(const std::string &step, const worker_id &worker) const -> std::string;

    /// \brief Creates a request for the workers without valid advice, for at most \p maxWorkers of them.
    /// \returns nothing while a request is pending, before a retry is due, or when the advice for all workers is valid
    auto makeRequest(const std::string &step, const advice_policy &policy, std::span<worker_slot *const> workers,
                     core::monotonic_time now, std::size_t maxWorkers = maxWorkersPerAdviceRequest)
        -> std::optional<advice_request>;

    /// \brief Stores the answer to a request that was sent at \p sentAt.
    auto storeAnswer(const advice_request &request, std::span<const advice_ticket> tickets, core::monotonic_time sentAt)
        -> void;

    /// \brief Handles a request without an answer: the next one is sent after adviceRetryDelay.
    auto recordNoAnswer(const advice_request &request, core::monotonic_time now) -> void;

    /// \brief Discards the ticket of a worker that rejected it.
    auto discardTicket(const std::string &step, const worker_id &worker) -> void;

    /// \brief Removes all advice for a job.
    auto removeJob(const job_id &job) -> void;

private:
    struct cached_advice
    {
        std::string ticket; ///< Empty when the worker may not run the step.
        std::int64_t incarnation = 0; ///< Incarnation of the worker that the advice holds for.
        core::monotonic_time validUntil{}; ///< Expiry of the ticket.
    };

    struct step_advice
    {
        std::map<worker_id, cached_advice> workers;
        std::map<worker_id, std::int64_t> requestedIncarnations; ///< Incarnations of the workers in the newest request.
        bool requestPending = false;
        core::monotonic_time notBefore{};
    };

    struct waiting_step
    {
        advice_need need;
        std::vector<worker_slot *> workers;
    };

    /// \brief Returns whether what is known about \p worker is valid at \p now.
    static auto isCurrent(const step_advice &advice, const worker_slot &worker, core::monotonic_time now) -> bool;
    /// \brief Returns whether a request about \p workers is due.
    static auto mayRequest(const step_advice &advice, std::span<worker_slot *const> workers, core::monotonic_time now)
        -> bool;
    auto takeRequest(waiting_step &waiting, std::vector<advice_request> &requests, core::monotonic_time now) -> void;
    /// \brief Removes the first step of the pool that is next in turn.
    auto takeWaiting() -> waiting_step;
    auto onAnswered() -> void;

    std::map<std::string, step_advice> m_steps;
    std::map<core::pool_id, std::deque<waiting_step>> m_waiting; ///< The first steps of each pool with waiting tasks.
    bool m_hasMoreWaiting = false; ///< Whether there are further ones.
    std::vector<waiting_step> m_upToDate; ///< Steps whose advice is only kept up to date.
    core::pool_id m_lastPool; ///< Pool of the last request.
    bool m_isBacklogged = false; ///< Whether steps with waiting tasks could not ask in the last cycle.
    std::size_t m_inFlight = 0; ///< Requests without an answer.
};
} // namespace poplarpass::jobs
