#include "../../standins/collector_standin.h"
#include "../../standins/host_list_standin.h"
#include "../../standins/log_standin.h"
#include "../../standins/worker_standin.h"
#include "io_fixture.h"
#include "test_seed.h"

#include <poplarpass/platform/host_list_client.h>
#include <poplarpass/platform/log_client.h>
#include <poplarpass/platform/worker_client.h>

#include <nlohmann/json.hpp>

#include <random>

using namespace tests;
using namespace poplarpass::platform;

namespace
{
struct log_fixture : io_fixture
{
    standins::log_standin standin{loop, "127.0.0.1:0", baseSeed()};
    log_service log = makeLogService(client, standin.address());

    auto append(const std::string &id) -> core::result<log_offset>
    {
        return await<core::result<log_offset>>(
            [&](auto done) { log.append(core::record_id{id}, "payload of " + id, done); });
    }

    auto read(log_offset from, core::duration wait = 0s) -> core::result<log_page>
    {
        return await<core::result<log_page>>([&](auto done) { log.read(from, wait, done); });
    }
};

struct worker_fixture : io_fixture
{
    static constexpr auto term = 400ms;

    const std::vector<std::string> pools{"plata"};
    const std::vector<standins::inventory_host> hosts = standins::generateInventory(1, pools);
    standins::worker_standin standin{
        loop, "127.0.0.1:0", hosts, {.rebootTime = 5ms, .usageLag = 0ms, .leaseTerm = term}};
    standins::worker_endpoint &worker = *standin.workers().front();
    const std::string address = worker.address();
    worker_service service = makeWorkerService(client, std::make_shared<worker_client_counters>());
    std::uint64_t controlEpoch = 1;

    auto lease(const std::string &pool = "plata", std::uint64_t generation = 0) -> core::result<lease_response>
    {
        const lease_request request{core::member_id{"entry-1"}, core::pool_id{pool}, generation};
        return await<core::result<lease_response>>([&](auto done) { service.lease(address, request, done); });
    }

    auto beginStart(std::uint64_t leaseId, const std::string &task, core::duration runTime = 0s,
                    const std::string &kind = "search", const std::string &payload = "x")
        -> std::shared_ptr<std::optional<start_response>>
    {
        start_request request;
        request.taskId = task;
        request.attemptId = task + "-attempt";
        request.leaseId = leaseId;
        request.pool = core::pool_id{pool};
        request.kind = core::work_kind{kind};
        request.declaredRunTime = runTime;
        request.payload = payload;
        auto answer = std::make_shared<std::optional<start_response>>();
        service.start(address, request, 10s, [answer](start_response result) { *answer = std::move(result); });
        return answer;
    }

    auto awaitStart(const std::shared_ptr<std::optional<start_response>> &answer) -> start_response
    {
        runUntil([&] { return answer->has_value(); });
        return **answer;
    }

    auto start(std::uint64_t leaseId, const std::string &task) -> start_response
    {
        return awaitStart(beginStart(leaseId, task));
    }

    auto order(worker_order what, const std::string &newPool = {}, std::uint64_t generation = 0)
        -> core::result<order_response>
    {
        const order_request request{what, controlEpoch, core::pool_id{newPool}, generation};
        return await<core::result<order_response>>([&](auto done) { service.order(address, request, done); });
    }

    auto command(const std::string &task, task_command what) -> task_report
    {
        return *await<core::result<task_report>>([&](auto done) { service.command(address, task, what, done); });
    }

    auto query(const std::string &task) -> task_report
    {
        return *await<core::result<task_report>>([&](auto done) { service.query(address, task, done); });
    }

    auto changeBehaviour(const std::function<void(standins::worker_behaviour &)> &change) -> void
    {
        auto behaviour = worker.behaviour();
        change(behaviour);
        worker.setBehaviour(behaviour);
    }

    auto runFor(std::chrono::milliseconds time) -> void
    {
        bool passed = false;
        standins::timers timers{loop};
        timers.after(time, [&] { passed = true; });
        runUntil([&] { return passed; });
    }

    std::string pool = "plata";
};
} // namespace

TEST_CASE_METHOD(log_fixture, "an append whose response is lost still stores the record", "[standins]")
{
    CHECK(append("a") == 1);
    standin.setFaults({.loseNext = 4});
    for (int index = 0; index < 4; ++index) {
        CHECK(append("lost " + std::to_string(index)).error().kind == core::error_kind::log_unavailable);
    }
    CHECK(append("b") == 6);
    const auto page = read(1);
    REQUIRE(page->entries.size() == 6);
    CHECK(page->entries[4].id.str() == "lost 3");
    CHECK(page->entries[5].payload == "payload of b");
    CHECK(standin.stats().lostAnswers == 4);
}

TEST_CASE_METHOD(log_fixture, "an outage fails appends and waiting reads, and stores nothing", "[standins]")
{
    bool failed = false;
    log.read(1, 10s, [&](const core::result<log_page> &page) { failed = !page; });
    CHECK(read(1)->entries.empty());
    standin.setFaults({.outage = true});
    runUntil([&] { return failed; });
    CHECK_FALSE(append("a"));
    standin.setFaults({});
    CHECK(append("b") == 1);
}

TEST_CASE_METHOD(log_fixture, "a read waits for the next record, and returns an empty page on timeout", "[standins]")
{
    std::optional<core::result<log_page>> page;
    log.read(1, 10s, [&](core::result<log_page> result) { page = std::move(result); });
    CHECK(read(1, 5ms)->entries.empty());
    CHECK_FALSE(page);
    CHECK(append("a") == 1);
    runUntil([&] { return page.has_value(); });
    CHECK((*page)->entries.size() == 1);
}

TEST_CASE_METHOD(log_fixture, "a read of a trimmed offset is reported as such", "[standins]")
{
    for (int index = 0; index < 5; ++index) {
        CHECK(append(std::to_string(index)));
    }
    CHECK(call(standin.address(), {"POST", "/trim", {}, R"({"before":4})"}).answer->status == 200);
    CHECK(read(3).error().kind == core::error_kind::log_trimmed);
    CHECK(read(4)->firstOffset == 4);
    CHECK(read(4)->entries.size() == 2);
    CHECK(call(standin.address(), {"POST", "/fault", {}, R"({"retain_records":1})"}).answer->status == 200);
    CHECK(append("last") == 6);
    CHECK(read(6)->firstOffset == 6);
}

TEST_CASE_METHOD(log_fixture, "a slow append takes effect after its caller has timed out", "[standins]")
{
    standin.setFaults({.slowMs = 600});
    auto timedOut = begin(standin.address(), {"POST", "/append", {{"X-Record-Id", "a"}}, "x"}, 100ms);
    runUntil([&] { return timedOut->completions == 1; });
    CHECK(timedOut->sent == net::sent_state::maybe_sent);
    CHECK(standin.stats().appends == 0);
    runUntil([&] { return standin.stats().appends == 1; });
}

TEST_CASE_METHOD(io_fixture, "the host list shows changes only after its lag", "[standins]")
{
    standins::host_list_standin standin{loop, "127.0.0.1:0", 300ms};
    const auto list = makeHostList(client, standin.address());
    const auto fetch = [&] {
        return *await<core::result<std::vector<listed_host>>>([&](auto done) { list.fetch(done); });
    };
    const std::vector<std::string> pools{"a", "b"};
    auto hosts = standins::generateInventory(10, pools);
    for (const auto &host : hosts) {
        standin.add(host.listed);
    }
    CHECK(fetch().size() == 10);
    CHECK(fetch()[0].memoryMb == 32768);
    CHECK(call(standin.address(), {"POST", "/mark", {}, R"({"host":"worker-1","leaving":true})"}).answer->status
          == 200);
    CHECK(call(standin.address(), {"POST", "/remove", {}, R"({"host":"worker-2"})"}).answer->status == 200);
    CHECK(fetch().size() == 10);
    CHECK_FALSE(fetch()[0].leaving);
    runUntil([&] { return fetch().size() == 9 && fetch()[0].leaving; });
}

TEST_CASE_METHOD(io_fixture, "the collector counts spans", "[standins]")
{
    standins::collector_standin standin{loop, "127.0.0.1:0"};
    const std::string traces = R"({"resourceSpans":[{"scopeSpans":[{"spans":[{},{}]},{"spans":[{}]}]}]})";
    CHECK(call(standin.address(), {"POST", "/v1/traces", {}, traces}).answer->status == 200);
    CHECK(call(standin.address(), {"POST", "/v1/traces", {}, "{}"}).answer->status == 400);
    CHECK(call(standin.address(), {"GET", "/stats", {}, {}}).answer->body
          == R"({"rejected":1,"requests":1,"spans":3})");
}

TEST_CASE_METHOD(worker_fixture, "a task is started at most once per boot", "[standins]")
{
    const auto grant = lease()->leaseId;
    const auto first = start(grant, "t");
    CHECK(first.outcome == start_outcome::finished);
    CHECK(first.payload == "done:x");
    CHECK(start(grant, "t").reason == rejection::duplicate);
    CHECK(awaitStart(beginStart(grant, "f", 0s, "fail")).outcome == start_outcome::failed);
    CHECK(awaitStart(beginStart(grant, "l", 0s, "large", "100000")).payload.size() == 100'000);
    CHECK(query("t").state == worker_task_state::finished);
    CHECK(query("other").state == worker_task_state::never_seen);
    const auto boot = worker.bootId();
    CHECK(order(worker_order::reboot)->bootId == boot);
    runUntil([&] { return worker.bootId() != boot; });
    CHECK(query("t").state == worker_task_state::never_seen);
    CHECK(start(grant, "t").reason == rejection::lease_lapsed);
    CHECK(worker.journal().runs().size() == 3);
}

TEST_CASE_METHOD(worker_fixture, "a start under an expired lease is refused, and every renewal has its own expiry",
                 "[standins]")
{
    const auto first = lease()->leaseId;
    runFor(term / 2);
    const auto second = lease()->leaseId;
    CHECK(first != second);
    runFor(term * 5 / 8);
    CHECK(start(first, "t").reason == rejection::lease_lapsed);
    CHECK(start(second, "t").outcome == start_outcome::finished);
    CHECK(start(999, "u").reason == rejection::lease_lapsed);
    CHECK(worker.journal().runs().size() == 1);
}

TEST_CASE_METHOD(worker_fixture, "a start delayed by a freeze until its lease has expired is refused", "[standins]")
{
    const auto grant = lease()->leaseId;
    changeBehaviour([](auto &behaviour) { behaviour.freeze = true; });
    const auto delayed = beginStart(grant, "t");
    runFor(term * 2);
    CHECK_FALSE(*delayed);
    changeBehaviour([](auto &behaviour) { behaviour.freeze = false; });
    CHECK(awaitStart(delayed).reason == rejection::lease_lapsed);
    CHECK(worker.journal().runs().empty());
}

TEST_CASE_METHOD(worker_fixture, "an assignment fences off stale lease holders and stale orders", "[standins]")
{
    const auto grant = lease()->leaseId;
    const auto running = beginStart(grant, "t", 10s);
    runUntil([&] { return worker.journal().runs().size() == 1; });
    CHECK(order(worker_order::assign, "spare", 7).error().kind == core::error_kind::worker_unavailable);
    CHECK(order(worker_order::reboot).error().kind == core::error_kind::worker_unavailable);
    CHECK(command("t", task_command::stop).state == worker_task_state::stopped);
    CHECK(awaitStart(running).outcome == start_outcome::stopped);
    controlEpoch = 5;
    CHECK(order(worker_order::assign, "spare", 7)->generation == 7);
    CHECK(order(worker_order::assign, "spare", 7)->generation == 7);
    CHECK(order(worker_order::assign, "plata", 6).error().detail == "stale_generation");
    controlEpoch = 4;
    CHECK(order(worker_order::assign, "plata", 9).error().kind == core::error_kind::stale_epoch);
    CHECK(start(grant, "u").reason == rejection::wrong_pool);
    CHECK(lease().error().kind == core::error_kind::stale_epoch);
    CHECK(lease("spare", 0).error().kind == core::error_kind::stale_epoch);
    pool = "spare";
    CHECK(start(grant, "u").reason == rejection::lease_lapsed);
    CHECK(start(lease("spare", 7)->leaseId, "u").outcome == start_outcome::finished);
}

TEST_CASE_METHOD(worker_fixture, "a draining worker refuses new tasks and completes the running ones", "[standins]")
{
    const auto grant = lease()->leaseId;
    const auto running = beginStart(grant, "t", 300ms);
    runUntil([&] { return worker.journal().runs().size() == 1; });
    CHECK(order(worker_order::drain)->runningJobs == 1);
    CHECK(start(grant, "u").reason == rejection::leaving);
    CHECK(awaitStart(running).outcome == start_outcome::finished);
    CHECK(lease()->leaving);
    CHECK_FALSE(order(worker_order::undrain)->draining);
    CHECK(start(lease()->leaseId, "u").outcome == start_outcome::finished);
    const auto journal = worker.journalJson();
    CHECK(journal["refusals"]["leaving"] == 1);
    CHECK(journal["refused"][0].contains("since_drain_ms"));
}

TEST_CASE_METHOD(worker_fixture, "slots are limited, and a checkpointed task can be resumed", "[standins]")
{
    const auto grant = lease()->leaseId;
    std::vector<std::shared_ptr<std::optional<start_response>>> answers;
    for (int index = 0; index < 8; ++index) {
        answers.push_back(beginStart(grant, "t" + std::to_string(index), 10s));
    }
    runUntil([&] { return worker.journal().runs().size() == 8; });
    CHECK(start(grant, "u").reason == rejection::no_slot);
    CHECK(lease()->usedSlots == 8);
    CHECK(command("t0", task_command::checkpoint).state == worker_task_state::stopped);
    CHECK(awaitStart(answers[0]).outcome == start_outcome::stopped);
    CHECK(start(lease()->leaseId, "u").outcome == start_outcome::finished);
    const auto resumed = beginStart(lease()->leaseId, "t0", 10s);
    runUntil([&] { return worker.journal().runs().size() == 10; });
    CHECK(worker.journal().runs().back().resumed);
    CHECK(command("t0", task_command::throttle).state == worker_task_state::running);
    CHECK(command("t0", task_command::unthrottle).state == worker_task_state::running);
    CHECK(command("t0", task_command::stop).state == worker_task_state::stopped);
    CHECK(start(lease()->leaseId, "t0").reason == rejection::duplicate);
}

TEST_CASE_METHOD(worker_fixture, "a crash makes the outcome of running tasks uncertain and refuses connections",
                 "[standins]")
{
    const auto boot = worker.bootId();
    const auto running = beginStart(lease()->leaseId, "t", 10s);
    runUntil([&] { return worker.journal().runs().size() == 1; });
    changeBehaviour([](auto &behaviour) { behaviour.crash = true; });
    CHECK(awaitStart(running).outcome == start_outcome::uncertain);
    CHECK(start(1, "u").reason == rejection::unreachable);
    CHECK(worker.journal().runs()[0].outcome == "lost");
    CHECK(call(standin.controlAddress(), {"POST", "/behaviour?host=worker-1", {}, R"({"crash":false})"}).answer->status
          == 200);
    runUntil([&] { return worker.bootId() != boot; });
    CHECK(query("t").state == worker_task_state::never_seen);
    CHECK(start(lease()->leaseId, "t").outcome == start_outcome::finished);
}

TEST_CASE("the example inventory is loaded, a missing file throws", "[standins]")
{
    const auto hosts = standins::loadInventory(POPLARPASS_EXAMPLES_DIR "/plata/inventory.toml");
    REQUIRE(hosts.size() == 50);
    CHECK(hosts.front().listed.host.str() == "plata-worker-01");
    CHECK(hosts.front().listed.slots == 8);
    CHECK_FALSE(hosts.front().pool.empty());
    CHECK_THROWS(standins::loadInventory(POPLARPASS_EXAMPLES_DIR "/no-such-file.toml"));
}
