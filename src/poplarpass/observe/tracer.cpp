#include <poplarpass/observe/tracer.h>

#include <nlohmann/json.hpp>

#include <cassert>
#include <deque>
#include <span>

namespace poplarpass::observe
{
namespace internal
{
auto toHex(std::span<const std::uint8_t> bytes) -> std::string;
auto isZero(std::span<const std::uint8_t> bytes) -> bool;

struct span_record
{
    trace_context context;
    std::array<std::uint8_t, 8> parentSpanId{};
    std::string name;
    span_kind kind = span_kind::internal;
    core::wall_time start;
    core::wall_time end;
    std::vector<field> attributes;
    std::optional<std::string> error;
};

using json = nlohmann::json;

// OTLP/JSON encodes 64-bit integers as strings.
auto valueJson(const field::value_type &value) -> json
{
    if (const auto *text = std::get_if<std::string>(&value)) {
        return {{"stringValue", *text}};
    }
    if (const auto *number = std::get_if<std::int64_t>(&value)) {
        return {{"intValue", std::to_string(*number)}};
    }
    if (const auto *number = std::get_if<double>(&value)) {
        return {{"doubleValue", *number}};
    }
    return {{"boolValue", std::get<bool>(value)}};
}

auto attributeJson(const field &attribute) -> json
{
    return {{"key", attribute.key}, {"value", valueJson(attribute.value)}};
}

auto nanosecondsText(core::wall_time time) -> std::string
{
    return std::to_string(std::chrono::nanoseconds{time.time_since_epoch()}.count());
}

auto kindNumber(span_kind kind) -> int
{
    return static_cast<int>(kind) + 1;
}

auto spanJson(const span_record &record) -> json
{
    json result{{"traceId", toHex(record.context.traceId)},
                {"spanId", toHex(record.context.spanId)},
                {"name", record.name},
                {"kind", kindNumber(record.kind)},
                {"startTimeUnixNano", nanosecondsText(record.start)},
                {"endTimeUnixNano", nanosecondsText(record.end)},
                {"attributes", json::array()}};
    if (!isZero(record.parentSpanId)) {
        result["parentSpanId"] = toHex(record.parentSpanId);
    }
    for (const auto &attribute : record.attributes) {
        result["attributes"].push_back(attributeJson(attribute));
    }
    if (record.error) {
        result["status"] = {{"code", 2}, {"message", *record.error}};
    }
    return result;
}

struct tracer_state : std::enable_shared_from_this<tracer_state>
{
    tracer_options options;
    std::deque<span_record> queue;
    std::size_t inFlight = 0;
    bool lastFailed = false;
    std::uint64_t dropped = 0;
    std::uint64_t exported = 0;

    auto add(span_record record) -> void
    {
        if (!options.send) {
            return;
        }
        if (queue.size() >= options.queueLimit) {
            ++dropped;
            return;
        }
        queue.push_back(std::move(record));
        if (queue.size() >= options.batchSize && !lastFailed) {
            sendBatch();
        }
    }

    auto sendBatch() -> void
    {
        if (inFlight > 0 || queue.empty() || !options.send) {
            return;
        }
        inFlight = std::min(queue.size(), options.batchSize);
        options.send(batchText(), [weak = weak_from_this()](bool ok) {
            if (const auto state = weak.lock()) {
                state->finishBatch(ok);
            }
        });
    }

    // The spans of a batch stay at the front of the queue until the collector has accepted them.
    auto finishBatch(bool ok) -> void
    {
        const auto count = std::exchange(inFlight, 0);
        lastFailed = !ok;
        if (ok && count > 0) {
            queue.erase(queue.begin(), queue.begin() + static_cast<std::ptrdiff_t>(count));
            exported += count;
            sendBatch();
        }
    }

    [[nodiscard]] auto batchText() const -> std::string
    {
        auto spans = json::array();
        for (std::size_t index = 0; index < inFlight; ++index) {
            spans.push_back(spanJson(queue[index]));
        }
        const auto resource = json::array({attributeJson({"service.name", options.serviceName}),
                                           attributeJson({"service.instance.id", options.instance})});
        const json scope{{"scope", {{"name", "poplarpass"}}}, {"spans", std::move(spans)}};
        const json resourceSpans{{"resource", {{"attributes", resource}}}, {"scopeSpans", json::array({scope})}};
        const json body{{"resourceSpans", json::array({resourceSpans})}};
        return body.dump(-1, ' ', false, json::error_handler_t::replace);
    }

    // An identifier of all zeros means that there is none.
    template <std::size_t size>
    auto newId() -> std::array<std::uint8_t, size>
    {
        std::array<std::uint8_t, size> bytes{};
        while (isZero(bytes)) {
            for (std::size_t index = 0; index < size; index += 8) {
                auto number = options.random();
                for (std::size_t byte = 0; byte < 8; ++byte, number >>= 8U) {
                    bytes.at(index + byte) = static_cast<std::uint8_t>(number);
                }
            }
        }
        return bytes;
    }

    auto sampleTrace() -> bool
    {
        constexpr double range = 18446744073709551616.0;
        return static_cast<double>(options.random()) / range < options.samplingRatio;
    }

    auto childContext(const std::optional<trace_context> &parent) -> trace_context
    {
        trace_context context;
        context.traceId = parent ? parent->traceId : newId<16>();
        context.spanId = newId<8>();
        context.sampled = parent ? parent->sampled : sampleTrace();
        return context;
    }
};
} // namespace internal

span::span() = default;

span::~span()
{
    end();
}

span::span(span &&) noexcept = default;

auto span::operator=(span &&other) noexcept -> span &
{
    if (this != &other) {
        end();
        m_context = other.m_context;
        m_record = std::move(other.m_record);
        m_tracer = std::move(other.m_tracer);
    }
    return *this;
}

auto span::context() const -> const trace_context &
{
    return m_context;
}

auto span::setAttribute(field attribute) -> void
{
    if (m_record) {
        m_record->attributes.push_back(std::move(attribute));
    }
}

auto span::setError(std::string_view message) -> void
{
    if (m_record) {
        m_record->error = std::string{message};
    }
}

auto span::end() -> void
{
    const auto record = std::exchange(m_record, nullptr);
    const auto state = m_tracer.lock();
    if (record && state) {
        record->end = state->options.now();
        state->add(std::move(*record));
    }
}

tracer::tracer(tracer_options options)
    : m_state{std::make_shared<internal::tracer_state>()}
{
    assert(options.random && options.now);
    assert(options.batchSize > 0 && options.batchSize <= options.queueLimit);
    m_state->options = std::move(options);
}

tracer::~tracer() = default;

auto tracer::start(std::string_view name, span_kind kind, const std::optional<trace_context> &parent) -> span
{
    span result;
    result.m_context = m_state->childContext(parent);
    if (!result.m_context.sampled) {
        return result;
    }
    result.m_tracer = m_state;
    result.m_record = std::make_unique<internal::span_record>();
    result.m_record->context = result.m_context;
    result.m_record->parentSpanId = parent ? parent->spanId : decltype(parent->spanId){};
    result.m_record->name = std::string{name};
    result.m_record->kind = kind;
    result.m_record->start = m_state->options.now();
    return result;
}

auto tracer::flush() -> void
{
    m_state->sendBatch();
}

auto tracer::droppedCount() const -> std::uint64_t
{
    return m_state->dropped;
}

auto tracer::exportedCount() const -> std::uint64_t
{
    return m_state->exported;
}

auto tracer::queuedCount() const -> std::size_t
{
    return m_state->queue.size();
}
} // namespace poplarpass::observe
