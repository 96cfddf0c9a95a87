#include "account_fixture.h"

#include <poplarpass/host/constants.h>

#include <catch2/catch.hpp>

#include <string>

using namespace tests;
using namespace tests::accounts;

namespace
{
/// \brief A change of the configuration after which the owner refuses a request of the key k1, and how it does.
struct configuration_change
{
    std::string name;
    std::function<void(deployment &)> apply;
    int status = 0; ///< Status of the refusal of a request that is sent for the first time.
};

const std::string firstKeyMoved = R"([{"name":"acme","api_keys":["k2"],"weight":1},
    {"name":"other","api_keys":["k1","k9"],"weight":1}])";

auto dropRoute(deployment &system) -> void
{
    system.memory.put(store::topic::operator_records, "config",
                      R"({"version":2,"routes":[],"services":[{"name":"p","enforces_capacity":true,"standby":false}],)"
                      R"("tenants":)"
                          + bothKeys + "}");
}

auto changes() -> std::vector<configuration_change>
{
    return {{"key removed", [](deployment &system) { system.publish(2, firstKeyRemoved); }, 401},
            {"key of another account", [](deployment &system) { system.publish(2, firstKeyMoved); }, 403},
            {"route removed", dropRoute, 404}};
}

const std::string unsettled = R"({"reason":"outcome_unknown"})";
} // namespace

// Guards against a caller that is told "not run" about a job that runs: its first copy was stored, the answer was lost,
// and the configuration changed before the next copy arrived (review case 9).
TEST_CASE("A repeated submission whose first copy was stored is not refused", "[accounts]")
{
    for (const auto &change : changes()) {
        CAPTURE(change.name);
        deployment system;
        system.owner.onAnswerLost = [&] {
            change.apply(system);
        };
        const auto answer = system.submit(system.receiver, "k1");
        CHECK(answer.status == 504);
        CHECK(answer.body == unsettled);
        // Nothing is gained by asking again.
        CHECK(system.receiver.forwarded.size() == 2);
        CHECK(countLines(system.owner, "event=request_unsettled") == 1);
        // A request that is sent for the first time has no earlier copy.
        CHECK(system.submit(system.receiver, "k1").status == change.status);
    }
}

// Guards against a cancellation that was carried out and is reported as refused.
TEST_CASE("A repeated cancellation whose first copy was carried out is not refused", "[accounts]")
{
    deployment system;
    REQUIRE(system.submit(system.receiver, "k1").status == 200);
    system.owner.onAnswerLost = [&] {
        system.publish(2, firstKeyRemoved);
    };
    const auto answer = system.call(system.receiver, deployment::makeCall("DELETE", "k1", "/q/" + firstJob));
    CHECK(answer.status == 504);
    CHECK(answer.body == unsettled);
}

// Guards against an unknown outcome where the refusal is true: no copy was stored, and a late one is refused as well.
TEST_CASE("A repeated submission of which no copy was stored is refused, and so are its late copies", "[accounts]")
{
    deployment system;
    system.owner.losesRequests = true;
    system.time.after(milliseconds{100}, [&] {
        system.owner.losesRequests = false;
        system.publish(2, firstKeyRemoved);
    });
    CHECK(isRefusal(system.submit(system.receiver, "k1"), 401, "unknown_key"));
    REQUIRE(system.receiver.forwarded.size() >= 2);
    system.publish(3, bothKeys);
    system.time.runFor(seconds{1});
    int lateStatus = 0;
    system.owner.core->handleForwardedRequest(
        system.receiver.forwarded.front(),
        [&lateStatus](const net::http_response &response) { lateStatus = response.status; });
    REQUIRE(system.time.runUntil([&] { return lateStatus != 0; }));
    CHECK(lateStatus == 503);
    CHECK(system.state(system.receiver, "k1").status == 410);
}

// Guards against the same through a request for a state, which has no effect: it is refused at once.
TEST_CASE("A repeated query is refused at once", "[accounts]")
{
    deployment system;
    REQUIRE(system.submit(system.receiver, "k1").status == 200);
    system.owner.onAnswerLost = [&] {
        system.publish(2, firstKeyRemoved);
    };
    CHECK(isRefusal(system.state(system.receiver, "k1"), 401, "unknown_key"));
}
