#include "deployment.h"

// The store turns the leader away when it has just stored a job, and the key of the job's tenant is taken away.
namespace harness
{
namespace
{
constexpr std::int64_t silentMs = 7000;
constexpr std::int64_t watchMs = 8000;

std::string configOf(int version, const std::string &keys)
{
    return R"({"version":)" + std::to_string(version)
        + R"(,"routes":[{"name":"q-pay","hostname":"jobs.example","path_prefix":"/pay/",)"
          R"("kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":600,"priority":0,)"
          R"("service":"payouts","max_attempts":4,"stretch":1.6}],)"
          R"("services":[{"name":"payouts","enforces_capacity":true}],)"
          R"("tenants":[{"name":"clinic","api_keys":[)"
        + keys + R"(],"weight":4.0,"cap":{"cpu":0,"mem_mb":0,"gpu":0}}],"limits":{}})";
}
} // namespace

int rejectedButRuns(const std::string &folder)
{
    deployment_options options;
    options.revokeMs = 5000;
    deployment system{folder, options};
    auto &log = system.log;
    for (int index = 0; index < 4; ++index) {
        system.fleet->add("payouts", system.workerIp(index + 1), {"a", "r1-1"}, 8000);
    }
    system.publish(configOf(1, R"("key-old","key-new")"));
    if (!system.startHosts()) {
        log.write("the hosts are not ready");
        return 2;
    }
    deployment::sleepMs(3000);
    auto *owner = system.owner();
    if (owner == nullptr) {
        return 2;
    }
    const auto &entrance = owner == &system.hosts[0] ? system.hosts[1] : system.hosts[0];
    log.write("the leader is " + owner->name);

    const std::string job = "b000000000000001";
    const std::vector<step_plan> steps{{1, 1000, 100, 500, false, ""}};
    system.fleet->announce(job, steps);
    std::atomic<bool> struck{false};
    if (withTrouble()) {
        system.store->onAppended = [&](const append_event &event) {
            for (const auto &entry : event.records) {
                if (event.topic.starts_with("keyed.") && entry.key.find(job) != std::string::npos
                    && !struck.exchange(true)) {
                    // platform_down nodes leader silent revoke
                    system.store->setSilent(owner->door, true);
                    log.write("the store has stored the job and turns away " + owner->name);
                    system.publish(configOf(3, R"("key-new")"));
                }
            }
        };
    }
    const int status =
        system.call(entrance, "POST", "/pay/" + job, jobBody(steps), {{"Authorization", "Bearer key-old"}});
    if (!withTrouble()) {
        const bool ran = system.waitFor(watchMs, [&] { return system.fleet->isDone(job + ".0.0.0"); });
        log.write(ran && status == 200 ? "REFUSED held: accepted and run" : "without trouble: not accepted or not run");
        return ran && status == 200 ? 0 : 2;
    }
    deployment::sleepMs(silentMs);
    system.store->setSilent(owner->door, false);
    system.waitFor(watchMs, [&] { return !system.fleet->starts().empty(); });
    const bool ran = !system.fleet->starts().empty();
    // A client repeats its request after no answer, a broken connection, a 502 or a 504; any other status is final.
    const bool rejected = status >= 400 && status != 502 && status != 504;
    if (!struck || status == 0) {
        log.write("the job was not stored, or the client got no answer");
        return struck ? 0 : 2;
    }
    log.write(rejected && ran ? "REFUSED broken: the only attempt was rejected with " + std::to_string(status)
                      + ", and the task has started"
                              : "REFUSED held: status " + std::to_string(status) + (ran ? ", ran" : ", did not run"));
    return rejected && ran ? 1 : 0;
}
} // namespace harness
