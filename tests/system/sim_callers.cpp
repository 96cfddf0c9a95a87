#include "sim_callers.h"

#include <poplarpass/core/parse_integer.h>

#include <cstdio>

namespace tests::system_sim
{
namespace
{
constexpr int maxSubmissions = 5;
constexpr double leaveProbability = 0.1; ///< Probability that a caller leaves soon after its first submission.
constexpr double giveUpProbability = 0.3; ///< Probability that a caller does not repeat a refused submission.
constexpr int acceptedStatus = 200;
constexpr int unknownJobStatus = 410;

auto step(std::uint32_t count, std::int64_t cpu, std::int64_t estimateMs) -> jobs::step_spec
{
    jobs::step_spec made;
    made.taskCount = count;
    made.perTask = {cpu, 100, 0};
    made.estimate = std::chrono::milliseconds{estimateMs};
    return made;
}

auto parseState(const std::string &body) -> std::string
{
    const std::string key = R"("state":")";
    const auto begin = body.find(key);
    if (begin == std::string::npos) {
        return {};
    }
    const auto rest = body.substr(begin + key.size());
    return rest.substr(0, rest.find('"'));
}
} // namespace

sim_callers::sim_callers(sim_network &network, sim_hosts &hosts, rule_checker &rules)
    : m_network{network}
    , m_hosts{hosts}
    , m_rules{rules}
{
}

auto sim_callers::randomHost() -> sim_host &
{
    auto &all = m_hosts.all();
    return *all[static_cast<std::size_t>(m_network.randomInteger(0, static_cast<std::int64_t>(all.size()) - 1))];
}

auto sim_callers::randomSpec() -> jobs::multistep_job_spec
{
    jobs::multistep_job_spec spec;
    if (m_network.randomBool(0.06)) {
        auto longRunningStep = step(3, 1500, 900);
        longRunningStep.longRunning = true;
        longRunningStep.maxUnavailable = 1;
        spec.steps = {longRunningStep};
        return spec;
    }
    const auto count = static_cast<std::uint32_t>(m_network.randomInteger(1, 4));
    spec.steps = {step(count, 2000, m_network.randomInteger(300, 1200))};
    spec.steps.front().checkpointing = m_network.randomBool(0.5);
    if (m_network.randomBool(0.5)) {
        auto second =
            step(static_cast<std::uint32_t>(m_network.randomInteger(1, 3)), 1000, m_network.randomInteger(200, 900));
        second.after = {0};
        spec.steps.push_back(second);
    }
    if (m_network.randomBool(0.08)) {
        spec.repeatCount = 2;
        spec.firstDue = m_network.time.wallNow() + m_network.randomDuration(200, 2500);
        spec.interval = std::chrono::milliseconds{m_network.randomInteger(400, 2500)};
    }
    spec.payload = m_network.randomBool(0.04) ? "fails" : "works";
    return spec;
}

auto sim_callers::submitRandom() -> void
{
    const auto queue =
        static_cast<std::size_t>(m_network.randomInteger(0, static_cast<std::int64_t>(queues.size()) - 1));
    const auto id = submit(queues[queue], randomSpec());
    if (m_network.randomBool(leaveProbability)) {
        m_network.time.after(m_network.randomDuration(5, 600), [this, id] { leave(id); });
    }
    if (m_specs[m_specOf[id]].isLongRunning() ? m_network.randomBool(0.6) : m_network.randomBool(0.15)) {
        m_network.time.after(m_network.randomDuration(50, 9000), [this, id] {
            if (m_rules.trackedJobs().at(id).acceptedAt) {
                cancel(id);
            }
        });
    }
}

// The cancellation may overtake the submission, which may wait at any host.
auto sim_callers::leave(const std::string &job) -> void
{
    if (!m_rules.trackedJobs().at(job).acceptedAt) {
        m_left.insert(job);
        cancel(job);
    }
}

auto sim_callers::submit(const sim_queue &queue, const jobs::multistep_job_spec &spec) -> std::string
{
    std::array<char, 17> id{};
    std::snprintf(id.data(), id.size(), "%016zx", m_specs.size() + 1);
    std::string name{id.data()};
    m_specOf[name] = m_specs.size();
    m_specs.push_back(spec);
    m_prefixOf[name] = queue.prefix;
    m_rules.onSubmitted(name, spec, queue.policy);
    sendSubmission(name, maxSubmissions);
    return name;
}

auto sim_callers::makeRequest(const std::string &job, std::string_view method) const -> net::http_request
{
    net::http_request call;
    call.method = method;
    call.target = m_prefixOf.at(job) + job;
    call.headers = {{"Host", "jobs.example"}, {"Poplarpass-Deadline-Ms", "3000"}};
    if (method == "POST") {
        call.body = std::to_string(m_specOf.at(job));
    }
    return call;
}

auto sim_callers::decode(std::string_view body) const -> core::result<jobs::multistep_job_spec>
{
    const auto index = core::parseInteger<std::uint64_t>(body);
    if (!index || *index >= m_specs.size()) {
        return core::failure(core::error_kind::invalid_request, "no such specification");
    }
    return m_specs[*index];
}

auto sim_callers::sendSubmission(const std::string &job, int submissionsLeft) -> void
{
    if (m_left.contains(job)) {
        return;
    }
    m_hosts.send(randomHost(), makeRequest(job, "POST"),
                 [this, job, submissionsLeft](const std::optional<net::http_response> &answer) {
                     onSubmitAnswer(job, submissionsLeft, answer);
                 });
}

auto sim_callers::onSubmitAnswer(const std::string &job, int submissionsLeft,
                                 const std::optional<net::http_response> &answer) -> void
{
    m_rules.onSubmitAnswer(job, answer ? std::optional{answer->status} : std::nullopt);
    if (m_left.contains(job)) {
        return;
    }
    if (answer && answer->status == acceptedStatus) {
        onAccepted(job);
        return;
    }
    answer ? ++refused : ++unanswered;
    const bool givesUp = answer && m_network.randomBool(giveUpProbability);
    if (submissionsLeft > 1 && !givesUp) {
        m_network.time.after(m_network.randomDuration(100, 1200),
                             [this, job, submissionsLeft] { sendSubmission(job, submissionsLeft - 1); });
    }
}

auto sim_callers::onAccepted(const std::string &job) -> void
{
    scheduleQuery(job);
    if (m_network.randomBool(0.1)) {
        m_network.time.after(m_network.randomDuration(200, 6000), [this, job] { sendSubmission(job, 1); });
    }
}

auto sim_callers::scheduleQuery(const std::string &job) -> void
{
    m_network.time.after(m_network.randomDuration(400, 3000), [this, job] { query(job, true); });
}

auto sim_callers::query(const std::string &job, bool repeat) -> void
{
    auto &simHost = randomHost();
    m_hosts.send(simHost, makeRequest(job, "GET"),
                 [this, &simHost, job, repeat](const std::optional<net::http_response> &answer) {
                     const bool known = answer && answer->status == acceptedStatus;
                     const auto state = known ? parseState(answer->body) : std::string{};
                     if (known || (answer && answer->status == unknownJobStatus)) {
                         m_rules.onState(job, state, m_hosts.isHealthy(simHost));
                     }
                     if (!repeat) {
                         unknownAtEnd += known ? 0 : 1;
                     } else if (state.empty() || state == "queued" || state == "active") {
                         scheduleQuery(job);
                     }
                 });
}

auto sim_callers::cancel(const std::string &job) -> void
{
    m_rules.onCancelSent(job);
    m_hosts.send(randomHost(), makeRequest(job, "DELETE"),
                 [this, job](const std::optional<net::http_response> &answer) {
                     if (answer && (answer->status == acceptedStatus || answer->status == unknownJobStatus)) {
                         m_rules.onCancelled(job);
                         return;
                     }
                     m_network.time.after(m_network.randomDuration(200, 900), [this, job] { cancel(job); });
                 });
}

auto sim_callers::queryAll() -> void
{
    for (const auto &[id, job] : m_rules.trackedJobs()) {
        if (job.acceptedAt && !job.cancelSentAt) {
            query(id, false);
        }
    }
}
} // namespace tests::system_sim
