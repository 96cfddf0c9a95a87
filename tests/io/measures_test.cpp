#include "fakes/stepped_time.h"

#include <poplarpass/host/call_metrics.h>
#include <poplarpass/host/job_time_metrics.h>

#include <catch2/catch.hpp>

namespace
{
namespace host = poplarpass::host;
namespace store = poplarpass::store;
namespace observe = poplarpass::observe;

constexpr std::chrono::milliseconds callTime{20};

auto rendersLine(observe::metrics_registry &metrics, std::string_view line) -> bool
{
    return metrics.render().find(line) != std::string::npos;
}
} // namespace

TEST_CASE("The time of each call is recorded by service, call and outcome, and its result is passed on unchanged",
          "[measures]")
{
    fakes::stepped_time time;
    const auto clock = time.source();
    observe::metrics_registry metrics;
    store::record_store plain;
    plain.append = [&](const store::record_append &request, const std::function<void(store::append_result)> &done) {
        const auto outcome = request.expectedEnd ? store::append_outcome::conflict : store::append_outcome::appended;
        time.after(callTime, [done, outcome] { done({outcome, 7, 8}); });
    };
    const auto calls = host::withCallMetrics(plain, {clock, metrics});
    store::append_result received;
    store::record_append request;
    calls.append(request, [&](const store::append_result &result) { received = result; });
    time.runFor(callTime);
    CHECK(received.offset == 7);
    request.expectedEnd = 3;
    calls.append(request, [&](const store::append_result &result) { received = result; });
    time.runFor(callTime);
    CHECK(received.outcome == store::append_outcome::conflict);
    CHECK(rendersLine(metrics, R"(poplarpass_call_seconds_count{call="append",outcome="appended",service="store"} 1)"));
    CHECK(rendersLine(metrics, R"(poplarpass_call_seconds_count{call="append",outcome="conflict",service="store"} 1)"));
    const auto &histogram = metrics.histogramOf("poplarpass_call_seconds", "",
                                                {{"call", "append"}, {"outcome", "appended"}, {"service", "store"}});
    CHECK(histogram.sum() == callTime);
}

TEST_CASE("The queueing time and the total time of a job are measured from its acceptance", "[measures]")
{
    fakes::stepped_time time;
    observe::metrics_registry metrics;
    host::job_time_metrics times{metrics};
    const auto decide = [&](std::string_view event, std::string_view reason) {
        times.onDecision({event, "job", "", 0, reason}, time.now());
    };
    decide("job_accepted", "queue");
    time.runFor(std::chrono::milliseconds{100});
    decide("job_started", "begun");
    time.runFor(std::chrono::milliseconds{400});
    decide("job_ended", "completed");
    decide("job_ended", "completed");
    CHECK(metrics.histogramOf("poplarpass_job_queue_seconds", "").sum() == std::chrono::milliseconds{100});
    const auto &whole = metrics.histogramOf("poplarpass_job_seconds", "", {{"outcome", "completed"}});
    CHECK(whole.count() == 1);
    CHECK(whole.sum() == std::chrono::milliseconds{500});
}
