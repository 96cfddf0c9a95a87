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

/// \brief Counter that only increases.
class counter
{
public:
    /// \brief Adds \p amount.
    auto add(std::uint64_t amount = 1) -> void
    {
        m_value += amount;
    }

    /// \brief Returns the count.
    [[nodiscard]] auto value() const -> std::uint64_t
    {
        return m_value;
    }

private:
    std::uint64_t m_value = 0;
};

/// \brief Value that can increase and decrease.
class gauge
{
public:
    /// \brief Sets the value.
    auto set(double value) -> void
    {
        m_value = value;
    }

    /// \brief Adds \p amount, which may be negative.
    auto add(double amount) -> void
    {
        m_value += amount;
    }

    /// \brief Returns the value.
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

    /// \brief Records one duration; a negative one counts as zero.
    auto record(core::duration value) -> void;

    /// \brief Returns the number of recorded durations.
    [[nodiscard]] auto count() const -> std::uint64_t;

    /// \brief Returns the upper bound of the bin that holds the \p fraction quantile; zero if nothing was recorded.
    /// \param fraction between 0 and 1
    [[nodiscard]] auto quantile(double fraction) const -> core::duration;

    /// \brief One cumulative bin.
    struct bin
    {
        core::duration upperBound; ///< Longest duration counted in the bin.
        std::uint64_t cumulativeCount; ///< Number of durations in this bin and all lower ones.
    };

    /// \brief Returns all bins except the last, unbounded one.
    [[nodiscard]] auto bins() const -> std::vector<bin>;

    /// \brief Returns the sum of all recorded durations.
    [[nodiscard]] auto sum() const -> core::duration;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

/// \brief All metrics of a process. Returned references remain valid for the lifetime of the registry.
class metrics_registry
{
public:
    metrics_registry();
    ~metrics_registry();
    metrics_registry(const metrics_registry &) = delete;
    auto operator=(const metrics_registry &) -> metrics_registry & = delete;

    /// \brief Returns the counter \p name with \p labels; created on first use.
    /// By convention the name ends with "_total".
    /// \pre \p name is not used for another kind of metric
    auto counterOf(std::string_view name, std::string_view help, const metric_labels &labels = {}) -> counter &;

    /// \brief Returns the gauge \p name with \p labels; created on first use.
    /// \pre \p name is not used for another kind of metric
    auto gaugeOf(std::string_view name, std::string_view help, const metric_labels &labels = {}) -> gauge &;

    /// \brief Returns the histogram \p name with \p labels; created on first use.
    /// By convention the name ends with "_seconds".
    /// \pre \p name is not used for another kind of metric
    auto histogramOf(std::string_view name, std::string_view help, const metric_labels &labels = {})
        -> latency_histogram &;

    /// \brief Returns all metrics in Prometheus text format 0.0.4.
    [[nodiscard]] auto render() const -> std::string;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

/// \brief Value of the Content-Type header for metrics_registry::render().
inline constexpr std::string_view metricsContentType = "text/plain; version=0.0.4; charset=utf-8";
} // namespace poplarpass::observe
