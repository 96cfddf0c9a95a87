#pragma once

#include <poplarpass/core/time.h>

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace poplarpass::observe
{
/// \brief One label of a metric.
struct metric_label
{
    std::string name; ///< Letters, digits and '_'.
    std::string value; ///< Any text.

    auto operator<=>(const metric_label &) const = default;
};

/// \brief Labels of one series.
using metric_labels = std::vector<metric_label>;

/// \brief A count that only grows.
class counter
{
public:
    /// \brief Adds \p amount.
    auto add(std::uint64_t amount = 1) -> void
    {
        m_value += amount;
    }

    /// \brief The count.
    [[nodiscard]] auto value() const -> std::uint64_t
    {
        return m_value;
    }

private:
    std::uint64_t m_value = 0;
};

/// \brief A level that goes up and down.
class gauge
{
public:
    /// \brief Sets the level.
    auto set(double value) -> void
    {
        m_value = value;
    }

    /// \brief Adds \p amount, which may be negative.
    auto add(double amount) -> void
    {
        m_value += amount;
    }

    /// \brief The level.
    [[nodiscard]] auto value() const -> double
    {
        return m_value;
    }

private:
    double m_value = 0;
};

/// \brief Distribution of durations from a microsecond to a minute, on a logarithmic axis.
class latency_histogram
{
public:
    latency_histogram();
    ~latency_histogram();
    latency_histogram(const latency_histogram &) = delete;
    auto operator=(const latency_histogram &) -> latency_histogram & = delete;

    /// \brief Counts one duration; a negative one counts as zero.
    auto record(core::duration value) -> void;

    /// \brief Number of durations.
    [[nodiscard]] auto count() const -> std::uint64_t;

    /// \brief Upper bound of the bin that holds the \p share quantile; zero if nothing was recorded.
    /// \param share between 0 and 1
    [[nodiscard]] auto quantile(double fraction) const -> core::duration;

    /// \brief One cumulative bin.
    struct bin
    {
        core::duration upperBound; ///< Greatest duration in it.
        std::uint64_t cumulativeCount; ///< Durations in it and in all before it.
    };

    /// \brief All bins but the last, unbounded one.
    [[nodiscard]] auto bins() const -> std::vector<bin>;

    /// \brief Sum of all durations.
    [[nodiscard]] auto sum() const -> core::duration;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

/// \brief All metrics of a process. References that it hands out stay good as long as it lives.
class metrics_registry
{
public:
    metrics_registry();
    ~metrics_registry();
    metrics_registry(const metrics_registry &) = delete;
    auto operator=(const metrics_registry &) -> metrics_registry & = delete;

    /// \brief Counter \p name with \p labels; made on first use. By custom the name ends with "_total".
    /// \pre \p name is not used for another kind of metric
    auto counterOf(std::string_view name, std::string_view help, const metric_labels &labels = {}) -> counter &;

    /// \brief Gauge \p name with \p labels; made on first use.
    /// \pre \p name is not used for another kind of metric
    auto gaugeOf(std::string_view name, std::string_view help, const metric_labels &labels = {}) -> gauge &;

    /// \brief Histogram \p name with \p labels; made on first use. By custom the name ends with "_seconds".
    /// \pre \p name is not used for another kind of metric
    auto histogramOf(std::string_view name, std::string_view help, const metric_labels &labels = {})
        -> latency_histogram &;

    /// \brief All metrics in Prometheus text format 0.0.4.
    [[nodiscard]] auto render() const -> std::string;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

/// \brief Value of the Content-Type header for metrics_registry::render().
inline constexpr std::string_view metricsContentType = "text/plain; version=0.0.4; charset=utf-8";
} // namespace poplarpass::observe
