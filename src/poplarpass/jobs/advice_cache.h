#pragma once

#include <poplarpass/jobs/worker_table.h>

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

/// \brief Answers of the advice service, cached by step.
class advice_cache
{
public:
    /// \brief Returns those of \p workers that have a valid ticket for \p step at \p now.
    auto allowed(const std::string &step, std::span<worker_slot *const> workers, core::monotonic_time now) const
        -> std::vector<worker_slot *>;

    /// \brief Returns the ticket of \p worker for \p step; empty when there is none.
    [[nodiscard]] auto ticketOf(const std::string &step, const worker_id &worker) const -> std::string;

    /// \brief Creates a request for the workers without valid advice.
    /// \returns nothing while a request is pending, before a retry is due, or when the advice for all workers is valid
    auto makeRequest(const std::string &step, const advice_policy &policy, std::span<worker_slot *const> workers,
                     core::monotonic_time now) -> std::optional<advice_request>;

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

    std::map<std::string, step_advice> m_steps;
};
} // namespace poplarpass::jobs
