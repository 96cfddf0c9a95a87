#include "surge_sim.h"

#include <poplarpass/core.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <malloc.h>
#include <new>

using namespace poplarpass;
using namespace std::chrono_literals;

namespace
{
std::size_t allocatedBytes = 0;

constexpr std::uint64_t firstSeed = 20261203;
constexpr int runsPerCase = 5;
constexpr auto policies = std::array{"random", "round_robin", "least_outstanding", "two_choices"};

auto nanosecondsPerCall(int rounds, const std::function<void()> &work) -> double
{
    const auto start = std::chrono::steady_clock::now();
    for (int round = 0; round < rounds; ++round) {
        work();
    }
    return std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - start).count() / rounds;
}

auto median(std::vector<double> values) -> double
{
    std::ranges::sort(values);
    return values[values.size() / 2];
}

// Every tenth worker is full; the others have half of their slots in use.
auto loadedPool(int workers, request::placement_policy policy) -> request::worker_pool
{
    request::worker_pool pool{std::move(policy)};
    for (int index = 0; index < workers; ++index) {
        request::worker_view view;
        view.host = core::host_id{"w" + std::to_string(index)};
        view.zone = core::zone_id{std::to_string(index % 4)};
        view.slots = 8;
        view.connections = 64;
        view.cores = 16;
        view.memoryMb = 32'768;
        view.otherSlots = index % 10 == 9 ? 8.0 : 4.0;
        pool.addOrUpdate(std::move(view));
    }
    return pool;
}

auto placementTable() -> void
{
    std::printf("placement: ns for one choice, median of %d\n%-18s", runsPerCase, "workers");
    for (const auto *name : policies) {
        std::printf("%20s", name);
    }
    std::printf("\n");
    for (const int workers : {10, 20, 40, 80, 160, 7600}) {
        std::printf("%-18d", workers);
        for (const auto *name : policies) {
            std::mt19937_64 random{firstSeed};
            auto pool = loadedPool(workers, *request::placementByName(name));
            const int rounds = workers > 1000 ? 2'000 : 100'000;
            std::vector<double> runs;
            for (int run = 0; run < runsPerCase; ++run) {
                runs.push_back(nanosecondsPerCall(rounds, [&] {
                    if (pool.choose({}, random) == nullptr) {
                        std::abort();
                    }
                }));
            }
            std::printf("%20.0f", median(runs));
        }
        std::printf("\n");
    }
}

auto admissionTable() -> void
{
    std::mt19937_64 random{firstSeed};
    const core::monotonic_time now{1h};
    request::admission_queue queue{1'000'000};
    queue.setCapacity(80);
    std::vector<core::team_id> teams;
    for (int team = 0; team < 210; ++team) {
        teams.emplace_back("team-" + std::to_string(team));
        queue.setTeamShare(teams.back(), {1.0 + team % 5});
    }
    request::ticket_id ticket = 0;
    const auto submit = [&] {
        const auto level = static_cast<request::urgency>(random() % 3);
        (void)queue.submit({++ticket, teams[random() % teams.size()], level, 100ms, now + 1h}, now);
    };
    const auto before = allocatedBytes;
    constexpr int waiting = 20'000;
    const double submitting = nanosecondsPerCall(waiting, submit);
    const auto bytes = static_cast<double>(allocatedBytes - before) / waiting;
    std::vector<request::ticket_id> started;
    const double starting = nanosecondsPerCall(waiting / 2, [&] {
        started.push_back(*queue.next(80, now));
        queue.finished(started.back());
    });
    std::vector<request::ticket_id> rest;
    for (request::ticket_id id = 1; id <= waiting; ++id) {
        rest.push_back(id);
    }
    std::ranges::shuffle(rest, random);
    std::size_t next = 0;
    const double cancelling = nanosecondsPerCall(waiting, [&] { (void)queue.cancel(rest[next++]); });
    std::printf("admission, 210 teams, %d queued: submit %.0f ns, next and finished %.0f ns, cancel %.0f ns, "
                "%.0f bytes for each queued job\n",
                waiting, submitting, starting, cancelling, bytes);
}

auto keyTable() -> void
{
    std::mt19937_64 random{firstSeed};
    request::instant at{core::monotonic_time{1h}, core::fromUnixMilliseconds(1'800'000'000'000)};
    request::authority authority{{core::member_id{"entry-0"}, 1}};
    request::job_table jobs;
    request::key_authority keys{authority, jobs};
    request::membership list;
    list.epoch = 1;
    list.members = {{core::member_id{"entry-0"}, 1}};
    authority.foldMembership(list, at);
    authority.logReadToEnd(at.now);
    request::job_spec spec;
    spec.team = core::team_id{"team-17"};
    spec.pool = core::pool_id{"searches"};
    spec.kind = core::work_kind{"search"};
    spec.payload = std::string(200, 'x');
    constexpr int count = 100'000;
    std::vector<core::job_key> names;
    for (int index = 0; index < count; ++index) {
        names.push_back(request::makeUuid7(at.wall, random));
    }
    std::size_t next = 0;
    auto before = allocatedBytes;
    const double submitting = nanosecondsPerCall(count, [&] {
        spec.key = names[next++];
        (void)keys.submit(spec, next, at);
    });
    const double waitingBytes = static_cast<double>(allocatedBytes - before) / count;
    next = 0;
    const std::string output(100, 'y');
    const double completing =
        nanosecondsPerCall(count, [&] { (void)keys.complete(*request::packKey(names[next++]), output, at); });
    const double answeredBytes = static_cast<double>(allocatedBytes - before) / count;
    next = 0;
    const double repeating = nanosecondsPerCall(count, [&] {
        spec.key = names[next++];
        (void)keys.submit(spec, next, at);
    });
    std::printf("keys: submit %.0f ns, complete %.0f ns, repeat of an answered key %.0f ns\n", submitting, completing,
                repeating);
    std::printf("keys: %.0f bytes for a pending request with 200 bytes of input, %.0f bytes for a stored key with "
                "100 bytes of answer, %zu bytes estimated without answer\n",
                waitingBytes, answeredBytes, request::job_table::bytesPerKey());
}

auto surgeTable(bench::load pattern, std::string_view title) -> void
{
    std::printf("%s: %d entries, %d workers of %d slots, medians of seeds %llu to %llu, [least..greatest]\n",
                title.data(), bench::entryCount, bench::workerCount, bench::slotsPerWorker,
                static_cast<unsigned long long>(firstSeed),
                static_cast<unsigned long long>(firstSeed + runsPerCase - 1));
    std::printf("%-18s %-6s %26s %10s %8s %8s %8s %8s %8s %8s\n", "placement", "queue", "urgent start p99 ms",
                "over 1.9 s", "normal", "refused", "late", "surge", "busy", "rejected");
    for (const bool useAdmissionQueue : {false, true}) {
        for (const auto *name : policies) {
            std::vector<std::vector<double>> columns(8);
            for (int run = 0; run < runsPerCase; ++run) {
                const auto result =
                    bench::surge_sim{name, useAdmissionQueue, pattern, firstSeed + static_cast<std::uint64_t>(run)}
                        .run();
                const std::array figures{result.urgentStartP99Ms,
                                         result.urgentOverBound,
                                         result.normalStartP99Ms,
                                         result.refused,
                                         result.late,
                                         result.busyInSurge,
                                         result.busy,
                                         result.rejections};
                for (std::size_t column = 0; column < columns.size(); ++column) {
                    columns[column].push_back(figures[column]);
                }
            }
            const auto [least, greatest] = std::ranges::minmax(columns[0]);
            std::printf("%-18s %-6s %8.0f [%6.0f..%6.0f] %9.2f%% %8.0f %7.1f%% %7.1f%% %7.1f%% %7.1f%% %8.3f\n", name,
                        useAdmissionQueue ? "ours" : "fifo", median(columns[0]), least, greatest,
                        100 * median(columns[1]), median(columns[2]), 100 * median(columns[3]),
                        100 * median(columns[4]), 100 * median(columns[5]), 100 * median(columns[6]),
                        median(columns[7]));
        }
    }
}
} // namespace

auto operator new(std::size_t size) -> void *
{
    void *block = std::malloc(size);
    if (block == nullptr) {
        throw std::bad_alloc{};
    }
    allocatedBytes += malloc_usable_size(block) + sizeof(std::size_t);
    return block;
}

auto operator delete(void *block) noexcept -> void
{
    if (block != nullptr) {
        allocatedBytes -= malloc_usable_size(block) + sizeof(std::size_t);
    }
    std::free(block);
}

auto operator delete(void *block, std::size_t /*size*/) noexcept -> void
{
    operator delete(block);
}

auto main() -> int
{
    placementTable();
    admissionTable();
    keyTable();
    surgeTable(bench::load::surges, "surges over batch work");
    surgeTable(bench::load::steady, "steady load of 70 % of the pool");
    return 0;
}
