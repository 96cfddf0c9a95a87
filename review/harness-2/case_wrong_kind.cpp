#include "deployment.h"

#include <algorithm>

// Workers crash and start again under their ids, as another kind.
namespace harness
{
namespace
{
constexpr int workerCount = 12;
constexpr int crashCount = 5;
constexpr std::int64_t downMs = 2500;
constexpr std::int64_t pauseMs = 3500;

const std::string config =
    R"({"version":1,"routes":[{"name":"q-survey","hostname":"jobs.example",)"
    R"("path_prefix":"/survey/","kind":"non_idempotent","timeout_ms":3000,)"
    R"("target_latency_ms":600,"priority":0,"service":"surveys","max_attempts":4,"stretch":1.6}],)"
    R"("services":[{"name":"surveys","enforces_capacity":true}],"limits":{}})";
} // namespace

int wrongKind(const std::string &folder)
{
    deployment system{folder, {}};
    auto &log = system.log;
    std::vector<worker *> ofKindA;
    for (int index = 0; index < workerCount; ++index) {
        const bool isA = index < workerCount / 2;
        auto &added = system.fleet->add("surveys", system.workerIp(index + 1),
                                        {isA ? "a" : "b", "r1-" + std::to_string(1 + index / 4)}, 4000);
        if (isA) {
            ofKindA.push_back(&added);
        }
    }
    system.publish(config);
    if (!system.startHosts()) {
        log.write("the hosts are not ready");
        return 2;
    }
    deployment::sleepMs(2000);

    // More tasks than the workers of kind a can run at once.
    const std::string job = "c000000000000001";
    const std::vector<step_plan> steps{{900, 1000, 100, 900, false, "a"}};
    system.fleet->announce(job, steps);
    if (system.call(system.hosts[0], "POST", "/survey/" + job, jobBody(steps)) != 200) {
        log.write("the job was not accepted");
        return 2;
    }
    for (int round = 0; round < crashCount; ++round) {
        deployment::sleepMs(pauseMs);
        if (withTrouble()) {
            auto &target = *ofKindA[static_cast<std::size_t>(round)];
            system.fleet->crash({&target});
            deployment::sleepMs(downMs);
            target.labels.front() = "b";
            system.fleet->restart(target);
        }
    }
    deployment::sleepMs(2000);
    const auto starts = system.fleet->starts();
    const auto wrong = std::ranges::count_if(
        starts, [](const start_event &event) { return std::ranges::find(event.labels, "a") == event.labels.end(); });
    log.write(std::to_string(starts.size()) + " starts");
    log.write(wrong > 0 ? "ROUTE broken: " + std::to_string(wrong) + " starts on a worker without the label"
                        : "ROUTE held");
    return starts.empty() ? 2 : wrong > 0 ? 1 : 0;
}
} // namespace harness
