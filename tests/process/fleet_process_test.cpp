#include "deployment.h"
#include "load_generator.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <future>
#include <iostream>

using namespace tests;
using nlohmann::json;

namespace
{
constexpr int quickDemand = 20;
constexpr std::chrono::seconds failoverLimit{20};

auto publishAndAwaitReady(deployment &fleet) -> void
{
    REQUIRE(fleet.publish(quickDemand).find("accepted") != std::string::npos);
    REQUIRE(fleet.awaitReady());
}

auto requireNoViolations(load_generator &load, deployment &fleet) -> check_result
{
    const auto records = load.finish();
    auto result = checkRecords(records, fleet.journal());
    std::cout << "answered=" << result.answered << " finished=" << result.finished << " not_run=" << result.notRun
              << " unknown=" << result.unknown << " broken=" << result.unanswered << '\n';
    for (const auto &refusal : result.refusals) {
        std::cout << refusal << '\n';
    }
    for (const auto &violation : result.violations) {
        UNSCOPED_INFO(violation);
    }
    REQUIRE(result.violations.empty());
    REQUIRE(result.finished > 0);
    return result;
}

auto awaitMoreCalls(load_generator &load, std::size_t more) -> void
{
    const auto target = load.count() + more;
    REQUIRE(deployment::eventually([&] { return load.count() >= target; }));
}

auto controlHolder(deployment &fleet) -> std::string
{
    return fleet.status("entry-1").value("control", json::object()).value("holder", "");
}
} // namespace

TEST_CASE("a key sent to all entries concurrently runs once and gets the same answer from each", "[process]")
{
    deployment fleet{3, 1, 8};
    publishAndAwaitReady(fleet);
    for (int round = 0; round < 20; ++round) {
        const auto key = makeKey();
        std::vector<std::future<call_answer>> answers;
        for (const auto &entry : fleet.entries()) {
            answers.push_back(std::async(std::launch::async, [&fleet, entry, key] {
                return httpCall(fleet.callerAddress(entry), "POST", "/v1/jobs", jobBody(key, 20));
            }));
        }
        for (auto &answer : answers) {
            const auto response = answer.get();
            CAPTURE(response.body);
            CHECK(response.status == 200);
            CHECK(json::parse(response.body).value("output", "") == "done:" + key);
        }
        CHECK(deployment::startsOf(fleet.journal(), key) == 1);
    }
}

TEST_CASE("no job runs twice when an entry is killed and restarted", "[process]")
{
    deployment fleet{3, 1, 8};
    publishAndAwaitReady(fleet);
    load_generator load{fleet, 6, 50};
    awaitMoreCalls(load, 40);
    fleet.process("entry-2").signal(SIGKILL);
    awaitMoreCalls(load, 40);
    fleet.start("entry-2");
    awaitMoreCalls(load, 40);
    requireNoViolations(load, fleet);
}

TEST_CASE("no job runs twice when an entry is suspended until its removal and resumed", "[process]")
{
    deployment fleet{3, 1, 8};
    publishAndAwaitReady(fleet);
    load_generator load{fleet, 6, 50};
    awaitMoreCalls(load, 40);
    fleet.process("entry-2").signal(SIGSTOP);
    REQUIRE(
        deployment::eventually([&] { return fleet.status("entry-1").value("members", json::array()).size() == 3; }));
    awaitMoreCalls(load, 20);
    fleet.process("entry-2").signal(SIGCONT);
    REQUIRE(fleet.process("entry-2").waitForLine("event=member_removed"));
    awaitMoreCalls(load, 20);
    requireNoViolations(load, fleet);
}

TEST_CASE("during a log outage jobs are still served and a publication reports that nothing was accepted", "[process]")
{
    deployment fleet{3, 1, 8};
    publishAndAwaitReady(fleet);
    const auto revisionBefore = fleet.status("entry-1").value("revision", 0);
    load_generator load{fleet, 4, 20};
    awaitMoreCalls(load, 20);
    fleet.setLogFaults({{"outage", true}});
    awaitMoreCalls(load, 100);
    const auto output = fleet.publish(quickDemand + 1);
    CHECK(output.find("nothing was accepted") != std::string::npos);
    awaitMoreCalls(load, 50);
    const auto duringOutage = requireNoViolations(load, fleet);
    CHECK(duringOutage.unknown == 0);
    CHECK(duringOutage.notRun == 0);
    fleet.setLogFaults({{"outage", false}});
    CHECK(fleet.publish(quickDemand + 1).find("accepted") != std::string::npos);
    for (const auto &entry : fleet.entries()) {
        CHECK(deployment::eventually([&] { return fleet.status(entry).value("revision", 0) > revisionBefore; }));
    }
}

TEST_CASE("an entry restarted during a log outage loads the configuration from its peers", "[process]")
{
    deployment fleet{3, 1, 8};
    publishAndAwaitReady(fleet);
    const auto revision = fleet.status("entry-1").value("revision", 0);
    fleet.setLogFaults({{"outage", true}});
    fleet.process("entry-3").signal(SIGKILL);
    fleet.start("entry-3");
    CHECK(deployment::eventually([&] { return fleet.status("entry-3").value("revision", 0) == revision; }));
    CHECK(deployment::eventually([&] {
        return httpCall(fleet.callerAddress("entry-3"), "POST", "/v1/jobs",
                        R"({"pool":"quick","team":"team","idempotent":true,"run_time_ms":1})")
                   .status
            == 200;
    }));
}

TEST_CASE("of two concurrent publications one is accepted and the other reports a conflict", "[process]")
{
    deployment fleet{1, 1, 4};
    REQUIRE(fleet.publish(4).find("accepted") != std::string::npos);
    const auto base = fleet.status("entry-1");
    REQUIRE(deployment::eventually([&] { return fleet.status("entry-1").value("revision", 0) > 0; }));
    const auto revision = std::to_string(fleet.status("entry-1").value("revision", 0));
    auto first = std::async(std::launch::async, [&] { return fleet.publish(5, revision); });
    const auto second = fleet.publish(6, revision);
    const auto outputs = first.get() + second;
    CHECK(outputs.find("revision accepted") != std::string::npos);
    CHECK(outputs.find("revision_conflict") != std::string::npos);
}

TEST_CASE("a wave keeps the spare capacity, interrupts no job and survives a crash of the control role's holder",
          "[process]")
{
    deployment fleet{2, 3, 12};
    publishAndAwaitReady(fleet);
    load_generator load{fleet, 6, 100};
    awaitMoreCalls(load, 20);
    CHECK(fleet.run({"wave", "start", "wave-1"}).find("accepted") != std::string::npos);
    const auto hostsOut = [&] {
        const auto waves = fleet.status("entry-1").value("waves", json::array());
        return waves.empty() ? 0 : waves.back().value("hosts_out", 0);
    };
    REQUIRE(deployment::eventually([&] { return hostsOut() > 0; }));
    const auto holder = controlHolder(fleet);
    fleet.process(holder).signal(SIGKILL);
    REQUIRE(deployment::eventually(
        [&] {
            const auto newHolder = controlHolder(fleet);
            return !newHolder.empty() && newHolder != holder;
        },
        failoverLimit));
    int minSpareSlots = 1000;
    REQUIRE(deployment::eventually(
        [&] {
            const auto status = fleet.status("entry-1");
            for (const auto &pool : status.value("pools", json::array())) {
                minSpareSlots = std::min(minSpareSlots, pool.value("spare_slots", 0));
            }
            const auto waves = status.value("waves", json::array());
            return !waves.empty() && waves.back().value("finished", false);
        },
        std::chrono::seconds{90}));
    CHECK(minSpareSlots >= 0);
    requireNoViolations(load, fleet);
    for (const auto &worker : fleet.journal().at("workers")) {
        for (const auto &run : worker.at("runs")) {
            CHECK(run.at("outcome") == "finished");
            CHECK(run.at("leaving") == false);
        }
    }
}

TEST_CASE("an entry answers all requests in progress before a graceful shutdown", "[process]")
{
    deployment fleet{3, 1, 8};
    publishAndAwaitReady(fleet);
    std::vector<std::future<call_answer>> answers;
    std::vector<std::string> keys;
    for (int index = 0; index < 20; ++index) {
        keys.push_back(makeKey());
        answers.push_back(std::async(std::launch::async, [&fleet, key = keys.back()] {
            return httpCall(fleet.callerAddress("entry-1"), "POST", "/v1/jobs", jobBody(key, 1500));
        }));
    }
    REQUIRE(deployment::eventually([&] {
        const auto journal = fleet.journal();
        return std::ranges::all_of(keys, [&](const auto &key) { return deployment::startsOf(journal, key) == 1; });
    }));
    fleet.process("entry-1").signal(SIGTERM);
    for (auto &answer : answers) {
        CHECK(answer.get().status == 200);
    }
    const auto exitStatus = fleet.process("entry-1").waitForExit();
    REQUIRE(exitStatus);
    CHECK(*exitStatus == 0);
    // The keys were handed over: a repeat at another entry gets the answer without a second run.
    for (const auto &key : keys) {
        const auto repeated = httpCall(fleet.callerAddress("entry-2"), "POST", "/v1/jobs", jobBody(key, 1500));
        CHECK(repeated.status == 200);
        CHECK(deployment::startsOf(fleet.journal(), key) == 1);
    }
}

TEST_CASE("no job runs twice when links between entries fail in one or both directions", "[process]")
{
    deployment fleet{3, 1, 8};
    publishAndAwaitReady(fleet);
    load_generator load{fleet, 6, 30};
    awaitMoreCalls(load, 40);
    for (const auto *cut : {"to_server", "to_client", "both"}) {
        fleet.setPeerFaults("entry-1", {{"cut", cut}});
        awaitMoreCalls(load, 20);
        fleet.setPeerFaults("entry-1", {{"cut", "none"}});
        awaitMoreCalls(load, 20);
    }
    fleet.setPeerFaults("entry-2", {{"delay_ms", 120}});
    awaitMoreCalls(load, 20);
    requireNoViolations(load, fleet);
}
