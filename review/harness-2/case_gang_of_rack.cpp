#include "deployment.h"

// All workers of a rack crash soon after a gang and another job have started there. Neither starts again.
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

const std::string config =
    R"({"version":1,"routes":[{"name":"q-swap","hostname":"jobs.example","path_prefix":"/swap/",)"
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

    // A gang near its data, and a job of one task beside it.
    const std::string gang = "d000000000000001";
    const std::string plain = "d000000000000002";
    step_plan gangStep{workersPerRack, 1000, 100, runMs, true};
    gangStep.affinity = "r1-1";
    gangStep.antiAffinity = 1;
    step_plan plainStep{1, 1000, 100, runMs, false};
    plainStep.affinity = "r1-1";
    system.fleet->announce(gang, {gangStep});
    system.fleet->announce(plain, {plainStep});
    if (system.call(system.hosts[0], "POST", "/swap/" + gang, jobBody({gangStep})) != 200
        || system.call(system.hosts[1], "POST", "/swap/" + plain, jobBody({plainStep})) != 200
        || !system.waitFor(3000, [&] {
               return system.fleet->runningOf(gang) == workersPerRack && system.fleet->runningOf(plain) == 1;
           })) {
        log.write("the jobs were not accepted or did not start");
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

    const auto isCompleted = [&](const std::string &job) {
        std::string answer;
        const int status = system.call(system.hosts[2], "GET", "/swap/" + job, "", {}, &answer);
        return status == 200 && answer.find("completed") != std::string::npos;
    };
    // finish_s after the end of the traffic and of the disruption.
    const auto end = log.elapsedMs() + finishMs;
    std::set<std::string> open{gang, plain};
    while (!open.empty() && log.elapsedMs() < end) {
        deployment::sleepMs(2000);
        std::erase_if(open, isCompleted);
    }
    const auto idleEnd = log.elapsedMs() + idleMs;
    while (!open.empty() && log.elapsedMs() < idleEnd) {
        std::erase_if(open, [&](const std::string &job) { return system.fleet->runningOf(job) > 0; });
        deployment::sleepMs(10);
    }
    std::erase_if(open, isCompleted);
    for (const auto &job : open) {
        log.write("LOST broken: the accepted job " + job + (job == gang ? ", a gang," : ", one task,")
                  + " has nothing running for 3 s, while all workers of the service are up and run nothing");
    }
    if (open.empty()) {
        log.write("LOST held: the jobs are completed or run");
    }
    return open.empty() ? 0 : 1;
}
} // namespace harness
