#pragma once

#include <poplarpass/core/time.h>
#include <poplarpass/observe/logger.h>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace poplarpass::observe
{
/// \brief Position in a trace, propagated as W3C Trace Context.
struct trace_context
{
    std::array<std::uint8_t, 16> traceId{}; ///< Identifies the trace; all zero if there is none.
    std::array<std::uint8_t, 8> spanId{}; ///< Identifies the span; all zero if there is none.
    bool sampled = false; ///< Whether its spans are exported.

    auto operator==(const trace_context &) const -> bool = default;
};

/// \brief Parses the header "traceparent"; nullopt if it is malformed.
auto parseTraceparent(std::string_view header) -> std::optional<trace_context>;

/// \brief Formats the header "traceparent" that propagates \p context.
auto formatTraceparent(const trace_context &context) -> std::string;

/// \brief Role of a span in its process.
enum class span_kind {
    internal, ///< Work inside a process.
    server, ///< Handles a request.
    client, ///< Sends a request.
};

/// \brief Options for sampling, queueing and exporting spans.
struct tracer_options
{
    std::string serviceName = "poplarpass"; ///< Attribute service.name.
    std::string instance; ///< Attribute service.instance.id: the process's name.
    double samplingRatio = 1.0; ///< Fraction of new traces that are sampled, 0 to 1.
    std::size_t queueLimit = 4096; ///< Maximum number of finished spans in the queue.
    std::size_t batchSize = 256; ///< Maximum number of spans in one export.
    std::function<std::uint64_t()> random; ///< Random source for identifiers and sampling.
    std::function<core::wall_time()> now; ///< Wall time of spans.
    /// \brief Sends an OTLP/HTTP JSON body, then reports whether the collector accepted it; spans are discarded if
    /// unset.
    std::function<void(std::string json, std::function<void(bool ok)>)> send;
};

namespace internal
{
struct tracer_state;
struct span_record;
} // namespace internal

/// \brief One timed operation; ends on destruction unless it was ended before.
class span
{
public:
    /// \brief A span that records nothing.
    span();
    ~span();
    span(span &&) noexcept;
    auto operator=(span &&) noexcept -> span &;
    span(const span &) = delete;
    auto operator=(const span &) -> span & = delete;

    /// \brief Returns the context to propagate to child spans and other processes.
    [[nodiscard]] auto context() const -> const trace_context &;

    /// \brief Adds an attribute.
    auto setAttribute(field attribute) -> void;

    /// \brief Marks the operation as failed.
    auto setError(std::string_view message) -> void;

    /// \brief Ends the span; later calls do nothing.
    auto end() -> void;

private:
    friend class tracer;

    trace_context m_context;
    std::unique_ptr<internal::span_record> m_record;
    std::weak_ptr<internal::tracer_state> m_tracer;
};

/// \brief Creates spans and exports them in batches.
class tracer
{
public:
    explicit tracer(tracer_options options);
    ~tracer();
    tracer(const tracer &) = delete;
    auto operator=(const tracer &) -> tracer & = delete;

    /// \brief Starts a child span of \p parent, or a new trace if there is no parent.
    auto start(std::string_view name, span_kind kind, const std::optional<trace_context> &parent = std::nullopt)
        -> span;

    /// \brief Sends finished spans, one batch after the other, until the queue is empty or a batch fails.
    /// Must be called periodically; a full batch is sent without it unless the previous batch failed.
    auto flush() -> void;

    /// \brief Returns the number of spans dropped because the queue was full.
    [[nodiscard]] auto droppedCount() const -> std::uint64_t;

    /// \brief Returns the number of spans that the collector accepted.
    [[nodiscard]] auto exportedCount() const -> std::uint64_t;

    /// \brief Returns the number of finished spans that are not exported yet.
    [[nodiscard]] auto queuedCount() const -> std::size_t;

private:
    std::shared_ptr<internal::tracer_state> m_state;
};
} // namespace poplarpass::observe
