// All members of a gang start on one worker, which fails all that it starts for some seconds.
#include "../standin/cluster.h"

using namespace review;
using nlohmann::json;

namespace
{
constexpr std::int64_t workMs = 2000;
constexpr std::int64_t finishMs = 14000;
constexpr int maxAttempts = 3;
constexpr std::int64_t failingMs = 6500;

const std::string jobId = "7b1d4e90aa36c5f2";

json gangOfThree()
{
    return {
        {"spec", "docket index"},
        {"steps", {{{"count", 3}, {"cpu", 2000}, {"mem_mb", 512}, {"estimate_ms", workMs}, {"gang_scheduled", true}}}}};
}

// Returns the numbers of the gang's runs that ended as failed.
std::set<std::int64_t> failedRuns(const Fleet &fleet)
{
    std::set<std::int64_t> runs;
    for (const auto &event : fleet.events()) {
        if (event.what == "failed") {
            runs.insert(event.run);
        }
    }
    return runs;
}

int run(const std::string &recordPath, bool trouble)
{
    ClusterOptions options;
    options.maxAttempts = maxAttempts;
    Cluster cluster{options, recordPath};
    if (!cluster.start()) {
        return couldNotRun;
    }
    auto &fleet = cluster.fleet();
    const auto worker = fleet.firstWorker();
    if (trouble) {
        fleet.failAll(worker, failingMs);
    }
    if (!cluster.submitUntilAccepted(jobId, gangOfThree(), {workMs})
        || !Cluster::waitFor(5000, [&] { return fleet.running(jobId) == 3; })) {
        return couldNotRun;
    }
    // With all workers free the gang starts on the first one.
    if (fleet.workersOf(jobId) != std::set{worker}) {
        return couldNotRun;
    }
    std::string state;
    const auto begin = nowMs();
    do {
        sleepMs(500);
        state = cluster.state(jobId);
    } while (state != "completed" && state != "failed" && nowMs() - begin < finishMs);
    const auto failed = failedRuns(fleet).size();
    cluster.record().line("check: the state is " + state + "; runs of the gang that ended as failed: "
                          + std::to_string(failed) + "; max_attempts is " + std::to_string(maxAttempts));
    if (state == "failed") {
        return failed < maxAttempts ? ruleBroken : ruleHeld;
    }
    return state == "completed" ? ruleHeld : couldNotRun;
}
} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, run);
}
