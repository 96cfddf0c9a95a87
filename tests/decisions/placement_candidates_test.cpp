#include "jobs_fixture.h"
#include "test_seed.h"

#include <poplarpass/jobs/placement_candidates.h>
#include <poplarpass/jobs/task_placement.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <set>
#include <tuple>

using namespace tests::jobs_fixture;

namespace
{
using jobs::internal::placement_candidates;

/// \brief Workers with random usage, in four racks.
struct random_pool
{
    explicit random_pool(std::mt19937_64 &random)
    {
        const auto count = 1 + random() % 30;
        slots.resize(count);
        for (std::size_t index = 0; index < count; ++index) {
            auto &slot = slots[index];
            slot.entry = worker("w" + std::to_string(100 + index));
            slot.entry.labels = {random() % 2 == 0 ? "small" : "large", "rack-" + std::to_string(random() % 4)};
            slot.used = {static_cast<std::int64_t>(random() % 17) * 1000, 0, 0};
            slot.bestEffortRuns = random() % 4 == 0 ? 1 : 0;
            slot.servingRuns = random() % 4 == 0 ? 1 : 0;
            workers.push_back(&slot);
        }
    }

    std::vector<jobs::worker_slot> slots;
    std::vector<jobs::worker_slot *> workers;
};

auto randomStep(std::mt19937_64 &random) -> jobs::step_spec
{
    auto spec = step(12, 1000 + static_cast<std::int64_t>(random() % 6) * 1000);
    spec.requirement = random() % 4 == 0 ? "large" : "";
    spec.affinityRack = random() % 4 == 0 ? "rack-1" : "";
    spec.rackLocal = random() % 3 == 0;
    spec.antiAffinity = random() % 3 == 0 ? 2 : 0;
    spec.bestEffort = random() % 5 == 0;
    spec.target = std::chrono::milliseconds{random() % 3 == 0 ? 100 : 0};
    return spec;
}

/// \brief Chooses by comparing all workers.
auto chooseFromAll(const jobs::multistep_job_record &job, const random_pool &pool) -> jobs::worker_slot *
{
    const auto &spec = job.spec.steps[0];
    const auto need = jobs::internal::requiredResources(spec);
    std::set<std::string_view> racks;
    for (const auto *candidate : pool.workers) {
        if (!candidate->placed.empty()) {
            racks.insert(jobs::internal::rackOf(*candidate));
        }
    }
    const auto isSuitable = [&](const jobs::worker_slot &candidate) {
        return candidate.free().holds(need) && (spec.requirement.empty() || candidate.hasLabel(spec.requirement))
            && (spec.antiAffinity == 0 || candidate.placed.size() < spec.antiAffinity);
    };
    const auto rankOf = [&](const jobs::worker_slot &candidate) {
        const bool interferes =
            spec.bestEffort ? candidate.servingRuns > 0 : spec.target.count() > 0 && candidate.bestEffortRuns > 0;
        const int racksMatched = (!spec.affinityRack.empty() && candidate.hasLabel(spec.affinityRack) ? 1 : 0)
            + (spec.rackLocal && racks.contains(jobs::internal::rackOf(candidate)) ? 1 : 0);
        return std::tuple{interferes, -racksMatched, candidate.free().cpu};
    };
    jobs::worker_slot *best = nullptr;
    for (auto *candidate : pool.workers) {
        if (isSuitable(*candidate) && (best == nullptr || rankOf(*candidate) < rankOf(*best))) {
            best = candidate;
        }
    }
    return best;
}
} // namespace

TEST_CASE("The order by free processor time leads to the same workers as comparing all of them", "[jobs][placement]")
{
    std::mt19937_64 random{tests::baseSeed()};
    for (int round = 0; round < 500; ++round) {
        CAPTURE(tests::baseSeed(), round);
        random_pool pool{random};
        const auto job = jobs::makeJob(jobs::job_id{"job"}, queue(), jobOf({randomStep(random)}), wallAt(0));
        placement_candidates candidates{pool.workers};
        for (std::uint32_t index = 0; index < job.spec.steps[0].taskCount; ++index) {
            auto *expected = chooseFromAll(job, pool);
            auto *chosen = candidates.choose(job, 0, 0);
            REQUIRE(chosen == expected);
            if (chosen == nullptr) {
                break;
            }
            chosen->placed.insert({job.id, 0, 0, index});
            jobs::internal::addUsage(*chosen, job.spec.steps[0]);
            candidates.updateUsage(*chosen);
        }
    }
}

TEST_CASE("A full pool starts waiting jobs by rank as soon as a worker has room", "[jobs][placement]")
{
    auto engine = engineWith({worker("a")});
    const auto submit = [&](const std::string &id, std::int64_t estimateMs) {
        engine.submit(jobs::job_id{id}, queue(), jobOf({step(1, hostCpu, estimateMs)}), wallAt(0));
    };
    submit("first", 500);
    engine.plan(at(1), wallAt(1));
    const auto started = engine.drainOrders().starts;
    REQUIRE(started.size() == 1);
    submit("long", 900);
    submit("short", 300);
    engine.plan(at(2), wallAt(2));
    CHECK(engine.drainOrders().starts.empty());
    auto ended = report();
    ended.ended = {{1, jobs::nameOf(started[0].task), started[0].run, jobs::end_kind::done, {}}};
    engine.onReport(jobs::worker_id{"a"}, ended, at(500), at(501));
    engine.plan(at(502), wallAt(502));
    const auto next = engine.drainOrders().starts;
    REQUIRE(next.size() == 1);
    CHECK(next[0].task.job.str() == "short");
}

TEST_CASE("A gang that does not fit leaves the workers unchanged", "[jobs][placement]")
{
    auto engine = engineWith({worker("a"), worker("b")});
    auto gang = step(3, hostCpu);
    gang.gang = true;
    engine.submit(jobs::job_id{"gang"}, queue(), jobOf({gang}), wallAt(0));
    engine.submit(jobs::job_id{"small"}, queue(), jobOf({step(2, hostCpu)}), wallAt(0));
    engine.plan(at(1), wallAt(1));
    CHECK(engine.drainOrders().starts.size() == 2);
    for (const auto &[id, slot] : engine.workers().all()) {
        CHECK(slot.placed.size() == 1);
        CHECK(slot.used.cpu == hostCpu);
    }
}

TEST_CASE("A worker that publishes another pool takes tasks of that pool only", "[jobs][placement]")
{
    auto engine = engineWith({worker("a")});
    engine.updateWorkers(std::vector{worker("a", 2, "other")}, at(10));
    engine.onReport(jobs::worker_id{"a"}, report(2), at(11), at(12));
    engine.submit(jobs::job_id{"job"}, queue(), jobOf({step(1)}), wallAt(0));
    engine.plan(at(13), wallAt(13));
    CHECK(engine.drainOrders().starts.empty());
    auto otherQueue = queue();
    otherQueue.pool = core::pool_id{"other"};
    engine.submit(jobs::job_id{"second"}, otherQueue, jobOf({step(1)}), wallAt(0));
    engine.plan(at(14), wallAt(14));
    CHECK(engine.drainOrders().starts.size() == 1);
}
