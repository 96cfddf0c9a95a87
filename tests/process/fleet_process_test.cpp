#include "deployment.h"
#include "load.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <future>
#include <iostream>

using namespace tests;
using nlohmann::json;

namespace
{
constexpr int quickDemand = 20;
constexpr std::chrono::seconds roleLimit{20};

auto makeReady(deployment &fleet) -> void
{
    REQUIRE(fleet.publish(quickDemand).find("accepted") != std::string::npos);
    REQUIRE(fleet.awaitReady());
}

auto requireClean(load &callers, deployment &fleet) -> verdict
{
    const auto all = callers.finish();
    auto result = check(all, fleet.journal());
    std::cout << "answered=" << result.answered << " finished=" << result.finished << " not_run=" << result.notRun
              << " unknown=" << result.unknown << " broken=" << result.broken << '\n';
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

auto awaitMore(load &callers, std::size_t more) -> void
{
    const auto target = callers.count() + more;
    REQUIRE(deployment::eventually([&] { return callers.count() >= target; }));
}

auto holderOf(deployment &fleet) -> std::string
{
    return fleet.status("entry-1").value("control", json::object()).value("holder", "");
}
} // namespace

TEST_CASE("a key sent to all entries concurrently runs once and gets the same answer from each", "[process]")
{
    deployment fleet{3, 1, 8};
    makeReady(fleet);
    for (int round = 0; round < 20; ++round) {
        const auto key = mintKey();
        std::vector<std::future<call_answer>> answers;
        for (const auto &entry : fleet.entries()) {
            answers.push_back(std::async(std::launch::async, [&fleet, entry, key] {
                return httpCall(fleet.callers(entry), "POST", "/v1/jobs", jobBody(key, 20));
            }));
        }
        for (auto &answer : answers) {
            const auto got = answer.get();
            CAPTURE(got.body);
            CHECK(got.status == 200);
            CHECK(json::parse(got.body).value("output", "") == "done:" + key);
        }
        CHECK(deployment::startsOf(fleet.journal(), key) == 1);
    }
}

TEST_CASE("no job runs twice when an entry is killed and restarted", "[process]")
{
    deployment fleet{3, 1, 8};
    makeReady(fleet);
    load callers{fleet, 6, 50};
    awaitMore(callers, 40);
    fleet.process("entry-2").signal(SIGKILL);
    awaitMore(callers, 40);
    fleet.start("entry-2");
    awaitMore(callers, 40);
    requireClean(callers, fleet);
}

TEST_CASE("no job runs twice when an entry is suspended until its removal and resumed", "[process]")
{
    deployment fleet{3, 1, 8};
    makeReady(fleet);
    load callers{fleet, 6, 50};
    awaitMore(callers, 40);
    fleet.process("entry-2").signal(SIGSTOP);
    REQUIRE(
        deployment::eventually([&] { return fleet.status("entry-1").value("members", json::array()).size() == 3; }));
    awaitMore(callers, 20);
    fleet.process("entry-2").signal(SIGCONT);
    REQUIRE(fleet.process("entry-2").waitForLine("event=member_removed"));
    awaitMore(callers, 20);
    requireClean(callers, fleet);
}

TEST_CASE("during a log outage jobs are still served and a publication reports that nothing was accepted", "[process]")
{
    deployment fleet{3, 1, 8};
    makeReady(fleet);
    const auto before = fleet.status("entry-1").value("revision", 0);
    load callers{fleet, 4, 20};
    awaitMore(callers, 20);
    fleet.logFault({{"outage", true}});
    awaitMore(callers, 100);
    const auto told = fleet.publish(quickDemand + 1);
    CHECK(told.find("nothing was accepted") != std::string::npos);
    awaitMore(callers, 50);
    const auto during = requireClean(callers, fleet);
    CHECK(during.unknown == 0);
    CHECK(during.notRun == 0);
    fleet.logFault({{"outage", false}});
    CHECK(fleet.publish(quickDemand + 1).find("accepted") != std::string::npos);
    for (const auto &entry : fleet.entries()) {
        CHECK(deployment::eventually([&] { return fleet.status(entry).value("revision", 0) > before; }));
    }
}

TEST_CASE("an entry restarted during a log outage loads the configuration from its peers", "[process]")
{
    deployment fleet{3, 1, 8};
    makeReady(fleet);
    const auto revision = fleet.status("entry-1").value("revision", 0);
    fleet.logFault({{"outage", true}});
    fleet.process("entry-3").signal(SIGKILL);
    fleet.start("entry-3");
    CHECK(deployment::eventually([&] { return fleet.status("entry-3").value("revision", 0) == revision; }));
    CHECK(deployment::eventually([&] {
        return httpCall(fleet.callers("entry-3"), "POST", "/v1/jobs",
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
    const auto texts = first.get() + second;
    CHECK(texts.find("revision accepted") != std::string::npos);
    CHECK(texts.find("revision_conflict") != std::string::npos);
}

TEST_CASE("a wave keeps the spare capacity, interrupts no job and survives a crash of the control role's holder",
          "[process]")
{
    deployment fleet{2, 3, 12};
    makeReady(fleet);
    load callers{fleet, 6, 100};
    awaitMore(callers, 20);
    CHECK(fleet.run({"wave", "start", "wave-1"}).find("accepted") != std::string::npos);
    const auto out = [&] {
        const auto waves = fleet.status("entry-1").value("waves", json::array());
        return waves.empty() ? 0 : waves.back().value("hosts_out", 0);
    };
    REQUIRE(deployment::eventually([&] { return out() > 0; }));
    const auto holder = holderOf(fleet);
    fleet.process(holder).signal(SIGKILL);
    REQUIRE(deployment::eventually(
        [&] {
            const auto now = holderOf(fleet);
            return !now.empty() && now != holder;
        },
        roleLimit));
    int least = 1000;
    REQUIRE(deployment::eventually(
        [&] {
            const auto status = fleet.status("entry-1");
            for (const auto &pool : status.value("pools", json::array())) {
                least = std::min(least, pool.value("spare_slots", 0));
            }
            const auto waves = status.value("waves", json::array());
            return !waves.empty() && waves.back().value("finished", false);
        },
        std::chrono::seconds{90}));
    CHECK(least >= 0);
    requireClean(callers, fleet);
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
    makeReady(fleet);
    std::vector<std::future<call_answer>> answers;
    std::vector<std::string> keys;
    for (int index = 0; index < 20; ++index) {
        keys.push_back(mintKey());
        answers.push_back(std::async(std::launch::async, [&fleet, key = keys.back()] {
            return httpCall(fleet.callers("entry-1"), "POST", "/v1/jobs", jobBody(key, 1500));
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
    const auto ended = fleet.process("entry-1").waitForExit();
    REQUIRE(ended);
    CHECK(*ended == 0);
    // The keys were handed over: a repeat at another entry gets the answer without a second run.
    for (const auto &key : keys) {
        const auto again = httpCall(fleet.callers("entry-2"), "POST", "/v1/jobs", jobBody(key, 1500));
        CHECK(again.status == 200);
        CHECK(deployment::startsOf(fleet.journal(), key) == 1);
    }
}

TEST_CASE("no job runs twice when links between entries fail in one or both directions", "[process]")
{
    deployment fleet{3, 1, 8};
    makeReady(fleet);
    load callers{fleet, 6, 30};
    awaitMore(callers, 40);
    for (const auto *cut : {"to_server", "to_client", "both"}) {
        fleet.cutPeer("entry-1", {{"cut", cut}});
        awaitMore(callers, 20);
        fleet.cutPeer("entry-1", {{"cut", "none"}});
        awaitMore(callers, 20);
    }
    fleet.cutPeer("entry-2", {{"delay_ms", 120}});
    awaitMore(callers, 20);
    requireClean(callers, fleet);
}
