#pragma once

#include "sim_hosts.h"

#include <string>
#include <vector>

namespace tests::system_sim
{
/// \brief A queue that callers use.
struct sim_queue
{
    std::string prefix; ///< Prefix of its path.
    jobs::queue_policy policy; ///< Its rules.
};

/// \brief Hands jobs in, asks for them, cancels some, repeats some, at any host.
class sim_callers
{
public:
    sim_callers(sim_network &network, sim_hosts &hosts, rule_checker &rules);

    /// \brief Hands in one job of a kind drawn at random.
    auto submitAny() -> void;

    /// \brief Hands in one job.
    auto submit(const sim_queue &queue, const jobs::multistep_job_spec &spec) -> std::string;

    /// \brief Cancels \p job, and repeats that until it is acknowledged.
    auto cancel(const std::string &job) -> void;

    /// \brief Asks each job's state once.
    auto askAll() -> void;

    /// \brief Specification that a body stands for.
    [[nodiscard]] auto decode(std::string_view body) const -> core::result<jobs::multistep_job_spec>;

    std::vector<sim_queue> queues; ///< Queues that jobs are handed in to.
    std::size_t refused = 0; ///< Attempts that were refused.
    std::size_t unanswered = 0; ///< Attempts that got no answer.
    std::size_t unknownAtEnd = 0; ///< Jobs that are not known when asked after a long calm.

private:
    auto anyHost() -> sim_host &;
    auto anySpec() -> jobs::multistep_job_spec;
    auto callTo(const std::string &job, std::string_view method) const -> net::http_request;
    auto attempt(const std::string &job, int triesLeft) -> void;
    auto onSubmitAnswer(const std::string &job, int triesLeft, const std::optional<net::http_response> &answer) -> void;
    auto onAccepted(const std::string &job) -> void;
    auto askLater(const std::string &job) -> void;
    auto ask(const std::string &job, bool again) -> void;

    sim_network &m_network;
    sim_hosts &m_hosts;
    rule_checker &m_rules;
    std::vector<jobs::multistep_job_spec> m_specs;
    std::map<std::string, std::size_t> m_specOf;
    std::map<std::string, std::string> m_prefixOf;
};
} // namespace tests::system_sim
