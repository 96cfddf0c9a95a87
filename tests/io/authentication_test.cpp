#include "account_fixture.h"

#include <poplarpass/host/host_peers.h>
#include <poplarpass/host/request_server.h>
#include <poplarpass/jobs/constants.h>

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace tests;
using namespace tests::accounts;

TEST_CASE("Each verb requires a key of an account, at the owner and at another host", "[accounts]")
{
    deployment system;
    for (auto *host : {&system.owner, &system.receiver}) {
        CHECK(isRefusal(system.submit(*host, ""), 401, "no_key"));
        CHECK(isRefusal(system.submit(*host, "k7"), 401, "unknown_key"));
        CHECK(isRefusal(system.state(*host, "k7"), 401, "unknown_key"));
        CHECK(
            isRefusal(system.call(*host, deployment::makeCall("DELETE", "k7", "/q/" + firstJob)), 401, "unknown_key"));
        CHECK(isRefusal(system.call(*host, deployment::makeCall("GET", "k7", "/q/")), 401, "unknown_key"));
        CHECK(system.submit(*host, "k1").status == 200);
        const auto answer = system.state(*host, "k2");
        CHECK(answer.status == 200);
        // The version is for other hosts only.
        CHECK(answer.header("X-Poplarpass-Config").empty());
    }
    // A host must not be passed by with the header that only hosts send.
    auto forged = deployment::makeCall("GET", "", "/q/" + firstJob);
    forged.headers.push_back({"X-Poplarpass-Key", poplarpass::accounts::digestOf("k1").hex()});
    CHECK(isRefusal(system.call(system.receiver, forged), 401, "no_key"));
}

TEST_CASE("A credential that cannot be read is refused, also on an anonymous route", "[accounts]")
{
    deployment system;
    for (const std::string prefix : {"/q/", "/open/"}) {
        auto duplicated = deployment::makeCall("POST", "k1", prefix + firstJob);
        duplicated.headers.push_back({"authorization", "Bearer k1"});
        CHECK(isRefusal(system.call(system.receiver, duplicated), 401, "bad_credentials"));
        auto malformed = deployment::makeCall("POST", "", prefix + firstJob);
        malformed.headers.push_back({"Authorization", "Basic k1"});
        CHECK(isRefusal(system.call(system.receiver, malformed), 401, "bad_credentials"));
        CHECK(
            isRefusal(system.submit(system.receiver, std::string(257, 'k'), firstJob, prefix), 401, "bad_credentials"));
        CHECK(isRefusal(system.submit(system.receiver, "k7", firstJob, prefix), 401, "unknown_key"));
    }
    CHECK(system.submit(system.receiver, "", firstJob, "/open/").status == 200);
}

TEST_CASE("The route is checked before the key, and the key before the method and the identifier", "[accounts]")
{
    deployment system;
    CHECK(system.call(system.receiver, deployment::makeCall("GET", "", "/none/" + firstJob)).status == 404);
    CHECK(system.call(system.receiver, deployment::makeCall("PUT", "", "/q/" + firstJob)).status == 401);
    CHECK(system.call(system.receiver, deployment::makeCall("PUT", "k1", "/q/" + firstJob)).status == 405);
    CHECK(system.call(system.receiver, deployment::makeCall("GET", "", "/q/x")).status == 401);
    CHECK(system.call(system.receiver, deployment::makeCall("GET", "k1", "/q/x")).status == 400);
}

TEST_CASE("A removed key is refused, also for a known job, and the account's other key and job go on", "[accounts]")
{
    deployment system;
    REQUIRE(system.submit(system.receiver, "k1").status == 200);
    system.publish(2, firstKeyRemoved);
    system.time.runFor(seconds{1});
    for (auto *host : {&system.owner, &system.receiver}) {
        CHECK(isRefusal(system.submit(*host, "k1"), 401, "unknown_key"));
        CHECK(isRefusal(system.state(*host, "k1"), 401, "unknown_key"));
        CHECK(system.state(*host, "k2").status == 200);
    }
}

TEST_CASE("A removed key is refused by a host that the store refuses, and present keys are served", "[accounts]")
{
    deployment system;
    REQUIRE(system.submit(system.receiver, "k1").status == 200);
    system.receiver.cutTopics = {store::topic::operator_records};
    system.time.runFor(milliseconds{100});
    system.publish(2, R"([{"name":"acme","api_keys":["k2","k3"],"weight":1}])");
    system.time.runFor(milliseconds{400});
    // Within the age the host still knows the removed key, but the owner decides.
    CHECK(isRefusal(system.state(system.receiver, "k1"), 401, "unknown_key"));
    // The answer named a newer version, so this host no longer refuses a key that it does not know.
    CHECK(system.state(system.receiver, "k3").status == 200);
    CHECK(system.receiver.forwarded.back().configVersion == 2);
    system.time.runFor(seconds{10});
    CHECK(isRefusal(system.state(system.receiver, "k1"), 401, "unknown_key"));
    CHECK(isRefusal(system.state(system.receiver, ""), 401, "no_key"));
    CHECK(system.state(system.receiver, "k3").status == 200);
}

TEST_CASE("A host whose configuration is too old asks the owner about a key that it does not know", "[accounts]")
{
    deployment system;
    system.receiver.cutTopics = {store::topic::operator_records};
    system.time.runFor(milliseconds{100});
    system.publish(2, R"([{"name":"acme","api_keys":["k3"],"weight":1}])");
    system.time.runFor(seconds{3});
    CHECK(system.submit(system.receiver, "k3").status == 200);
}

TEST_CASE("A host never uses a version older than one by which the owner answered it", "[accounts]")
{
    deployment system;
    system.receiver.cutTopics = {store::topic::operator_records};
    system.time.runFor(milliseconds{100});
    system.publish(2, firstKeyRemoved);
    system.time.runFor(milliseconds{400});
    REQUIRE(isRefusal(system.state(system.receiver, "k1"), 401, "unknown_key"));
    // An owner that has not read version 2 must not answer by version 1.
    CHECK(system.receiver.core->routes().config().version == 1);
    REQUIRE(system.submit(system.receiver, "k2").status == 200);
    CHECK(system.receiver.forwarded.back().configVersion == 2);
    system.owner.core.reset();
    REQUIRE(system.time.runUntil([&] { return system.receiver.core->ownsPools(); }));
    system.time.runFor(milliseconds{100});
    const auto answer = system.state(system.receiver, "k1");
    CHECK(answer.status >= 400);
    CHECK(answer.status != 401);
}

TEST_CASE("An owner whose configuration is too old refuses requests with a key at once", "[accounts]")
{
    deployment system;
    REQUIRE(system.submit(system.owner, "k1").status == 200);
    system.owner.cutTopics = {store::topic::operator_records};
    system.time.runFor(seconds{3});
    REQUIRE(system.owner.core->ownsPools());
    for (auto *host : {&system.owner, &system.receiver}) {
        CHECK(isRefusal(system.state(*host, "k1"), 503, "configuration_unconfirmed"));
        CHECK(isRefusal(system.submit(*host, "k1", secondJob), 503, "configuration_unconfirmed"));
        CHECK(system.answeredAfter < milliseconds{100});
        // A 503 would say that the job has not run.
        CHECK(system.submit(*host, "k1").status == 504);
        CHECK(system.submit(*host, "", "00000000000000cc", "/open/").status == 200);
    }
    system.owner.cutTopics.clear();
    system.time.runFor(seconds{1});
    CHECK(system.state(system.receiver, "k1").status == 200);
}

TEST_CASE("A request that waits for a newer version is refused once the owner's configuration is too old", "[accounts]")
{
    deployment system;
    system.owner.cutTopics = {store::topic::operator_records};
    system.time.runFor(milliseconds{700});
    system.publish(2, bothKeys);
    system.time.runFor(milliseconds{100});
    CHECK(isRefusal(system.submit(system.receiver, "k1"), 503, "configuration_unconfirmed"));
    CHECK(system.answeredAfter < maxAge);
}

TEST_CASE("An answer of the store that is read after a freeze confirms only the time of sending", "[accounts]")
{
    deployment system;
    REQUIRE(system.submit(system.owner, "k1").status == 200);
    system.owner.isFrozen = true;
    system.time.runFor(milliseconds{20});
    REQUIRE(system.owner.heldAnswers.size() == 1);
    system.publish(2, firstKeyRemoved);
    system.time.runFor(seconds{6});
    CHECK(isRefusal(system.state(system.owner, "k1"), 503, "configuration_unconfirmed"));
    system.owner.heldAnswers.front()();
    REQUIRE(system.owner.core->routes().config().version == 1);
    CHECK(isRefusal(system.state(system.owner, "k1"), 503, "configuration_unconfirmed"));
    system.owner.isFrozen = false;
    system.time.runFor(milliseconds{20});
    system.owner.heldAnswers.back()();
    system.time.runFor(milliseconds{20});
    CHECK(isRefusal(system.state(system.owner, "k1"), 401, "unknown_key"));
}

TEST_CASE("A restarted host knows no removed key and serves nothing before it has read the newest version",
          "[accounts]")
{
    deployment system;
    REQUIRE(system.submit(system.owner, "k1").status == 200);
    system.publish(2, firstKeyRemoved);
    system.receiver.core.reset();
    system.start(system.receiver, "receiver", "10.0.0.2:1", maxAge);
    CHECK(isRefusal(system.state(system.receiver, "k1"), 503, "no_configuration"));
    system.time.runFor(seconds{1});
    CHECK(isRefusal(system.state(system.receiver, "k1"), 401, "unknown_key"));
}

TEST_CASE("After an unreadable configuration requests with a key wait for a readable newer one", "[accounts]")
{
    deployment system{bothKeys, std::nullopt};
    REQUIRE(system.submit(system.owner, "k1").status == 200);
    system.publish(2, "null");
    system.time.runFor(seconds{1});
    CHECK(isRefusal(system.state(system.receiver, "k1"), 503, "configuration_unconfirmed"));
    system.publish(1, bothKeys);
    system.time.runFor(seconds{1});
    CHECK(isRefusal(system.state(system.receiver, "k1"), 503, "configuration_unconfirmed"));
    system.publish(3, bothKeys);
    system.time.runFor(seconds{1});
    CHECK(system.state(system.receiver, "k1").status == 200);
}

TEST_CASE("Without a bound on the withdrawal of keys a configuration of any age is used", "[accounts]")
{
    deployment system{bothKeys, std::nullopt};
    system.owner.cutTopics = {store::topic::operator_records};
    system.receiver.cutTopics = {store::topic::operator_records};
    system.time.runFor(seconds{30});
    CHECK(system.submit(system.receiver, "k1").status == 200);
}

TEST_CASE("A host cut off from the store and the owner refuses requests with a key at once", "[accounts]")
{
    deployment system;
    system.receiver.cutTopics = {store::topic::operator_records, store::topic::ownership};
    system.owner.isReachable = false;
    system.time.runFor(seconds{3});
    // The first request finds out that the owner does not respond.
    CHECK(isRefusal(system.submit(system.receiver, "k1"), 503, "configuration_unconfirmed"));
    CHECK(isRefusal(system.submit(system.receiver, "k1"), 503, "configuration_unconfirmed"));
    CHECK(system.answeredAfter < milliseconds{100});
    system.owner.isReachable = true;
    system.time.runFor(seconds{1});
    CHECK(system.submit(system.receiver, "k1").status == 200);
}

TEST_CASE("A job is open to its account only, also after a takeover", "[accounts]")
{
    deployment system;
    REQUIRE(system.submit(system.receiver, "k1").status == 200);
    REQUIRE(system.submit(system.receiver, "k1", secondJob).status == 200);
    REQUIRE(system.call(system.receiver, deployment::makeCall("DELETE", "k2", "/q/" + secondJob)).status == 200);
    const auto checkJobs = [&] {
        for (const auto &job : {firstJob, secondJob}) {
            CHECK(isRefusal(system.state(system.receiver, "k9", job), 403, "other_account"));
            CHECK(isRefusal(system.submit(system.receiver, "k9", job), 403, "other_account"));
            CHECK(isRefusal(system.submit(system.receiver, "", job, "/open/"), 403, "other_account"));
            CHECK(isRefusal(system.call(system.receiver, deployment::makeCall("DELETE", "k9", "/q/" + job)), 403,
                            "other_account"));
            CHECK(system.state(system.receiver, "k2", job).status == 200);
        }
    };
    checkJobs();
    system.owner.core.reset();
    REQUIRE(system.time.runUntil([&] { return system.receiver.core->ownsPools(); }));
    system.time.runFor(seconds{1});
    checkJobs();
}

// Guards against an ended job that other accounts may see once its tasks are dropped from memory.
TEST_CASE("An ended job stays closed to other accounts after its tasks are forgotten", "[accounts]")
{
    deployment system;
    REQUIRE(system.submit(system.receiver, "k1").status == 200);
    REQUIRE(system.call(system.receiver, deployment::makeCall("DELETE", "k1", "/q/" + firstJob)).status == 200);
    system.time.runFor(poplarpass::jobs::settledTaskRetention + seconds{2});
    CHECK(isRefusal(system.state(system.receiver, "k9"), 403, "other_account"));
    CHECK(system.state(system.receiver, "k2").status == 200);
}

// Guards against a job that waits for ever because its account's cap never permits a task of it.
TEST_CASE("A job that its account's cap never permits is refused at once, and the report shows it", "[accounts]")
{
    deployment system{R"([{"name":"acme","api_keys":["k1"],"weight":3,"cap":{"cpu":0,"mem_mb":0,"gpu":0}},
        {"name":"small","api_keys":["k9"],"weight":1,"cap":{"cpu":500,"mem_mb":0,"gpu":0}}])"};
    auto large = deployment::makeCall("POST", "k9", "/q/" + firstJob);
    large.body = R"({"spec":"s","steps":[{"count":1,"cpu":501,"mem_mb":1}]})";
    CHECK(isRefusal(system.call(system.receiver, large), 429, "exceeds_account_cap"));
    CHECK(system.answeredAfter < milliseconds{500});
    CHECK(system.state(system.receiver, "k9").status == 410);
    REQUIRE(system.submit(system.receiver, "k9", secondJob).status == 200);

    const auto report = system.owner.core->accountReport();
    REQUIRE(report);
    REQUIRE(report->size() == 2);
    const auto &small = report->at(1);
    CHECK(small.name == poplarpass::jobs::account_id{"small"});
    CHECK(small.weight == 1);
    CHECK(small.cap.cpu == 500);
    CHECK(small.waitingTasks == 1);
    CHECK(small.refused == std::map<std::string, std::uint64_t>{{"exceeds_account_cap", 1}});
    const auto elsewhere = system.receiver.core->accountReport();
    REQUIRE_FALSE(elsewhere);
    CHECK(elsewhere.error().areAccountsEnabled);
    CHECK(elsewhere.error().owner == "owner");
}

TEST_CASE("Of two accounts that submit one identifier while the store is slow, only the first gets the job",
          "[accounts]")
{
    deployment system;
    const auto begin = [&](const std::string &key, const std::string &job, int &status) {
        auto call = deployment::makeCall("POST", key, "/q/" + job);
        call.headers.push_back({"Host", "jobs.example"});
        auto parsed = host::parseCallerRequest(call, system.owner.core->routes());
        REQUIRE(parsed);
        system.owner.core->handleRequest(std::move(parsed->request), parsed->time,
                                         [&status](const net::http_response &response) { status = response.status; });
    };
    system.memory.appendsPaused = true;
    int inFlight = 0;
    int first = 0;
    int second = 0;
    begin("k1", firstJob, inFlight);
    system.time.runFor(milliseconds{200});
    begin("k1", secondJob, first);
    begin("k9", secondJob, second);
    system.time.runFor(milliseconds{100});
    REQUIRE(first + second == 0);
    system.memory.resumeAppends();
    REQUIRE(system.time.runUntil([&] { return inFlight != 0 && first != 0 && second != 0; }));
    CHECK(first == 200);
    CHECK(second == 403);
}

TEST_CASE("A job of an anonymous caller is open to all accounts", "[accounts]")
{
    deployment system;
    REQUIRE(system.submit(system.receiver, "", firstJob, "/open/").status == 200);
    CHECK(system.state(system.receiver, "k9").status == 200);
}

TEST_CASE("A deployment without accounts sends, stores and logs nothing about them", "[accounts]")
{
    deployment system{""};
    CHECK(system.submit(system.receiver, "k7").status == 200);
    CHECK(system.submit(system.receiver, "", secondJob).status == 200);
    auto malformed = deployment::makeCall("GET", "", "/q/" + firstJob);
    malformed.headers.push_back({"Authorization", "Basic"});
    CHECK(system.call(system.receiver, malformed).status == 200);
    const auto answer = system.state(system.owner, "k7");
    CHECK(answer.status == 200);
    CHECK(answer.header("X-Poplarpass-Config").empty());
    for (const auto &request : system.receiver.forwarded) {
        CHECK_FALSE(request.key);
    }
    for (const auto &record : system.memory.records(store::topic::jobs)) {
        CHECK(record.value.find("account") == std::string::npos);
    }
    // Configurations of any age are used.
    system.owner.cutTopics = {store::topic::operator_records};
    system.receiver.cutTopics = {store::topic::operator_records};
    system.time.runFor(seconds{10});
    CHECK(system.state(system.receiver, "").status == 200);
    for (auto *host : {&system.owner, &system.receiver}) {
        CHECK(countLines(*host, "request_refused") == 0);
        CHECK(host->metrics.render().find("authentication_refused") == std::string::npos);
    }
}

TEST_CASE("A refusal is logged and counted with its reason, and never shows the key", "[accounts]")
{
    deployment system;
    REQUIRE(system.submit(system.owner, "k1").status == 200);
    CHECK(system.state(system.owner, "k9").status == 403);
    CHECK(countLines(system.owner, "reason=other_account") == 1);
    CHECK(countLines(system.owner, "account=other") == 1);
    CHECK(system.owner.metrics.render().find(R"(poplarpass_authentication_refused_total{reason="other_account"} 1)")
          != std::string::npos);
    for (const auto *key : {"k1", "k9"}) {
        CHECK(countLines(system.owner, poplarpass::accounts::digestOf(key).hex()) == 0);
    }
}

TEST_CASE("A key that is removed while its connection is open is refused on that connection", "[accounts]")
{
    deployment system;
    REQUIRE(system.submit(system.owner, "k1").status == 200);
    boost::asio::io_context loop;
    auto &receiver = system.receiver;
    host::request_server server{loop, receiver.clock, *receiver.core, *receiver.log, receiver.metrics};
    const auto address = refusingAddress(loop);
    server.listenForCallers(address, net::server_limits{});
    raw_peer peer{loop, static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)))};
    peer.receive();
    const auto stateOverConnection = [&] {
        peer.received.clear();
        peer.send("GET /q/" + firstJob + " HTTP/1.1\r\nHost: jobs.example\r\nAuthorization: Bearer k1\r\n\r\n");
        const auto end = std::chrono::steady_clock::now() + io_fixture::waitTimeout;
        while (peer.received.find('}') == std::string::npos && std::chrono::steady_clock::now() < end) {
            loop.run_for(milliseconds{1});
            system.time.runFor(milliseconds{1});
        }
        return peer.received;
    };
    const auto served = stateOverConnection();
    CHECK(served.starts_with("HTTP/1.1 200"));
    CHECK(served.find("X-Poplarpass") == std::string::npos);
    system.publish(2, firstKeyRemoved);
    system.time.runFor(seconds{1});
    const auto refused = stateOverConnection();
    CHECK(refused.starts_with("HTTP/1.1 401"));
    CHECK(refused.find("WWW-Authenticate: Bearer") != std::string::npos);
    CHECK_FALSE(peer.closed);
    CHECK(countLines(receiver, "reason=unknown_key config=2") == 1);
    CHECK(countLines(receiver, "id=" + firstJob + " verb=state") == 1);
    CHECK(receiver.metrics.render().find(R"(poplarpass_authentication_refused_total{reason="unknown_key"} 1)")
          != std::string::npos);
    CHECK(countLines(receiver, "k1") == 0);
}

TEST_CASE("A request between hosts with an invalid digest is refused rather than taken as anonymous", "[accounts]")
{
    net::http_request call;
    call.target = "/q/" + firstJob;
    call.headers = {{"X-Poplarpass-Verb", "1"}, {"X-Poplarpass-Config", "7"}};
    REQUIRE(host::parseForwardedRequest(call));
    CHECK_FALSE(host::parseForwardedRequest(call)->key);
    const auto digest = poplarpass::accounts::digestOf("k1");
    call.headers.push_back({"X-Poplarpass-Key", digest.hex()});
    REQUIRE(host::parseForwardedRequest(call));
    CHECK(host::parseForwardedRequest(call)->key == digest);
    call.headers.back().value.back() = 'g';
    CHECK_FALSE(host::parseForwardedRequest(call));
}
