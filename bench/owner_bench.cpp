#include "account_world.h"
#include "owner_world.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <string_view>
#include <vector>

// Prints the processor time of the owner of the pools by size of the fleet, with and without a backlog of jobs.
// "owner_bench accounts" prints that of the engine alone, by number of accounts.
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

constexpr std::array accountFleetSizes{350, 1100};
constexpr std::array accountCounts{0, 20, 1000};
constexpr int accountRounds = 5;

/// \brief Returns the engine's processor time for one start, microseconds.
auto timePerStart(int workers, int accounts, bool withBacklog) -> double
{
    const auto jobsPerSecond = startsPerWorkerAndSecond * workers / bench::tasksPerJob;
    bench::account_world world{workers, accounts};
    if (withBacklog) {
        world.submit(backlogJobsPerWorker * static_cast<std::size_t>(workers));
    }
    world.run(1s, jobsPerSecond);
    const auto before = world.usage();
    world.run(measuredTime, jobsPerSecond);
    const auto after = world.usage();
    const auto starts = static_cast<double>(after.starts - before.starts);
    return std::chrono::duration<double, std::micro>(after.busy - before.busy).count() / starts;
}

// The numbers of accounts are played alternately and the medians compared, as other programs share the machine.
auto printAccountRows(int workers, bool withBacklog) -> void
{
    std::array<std::vector<double>, accountCounts.size()> times;
    for (int round = 0; round < accountRounds; ++round) {
        for (std::size_t index = 0; index < accountCounts.size(); ++index) {
            times[index].push_back(timePerStart(workers, accountCounts[index], withBacklog));
        }
    }
    auto base = 0.0;
    for (std::size_t index = 0; index < accountCounts.size(); ++index) {
        std::ranges::sort(times[index]);
        const auto median = times[index][accountRounds / 2];
        base = index == 0 ? median : base;
        std::printf("%8d %8s %9d %12.2f %8.2f %8.2f %8.2f\n", workers, withBacklog ? "yes" : "no", accountCounts[index],
                    median, times[index].front(), times[index].back(), median / base);
    }
}

auto printAccounts() -> void
{
    std::printf("job engine: processor time by number of accounts, median of %d runs played alternately\n",
                accountRounds);
    std::printf("%8s %8s %9s %12s %8s %8s %8s\n", "workers", "backlog", "accounts", "us/start", "least", "most",
                "ratio");
    for (const auto workers : accountFleetSizes) {
        printAccountRows(workers, false);
        printAccountRows(workers, true);
    }
}
} // namespace

auto main(int argumentCount, char **arguments) -> int
{
    if (argumentCount > 1 && std::string_view{arguments[1]} == "accounts") {
        printAccounts();
        return 0;
    }
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
