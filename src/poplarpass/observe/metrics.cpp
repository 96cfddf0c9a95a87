#include <poplarpass/observe/metrics.h>

#include <boost/histogram.hpp>

#include <algorithm>
#include <array>
#include <cassert>
#include <charconv>
#include <cmath>
#include <map>
#include <variant>

namespace poplarpass::observe
{
namespace internal
{
namespace bh = boost::histogram;

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
using histogram_type = bh::histogram<std::tuple<log_axis>, bh::dense_storage<std::uint64_t>>;

constexpr int binCount = 64;
constexpr double minMicroseconds = 1.0;
constexpr double maxMicroseconds = 60e6;

auto numberText(double number) -> std::string
{
    std::array<char, 64> text{};
    const auto [end, problem] = std::to_chars(text.data(), text.data() + text.size(), number);
    assert(problem == std::errc{});
    return {text.data(), end};
}

auto secondsText(core::duration value) -> std::string
{
    return numberText(std::chrono::duration<double>{value}.count());
}

auto escaped(std::string_view text, bool quotes) -> std::string
{
    std::string result;
    for (const char character : text) {
        if (character == '\\') {
            result += "\\\\";
        } else if (character == '\n') {
            result += "\\n";
        } else if (character == '"' && quotes) {
            result += "\\\"";
        } else {
            result += character;
        }
    }
    return result;
}

auto labelsText(const metric_labels &labels) -> std::string
{
    std::string text;
    for (const auto &label : labels) {
        text += (text.empty() ? "" : ",") + label.name + "=\"" + escaped(label.value, true) + "\"";
    }
    return text;
}

// Formats "name{labels} value"; a bound that is not empty is added as the label "le".
auto sampleLine(std::string_view name, std::string labels, std::string_view bound, std::string_view value)
    -> std::string
{
    if (!bound.empty()) {
        labels += (labels.empty() ? "" : ",") + std::string{"le=\""} + std::string{bound} + "\"";
    }
    auto line = std::string{name};
    if (!labels.empty()) {
        line += "{" + labels + "}";
    }
    return line + " " + std::string{value} + "\n";
}

auto renderSeries(const std::string &name, const std::string &labels, const counter &value) -> std::string
{
    return sampleLine(name, labels, {}, std::to_string(value.value()));
}

auto renderSeries(const std::string &name, const std::string &labels, const gauge &value) -> std::string
{
    return sampleLine(name, labels, {}, numberText(value.value()));
}

auto renderSeries(const std::string &name, const std::string &labels, const latency_histogram &value) -> std::string
{
    std::string text;
    for (const auto &bin : value.bins()) {
        text += sampleLine(name + "_bucket", labels, secondsText(bin.upperBound), std::to_string(bin.cumulativeCount));
    }
    text += sampleLine(name + "_bucket", labels, "+Inf", std::to_string(value.count()));
    text += sampleLine(name + "_sum", labels, {}, secondsText(value.sum()));
    text += sampleLine(name + "_count", labels, {}, std::to_string(value.count()));
    return text;
}

template <class metric_type>
using series_map = std::map<metric_labels, std::unique_ptr<metric_type>>;

struct family
{
    std::string help;
    std::variant<series_map<counter>, series_map<gauge>, series_map<latency_histogram>> series;
};

constexpr std::array<std::string_view, 3> typeNames{"counter", "gauge", "histogram"};

auto renderFamily(const std::string &name, const family &metrics) -> std::string
{
    auto text = "# HELP " + name + " " + escaped(metrics.help, false) + "\n";
    text += "# TYPE " + name + " " + std::string{typeNames.at(metrics.series.index())} + "\n";
    std::visit(
        [&](const auto &series) {
            for (const auto &[labels, metric] : series) {
                text += renderSeries(name, labelsText(labels), *metric);
            }
        },
        metrics.series);
    return text;
}
} // namespace internal

struct latency_histogram::implementation
{
    internal::histogram_type bins{
        std::make_tuple(internal::log_axis{internal::binCount, internal::minMicroseconds, internal::maxMicroseconds})};
    std::uint64_t count = 0;
    core::duration sum{};
};

latency_histogram::latency_histogram()
    : m_implementation{std::make_unique<implementation>()}
{
}

latency_histogram::~latency_histogram() = default;

auto latency_histogram::record(core::duration value) -> void
{
    const auto clamped = std::max(value, core::duration::zero());
    m_implementation->bins(static_cast<double>(clamped.count()));
    m_implementation->sum += clamped;
    ++m_implementation->count;
}

auto latency_histogram::count() const -> std::uint64_t
{
    return m_implementation->count;
}

auto latency_histogram::quantile(double fraction) const -> core::duration
{
    assert(fraction >= 0 && fraction <= 1);
    const auto targetRank = std::ceil(fraction * static_cast<double>(count()));
    for (const auto &bin : bins()) {
        if (count() > 0 && static_cast<double>(bin.cumulativeCount) >= targetRank) {
            return bin.upperBound;
        }
    }
    return count() == 0 ? core::duration::zero() : core::duration{std::llround(internal::maxMicroseconds)};
}

// Durations below the axis are in the underflow bin, so the cumulative count starts there. Durations are whole
// microseconds, so a bin's bound is the largest integer below its upper edge, and the narrow bins at the low end may
// share a bound.
auto latency_histogram::bins() const -> std::vector<bin>
{
    std::vector<bin> result;
    result.reserve(internal::binCount);
    const auto &axis = m_implementation->bins.axis(0);
    std::uint64_t cumulative = m_implementation->bins.at(-1);
    for (int index = 0; index < internal::binCount; ++index) {
        cumulative += m_implementation->bins.at(index);
        const core::duration bound{std::llround(std::ceil(axis.bin(index).upper())) - 1};
        if (!result.empty() && result.back().upperBound == bound) {
            result.back().cumulativeCount = cumulative;
        } else {
            result.push_back({bound, cumulative});
        }
    }
    return result;
}

auto latency_histogram::sum() const -> core::duration
{
    return m_implementation->sum;
}

struct metrics_registry::implementation
{
    std::map<std::string, internal::family, std::less<>> families;

    template <class metric_type>
    auto findOrCreate(std::string_view name, std::string_view help, metric_labels labels) -> metric_type &
    {
        std::ranges::sort(labels);
        auto found = families.find(name);
        if (found == families.end()) {
            internal::family created{std::string{help}, internal::series_map<metric_type>{}};
            found = families.emplace(std::string{name}, std::move(created)).first;
        }
        auto *series = std::get_if<internal::series_map<metric_type>>(&found->second.series);
        assert(series != nullptr);
        auto &metric = (*series)[std::move(labels)];
        if (!metric) {
            metric = std::make_unique<metric_type>();
        }
        return *metric;
    }
};

metrics_registry::metrics_registry()
    : m_implementation{std::make_unique<implementation>()}
{
}

metrics_registry::~metrics_registry() = default;

auto metrics_registry::counterOf(std::string_view name, std::string_view help, const metric_labels &labels) -> counter &
{
    return m_implementation->findOrCreate<counter>(name, help, labels);
}

auto metrics_registry::gaugeOf(std::string_view name, std::string_view help, const metric_labels &labels) -> gauge &
{
    return m_implementation->findOrCreate<gauge>(name, help, labels);
}

auto metrics_registry::histogramOf(std::string_view name, std::string_view help, const metric_labels &labels)
    -> latency_histogram &
{
    return m_implementation->findOrCreate<latency_histogram>(name, help, labels);
}

auto metrics_registry::render() const -> std::string
{
    std::string text;
    for (const auto &[name, metrics] : m_implementation->families) {
        text += internal::renderFamily(name, metrics);
    }
    return text;
}
} // namespace poplarpass::observe
