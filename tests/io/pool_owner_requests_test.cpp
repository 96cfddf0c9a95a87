#include "owner_fixture.h"

using namespace tests;

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

// Guards against one large job that stops all others: its progress must never exceed a record (review case 1).
TEST_CASE("A job of very many tasks does not keep other jobs from being stored", "[host]")
{
    constexpr std::uint32_t manyTasks = 15'000;
    owner_fixture fixture;
    fixture.workerCpu = 1'000'000;
    fixture.specs.emplace("many tasks", owner_fixture::specOf(manyTasks));
    fixture.beginServing(1);
    int large = 0;
    int other = 0;
    fixture.send(owner_fixture::request(host::client_verb::submit, jobName, "many tasks"), large);
    REQUIRE(fixture.time.runUntil([&] { return fixture.starts.size() == manyTasks; }));
    CHECK(large == 200);
    fixture.renewTerm();
    fixture.send(owner_fixture::request(host::client_verb::submit, "00000000000000bb", jobText), other);
    CHECK(fixture.time.runUntil([&] { return other == 200 && fixture.starts.size() > manyTasks; }));
    CHECK(fixture.memory.rejectedAppends == 0);
}

TEST_CASE("A job that the store cannot hold is refused at once with 413, and nothing else waits for it", "[host]")
{
    owner_fixture fixture;
    auto spec = owner_fixture::specOf(1);
    spec.steps.resize(10'000, spec.steps[0]);
    fixture.specs.emplace("many steps", spec);
    fixture.beginServing(1);
    int large = 0;
    int other = 0;
    fixture.send(owner_fixture::request(host::client_verb::submit, jobName, "many steps"), large);
    CHECK(large == host::tooLargeStatus);
    fixture.send(owner_fixture::request(host::client_verb::submit, "00000000000000bb", jobText), other);
    CHECK(fixture.time.runUntil([&] { return other == 200; }));
}

namespace
{
/// \brief Whether any start of \p job was ordered.
auto isStarted(const owner_fixture &fixture, const std::string &job) -> bool
{
    return std::ranges::any_of(fixture.starts, [&](const auto &start) { return start.task.job.str() == job; });
}
} // namespace

// Guards against a job that runs although its caller was told that it does not exist (review case 4).
TEST_CASE("A submission that waits for the store does not run after a cancel was answered with 410", "[host]")
{
    const std::string cancelled = "00000000000000bb";
    owner_fixture fixture;
    fixture.beginServing(1);
    fixture.memory.appendsPaused = true;
    int inFlight = 0;
    int deferred = 0;
    int cancel = 0;
    fixture.send(owner_fixture::request(host::client_verb::submit, jobName, jobText), inFlight);
    REQUIRE(fixture.time.runUntil([&] { return !fixture.memory.pausedAppends.empty(); }));
    fixture.send(owner_fixture::request(host::client_verb::submit, cancelled, jobText), deferred);
    fixture.send(owner_fixture::request(host::client_verb::cancel, cancelled), cancel);
    fixture.memory.resumeAppends();
    REQUIRE(fixture.time.runUntil([&] { return inFlight != 0 && deferred != 0 && cancel != 0; }));
    CHECK(cancel == 410);
    fixture.renewTerm();
    fixture.time.runFor(std::chrono::seconds{1});
    CHECK(isStarted(fixture, jobName));
    CHECK_FALSE(isStarted(fixture, cancelled));
}

// Guards against a copy of a submission that waited at another host while its owner answered the cancel.
TEST_CASE("A submission that arrives after its cancel was answered with 410 does not run under any owner", "[host]")
{
    const bool hasOtherOwner = GENERATE(false, true);
    owner_fixture fixture;
    fixture.beginServing(1);
    int cancel = 0;
    fixture.send(owner_fixture::request(host::client_verb::cancel, jobName), cancel);
    CHECK(cancel == 0);
    REQUIRE(fixture.time.runUntil([&] { return cancel == 410; }));
    int state = 0;
    fixture.send(owner_fixture::request(host::client_verb::state, jobName), state);
    CHECK(state == 410);
    if (hasOtherOwner) {
        fixture.owner.reset();
        fixture.beginServing(2);
    }
    int late = 0;
    fixture.send(owner_fixture::request(host::client_verb::submit, jobName, jobText), late);
    REQUIRE(fixture.time.runUntil([&] { return late != 0; }));
    CHECK(late == 200);
    std::string body;
    fixture.owner->handle(owner_fixture::request(host::client_verb::state, jobName),
                          [&](const poplarpass::net::http_response &response) { body = response.body; });
    CHECK(body == R"({"state":"cancelled"})");
    fixture.renewTerm();
    fixture.time.runFor(std::chrono::seconds{1});
    CHECK(fixture.starts.empty());
}

TEST_CASE("A repeated cancel of a job that was never submitted is answered with 410 again", "[host]")
{
    owner_fixture fixture;
    fixture.beginServing(1);
    for (int attempt = 0; attempt < 2; ++attempt) {
        int cancel = 0;
        fixture.send(owner_fixture::request(host::client_verb::cancel, jobName), cancel);
        REQUIRE(fixture.time.runUntil([&] { return cancel != 0; }));
        CHECK(cancel == 410);
    }
    CHECK(fixture.memory.records(store::topic::jobs).size() == 1);
}
