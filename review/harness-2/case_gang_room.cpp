#include "deployment.h"

// A worker refuses part of its starts for a while, so that gangs start in part. Afterwards a job that fits it twice
// over never starts there.
namespace harness
{
namespace
{
constexpr int workerCount = 12;
constexpr int workerCpu = 16'000;
constexpr std::int64_t occupiedMs = 5500; ///< For how long other work occupies the only worker that may run the gang.
constexpr std::int64_t waitMs = 4700; ///< How long the gang waits for it.
constexpr std::int64_t greyMs = 6500; ///< For how long the worker refuses starts; see claim.txt.
constexpr std::int64_t finishMs = 14'000; ///< finish_s of the site file.
constexpr std::int64_t idleMs = 3000; ///< The 3 s of the rule.

const std::string config =
    R"({"version":1,"routes":[{"name":"q-swap","hostname":"jobs.example","path_prefix":"/swap/",)"
    R"("kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":600,"priority":0,)"
    R"("service":"bookings","max_attempts":4,"stretch":1.6}],)"
    R"("services":[{"name":"bookings","enforces_capacity":true}],"limits":{}})";
} // namespace

int gangRoom(const std::string &folder)
{
    deployment system{folder, {}};
    auto &log = system.log;
    auto &special = system.fleet->add("bookings", system.workerIp(1), {"b", "r1-1"}, workerCpu);
    for (int index = 1; index < workerCount; ++index) {
        system.fleet->add("bookings", system.workerIp(index + 1), {"a", "r1-" + std::to_string(1 + index / 4)},
                          workerCpu);
    }
    system.publish(config);
    if (!system.startHosts()) {
        log.write("the hosts are not ready");
        return 2;
    }
    deployment::sleepMs(2000);

    const std::string occupying = "a000000000000001";
    const std::string gang = "a000000000000002";
    const std::string later = "a000000000000003";
    const std::vector<step_plan> occupyingSteps{{1, workerCpu, 100, occupiedMs, false, "b"}};
    const std::vector<step_plan> gangSteps{{6, 1000, 100, 800, true, "b"}};
    const std::vector<step_plan> laterSteps{{1, 7500, 100, 800, false, "b"}};
    system.fleet->announce(occupying, occupyingSteps);
    system.fleet->announce(gang, gangSteps);
    system.fleet->announce(later, laterSteps);

    // The gang waits until the worker has room.
    if (system.call(system.hosts[0], "POST", "/swap/" + occupying, jobBody(occupyingSteps)) != 200
        || !system.waitFor(5000, [&] { return system.fleet->runningOf(occupying) == 1; })) {
        log.write("the first job was not accepted or did not start");
        return 2;
    }
    deployment::sleepMs(occupiedMs - waitMs);
    if (system.call(system.hosts[1], "POST", "/swap/" + gang, jobBody(gangSteps)) != 200) {
        log.write("the gang was not accepted");
        return 2;
    }
    deployment::sleepMs(waitMs - 500);
    if (withTrouble()) {
        log.write("srv_grey: worker " + special.id + " refuses the start of one member in six, having done nothing");
        system.fleet->refuseStart = [&](const worker &target, const std::string &task) -> std::optional<int> {
            return target.id == special.id && task == gang + ".0.0.0" ? std::optional{503} : std::nullopt;
        };
        deployment::sleepMs(greyMs);
        system.fleet->refuseStart = nullptr;
        log.write("srv_grey ends");
    }

    const auto isCompleted = [&](const std::string &job) {
        std::string answer;
        const int status = system.call(system.hosts[2], "GET", "/swap/" + job, "", {}, &answer);
        return status == 200 && answer.find("completed") != std::string::npos;
    };
    if (!system.waitFor(15'000, [&] {
            deployment::sleepMs(500);
            return isCompleted(gang);
        })) {
        log.write("the gang did not end");
        return 2;
    }
    if (system.call(system.hosts[1], "POST", "/swap/" + later, jobBody(laterSteps)) != 200) {
        log.write("the last job was not accepted");
        return 2;
    }
    // finish_s after the end of the traffic and of the disruption.
    const auto end = log.elapsedMs() + finishMs;
    while (log.elapsedMs() < end) {
        deployment::sleepMs(2000);
        if (isCompleted(later)) {
            log.write("LOST held: the job is completed");
            return 0;
        }
    }
    const auto idleEnd = log.elapsedMs() + idleMs;
    while (log.elapsedMs() < idleEnd) {
        if (system.fleet->runningOf(later) > 0) {
            log.write("LOST held: the job runs");
            return 0;
        }
        deployment::sleepMs(10);
    }
    if (isCompleted(later)) {
        log.write("LOST held: the job is completed");
        return 0;
    }
    log.write("LOST broken: the accepted job " + later + " (7,500 of cpu) has nothing running for 3 s, while worker "
              + special.id + " (" + std::to_string(workerCpu) + ") runs "
              + std::to_string(system.fleet->runningOn(special)) + " tasks");
    return 1;
}
} // namespace harness
