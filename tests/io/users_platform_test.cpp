#include "test_seed.h"

#include <poplarpass/codec/job_codec.h>

#include <catch2/catch.hpp>

#include <platform/advice_client.h>
#include <platform/host_client.h>
#include <platform/records.h>
#include <platform/store_client.h>
#include <platform/worker_client.h>
#include <random>
#include <string>

namespace core = poplarpass::core;
namespace jobs = poplarpass::jobs;
namespace store = poplarpass::store;

namespace
{
const std::string configText = R"({"version":7,"routes":[{"name":"r-1","hostname":"One.example","path_prefix":"/q/",
"kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":600,"priority":1,"service":"pool-a","max_attempts":2,
"stretch":1.6,"advice":{"decide_ms":5,"period_ms":2,"valid_ms":3000}}],"services":[{"name":"pool-a","max_conns":64,
"enforces_capacity":true,"standby":false},{"name":"spare","enforces_capacity":true,"standby":true}],
"limits":{"max_body_bytes":1000}})";

const std::string entryText = R"({"service":"pool-a","address":"10.128.0.9:8080","zone":"z","version":"v1","slots":8,
"state":"ready","cold_remaining_ms":0,"capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1-3"],
"clock_ms":482113,"seq":4,"born":1792580994169})";

const std::string jobText = R"x({"spec":"(text)","steps":[{"count":4,"cpu":500,"mem_mb":256,"estimate_ms":900,
"affinity":"r1-3"},{"count":20,"cpu":2000,"mem_mb":1024,"estimate_ms":7000,"after":[0],"checkpointing":true,
"long_running":true,"max_unavailable":0,"anti_affinity":2,"fills":true,"target_ms":40,"image":"i"}]})x";

const std::string reportText = R"x({"born":17,"clock_ms":482113,"running":[["5c0e7a21d94b36f8.0.1.17",2,"00bb",41,7]],
"ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})x";

const std::string pageText = R"({"machines":[{"machine":"m-1","pool":"pool-a","state":"upkeep","zone":"z",
"labels":["a","r1-2"],"capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"id":"i-7"},{"machine":"m-2","pool":"spare",
"state":"up","zone":"z","labels":[],"capacity":{"cpu":1,"mem_mb":1,"gpu":0},"id":null},{"machine":"m-3"}],
"next_token":"t"})";

/// \brief Calls \p read with 1500 random corruptions of \p text; it must neither throw nor crash.
auto checkCorruptions(const std::string &text, const std::function<void(const std::string &)> &read) -> void
{
    std::mt19937_64 random{tests::baseSeed()};
    for (int round = 0; round < 1500; ++round) {
        auto corrupted = text;
        const auto changes = 1 + random() % 4;
        for (std::uint64_t change = 0; change < changes; ++change) {
            corrupted[random() % corrupted.size()] = static_cast<char>(random() % 256);
        }
        if (round % 3 == 0) {
            corrupted.resize(random() % corrupted.size());
        }
        read(corrupted);
    }
}
} // namespace

TEST_CASE("The operator's configuration is decoded into routes and pools", "[platform]")
{
    const auto config = platform::decodeConfig(configText);
    REQUIRE(config);
    CHECK(config->version == 7);
    REQUIRE(config->routes.size() == 1);
    const auto &queue = config->routes[0].queue;
    CHECK(queue.pool.str() == "pool-a");
    CHECK(queue.priority == 1);
    CHECK(queue.maxAttempts == 2);
    CHECK(queue.stretch == 1.6);
    REQUIRE(queue.advice);
    CHECK(queue.advice->validity == std::chrono::milliseconds{3000});
    CHECK(config->pools.at(1).standby);
    CHECK(config->maxBodyBytes == 1000);
    const auto unreadable = platform::decodeConfig(R"({"version":"x","routes":[],"services":[]})");
    REQUIRE_FALSE(unreadable);
    CHECK(unreadable.error().detail == "config: version");
    checkCorruptions(configText, [](const std::string &text) { (void)platform::decodeConfig(text); });
}

TEST_CASE("A configuration with an invalid limit, advice or number is refused, and the error names it", "[platform]")
{
    const auto problemWith = [](std::string_view part, std::string_view replacement) {
        auto text = configText;
        text.replace(text.find(part), part.size(), replacement);
        const auto config = platform::decodeConfig(text);
        return config ? std::string{} : config.error().detail;
    };
    CHECK(problemWith(R"("max_body_bytes":1000)", R"("max_body_bytes":"many")") == "config: max_body_bytes");
    CHECK(problemWith(R"("decide_ms":5)", R"("decide_ms":"soon")") == "config: advice");
    CHECK(problemWith(R"("priority":1)", R"("priority":4294967296)") == "config: priority");
    CHECK(problemWith(R"("max_attempts":2)", R"("max_attempts":4294967298)") == "config: max_attempts");
}

TEST_CASE("Client accounts are decoded with digests of their keys", "[platform]")
{
    const auto withTenants = [](const std::string &tenants) {
        auto text = configText;
        text.insert(text.rfind('}'), R"(,"tenants":)" + tenants);
        return platform::decodeConfig(text);
    };
    CHECK_FALSE(platform::decodeConfig(configText)->accounts);
    CHECK_FALSE(platform::decodeConfig(configText)->routes[0].allowsAnonymous);
    REQUIRE(withTenants("[]"));
    CHECK(withTenants("[]")->accounts->empty());
    const auto config = withTenants(
        R"([{"name":"a","api_keys":["k1","k2"],"priority":1,"weight":188,"cap":{"cpu":21684086,"mem_mb":40169960,"gpu":0}},
            {"name":"b","api_keys":[],"weight":0.5}])");
    REQUIRE(config);
    const auto &accounts = *config->accounts;
    REQUIRE(accounts.size() == 2);
    CHECK(accounts[0].limits.name.str() == "a");
    CHECK(accounts[0].limits.weight == 188);
    CHECK(accounts[0].limits.cap == jobs::resources{21684086, 40169960, 0});
    CHECK(accounts[0].keys == std::vector{poplarpass::accounts::digestOf("k1"), poplarpass::accounts::digestOf("k2")});
    CHECK(accounts[1].keys.empty());
    CHECK(accounts[1].limits.cap == jobs::resources{});
    auto anonymous = configText;
    anonymous.insert(anonymous.find(R"("kind")"), R"("allow_anonymous":true,)");
    CHECK(platform::decodeConfig(anonymous)->routes[0].allowsAnonymous);
}

TEST_CASE("A configuration with invalid accounts is refused as a whole, and the error shows no key", "[platform]")
{
    const auto problemWith = [](const std::string &tenants) {
        auto text = configText;
        text.insert(text.rfind('}'), R"(,"tenants":)" + tenants);
        const auto config = platform::decodeConfig(text);
        return config ? std::string{} : config.error().detail;
    };
    // A null list must not disable authentication.
    CHECK(problemWith("null") == "config: tenants");
    CHECK(problemWith("{}") == "config: tenants");
    CHECK(problemWith("[7]") == "config: not an object");
    CHECK(problemWith(R"([{"name":"","api_keys":["secret"],"weight":1}])") == "config: name");
    CHECK(problemWith(R"([{"name":"a","api_keys":"secret","weight":1}])") == "config: api_keys");
    CHECK(problemWith(R"([{"name":"a","api_keys":["secret",7],"weight":1}])") == "config: api_keys");
    CHECK(problemWith(R"([{"name":"a","api_keys":["secret"],"weight":0}])") == "config: weight");
    CHECK(problemWith(R"([{"name":"a","api_keys":["secret"],"weight":1,"cap":{"cpu":-1}}])") == "config: cap");
    CHECK(problemWith(R"([{"name":"a","api_keys":["secret"],"weight":1,"cap":7}])") == "config: cap");
}

TEST_CASE("A worker entry is decoded, and the error for a malformed one names the invalid field", "[platform]")
{
    const auto entry = platform::decodeWorkerEntry("i-1", entryText);
    REQUIRE(entry);
    CHECK(entry->id.str() == "i-1");
    CHECK(entry->incarnation == 1792580994169);
    CHECK(entry->capacity == jobs::resources{16000, 32768, 0});
    CHECK_FALSE(entry->draining);
    for (const auto *text : {R"({"service":"a"})", R"([])", "\xff\xfe", R"({"service":1})", ""}) {
        CHECK_FALSE(platform::decodeWorkerEntry("i-1", text));
    }
    CHECK_FALSE(platform::decodeWorkerEntry("", entryText));
    CHECK_FALSE(platform::decodeWorkerEntry("i\r\n1", entryText));
    CHECK_FALSE(platform::decodeWorkerEntry(std::string(255, 'i'), entryText));
    auto unknownState = entryText;
    unknownState.replace(unknownState.find("ready"), 5, "dizzy");
    REQUIRE_FALSE(platform::decodeWorkerEntry("i-1", unknownState));
    CHECK(platform::decodeWorkerEntry("i-1", unknownState).error().detail == "worker entry: state");
    checkCorruptions(entryText, [](const std::string &text) { (void)platform::decodeWorkerEntry("i", text); });
}

TEST_CASE("A submission is decoded, and encoding and decoding its job for the store changes nothing", "[platform]")
{
    const auto spec = platform::decodeJob(jobText);
    REQUIRE(spec);
    REQUIRE(spec->steps.size() == 2);
    CHECK(spec->steps[0].affinityRack == "r1-3");
    CHECK(spec->steps[1].longRunning);
    CHECK(spec->steps[1].maxUnavailable == 0U);
    CHECK_FALSE(spec->steps[0].maxUnavailable);
    jobs::queue_policy queue;
    queue.name = jobs::queue_id{"q"};
    queue.stretch = 1.25;
    queue.advice = jobs::advice_policy{};
    const auto job = jobs::makeJob(jobs::job_id{"5c0e7a21d94b36f8"}, queue, *spec, core::fromUnixMilliseconds(77));
    const auto bytes = poplarpass::codec::encodeJob(job);
    const auto read = poplarpass::codec::decodeJob(job.id, bytes);
    REQUIRE(read);
    CHECK(read->job.spec == job.spec);
    CHECK(read->job.queue == job.queue);
    CHECK(read->job.acceptedAt == job.acceptedAt);
    for (const auto *text : {R"({"steps":[]})", R"({"spec":"a"})", R"({"steps":[{"count":0}]})",
                             R"({"steps":[{"count":1,"after":[0]}]})", R"({"steps":[{"count":-1}]})", "{"}) {
        CHECK_FALSE(platform::decodeJob(text));
    }
    checkCorruptions(jobText, [](const std::string &text) { (void)platform::decodeJob(text); });
    checkCorruptions(bytes, [&](const std::string &text) { (void)poplarpass::codec::decodeJob(job.id, text); });
}

TEST_CASE("The bound on the size of an encoded job holds for the largest numbers", "[platform]")
{
    jobs::queue_policy queue;
    queue.name = jobs::queue_id{std::string(300, 'q')};
    queue.priority = std::numeric_limits<std::uint32_t>::max();
    queue.maxAttempts = queue.priority;
    queue.stretch = 1.1;
    queue.targetLatency = std::chrono::milliseconds::max();
    queue.advice = jobs::advice_policy{queue.targetLatency, queue.targetLatency, queue.targetLatency};
    jobs::step_spec step;
    step.taskCount = 1;
    step.perTask = {std::numeric_limits<std::int64_t>::max(), std::numeric_limits<std::int64_t>::max(),
                    std::numeric_limits<std::int64_t>::max()};
    step.estimate = std::chrono::milliseconds::max();
    step.target = std::chrono::milliseconds::max();
    step.antiAffinity = std::numeric_limits<std::uint32_t>::max();
    step.maxUnavailable = std::numeric_limits<std::uint32_t>::max();
    step.requirement = std::string(300, 'r');
    jobs::multistep_job_spec spec;
    spec.payload = std::string(4000, 'p');
    spec.interval = std::chrono::milliseconds::max();
    for (const std::size_t steps : {1U, 70'000U}) {
        spec.steps.assign(steps, step);
        spec.steps.back().after.assign(steps - 1, 69'999);
        const auto job = jobs::makeJob(jobs::job_id{"5c0e7a21d94b36f8"}, queue, spec, core::wall_time::max());
        const auto bytes = poplarpass::codec::encodeJob(job, poplarpass::codec::progress_layout::parts).size();
        CHECK(bytes <= poplarpass::codec::maxEncodedBytes(job));
    }
}

TEST_CASE("A worker report is decoded completely or rejected", "[platform]")
{
    const auto report = platform::decodeReport(reportText);
    REQUIRE(report);
    CHECK(report->incarnation == 17);
    CHECK(report->running.at(0).load == 7);
    CHECK(report->ended.at(0).how == jobs::end_kind::done);
    CHECK_FALSE(platform::decodeReport(R"({"clock_ms":1,"running":[["t",1]],"ended":[]})"));
    CHECK_FALSE(platform::decodeReport(R"({"clock_ms":1,"running":[],"ended":[[1,"t",1,"odd",""]]})"));
    CHECK_FALSE(platform::decodeReport(R"({"running":[],"ended":[]})"));
    CHECK_FALSE(platform::decodeReport(R"({"clock_ms":1,"running":[["t",4294967298,"",41]],"ended":[]})"));
    checkCorruptions(reportText, [](const std::string &text) { (void)platform::decodeReport(text); });
}

TEST_CASE("A page of machines is decoded into hosts, and malformed entries are omitted", "[platform]")
{
    const auto page = platform::decodeMachinePage(pageText);
    REQUIRE(page);
    REQUIRE(page->hosts.size() == 2);
    CHECK(page->hosts[0].condition == poplarpass::capacity::host_condition::maintenance);
    CHECK(page->hosts[1].worker.empty());
    CHECK(page->nextToken == "t");
    checkCorruptions(pageText, [](const std::string &text) { (void)platform::decodeMachinePage(text); });
}

TEST_CASE("A wave is decoded and its status is encoded", "[platform]")
{
    const auto wave = platform::decodeWave(R"({"wave":3,"machines":["m-1","m-2"],"duration_s":20,"cap":2})");
    REQUIRE(wave);
    CHECK(wave->number == 3);
    CHECK(wave->hosts.size() == 2);
    CHECK(wave->duration == std::chrono::seconds{20});
    CHECK(wave->cap == 2);
    CHECK_FALSE(platform::decodeWave(R"({"wave":3,"machines":[1],"duration_s":20,"cap":2})"));
    CHECK_FALSE(platform::decodeWave(R"({"wave":3,"machines":["m-1"],"duration_s":20,"cap":4294967298})"));
    CHECK(platform::encodeWaveStatus(true) == R"({"state":"completed"})");
}

TEST_CASE("Records are encoded and decoded in the store's framing", "[platform]")
{
    store::record_append request;
    request.records = {"ab", "c"};
    CHECK(platform::encodeFramedRecords(request) == std::string("\0\0\0\2ab\0\0\0\1c", 11));
    request.records.clear();
    request.keyedRecords = {{"k", "v"}};
    CHECK(platform::encodeFramedRecords(request) == std::string("\0\0\0\3\1kv", 7));

    const auto header = std::string("\0\0\0\0\0\0\0\7", 8) + std::string("\0\0\0\0\0\0\0\2", 8);
    const auto plain = platform::decodeFramedRecords(header + std::string("\0\0\0\2ab\0\0\0\1c", 11), 5, false);
    REQUIRE(plain.outcome == store::read_outcome::read);
    CHECK(plain.endOffset == 7);
    CHECK(plain.firstOffset == 2);
    REQUIRE(plain.records.size() == 2);
    CHECK(plain.records[1].offset == 6);
    CHECK(plain.records[1].value == "c");
    const auto keyed = platform::decodeFramedRecords(header + std::string("\0\0\0\3\1kv", 7), 5, true);
    REQUIRE(keyed.records.size() == 1);
    CHECK(keyed.records[0].key == "k");
    CHECK(keyed.records[0].value == "v");
    CHECK(platform::decodeFramedRecords(header + std::string("\0\0\0\x9z", 5), 5, false).outcome
          == store::read_outcome::failed);
    CHECK(platform::decodeFramedRecords("short", 0, false).outcome == store::read_outcome::failed);
}

TEST_CASE("Advice is decoded into tickets", "[platform]")
{
    const std::string text = R"({"allowed":[["i-7f3a91c2","c81e-7a21d94b"]],"valid_ms":3000})";
    const auto tickets = platform::decodeAdvice(text);
    REQUIRE(tickets);
    REQUIRE(tickets->size() == 1);
    CHECK(tickets->at(0).worker.str() == "i-7f3a91c2");
    CHECK(tickets->at(0).ticket == "c81e-7a21d94b");
    CHECK_FALSE(platform::decodeAdvice(R"({"allowed":[["a"]]})"));
    CHECK_FALSE(platform::decodeAdvice(R"({})"));
    checkCorruptions(text, [](const std::string &corrupted) { (void)platform::decodeAdvice(corrupted); });
}
