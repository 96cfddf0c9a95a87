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
/// \brief A question to the service that advises which workers may run a step.
struct advice_request
{
    std::string step; ///< Job, occurrence and step: ID.OCCURRENCE.STEP.
    std::vector<worker_id> workers; ///< Workers that are asked about.
    advice_policy policy; ///< How long the answer takes and is good.
};

/// \brief A worker that may run a step.
struct advice_ticket
{
    worker_id worker; ///< The worker.
    std::string ticket; ///< To be shown with each start.
};

/// \brief Advice that is known, by step.
class advice_cache
{
public:
    /// \brief Workers of \p workers that may run \p step at \p now.
    auto allowed(const std::string &step, std::span<worker_slot *const> workers, core::monotonic_time now) const
        -> std::vector<worker_slot *>;

    /// \brief Ticket of \p worker for \p step; empty when there is none.
    [[nodiscard]] auto ticketOf(const std::string &step, const worker_id &worker) const -> std::string;

    /// \brief Question about workers that nothing is known of; nothing while one is pending or when all are
    /// known.
    auto makeRequest(const std::string &step, const advice_policy &policy, std::span<worker_slot *const> workers,
                     core::monotonic_time now) -> std::optional<advice_request>;

    /// \brief Takes in the answer to a question that was sent at \p sentAt.
    auto onAnswer(const advice_request &request, std::span<const advice_ticket> tickets, core::monotonic_time sentAt)
        -> void;

    /// \brief A question was not answered.
    auto onNoAnswer(const advice_request &request, core::monotonic_time now) -> void;

    /// \brief A worker did not take its ticket.
    auto onRefused(const std::string &step, const worker_id &worker) -> void;

    /// \brief Forgets all advice for a job.
    auto forget(const job_id &job) -> void;

private:
    struct cached_advice
    {
        std::string ticket; ///< Empty when the worker may not run the step.
        std::int64_t born = 0; ///< Life of the worker.
        core::monotonic_time validUntil{}; ///< End of the ticket.
    };

    struct step_advice
    {
        std::map<worker_id, cached_advice> workers;
        std::map<worker_id, std::int64_t>
            requestedIncarnations; ///< Lives of the workers that the newest question names.
        bool requestPending = false;
        core::monotonic_time notBefore{};
    };

    std::map<std::string, step_advice> m_steps;
};
} // namespace poplarpass::jobs
