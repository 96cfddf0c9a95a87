// A gang ends on two workers that are cut off; one of them crashes, the other one reports the end.
#include "../standin/cluster.h"

using namespace review;
using nlohmann::json;

namespace
{
constexpr std::int64_t workMs = 3000;
constexpr std::int64_t cutMs = 5500;
constexpr std::int64_t crashAfterMs = 3000;
constexpr std::int64_t crashMs = 4500;
constexpr std::int64_t finishMs = 14000;
constexpr std::int64_t idleMs = 3000;

const std::string jobId = "5c0e7a21d94b36f8";

json gangOfTwo()
{
    return {{"spec", "nightly index"},
            {"steps",
             {{{"count", 2},
               {"cpu", 2000},
               {"mem_mb", 512},
               {"estimate_ms", workMs},
               {"gang_scheduled", true},
               {"anti_affinity", 1}}}}};
}

// Returns whether the job is finished after finishMs at the latest.
bool finishes(Cluster &cluster)
{
    const auto begin = nowMs();
    while (nowMs() - begin < finishMs) {
        if (cluster.state(jobId) == "completed") {
            return true;
        }
        sleepMs(1000);
    }
    return false;
}

int run(const std::string &recordPath, bool trouble)
{
    ClusterOptions options;
    Cluster cluster{options, recordPath};
    if (!cluster.start() || !cluster.submitUntilAccepted(jobId, gangOfTwo(), {workMs})) {
        return couldNotRun;
    }
    auto &fleet = cluster.fleet();
    if (!Cluster::waitFor(5000, [&] { return fleet.workersOf(jobId).size() == 2; })) {
        return couldNotRun;
    }
    if (trouble) {
        sleepMs(workMs / 2);
        const auto workers = fleet.workersOf(jobId);
        if (workers.size() != 2) {
            return couldNotRun;
        }
        const auto first = *workers.begin();
        const auto second = *workers.rbegin();
        fleet.cut(first, true);
        fleet.cut(second, true);
        sleepMs(crashAfterMs);
        fleet.crash(second, crashMs);
        sleepMs(cutMs - crashAfterMs);
        fleet.cut(first, false);
        fleet.cut(second, false);
    }
    if (finishes(cluster)) {
        return ruleHeld;
    }
    // Nothing of the job runs for idleMs, while all workers are free.
    const auto begin = nowMs();
    while (nowMs() - begin < idleMs) {
        if (fleet.running(jobId) > 0) {
            cluster.record().line("a run of the job exists");
            return couldNotRun;
        }
        sleepMs(10);
    }
    const auto state = cluster.state(jobId);
    cluster.record().line("check: nothing of the job has run for 3 s, 12 workers are free, its state is " + state);
    return state == "completed" ? ruleHeld : ruleBroken;
}
} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, run);
}
