#include "deployment.h"

#include <nlohmann/json.hpp>

#include <algorithm>

// Another writer leaves an entry of a service that is not named here under the id of a worker.
namespace harness
{
namespace
{
using nlohmann::json;

constexpr int workerCount = 12;
constexpr int entries = 3;
constexpr int longTasks = 6;
constexpr std::int64_t pauseMs = 6000;
constexpr std::int64_t longRunMs = 5000;

const std::string config =
    R"({"version":1,"routes":[{"name":"q-swap","hostname":"jobs.example","path_prefix":"/swap/",)"
    R"("kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":600,"priority":0,)"
    R"("service":"bookings","max_attempts":4,"stretch":1.6}],)"
    R"("services":[{"name":"bookings","enforces_capacity":true}],"limits":{}})";
} // namespace

int foreignEntry(const std::string &folder)
{
    deployment system{folder, {}};
    auto &log = system.log;
    std::vector<worker *> workers;
    for (int index = 0; index < workerCount; ++index) {
        workers.push_back(&system.fleet->add("bookings", system.workerIp(index + 1),
                                             {"a", "r1-" + std::to_string(1 + index / 4)}, 4000));
    }
    system.publish(config);
    if (!system.startHosts()) {
        log.write("the hosts are not ready");
        return 2;
    }
    deployment::sleepMs(2000);
    // The writer of the entries: a worker of another system, which is none of those and refuses all calls to others.
    http_server foreign{system.workerIp(90), [&](const http_request &request) -> std::optional<http_response> {
                            log.write("the foreign worker answers 421 to " + request.path + " for "
                                      + request.headers.at("poplarpass-expect-instance"));
                            return http_response{421, R"({"clock_ms":1000})"};
                        }};

    // Tasks on half of the workers, and short ones beside them all the time.
    const auto submit = [&](const std::string &job, const step_plan &step) {
        system.fleet->announce(job, {step});
        return system.call(system.hosts[0], "POST", "/swap/" + job, jobBody({step})) == 200;
    };
    int number = 0;
    const auto nextJob = [&] {
        char text[32];
        std::snprintf(text, sizeof text, "%016x", 0xe0000 + ++number);
        return std::string{text};
    };
    for (int round = 0; round < entries; ++round) {
        const auto job = nextJob();
        if (!submit(job, {longTasks, 3000, 100, longRunMs, false})
            || !system.waitFor(4000, [&] { return system.fleet->runningOf(job) == longTasks; })) {
            log.write("the tasks were not accepted or did not start");
            return 2;
        }
        auto &target = **std::ranges::find_if(
            workers, [&](const worker *candidate) { return system.fleet->runsTaskOf(*candidate, job); });
        if (withTrouble()) {
            system.fleet->writeEntryNow(target);
            log.write("another writer leaves an entry under " + target.id);
            const auto bornMs = std::chrono::duration_cast<std::chrono::milliseconds>(
                                    std::chrono::system_clock::now().time_since_epoch())
                                    .count();
            system.store->put("keyed.servers", target.id,
                              json{{"service", "legacy-desk"},
                                   {"address", foreign.address()},
                                   {"zone", "zone-a"},
                                   {"version", "v1"},
                                   {"slots", 8},
                                   {"state", "ready"},
                                   {"cold_remaining_ms", 0},
                                   {"capacity", {{"cpu", 4000}, {"mem_mb", 16000}, {"gpu", 0}}},
                                   {"labels", {"a", "r1-1"}},
                                   {"clock_ms", 1000},
                                   {"born", bornMs},
                                   {"seq", 1}}
                                  .dump());
        }
        const auto end = log.elapsedMs() + pauseMs;
        while (log.elapsedMs() < end) {
            submit(nextJob(), {workerCount / 2, 500, 100, 200, false});
            deployment::sleepMs(150);
        }
    }
    const auto concurrent = system.fleet->concurrentStarts();
    for (const auto &start : concurrent) {
        log.write("started twice: " + start);
    }
    log.write(concurrent.empty() ? "TWICE held"
                                 : "TWICE broken: " + std::to_string(concurrent.size())
                      + " tasks were started while another worker ran them");
    return concurrent.empty() ? 0 : 1;
}
} // namespace harness
