#pragma once

#include "host_fixture.h"

#include <poplarpass/host/constants.h>
#include <poplarpass/jobs/constants.h>

#include <catch2/catch.hpp>

#include <algorithm>

/// Fixture for tests of poplarpass::host::pool_owner.
namespace tests
{
/// \brief Body of a submission of a job with one task.
inline constexpr std::string_view jobText = "one task";

/// \brief Identifier of the first job of a test.
inline const std::string jobName = "00000000000000aa";

/// \brief An owner with one worker whose renewal responses are controlled by the test.
struct owner_fixture
{
    fakes::stepped_time time;
    memory_store memory{time};
    core::time_source clock = time.source();
    store::record_store records = memory.calls();
    std::vector<std::string> logged; ///< Lines of the log.
    poplarpass::observe::logger log{recordingOptions()};
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
    std::map<std::string, jobs::multistep_job_spec, std::less<>> specs; ///< Jobs by the body of their submission.
    std::int64_t workerCpu = 16'000; ///< Processor capacity of the worker.
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
        specs.emplace(jobText, specOf(1));
        decoders.decodeJob = [this](std::string_view text) {
            return decodeJob(text);
        };
        decoders.decodeWorker = [this](std::string_view id, std::string_view) -> core::result<jobs::worker_entry> {
            return decodeWorker(id);
        };
    }

    auto recordingOptions() -> poplarpass::observe::logger_options
    {
        auto options = discardingLoggerOptions();
        options.sink = [this](poplarpass::observe::log_level, std::string_view line) {
            logged.emplace_back(line);
        };
        return options;
    }

    /// \brief Returns the last line of \p event; empty when there is none.
    [[nodiscard]] auto lastLineOf(std::string_view event) const -> std::string
    {
        const auto found = std::find_if(logged.rbegin(), logged.rend(), [&](const std::string &line) {
            return line.find("event=" + std::string{event} + " ") != std::string::npos;
        });
        return found == logged.rend() ? std::string{} : *found;
    }

    [[nodiscard]] auto decodeWorker(std::string_view id) const -> jobs::worker_entry
    {
        jobs::worker_entry entry;
        entry.id = jobs::worker_id{std::string{id}};
        entry.incarnation = 5;
        entry.pool = core::pool_id{"pool"};
        entry.address = "10.0.0.1:80";
        entry.capacity = {workerCpu, 32'000, 0};
        return entry;
    }

    /// \brief Returns a job of one step.
    static auto specOf(std::uint32_t tasks) -> jobs::multistep_job_spec
    {
        jobs::multistep_job_spec spec;
        spec.steps.resize(1);
        spec.steps[0].taskCount = tasks;
        return spec;
    }

    [[nodiscard]] auto decodeJob(std::string_view text) const -> core::result<jobs::multistep_job_spec>
    {
        const auto found = specs.find(text);
        if (found == specs.end()) {
            return core::failure(core::error_kind::invalid_request, "unknown");
        }
        return found->second;
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

    /// \brief Begins a term and waits until requests are served and the worker's lease is renewed.
    auto beginServing(std::uint64_t epoch) -> void
    {
        const auto renewed = renewals.size();
        begin(epoch);
        REQUIRE(time.runUntil([&] { return owner->isServing() && renewals.size() > renewed; }));
        renewTerm();
    }

    auto renewTerm() -> void
    {
        owner->onRenewed(time.now(), poplarpass::owner::longElectionTimeout);
    }
};
} // namespace tests
