#pragma once

#include "host_fixture.h"
#include "io_fixture.h"

#include <poplarpass/host/caller_request.h>
#include <poplarpass/host/host_core.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <platform/records.h>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// Fixture for tests of requests with keys: two hosts and the callers' answers.
namespace tests::accounts
{
using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr milliseconds maxAge{2500};
inline constexpr milliseconds lossNoticedAfter{400};
inline const std::string firstJob = "00000000000000aa";
inline const std::string secondJob = "00000000000000bb";
inline const std::string bothKeys = R"([{"name":"acme","api_keys":["k1","k2"],"weight":1},
    {"name":"other","api_keys":["k9"],"weight":1}])";
inline const std::string firstKeyRemoved = R"([{"name":"acme","api_keys":["k2"],"weight":1},
    {"name":"other","api_keys":["k9"],"weight":1}])";

/// \brief A host with its own view of the store and of the other host.
struct test_host
{
    core::time_source clock;
    store::record_store records;
    host::worker_calls workers;
    host::host_calls hosts;
    host::advice_calls advice;
    host::peer_calls peers;
    std::vector<std::string> lines;
    std::unique_ptr<poplarpass::observe::logger> log;
    poplarpass::observe::metrics_registry metrics;
    std::set<store::topic> cutTopics; ///< Topics whose reads fail.
    bool isFrozen = false; ///< Whether answers of the store are held back.
    std::vector<std::function<void()>> heldAnswers;
    bool isReachable = true; ///< Whether other hosts reach it.
    std::function<void()> onAnswerLost; ///< If set, its next answer to another host is lost, and this is called.
    bool losesRequests = false; ///< Whether requests from other hosts are lost on the way.
    std::vector<host::client_request> forwarded; ///< Requests that it forwarded.
    std::unique_ptr<host::host_core> core;
};

/// \brief Two hosts on one store. The first one becomes the owner.
struct deployment
{
    fakes::stepped_time time;
    memory_store memory{time};
    host::platform_decoders decoders;
    test_host owner;
    test_host receiver;

    explicit deployment(const std::string &tenants = bothKeys, std::optional<core::duration> age = maxAge)
    {
        decoders.operators = {std::string{platform::configKey}, platform::decodeConfig};
        decoders.waves = {std::string{platform::waveKeyPrefix}, platform::decodeWave, platform::encodeWaveStatus};
        decoders.decodeJob = platform::decodeJob;
        decoders.decodeWorker = platform::decodeWorkerEntry;
        publish(1, tenants);
        start(owner, "owner", "10.0.0.1:1", age);
        REQUIRE(time.runUntil([&] { return owner.core->ownsPools(); }));
        start(receiver, "receiver", "10.0.0.2:1", age);
        time.runFor(seconds{4});
        REQUIRE(owner.core->ownsPools());
        REQUIRE(receiver.core->isReady());
    }

    auto publish(int version, const std::string &tenants) -> void
    {
        auto text = R"({"version":)" + std::to_string(version)
            + R"(,"routes":[{"name":"r","hostname":"jobs.example","path_prefix":"/q/","service":"p"},
            {"name":"open","hostname":"jobs.example","path_prefix":"/open/","service":"p","allow_anonymous":true}],
            "services":[{"name":"p","enforces_capacity":true,"standby":false}])";
        memory.put(store::topic::operator_records, "config",
                   text + (tenants.empty() ? "}" : R"(,"tenants":)" + tenants + "}"));
    }

    auto start(test_host &host, const std::string &name, const std::string &address, std::optional<core::duration> age)
        -> void
    {
        host.clock = time.source();
        host.records = limitedCalls(host);
        host.hosts.list = [](const auto &) {
        };
        host.peers.announce = [this](const std::string &to, const auto &record, auto done) {
            time.after(callTime, [this, to, record, done] {
                const bool isUp = hostAt(to).core != nullptr;
                if (isUp) {
                    hostAt(to).core->onAnnouncement(record);
                }
                done(isUp);
            });
        };
        host.peers.forwardRequest = [this, &host](const std::string &to, const host::client_request &request,
                                                  std::function<void(host::peer_answer)> done) {
            host.forwarded.push_back(request);
            time.after(callTime, [this, to, request, done = std::move(done)] {
                if (!hostAt(to).isReachable || hostAt(to).core == nullptr) {
                    done({std::nullopt, false});
                    return;
                }
                if (hostAt(to).losesRequests) {
                    time.after(lossNoticedAfter, [done] { done({std::nullopt, true}); });
                    return;
                }
                hostAt(to).core->handleForwardedRequest(request, [this, to, done](net::http_response response) {
                    if (const auto onLost = std::exchange(hostAt(to).onAnswerLost, nullptr)) {
                        onLost();
                        time.after(lossNoticedAfter, [done] { done({std::nullopt, true}); });
                        return;
                    }
                    done({std::move(response), true});
                });
            });
        };
        auto options = discardingLoggerOptions();
        options.sink = [&host](poplarpass::observe::log_level, std::string_view line) {
            host.lines.emplace_back(line);
        };
        host.log = std::make_unique<poplarpass::observe::logger>(options);
        host.core = std::make_unique<host::host_core>(host::host_environment{name,
                                                                             address,
                                                                             {4, 1000},
                                                                             seconds{3},
                                                                             host.clock,
                                                                             host.records,
                                                                             host.workers,
                                                                             host.hosts,
                                                                             host.advice,
                                                                             host.peers,
                                                                             decoders,
                                                                             *host.log,
                                                                             host.metrics,
                                                                             age});
        host.core->start();
    }

    auto hostAt(const std::string &address) -> test_host &
    {
        return address == "10.0.0.1:1" ? owner : receiver;
    }

    /// \brief Calls of the store for \p host; reads of cut topics fail, and answers to a frozen host wait.
    auto limitedCalls(test_host &host) -> store::record_store
    {
        auto calls = memory.calls();
        calls.read = [&host, read = calls.read, this](store::topic topic, std::uint64_t from, milliseconds wait,
                                                      std::function<void(store::read_result)> done) {
            if (host.cutTopics.contains(topic)) {
                time.after(milliseconds{300}, [done = std::move(done)] { done({}); });
                return;
            }
            read(topic, from, wait, [&host, topic, done = std::move(done)](store::read_result result) {
                if (host.isFrozen && topic == store::topic::operator_records) {
                    host.heldAnswers.push_back([done, result = std::move(result)] { done(result); });
                } else {
                    done(std::move(result));
                }
            });
        };
        return calls;
    }

    /// \brief Sends a call to \p host as a caller does and returns the response.
    auto call(test_host &host, net::http_request request) -> net::http_response
    {
        request.headers.push_back({"Host", "jobs.example"});
        auto parsed = host::parseCallerRequest(request, host.core->routes(), host.core->configStanding());
        if (!parsed) {
            return parsed.error().response;
        }
        std::optional<net::http_response> answer;
        host.core->handleRequest(std::move(parsed->request), parsed->time,
                                 [&](net::http_response response) { answer = std::move(response); });
        const auto sentAt = time.now();
        REQUIRE(time.runUntil([&] { return answer.has_value(); }));
        answeredAfter = time.now() - sentAt;
        return std::move(*answer);
    }

    auto submit(test_host &host, const std::string &key, const std::string &job = firstJob,
                const std::string &prefix = "/q/") -> net::http_response
    {
        return call(host, makeCall("POST", key, prefix + job));
    }

    auto state(test_host &host, const std::string &key, const std::string &job = firstJob) -> net::http_response
    {
        return call(host, makeCall("GET", key, "/q/" + job));
    }

    static auto makeCall(const std::string &method, const std::string &key, const std::string &path)
        -> net::http_request
    {
        net::http_request request;
        request.method = method;
        request.target = path;
        request.body = R"({"spec":"s","steps":[{"count":1,"cpu":1,"mem_mb":1}]})";
        if (!key.empty()) {
            request.headers.push_back({"Authorization", "Bearer " + key});
        }
        return request;
    }

    core::duration answeredAfter{0};
};

inline auto isRefusal(const net::http_response &response, int status, std::string_view reason) -> bool
{
    UNSCOPED_INFO(response.status << " " << response.body);
    const bool hasChallenge = response.header("WWW-Authenticate") == "Bearer";
    const bool hasRetry = !response.header("Retry-After").empty();
    return response.status == status && response.body == R"({"reason":")" + std::string{reason} + R"("})"
        && hasChallenge == (status == 401) && hasRetry == (status == 503 || status == 429);
}

inline auto countLines(const test_host &host, const std::string &text) -> std::ptrdiff_t
{
    return std::ranges::count_if(host.lines,
                                 [&](const std::string &line) { return line.find(text) != std::string::npos; });
}
} // namespace tests::accounts
