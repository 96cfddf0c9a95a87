#include "deployment.h"

// A worker sheds part of its starts, so a gang starts in part, and then crashes.
namespace harness
{
namespace
{
constexpr int workerCount = 12;
constexpr std::int64_t occupiedMs = 5000; ///< For how long other work occupies the only worker that may run the gang.
constexpr std::int64_t crashAfterMs = 2600; ///< From the first start of a member to the crash.
constexpr std::int64_t downMs = 3000;
constexpr std::int64_t finishMs = 14'000; ///< finish_s of the site file.
constexpr std::int64_t idleMs = 3000; ///< The 3 s of the rule.

const std::string config = R"({"version":1,"routes":[{"name":"q-swap","hostname":"jobs.example","path_prefix":"/swap/",)"
                           R"("kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":600,"priority":0,)"
                           R"("service":"bookings","max_attempts":4,"stretch":1.6}],)"
                           R"("services":[{"name":"bookings","enforces_capacity":true}],"limits":{}})";
} // namespace

int gangStuck(const std::string &folder)
{
    deployment system{folder, {}};
    auto &log = system.log;
    auto &special = system.fleet->add("bookings", system.workerIp(1), {"b", "r1-1"}, 8000);
    for (int index = 1; index < workerCount; ++index) {
        system.fleet->add("bookings", system.workerIp(index + 1),
                          {"a", "r1-" + std::to_string(1 + index / 4)}, 8000);
    }
    system.publish(config);
    if (!system.startHosts()) {
        log.write("the hosts are not ready");
        return 2;
    }
    deployment::sleepMs(2000);

    // The gang waits until the worker has room.
    const std::string occupying = "a000000000000001";
    const std::string gang = "a000000000000002";
    const std::vector<step_plan> occupyingSteps{{1, 8000, 100, occupiedMs, false, "b"}};
    const std::vector<step_plan> gangSteps{{2, 1000, 100, 800, true, "b"}};
    system.fleet->announce(occupying, occupyingSteps);
    system.fleet->announce(gang, gangSteps);
    if (system.call(system.hosts[0], "POST", "/swap/" + occupying, jobBody(occupyingSteps)) != 200
        || !system.waitFor(5000, [&] { return system.fleet->runningOf(occupying) == 1; })
        || system.call(system.hosts[1], "POST", "/swap/" + gang, jobBody(gangSteps)) != 200) {
        log.write("the jobs were not accepted");
        return 2;
    }
    if (withTrouble()) {
        // srv_grey: the worker refuses the start of one of the two members, without having done anything.
        system.fleet->refuseStart = [&, id = special.id](const worker &target,
                                                         const std::string &task) -> std::optional<int> {
            return target.id == id && task == gang + ".0.0.0" ? std::optional{503} : std::nullopt;
        };
        if (!system.waitFor(occupiedMs + 3000, [&] { return system.fleet->runningOf(gang) > 0; })) {
            log.write("the gang was not started in part");
            return 2;
        }
        deployment::sleepMs(crashAfterMs);
        // srv_crash
        system.fleet->refuseStart = nullptr;
        system.fleet->crash(special);
        deployment::sleepMs(downMs);
        system.fleet->restart(special);
    }

    // finish_s after the end of the traffic and of all disruptions.
    const auto isCompleted = [&] {
        std::string answer;
        const int status = system.call(system.hosts[2], "GET", "/swap/" + gang, "", {}, &answer);
        return status == 200 && answer.find("completed") != std::string::npos;
    };
    const auto end = log.elapsedMs() + finishMs;
    while (log.elapsedMs() < end) {
        deployment::sleepMs(2000);
        if (isCompleted()) {
            log.write("LOST held: the job is completed");
            return 0;
        }
    }
    const auto idleEnd = log.elapsedMs() + idleMs;
    while (log.elapsedMs() < idleEnd) {
        if (system.fleet->runningOf(gang) > 0) {
            log.write("LOST held: the job runs");
            return 0;
        }
        deployment::sleepMs(10);
    }
    if (isCompleted()) {
        log.write("LOST held: the job is completed");
        return 0;
    }
    log.write("LOST broken: the accepted job " + gang + " has nothing running for 3 s, while the worker that may run it "
              + "runs " + std::to_string(system.fleet->runningOn(special)) + " tasks");
    return 1;
}
} // namespace harness
