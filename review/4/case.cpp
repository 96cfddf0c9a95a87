// While the store is slow, a client hands a job in, is told that the outcome is unknown, and cancels the job.
#include "../standin/cluster.h"

using namespace review;
using nlohmann::json;

namespace
{
constexpr std::int64_t slowAnswerMs = 240; // 60 times the usual 4 ms
constexpr std::int64_t slowForMs = 3000;
constexpr std::int64_t deadlineMs = 120;
constexpr std::int64_t stepMs = 2000;
constexpr std::int64_t cancelMs = 3000;
constexpr std::int64_t contactMs = 3000;
constexpr std::int64_t watchMs = 12000;

const std::string firstId = "31c5d0aa9e7b4f60";
const std::string cancelledId = "31c5d0aa9e7b4f61";

// Four steps, one after the other.
json chain()
{
    json steps = json::array();
    for (int i = 0; i < 4; ++i) {
        json step{{"count", 2}, {"cpu", 500}, {"mem_mb", 64}, {"estimate_ms", stepMs}};
        if (i > 0) {
            step["after"] = {i - 1};
        }
        steps.push_back(step);
    }
    return {{"spec", "title trace"}, {"steps", steps}};
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
        sleepMs(1500);
    }
    std::thread first{[&] {
        cluster.submit(0, firstId, chain(), {stepMs});
    }};
    sleepMs(40);
    cluster.submit(1, cancelledId, chain(), {stepMs}, deadlineMs);
    const auto reply = cluster.cancel(2, cancelledId);
    const auto acknowledgedAt = nowMs();
    first.join();
    if (reply.status != 410 && (reply.status < 200 || reply.status >= 300)) {
        return couldNotRun;
    }
    sleepMs(slowForMs - (nowMs() - slowSince));
    if (trouble) {
        record.line("end of disruption: the store answers in 4 ms");
        cluster.store().setAnswerMs(4);
    }
    // The machines are in touch from here on.
    const auto inTouchSince = nowMs() + contactMs;
    sleepMs(watchMs);
    int late = 0;
    for (const auto &event : cluster.fleet().events()) {
        const bool isOfJob = event.what == "start" && event.task.rfind(cancelledId, 0) == 0;
        late += isOfJob && event.atMs > std::max(acknowledgedAt + cancelMs, inTouchSince) ? 1 : 0;
    }
    record.line("check: " + std::to_string(late)
                + " tasks of the cancelled job were started by machines in touch, later than 3 s after the "
                + std::to_string(reply.status) + " to its cancel; its state is " + cluster.state(cancelledId));
    return late > 0 ? ruleBroken : ruleHeld;
}
} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, run);
}
