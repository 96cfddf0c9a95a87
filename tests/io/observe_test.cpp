#include "test_seed.h"

#include <poplarpass/observe.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <random>

using namespace poplarpass;
using namespace std::chrono_literals;
using json = nlohmann::json;

namespace
{
// A logger with a manual clock that captures its lines.
struct captured_log
{
    std::vector<std::string> lines;
    core::wall_time now = core::fromUnixMilliseconds(1'796'330'096'007);
    observe::logger logger;

    captured_log()
        : logger{optionsOf(*this)}
    {
    }

    static auto optionsOf(captured_log &log) -> observe::logger_options
    {
        observe::logger_options options;
        options.processName = "entry-1";
        options.burst = 2;
        options.sink = [&log](observe::log_level, std::string_view line) {
            log.lines.emplace_back(line);
        };
        options.now = [&log] {
            return log.now;
        };
        return options;
    }
};

// Options of a tracer with seeded identifiers that captures its exports until the test completes them.
struct captured_traces
{
    std::mt19937_64 engine{tests::baseSeed()};
    std::vector<std::string> bodies;
    std::vector<std::function<void(bool)>> callbacks;
    core::wall_time now = core::fromUnixMilliseconds(1000);

    auto options() -> observe::tracer_options
    {
        observe::tracer_options result;
        result.instance = "entry-1";
        result.queueLimit = 4;
        result.batchSize = 2;
        result.random = [this] {
            return engine();
        };
        result.now = [this] {
            return now;
        };
        result.send = [this](std::string body, std::function<void(bool)> callback) {
            bodies.push_back(std::move(body));
            callbacks.push_back(std::move(callback));
        };
        return result;
    }
};

const std::string validHeader = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
} // namespace

TEST_CASE("an event is one line of key=value pairs", "[observe]")
{
    captured_log log;
    log.logger.log(
        observe::log_level::info, "job_placed",
        {{"host", "h 1"}, {"text", "a\n\"b\"\\\x01="}, {"count", 7}, {"share", 0.5}, {"ok", true}, {"none", ""}});
    REQUIRE(log.lines.size() == 1);
    CHECK(log.lines[0]
          == "time=2026-12-03T20:34:56.007Z level=info process=entry-1 event=job_placed host=\"h 1\" "
             "text=\"a\\n\\\"b\\\"\\\\\\x01=\" count=7 share=0.5 ok=true none=\"\"");
}

TEST_CASE("no field value contains a line break after formatting", "[observe]")
{
    std::mt19937_64 random{tests::baseSeed()};
    for (int round = 0; round < 500; ++round) {
        std::string text(random() % 40, '\0');
        std::ranges::generate(text, [&] { return static_cast<char>(random()); });
        const auto value = observe::formatValue(text);
        CHECK(value.find('\n') == std::string::npos);
        const bool quoted = value.front() == '"' && value.back() == '"' && value.size() > 1;
        CHECK((quoted || value == text));
    }
}

TEST_CASE("levels and repeated events are limited, and drops are reported", "[observe]")
{
    captured_log log;
    log.logger.log(observe::log_level::debug, "quiet");
    CHECK(log.lines.empty());
    log.logger.setLevel(observe::log_level::debug);
    for (int index = 0; index < 5; ++index) {
        log.logger.log(observe::log_level::debug, "often");
    }
    log.logger.log(observe::log_level::debug, "other");
    CHECK(log.lines.size() == 3);
    CHECK(log.logger.droppedCount() == 3);
    log.now += 1s;
    log.logger.log(observe::log_level::debug, "often");
    CHECK(log.lines.back().ends_with("event=often dropped_before=3"));
    CHECK(observe::parseLogLevel("warning") == observe::log_level::warning);
    CHECK_FALSE(observe::parseLogLevel("loud"));
}

TEST_CASE("fields are assembled only for events that are written", "[observe]")
{
    captured_log log;
    int assembled = 0;
    const auto makeFields = [&] {
        ++assembled;
        return std::vector<observe::field>{{"count", assembled}};
    };
    log.logger.logWith(observe::log_level::debug, "quiet", makeFields);
    CHECK(assembled == 0);
    for (int index = 0; index < 50; ++index) {
        log.logger.logWith(observe::log_level::info, "often", makeFields);
    }
    CHECK(assembled == static_cast<int>(log.lines.size()));
    CHECK(log.logger.droppedCount() == 50 - log.lines.size());
    CHECK(log.lines.front().ends_with("event=often count=1"));
}

TEST_CASE("a warning is logged after any number of info events of the same name", "[observe]")
{
    captured_log log;
    for (int index = 0; index < 50; ++index) {
        log.logger.log(observe::log_level::info, "job_ended");
    }
    log.logger.log(observe::log_level::warning, "job_ended");
    CHECK(log.lines.back().find("level=warning") != std::string::npos);
}

TEST_CASE("metrics are rendered as Prometheus text", "[observe]")
{
    observe::metrics_registry metrics;
    metrics.counterOf("jobs_total", "Jobs \\ of\nall pools.", {{"pool", "a\"b\\c\nd"}, {"kind", "x"}}).add(3);
    metrics.counterOf("jobs_total", "", {{"kind", "x"}, {"pool", "a\"b\\c\nd"}}).add();
    metrics.gaugeOf("queue_length", "Queued jobs.").set(2.5);
    auto &histogram = metrics.histogramOf("wait_seconds", "Wait.", {{"pool", "p"}});
    histogram.record(-5us);
    histogram.record(1us);
    histogram.record(2ms);
    histogram.record(2min);
    const auto text = metrics.render();
    CHECK(text.find("# HELP jobs_total Jobs \\\\ of\\nall pools.\n# TYPE jobs_total counter\n"
                    "jobs_total{kind=\"x\",pool=\"a\\\"b\\\\c\\nd\"} 4\n")
          != std::string::npos);
    CHECK(text.find("# TYPE queue_length gauge\nqueue_length 2.5\n") != std::string::npos);
    CHECK(text.find("wait_seconds_bucket{pool=\"p\",le=\"1e-06\"} 2\n") != std::string::npos);
    CHECK(text.find("wait_seconds_bucket{pool=\"p\",le=\"+Inf\"} 4\n") != std::string::npos);
    CHECK(text.find("wait_seconds_sum{pool=\"p\"} 120.002001\n") != std::string::npos);
    CHECK(text.find("wait_seconds_count{pool=\"p\"} 4\n") != std::string::npos);
}

TEST_CASE("every duration is counted in the first bin whose bound is not below it", "[observe]")
{
    std::mt19937_64 random{tests::baseSeed()};
    for (int round = 0; round < 300; ++round) {
        observe::latency_histogram histogram;
        const core::duration value{
            static_cast<std::int64_t>(std::pow(10.0, static_cast<double>(random() % 7800) / 1000))};
        histogram.record(value);
        for (const auto &bin : histogram.bins()) {
            CHECK(bin.cumulativeCount == (value <= bin.upperBound ? 1U : 0U));
        }
        const auto median = histogram.quantile(0.5);
        CHECK((median >= value || value > 59s));
        CHECK(median.count() <= std::max<double>(2, static_cast<double>(value.count()) * 1.4));
    }
    CHECK(observe::latency_histogram{}.quantile(0.99) == 0us);
}

TEST_CASE("a traceparent header is parsed and formatted as W3C specifies", "[observe]")
{
    const auto context = observe::parseTraceparent(validHeader);
    REQUIRE(context);
    CHECK(context->sampled);
    CHECK(observe::formatTraceparent(*context) == validHeader);
    CHECK(observe::parseTraceparent("cc" + validHeader.substr(2) + "-later"));
    CHECK_FALSE(observe::parseTraceparent("ff" + validHeader.substr(2)));
    CHECK_FALSE(observe::parseTraceparent(validHeader + "-later"));
    CHECK_FALSE(observe::parseTraceparent("cc" + validHeader.substr(2) + "later"));
    CHECK_FALSE(observe::parseTraceparent("00-" + std::string(32, '0') + validHeader.substr(35)));
    CHECK_FALSE(observe::parseTraceparent(validHeader.substr(0, 36) + std::string(16, '0') + "-01"));
    for (std::size_t index = 0; index < validHeader.size(); ++index) {
        auto corrupted = validHeader;
        corrupted[index] = 'G';
        CHECK_FALSE(observe::parseTraceparent(corrupted));
        CHECK_FALSE(observe::parseTraceparent(validHeader.substr(0, index)));
    }
}

TEST_CASE("spans are exported as OTLP JSON", "[observe]")
{
    captured_traces captured;
    observe::tracer tracer{captured.options()};
    auto parent = tracer.start("dispatch", observe::span_kind::server, observe::parseTraceparent(validHeader));
    auto child = tracer.start("start job", observe::span_kind::client, parent.context());
    child.setAttribute({"attempt", 2});
    child.setError("refused");
    captured.now += 1ms;
    child.end();
    child.end();
    parent = observe::span{};
    REQUIRE(captured.bodies.size() == 1);
    const auto body = json::parse(captured.bodies[0]);
    const auto spans = body["resourceSpans"][0]["scopeSpans"][0]["spans"];
    REQUIRE(spans.size() == 2);
    CHECK(body["resourceSpans"][0]["resource"]["attributes"][1]["value"]["stringValue"] == "entry-1");
    CHECK(spans[0]["traceId"] == "0af7651916cd43dd8448eb211c80319c");
    CHECK(spans[0]["parentSpanId"] == spans[1]["spanId"]);
    CHECK(spans[1]["parentSpanId"] == "b7ad6b7169203331");
    CHECK(spans[0]["kind"] == 3);
    CHECK(spans[0]["startTimeUnixNano"] == "1000000000");
    CHECK(spans[0]["endTimeUnixNano"] == "1001000000");
    CHECK(spans[0]["attributes"][0] == json{{"key", "attempt"}, {"value", {{"intValue", "2"}}}});
    CHECK(spans[0]["status"]["code"] == 2);
}

TEST_CASE("spans are queued while the collector is unavailable, and dropped and counted beyond the limit", "[observe]")
{
    captured_traces captured;
    auto tracer = std::make_unique<observe::tracer>(captured.options());
    for (int index = 0; index < 7; ++index) {
        tracer->start("step", observe::span_kind::internal).end();
    }
    CHECK(captured.bodies.size() == 1);
    CHECK(tracer->droppedCount() == 3);
    captured.callbacks[0](false);
    CHECK(captured.bodies.size() == 1);
    CHECK(tracer->queuedCount() == 4);
    tracer->flush();
    captured.callbacks[1](true);
    captured.callbacks[2](true);
    CHECK(tracer->exportedCount() == 4);
    CHECK(tracer->queuedCount() == 0);
    tracer->start("last", observe::span_kind::internal).end();
    tracer->flush();
    auto open = tracer->start("open", observe::span_kind::internal);
    tracer.reset();
    captured.callbacks[3](true);
    open.end();
}

TEST_CASE("an unsampled context is propagated but not exported", "[observe]")
{
    captured_traces captured;
    auto options = captured.options();
    options.samplingRatio = 0;
    observe::tracer tracer{options};
    auto span = tracer.start("step", observe::span_kind::server);
    CHECK(observe::formatTraceparent(span.context()).ends_with("-00"));
    auto header = validHeader;
    header.back() = '0';
    CHECK_FALSE(tracer.start("step", observe::span_kind::server, observe::parseTraceparent(header)).context().sampled);
    span.end();
    tracer.flush();
    CHECK(captured.bodies.empty());
}
