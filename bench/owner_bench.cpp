#include "owner_world.h"

#include <array>
#include <cstdio>
#include <cstdlib>

// Prints the processor time of the owner of the pools by size of the fleet, with and without a backlog of jobs.
namespace
{
using namespace std::chrono_literals;

constexpr std::array fleetSizes{50, 350, 1100, 7600};
constexpr double startsPerWorkerAndSecond = 2.0;
constexpr std::size_t backlogJobsPerWorker = 2;
constexpr auto warmUp = 3s;
constexpr auto measuredTime = 4s;

auto printRow(int workers, bool withBacklog) -> void
{
    bench::owner_world world{workers};
    world.run(warmUp);
    if (withBacklog) {
        world.submit(backlogJobsPerWorker * static_cast<std::size_t>(workers));
    }
    const auto before = world.usage();
    world.setJobRate(startsPerWorkerAndSecond * workers / bench::tasksPerJob);
    world.run(measuredTime);
    const auto after = world.usage();
    const auto starts = static_cast<double>(after.starts - before.starts);
    const auto busy = std::chrono::duration<double, std::micro>(after.busy - before.busy).count();
    const auto seconds = std::chrono::duration<double>(measuredTime).count();
    std::printf("%8d %8s %12.0f %12.1f %14.1f\n", workers, withBacklog ? "yes" : "no", starts / seconds,
                starts > 0 ? busy / starts : 0.0, busy / seconds / 1e4);
}
} // namespace

auto main(int argumentCount, char **arguments) -> int
{
    if (argumentCount > 1) {
        const auto workers = std::atoi(arguments[1]);
        printRow(workers, false);
        printRow(workers, true);
        return 0;
    }
    std::printf("owner of the pools: processor time without sockets\n");
    std::printf("%8s %8s %12s %12s %14s\n", "workers", "backlog", "starts/s", "us/start", "% of a core");
    for (const auto workers : fleetSizes) {
        printRow(workers, false);
        printRow(workers, true);
    }
}
