#include "host_fixture.h"

#include <poplarpass/host/constants.h>
#include <poplarpass/jobs/constants.h>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace tests;

namespace
{
constexpr std::string_view jobText = "one task";

/// \brief An owner with one worker whose renewal responses are controlled by the test.
struct owner_fixture
{
    fakes::stepped_time time;
    memory_store memory{time};
    core::time_source clock = time.source();
    store::record_store records = memory.calls();
    poplarpass::observe::logger log{discardingLoggerOptions()};
    poplarpass::observe::metrics_registry metrics;
    poplarpass::route::route_table routes;
    host::worker_calls workers;
    host::advice_calls advice;
    host::host_calls hosts;
    std::map<std::string, std::string> operatorRecords;
    std::vector<jobs::start_order> starts;
    std::vector<host::renewal_call> renewals;
    std::vector<std::function<void(host::renewal_answer)>> renewalAnswers;
    jobs::renewal_report report;
    host::platform_decoders decoders;
    bool ownershipLost = false;
    std::unique_ptr<host::pool_owner> owner;

    explicit owner_fixture(bool enforcesCapacity = true)
    {
        poplarpass::route::route_config config;
        config.version = 1;
        poplarpass::route::route entry;
        entry.hostName = "jobs.example";
        entry.pathPrefix = "/q/";
        entry.queue.name = jobs::queue_id{"queue"};
        entry.queue.pool = core::pool_id{"pool"};
        config.routes = {entry};
        config.pools = {{core::pool_id{"pool"}, enforcesCapacity, false}};
        routes.update(config);
        memory.put(store::topic::worker_records, "w1", "entry");
        report.incarnation = 5;
        report.clockMs = 1000;
        workers.renew = [this](const host::renewal_call &call, std::function<void(host::renewal_answer)> done) {
            renewals.push_back(call);
            if (renewals.size() == 1) {
                time.after(callTime, [this, done] { done({host::renewal_outcome::reported, report}); });
            } else {
                renewalAnswers.push_back(std::move(done));
            }
        };
        workers.start = [this](const host::worker_target &, const jobs::start_order &order, std::int64_t,
                               const std::function<void(jobs::run_start_answer)> &done) {
            starts.push_back(order);
            time.after(callTime, [done] { done(jobs::run_start_answer::started); });
        };
        workers.stop = [](const host::worker_target &, const jobs::stop_order &,
                          const std::function<void(jobs::stop_answer)> &) {
        };
        hosts.list = [](const auto &) {
        };
        decoders.decodeJob = decodeJob;
        decoders.decodeWorker = [](std::string_view id, std::string_view) -> core::result<jobs::worker_entry> {
            return decodeWorker(id);
        };
    }

    static auto decodeWorker(std::string_view id) -> jobs::worker_entry
    {
        jobs::worker_entry entry;
        entry.id = jobs::worker_id{std::string{id}};
        entry.incarnation = 5;
        entry.pool = core::pool_id{"pool"};
        entry.address = "10.0.0.1:80";
        entry.capacity = {16'000, 32'000, 0};
        return entry;
    }

    static auto decodeJob(std::string_view text) -> core::result<jobs::multistep_job_spec>
    {
        if (text != jobText) {
            return core::failure(core::error_kind::invalid_request, "unknown");
        }
        jobs::multistep_job_spec spec;
        spec.steps.resize(1);
        spec.steps[0].taskCount = 1;
        return spec;
    }

    auto begin(std::uint64_t epoch) -> void
    {
        host::pool_owner_environment environment{
            clock,
            records,
            workers,
            routes,
            log,
            metrics,
            decoders,
            advice,
            hosts,
            "host-1",
            std::chrono::seconds{3},
            [this]() -> const std::map<std::string, std::string> & { return operatorRecords; },
            [this] {
                ownershipLost = true;
            }};
        owner =
            std::make_unique<host::pool_owner>(std::move(environment), epoch, time.now(), std::vector<std::string>{});
        owner->start();
    }

    static auto request(host::client_verb verb, const std::string &job, std::string_view body = {})
        -> host::client_request
    {
        host::client_request result;
        result.verb = verb;
        result.job = jobs::job_id{job};
        result.hostName = "jobs.example";
        result.path = "/q/" + job;
        result.body = body;
        return result;
    }

    auto send(const host::client_request &request, int &status) -> void
    {
        owner->handle(request, [&status](const poplarpass::net::http_response &response) { status = response.status; });
    }

    auto renewTerm() -> void
    {
        owner->onRenewed(time.now(), poplarpass::owner::longElectionTimeout);
    }
};

const std::string jobName = "00000000000000aa";
} // namespace

TEST_CASE("A submission is acknowledged, and its task started, only after it is stored", "[host]")
{
    owner_fixture fixture;
    fixture.begin(1);
    REQUIRE(fixture.time.runUntil([&] { return fixture.renewals.size() >= 2; }));
    fixture.renewTerm();
    fixture.memory.appendsPaused = true;
    int first = 0;
    int again = 0;
    int state = 0;
    fixture.send(owner_fixture::request(host::client_verb::submit, jobName, jobText), first);
    REQUIRE(fixture.time.runUntil([&] { return !fixture.memory.pausedAppends.empty(); }));
    fixture.renewTerm();
    fixture.send(owner_fixture::request(host::client_verb::submit, jobName, jobText), again);
    fixture.send(owner_fixture::request(host::client_verb::state, jobName), state);
    fixture.time.runFor(callTime);
    CHECK(first == 0);
    CHECK(again == 0);
    CHECK(state == 0);
    CHECK(fixture.starts.empty());

    fixture.memory.resumeAppends();
    CHECK(fixture.time.runUntil([&] { return first == 200 && again == 200 && state == 200; }));
    CHECK(fixture.time.runUntil([&] { return fixture.starts.size() == 1; }));
}

TEST_CASE("The end of a run is acknowledged to the worker only after it is stored", "[host]")
{
    owner_fixture fixture;
    fixture.begin(1);
    REQUIRE(fixture.time.runUntil([&] { return fixture.renewals.size() >= 2; }));
    fixture.renewTerm();
    int status = 0;
    fixture.send(owner_fixture::request(host::client_verb::submit, jobName, jobText), status);
    REQUIRE(fixture.time.runUntil([&] { return fixture.starts.size() == 1; }));
    fixture.renewTerm();
    fixture.memory.appendsPaused = true;
    fixture.report.ended = {{1, jobs::nameOf(fixture.starts[0].task), 1, jobs::end_kind::done, {}}};
    const auto renewalCount = fixture.renewals.size();
    fixture.renewalAnswers.back()({host::renewal_outcome::reported, fixture.report});
    REQUIRE(fixture.time.runUntil([&] { return !fixture.memory.pausedAppends.empty(); }));
    fixture.time.runFor(callTime);
    CHECK(fixture.renewals.size() == renewalCount);
    fixture.memory.resumeAppends();
    REQUIRE(fixture.time.runUntil([&] { return fixture.renewals.size() > renewalCount; }));
    CHECK(fixture.renewals.back().acknowledgedEnd == 1);
}

TEST_CASE("An owner whose decisions are late renews leases less often", "[host]")
{
    owner_fixture fixture;
    core::duration lateness{0};
    fixture.clock.callAfter = [&](core::duration delay, std::function<void()> callback) {
        fixture.time.after(delay + lateness, std::move(callback));
    };
    const auto timeToNextRenewal = [&] {
        fixture.begin(7);
        fixture.renewTerm();
        const auto isRenewed = [&](std::size_t count) {
            return fixture.time.runUntil([&] { return fixture.renewals.size() >= count; });
        };
        // The first renewal after an answer follows at once.
        REQUIRE(isRenewed(2));
        fixture.renewTerm();
        const auto answeredAt = fixture.time.now();
        fixture.renewalAnswers.back()({host::renewal_outcome::reported, fixture.report});
        REQUIRE(isRenewed(3));
        return fixture.time.now() - answeredAt;
    };
    SECTION("in time")
    {
        CHECK(timeToNextRenewal() < 2 * host::renewalDelay);
    }
    SECTION("late")
    {
        lateness = std::chrono::milliseconds{150};
        const auto time = timeToNextRenewal();
        CHECK(time >= host::maxRenewalDelay + lateness);
        CHECK(time < poplarpass::jobs::workerLease / 2);
    }
}

TEST_CASE("An owner with an expired term refuses requests about unknown jobs and pending counts without side effects",
          "[host]")
{
    owner_fixture fixture;
    fixture.begin(1);
    REQUIRE(fixture.time.runUntil([&] { return fixture.owner->isServing(); }));
    fixture.renewTerm();
    int status = 0;
    fixture.send(owner_fixture::request(host::client_verb::state, jobName), status);
    CHECK(status == 410);
    fixture.owner.reset();
    fixture.begin(2);
    REQUIRE(fixture.time.runUntil([&] { return fixture.owner->isServing(); }));
    fixture.time.runFor(poplarpass::owner::longElectionTimeout + callTime);
    for (const auto verb :
         {host::client_verb::state, host::client_verb::pending, host::client_verb::cancel, host::client_verb::submit}) {
        status = 0;
        fixture.send(owner_fixture::request(verb, verb == host::client_verb::pending ? "" : jobName, jobText), status);
        CHECK(status == 503);
    }
    CHECK(fixture.memory.records(store::topic::jobs).empty());
}

TEST_CASE("A fenced-off owner stops and reports an unknown outcome to its pending requests", "[host]")
{
    owner_fixture fixture;
    fixture.begin(1);
    REQUIRE(fixture.time.runUntil([&] { return fixture.owner->isServing(); }));
    fixture.renewTerm();
    store::record_append later;
    later.to = store::topic::jobs;
    later.fence = store::writer_fence{2, 0};
    bool appended = false;
    fixture.records.append(later, [&](const store::append_result &) { appended = true; });
    REQUIRE(fixture.time.runUntil([&] { return appended; }));
    int status = 0;
    fixture.send(owner_fixture::request(host::client_verb::submit, jobName, jobText), status);
    REQUIRE(fixture.time.runUntil([&] { return fixture.ownershipLost; }));
    fixture.owner.reset();
    CHECK(status == host::outcomeUnknownStatus);
}

TEST_CASE("Submissions beyond the queue limit are refused at once and never run", "[host]")
{
    owner_fixture fixture;
    fixture.begin(1);
    REQUIRE(fixture.time.runUntil([&] { return fixture.renewals.size() >= 2; }));
    fixture.renewTerm();
    fixture.memory.appendsPaused = true;
    int first = 0;
    fixture.send(owner_fixture::request(host::client_verb::submit, jobName, jobText), first);
    REQUIRE(fixture.time.runUntil([&] { return !fixture.memory.pausedAppends.empty(); }));
    std::vector<int> statuses(host::maxWaitingRequests + 3);
    std::size_t number = 0;
    for (auto &status : statuses) {
        fixture.send(owner_fixture::request(host::client_verb::submit, std::to_string(++number), jobText), status);
    }
    CHECK(std::ranges::count(statuses, 503) == 3);
    CHECK(statuses.back() == 503);
    CHECK(statuses.front() == 0);
    fixture.memory.resumeAppends();
    REQUIRE(fixture.time.runUntil([&] { return statuses.front() == 200; }));
    for (const auto &record : fixture.memory.records(store::topic::jobs)) {
        CHECK(record.key != "j" + std::to_string(number));
    }
}

TEST_CASE("Requests still waiting when an owner resigns are answered with an unknown outcome", "[host]")
{
    owner_fixture fixture;
    fixture.begin(1);
    REQUIRE(fixture.time.runUntil([&] { return fixture.renewals.size() >= 2; }));
    fixture.renewTerm();
    int status = 0;
    fixture.send(owner_fixture::request(host::client_verb::submit, jobName, jobText), status);
    REQUIRE(fixture.time.runUntil([&] { return status == 200 && fixture.starts.size() == 1; }));
    fixture.memory.appendsPaused = true;
    REQUIRE(fixture.time.runUntil([&] { return !fixture.memory.pausedAppends.empty(); }));
    int state = 0;
    int other = 0;
    fixture.send(owner_fixture::request(host::client_verb::state, jobName), state);
    fixture.send(owner_fixture::request(host::client_verb::submit, "00000000000000bb", jobText), other);
    fixture.memory.resumeAppends();
    fixture.memory.appendsPaused = true;
    REQUIRE(fixture.time.runUntil([&] { return !fixture.memory.pausedAppends.empty(); }));
    // The run ends and the owner resigns while the state request waits, so the request is queued again behind the
    // resignation.
    fixture.report.ended = {{1, jobs::nameOf(fixture.starts[0].task), 1, jobs::end_kind::done, {}}};
    fixture.renewalAnswers.back()({host::renewal_outcome::reported, fixture.report});
    fixture.owner->resign([&] { fixture.owner.reset(); });
    CHECK(state == 0);
    fixture.memory.resumeAppends();
    REQUIRE(fixture.time.runUntil([&] { return fixture.owner == nullptr; }));
    fixture.time.runFor(std::chrono::seconds{1});
    CHECK(state == host::outcomeUnknownStatus);
}

TEST_CASE("A renewal after a failed one acknowledges no end", "[host]")
{
    owner_fixture fixture;
    fixture.begin(1);
    REQUIRE(fixture.time.runUntil([&] { return fixture.renewals.size() >= 2; }));
    fixture.renewTerm();
    int status = 0;
    fixture.send(owner_fixture::request(host::client_verb::submit, jobName, jobText), status);
    REQUIRE(fixture.time.runUntil([&] { return fixture.starts.size() == 1; }));
    fixture.report.ended = {{1, jobs::nameOf(fixture.starts[0].task), 1, jobs::end_kind::done, {}}};
    const auto renewalCount = fixture.renewals.size();
    fixture.renewalAnswers.back()({host::renewal_outcome::reported, fixture.report});
    REQUIRE(fixture.time.runUntil([&] { return fixture.renewals.size() > renewalCount; }));
    CHECK(fixture.renewals.back().acknowledgedEnd == 1);
    const auto before = fixture.renewals.size();
    fixture.renewalAnswers.back()({host::renewal_outcome::failed, {}});
    REQUIRE(fixture.time.runUntil([&] { return fixture.renewals.size() > before; }));
    CHECK(fixture.renewals.back().acknowledgedEnd == 0);
}

TEST_CASE("A job is restored by the next owner even if responses of the store were lost", "[host]")
{
    owner_fixture fixture;
    fixture.begin(1);
    REQUIRE(fixture.time.runUntil([&] { return fixture.owner->isServing(); }));
    fixture.renewTerm();
    fixture.memory.loseResponses = true;
    int status = 0;
    fixture.send(owner_fixture::request(host::client_verb::submit, jobName, jobText), status);
    const auto stored = fixture.memory.records(store::topic::jobs).size();
    REQUIRE(fixture.time.runUntil([&] { return fixture.memory.records(store::topic::jobs).size() > stored; }));
    fixture.memory.loseResponses = false;
    REQUIRE(fixture.time.runUntil([&] { return status == 200; }));
    std::size_t specs = 0;
    for (const auto &record : fixture.memory.records(store::topic::jobs)) {
        specs += record.key == "j" + jobName ? 1 : 0;
    }
    CHECK(specs == 1);

    fixture.owner.reset();
    fixture.begin(2);
    REQUIRE(fixture.time.runUntil([&] { return fixture.owner->isServing(); }));
    fixture.renewTerm();
    int state = 0;
    fixture.send(owner_fixture::request(host::client_verb::state, jobName), state);
    CHECK(fixture.time.runUntil([&] { return state == 200; }));
}

TEST_CASE("A job refused while the store is unavailable is never stored", "[host]")
{
    owner_fixture fixture;
    fixture.begin(1);
    REQUIRE(fixture.time.runUntil([&] { return fixture.owner->isServing(); }));
    fixture.renewTerm();
    fixture.memory.appendsPaused = true;
    int inFlight = 0;
    int deferred = 0;
    const std::string other = "00000000000000bb";
    fixture.send(owner_fixture::request(host::client_verb::submit, jobName, jobText), inFlight);
    REQUIRE(fixture.time.runUntil([&] { return !fixture.memory.pausedAppends.empty(); }));
    fixture.send(owner_fixture::request(host::client_verb::submit, other, jobText), deferred);
    REQUIRE(fixture.time.runUntil([&] { return deferred != 0; }));
    CHECK(deferred == 503);
    CHECK(inFlight == 0);

    fixture.memory.resumeAppends();
    REQUIRE(fixture.time.runUntil([&] { return inFlight != 0; }));
    CHECK(inFlight == 200);
    fixture.renewTerm();
    int state = 0;
    fixture.send(owner_fixture::request(host::client_verb::state, other), state);
    CHECK(state == 410);
    for (const auto &record : fixture.memory.records(store::topic::jobs)) {
        CHECK(record.key.find(other) == std::string::npos);
    }
}

namespace
{
/// \brief A copy of a submission; all copies of one attempt name the same owner's epoch.
auto copyOf(const std::string &job, std::uint64_t epoch, bool isRepeated) -> host::client_request
{
    auto copy = owner_fixture::request(host::client_verb::submit, job, jobText);
    copy.attempt = "host-2/1/" + job;
    copy.ownerEpoch = epoch;
    copy.isRepeated = isRepeated;
    return copy;
}
} // namespace

// Guards against a copy that was overtaken by a refused one being carried out: the caller was told that it never runs.
TEST_CASE("A late copy of a refused submission is refused again", "[host]")
{
    owner_fixture fixture;
    fixture.begin(1);
    REQUIRE(fixture.time.runUntil([&] { return fixture.owner->isServing(); }));
    fixture.time.runFor(poplarpass::owner::longElectionTimeout + callTime);
    poplarpass::net::http_response refusal;
    fixture.owner->handle(copyOf(jobName, 1, true),
                          [&](const poplarpass::net::http_response &response) { refusal = response; });
    CHECK(refusal.status == 503);
    CHECK(host::epochOf(refusal) == 1);
    fixture.renewTerm();
    int late = 0;
    fixture.send(copyOf(jobName, 1, false), late);
    CHECK(late == 503);
    int newAttempt = 0;
    auto request = copyOf(jobName, 1, false);
    request.attempt = "host-2/1/other";
    fixture.send(request, newAttempt);
    CHECK(fixture.time.runUntil([&] { return newAttempt == 200; }));
}

TEST_CASE("A deferred copy of a submission that was refused is refused when the store answers", "[host]")
{
    std::vector<int> filling(host::maxWaitingRequests - 1);
    int deferred = 0;
    int first = 0;
    owner_fixture fixture;
    fixture.begin(1);
    REQUIRE(fixture.time.runUntil([&] { return fixture.owner->isServing(); }));
    fixture.renewTerm();
    fixture.memory.appendsPaused = true;
    fixture.send(owner_fixture::request(host::client_verb::submit, jobName, jobText), first);
    REQUIRE(fixture.time.runUntil([&] { return !fixture.memory.pausedAppends.empty(); }));
    const std::string other = "00000000000000bb";
    fixture.send(copyOf(other, 1, false), deferred);
    std::size_t number = 0;
    for (auto &status : filling) {
        fixture.send(owner_fixture::request(host::client_verb::submit, std::to_string(++number), jobText), status);
    }
    int overtaking = 0;
    fixture.send(copyOf(other, 1, true), overtaking);
    CHECK(overtaking == 503);
    fixture.memory.resumeAppends();
    REQUIRE(fixture.time.runUntil([&] { return deferred != 0; }));
    CHECK(deferred == 503);
    for (const auto &record : fixture.memory.records(store::topic::jobs)) {
        CHECK(record.key != "j" + other);
    }
}

// Guards against a copy that an earlier term of this host did not read: a later owner may have refused the attempt.
TEST_CASE("A copy that was sent to another epoch is not carried out", "[host]")
{
    owner_fixture fixture;
    fixture.begin(3);
    REQUIRE(fixture.time.runUntil([&] { return fixture.owner->isServing(); }));
    fixture.renewTerm();
    poplarpass::net::http_response answer;
    fixture.owner->handle(copyOf(jobName, 1, false),
                          [&](const poplarpass::net::http_response &response) { answer = response; });
    CHECK(answer.status == host::notOwnerStatus);
    CHECK(host::epochOf(answer) == 3);
}

// Guards against a refusal that an owner cannot know to be true: the job may be among those that it has not read.
TEST_CASE("An owner that has not restored the jobs does not rule out other copies", "[host]")
{
    std::vector<int> filling(host::maxWaitingRequests);
    owner_fixture fixture;
    fixture.begin(1);
    for (auto &status : filling) {
        fixture.send(owner_fixture::request(host::client_verb::submit, jobName, jobText), status);
    }
    poplarpass::net::http_response refusal;
    fixture.owner->handle(copyOf(jobName, 1, true),
                          [&](const poplarpass::net::http_response &response) { refusal = response; });
    CHECK(refusal.status == 503);
    CHECK(host::epochOf(refusal) == 0);
}

TEST_CASE("An owner that cannot remember a refused attempt does not rule out other copies", "[host]")
{
    owner_fixture fixture;
    fixture.begin(1);
    REQUIRE(fixture.time.runUntil([&] { return fixture.owner->isServing(); }));
    fixture.time.runFor(poplarpass::owner::longElectionTimeout + callTime);
    const auto refuse = [&](const std::string &attempt) {
        auto copy = copyOf(jobName, 1, true);
        copy.attempt = attempt;
        std::uint64_t statedEpoch = 0;
        fixture.owner->handle(
            copy, [&](const poplarpass::net::http_response &response) { statedEpoch = host::epochOf(response); });
        return statedEpoch;
    };
    for (std::size_t number = 0; number < host::maxRefusedAttempts; ++number) {
        REQUIRE(refuse(std::to_string(number)) == 1);
    }
    CHECK(refuse("one more") == 0);
    CHECK(refuse("0") == 1);
    CHECK(refuse("") == 0);
    fixture.time.runFor(host::refusedAttemptRetention + callTime);
    CHECK(refuse("one more") == 1);
}

// Guards against an unknown outcome for a submission that certainly had no effect.
TEST_CASE("A deferred submission is handed back when its owner ends", "[host]")
{
    int first = 0;
    int deferred = 0;
    owner_fixture fixture;
    fixture.begin(1);
    REQUIRE(fixture.time.runUntil([&] { return fixture.owner->isServing(); }));
    fixture.renewTerm();
    fixture.memory.appendsPaused = true;
    fixture.send(owner_fixture::request(host::client_verb::submit, jobName, jobText), first);
    REQUIRE(fixture.time.runUntil([&] { return !fixture.memory.pausedAppends.empty(); }));
    fixture.send(copyOf("00000000000000bb", 1, false), deferred);
    fixture.owner.reset();
    CHECK(first == host::outcomeUnknownStatus);
    CHECK(deferred == host::notOwnerStatus);
}

TEST_CASE("Workers that do not enforce their capacity get no starts while it cannot be read", "[host]")
{
    const bool enforcesCapacity = GENERATE(true, false);
    owner_fixture fixture{enforcesCapacity};
    fixture.begin(1);
    REQUIRE(fixture.time.runUntil([&] { return fixture.renewals.size() >= 2; }));
    fixture.memory.unreadableTopic = store::topic::worker_records;
    fixture.time.runFor(host::maxCapacityAge + host::workerListPeriod);
    fixture.renewTerm();
    int status = 0;
    fixture.send(owner_fixture::request(host::client_verb::submit, jobName, jobText), status);
    CHECK(fixture.time.runUntil([&] { return status == 200; }));
    fixture.time.runFor(host::workerListPeriod);
    CHECK(fixture.starts.size() == (enforcesCapacity ? 1 : 0));
    fixture.memory.unreadableTopic.reset();
    fixture.renewTerm();
    CHECK(fixture.time.runUntil([&] { return fixture.starts.size() == 1; }));
}
