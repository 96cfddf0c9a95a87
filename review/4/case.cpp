// While the store is slow, one client in four hands a job in, leaves before the answer, and cancels the job.
#include "../standin/cluster.h"

using namespace review;
using nlohmann::json;

namespace
{
constexpr std::int64_t slowAnswerMs = 240; // 60 times the usual 4 ms
constexpr std::int64_t slowForMs = 4000;
constexpr std::int64_t settleMs = 1500;
constexpr std::int64_t leaveAfterMs = 120; // before half of the objective of 600 ms
constexpr std::int64_t stayMs = 3000;
constexpr int otherClients = 3;
constexpr std::int64_t beginAttemptsWithinMs = 2000;
constexpr std::int64_t stepMs = 2000;
constexpr int steps = 5;
constexpr std::int64_t cancelMs = 3000;
constexpr std::int64_t contactMs = 3000;
constexpr std::int64_t watchMs = 13000;
constexpr int maxAttempts = 4;

/// A job that its client cancelled, and the answer to the cancel.
struct CancelledJob
{
    std::string id;
    int submission = 0;
    int cancel = 0;
    std::int64_t acknowledgedAt = 0;
};

std::string idOf(char kind, int attempt)
{
    return std::string{"31c5d0aa9e7b4"} + kind + std::to_string(attempt / 10) + std::to_string(attempt % 10);
}

// Steps one after the other.
json chain()
{
    json list = json::array();
    for (int i = 0; i < steps; ++i) {
        json step{{"count", 2}, {"cpu", 500}, {"mem_mb", 64}, {"estimate_ms", stepMs}};
        if (i > 0) {
            step["after"] = {i - 1};
        }
        list.push_back(step);
    }
    return {{"spec", "title trace"}, {"steps", list}};
}

// Three clients hand in jobs and wait. A fourth one hands in a job, leaves early if \p leaves, and cancels it.
CancelledJob submitAndCancel(Cluster &cluster, int attempt, bool leaves)
{
    std::vector<std::thread> others;
    for (int i = 0; i < otherClients; ++i) {
        others.emplace_back(
            [&cluster, attempt, i] { cluster.submit(0, idOf('a', attempt * otherClients + i), chain(), {stepMs}); });
    }
    sleepMs(40);
    CancelledJob job{idOf('b', attempt)};
    job.submission = cluster.submit(1, job.id, chain(), {stepMs}, leaves ? leaveAfterMs : stayMs).status;
    job.cancel = cluster.cancel(2, job.id).status;
    job.acknowledgedAt = nowMs();
    for (auto &other : others) {
        other.join();
    }
    return job;
}

bool isAcknowledged(const CancelledJob &job)
{
    return job.cancel == 410 || (job.cancel >= 200 && job.cancel < 300);
}

int countLateStarts(const Fleet &fleet, const CancelledJob &job, std::int64_t inTouchSince)
{
    int late = 0;
    for (const auto &event : fleet.events()) {
        const bool isOfJob = event.what == "start" && event.task.rfind(job.id, 0) == 0;
        late += isOfJob && event.atMs > std::max(job.acknowledgedAt + cancelMs, inTouchSince) ? 1 : 0;
    }
    return late;
}

int run(const std::string &recordPath, bool trouble)
{
    ClusterOptions options;
    Cluster cluster{options, recordPath};
    if (!cluster.start()) {
        return couldNotRun;
    }
    auto &record = cluster.record();
    const auto slowSince = nowMs();
    if (trouble) {
        record.line("disruption: the store takes 240 ms for an answer");
        cluster.store().setAnswerMs(slowAnswerMs);
    }
    sleepMs(settleMs);
    std::vector<CancelledJob> jobs;
    // On a busy machine the calls may miss the moment at which an append is in flight, so there are a few attempts.
    const auto attemptsUntil = nowMs() + beginAttemptsWithinMs;
    for (int i = 0; i < maxAttempts && nowMs() < attemptsUntil && (i == 0 || jobs.back().cancel != 410); ++i) {
        jobs.push_back(submitAndCancel(cluster, i, trouble));
    }
    sleepMs(slowForMs - (nowMs() - slowSince));
    if (trouble) {
        record.line("end of disruption: the store answers in 4 ms");
        cluster.store().setAnswerMs(StoreLimits{}.answerMs);
    }
    // All machines are in touch from here on.
    const auto inTouchSince = nowMs() + contactMs;
    sleepMs(watchMs);
    std::erase_if(jobs, [](const CancelledJob &job) { return !isAcknowledged(job); });
    int late = 0;
    for (const auto &job : jobs) {
        const int starts = countLateStarts(cluster.fleet(), job, inTouchSince);
        late += starts;
        record.line("check: " + job.id + ": "
                    + (job.submission == 0 ? std::string{"the client left"}
                                           : std::to_string(job.submission) + " to its submission")
                    + ", " + std::to_string(job.cancel) + " to its cancel; " + std::to_string(starts)
                    + " tasks were started by machines in touch later than 3 s after that; its state is "
                    + cluster.state(job.id));
    }
    if (jobs.empty()) {
        return couldNotRun;
    }
    return late > 0 ? ruleBroken : ruleHeld;
}
} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, run);
}
