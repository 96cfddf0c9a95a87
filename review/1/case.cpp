// Small jobs come all the time; one large job of many short tasks comes among them.
#include "../standin/cluster.h"

using namespace review;
using nlohmann::json;

namespace
{
constexpr int smallJobs = 20;
constexpr std::int64_t smallEveryMs = 1500;
constexpr std::int64_t smallStepMs = 1000;
constexpr int largeAfterJobs = 3;
constexpr int largeTasks = 15000;
constexpr std::int64_t largeTaskMs = 500;
constexpr std::int64_t finishMs = 14000;
constexpr std::int64_t idleMs = 3000;

const std::string largeId = "1a26e00000000000";

std::string smallId(int index)
{
    char text[17];
    std::snprintf(text, sizeof text, "5a11%012x", index);
    return text;
}

// Three steps of four tasks, one after the other.
json smallJob()
{
    json steps = json::array();
    for (int i = 0; i < 3; ++i) {
        json step{{"count", 4}, {"cpu", 500}, {"mem_mb", 64}, {"estimate_ms", smallStepMs}};
        if (i > 0) {
            step["after"] = {i - 1};
        }
        steps.push_back(step);
    }
    return {{"spec", "counter search"}, {"steps", steps}};
}

json largeJob()
{
    return {{"spec", "archive scan"},
            {"steps", {{{"count", largeTasks}, {"cpu", 100}, {"mem_mb", 16}, {"estimate_ms", largeTaskMs}}}}};
}

// Returns whether \p id is lost by the rule: no answer in time, or unfinished and nothing of it has run for idleMs.
bool isLost(Cluster &cluster, const std::string &id)
{
    const auto state = cluster.state(id);
    if (state == "completed") {
        return false;
    }
    if (state == "none" || state == "410") {
        return true;
    }
    return !Cluster::waitFor(idleMs, [&] { return cluster.fleet().running(id) > 0; });
}

int run(const std::string &recordPath, bool trouble)
{
    ClusterOptions options;
    options.fleet.quietJob = largeId;
    Cluster cluster{options, recordPath};
    auto &record = cluster.record();
    cluster.store().onTooLarge = [&record, last = std::int64_t{0}](const std::string &what) mutable {
        if (nowMs() - last > 2000) {
            last = nowMs();
            record.line("store: rejects " + what + " with 413");
        }
    };
    if (!cluster.start()) {
        return couldNotRun;
    }
    std::vector<std::string> accepted;
    for (int i = 0; i < smallJobs; ++i) {
        if (trouble && i == largeAfterJobs) {
            record.line("disruption: a large job of " + std::to_string(largeTasks) + " tasks, body of "
                        + std::to_string(largeJob().dump().size()) + " bytes");
            if (cluster.submitUntilAccepted(largeId, largeJob(), {largeTaskMs})) {
                accepted.push_back(largeId);
            }
        }
        const auto reply =
            cluster.submit(static_cast<std::size_t>(i) % cluster.hostCount(), smallId(i), smallJob(), {smallStepMs});
        if (reply.status == 200) {
            accepted.push_back(smallId(i));
        }
        sleepMs(smallEveryMs - std::min(reply.ms, smallEveryMs));
    }
    record.line("end of the traffic; " + std::to_string(accepted.size()) + " jobs were accepted; "
                + std::to_string(cluster.fleet().done(largeId)) + " tasks of the large job are done");
    sleepMs(finishMs);
    record.line(std::to_string(cluster.fleet().done(largeId)) + " tasks of the large job are done");
    int lost = 0;
    const auto begin = nowMs();
    for (const auto &id : accepted) {
        if (nowMs() - begin < 30000 && isLost(cluster, id)) {
            record.line("check: accepted job " + id + " is lost");
            ++lost;
        }
    }
    record.line("check: " + std::to_string(lost) + " of " + std::to_string(accepted.size())
                + " accepted jobs are lost");
    return lost > 0 ? ruleBroken : ruleHeld;
}
} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, run);
}
