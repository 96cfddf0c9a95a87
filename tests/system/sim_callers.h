#pragma once

#include "sim_hosts.h"

#include <set>
#include <string>
#include <vector>

namespace tests::system_sim
{
/// \brief A queue and the path under which callers reach it.
struct sim_queue
{
    std::string prefix; ///< Path prefix of its route.
    jobs::queue_policy policy; ///< Its policy.
};

/// \brief Callers that submit, query, cancel and resubmit jobs at random hosts.
class sim_callers
{
public:
    sim_callers(sim_network &network, sim_hosts &hosts, rule_checker &rules);

    /// \brief Submits one random job.
    auto submitRandom() -> void;

    /// \brief Submits one job and returns its identifier.
    auto submit(const sim_queue &queue, const jobs::multistep_job_spec &spec) -> std::string;

    /// \brief Cancels \p job, with retries until the cancellation is acknowledged.
    auto cancel(const std::string &job) -> void;

    /// \brief Queries each job's state once.
    auto queryAll() -> void;

    /// \brief Returns the specification that \p body refers to by index.
    [[nodiscard]] auto decode(std::string_view body) const -> core::result<jobs::multistep_job_spec>;

    std::vector<sim_queue> queues; ///< Queues that jobs are submitted to.
    std::size_t refused = 0; ///< Number of refused submissions.
    std::size_t unanswered = 0; ///< Number of submissions without an answer.
    std::size_t unknownAtEnd = 0; ///< Number of accepted jobs reported as unknown after the recovery time.

private:
    auto randomHost() -> sim_host &;
    auto randomSpec() -> jobs::multistep_job_spec;
    auto makeRequest(const std::string &job, std::string_view method) const -> net::http_request;
    auto leave(const std::string &job) -> void;
    auto sendSubmission(const std::string &job, int submissionsLeft) -> void;
    auto onSubmitAnswer(const std::string &job, int submissionsLeft, const std::optional<net::http_response> &answer)
        -> void;
    auto onAccepted(const std::string &job) -> void;
    auto scheduleQuery(const std::string &job) -> void;
    auto query(const std::string &job, bool repeat) -> void;

    sim_network &m_network;
    sim_hosts &m_hosts;
    rule_checker &m_rules;
    std::vector<jobs::multistep_job_spec> m_specs;
    std::map<std::string, std::size_t> m_specOf;
    std::map<std::string, std::string> m_prefixOf;
    std::set<std::string> m_left; ///< Jobs whose caller left before the answer.
};
} // namespace tests::system_sim
