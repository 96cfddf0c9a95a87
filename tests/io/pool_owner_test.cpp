#include "owner_fixture.h"

using namespace tests;

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

// Guards against a copy that was overtaken by a refused one being carried out: the caller was told that it never runs.
// Guards against a copy that an earlier term of this host did not read: a later owner may have refused the attempt.
// Guards against a refusal that an owner cannot know to be true: the job may be among those that it has not read.
// Guards against an unknown outcome for a submission that certainly had no effect.
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
