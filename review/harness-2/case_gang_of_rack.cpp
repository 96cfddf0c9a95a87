#include "deployment.h"

// All workers of a rack crash soon after the members of a gang have started there. The gang never starts again.
namespace harness
{
namespace
{
constexpr int workersPerRack = 4;
constexpr int racks = 2;
constexpr std::int64_t runMs = 2500;
constexpr std::int64_t crashAfterMs = 500; ///< From the start of the gang to the crash.
constexpr std::int64_t downMs = 5000;
constexpr std::int64_t finishMs = 14'000; ///< finish_s of the site file.
constexpr std::int64_t idleMs = 3000; ///< The 3 s of the rule.

const std::string config = R"({"version":1,"routes":[{"name":"q-swap","hostname":"jobs.example","path_prefix":"/swap/",)"
                           R"("kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":600,"priority":0,)"
                           R"("service":"bookings","max_attempts":4,"stretch":1.6}],)"
                           R"("services":[{"name":"bookings","enforces_capacity":true}],"limits":{}})";
} // namespace

int gangOfRack(const std::string &folder)
{
    deployment system{folder, {}};
    auto &log = system.log;
    std::vector<worker *> ofRack;
    for (int index = 0; index < racks * workersPerRack; ++index) {
        const auto rack = "r1-" + std::to_string(1 + index / workersPerRack);
        auto &added = system.fleet->add("bookings", system.workerIp(index + 1), {"a", rack}, 8000);
        if (index < workersPerRack) {
            ofRack.push_back(&added);
        }
    }
    system.publish(config);
    if (!system.startHosts()) {
        log.write("the hosts are not ready");
        return 2;
    }
    deployment::sleepMs(3000);

    const std::string gang = "d000000000000001";
    step_plan step{workersPerRack, 1000, 100, runMs, true, ""};
    step.affinity = "r1-1";
    step.antiAffinity = 1;
    system.fleet->announce(gang, {step});
    if (system.call(system.hosts[0], "POST", "/swap/" + gang, jobBody({step})) != 200
        || !system.waitFor(3000, [&] { return system.fleet->runningOf(gang) == workersPerRack; })) {
        log.write("the gang was not accepted or did not start");
        return 2;
    }
    if (withTrouble()) {
        deployment::sleepMs(crashAfterMs);
        log.write("srv_crash rack");
        system.fleet->crash(ofRack);
        deployment::sleepMs(downMs);
        for (auto *target : ofRack) {
            system.fleet->restart(*target);
        }
    }

    const auto isCompleted = [&] {
        std::string answer;
        const int status = system.call(system.hosts[2], "GET", "/swap/" + gang, "", {}, &answer);
        return status == 200 && answer.find("completed") != std::string::npos;
    };
    // finish_s after the end of the traffic and of the disruption.
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
    log.write("LOST broken: the accepted job " + gang + " has nothing running for 3 s, while all workers of the service "
              + "are up and run nothing");
    return 1;
}
} // namespace harness
