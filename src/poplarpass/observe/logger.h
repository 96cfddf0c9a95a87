#pragma once

#include <poplarpass/core/time.h>

#include <concepts>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>

/// Event log, metrics and traces.
namespace poplarpass::observe
{
/// \brief Weight of an event.
enum class log_level {
    trace, ///< Each step.
    debug, ///< For finding faults.
    info, ///< Normal operation.
    warning, ///< Something failed and is being handled.
    error, ///< Something failed that an operator has to look at.
};

/// \brief Name of \p level in lines and settings.
auto nameOf(log_level level) -> std::string_view;

/// \brief Level with the name \p name, if there is one.
auto logLevelNamed(std::string_view name) -> std::optional<log_level>;

/// \brief One key=value pair of an event, or attribute of a span.
struct field
{
    /// \brief Value of a field.
    using value_type = std::variant<std::string, std::int64_t, double, bool>;

    field(std::string_view fieldKey, std::string_view text)
        : key{fieldKey}
        , value{std::string{text}}
    {
    }
    field(std::string_view fieldKey, const char *text)
        : field{fieldKey, std::string_view{text}}
    {
    }
    field(std::string_view fieldKey, const std::string &text)
        : field{fieldKey, std::string_view{text}}
    {
    }
    field(std::string_view fieldKey, bool truth)
        : key{fieldKey}
        , value{truth}
    {
    }
    template <std::integral number_type>
    field(std::string_view fieldKey, number_type number)
        : key{fieldKey}
        , value{static_cast<std::int64_t>(number)}
    {
    }
    template <std::floating_point number_type>
    field(std::string_view fieldKey, number_type number)
        : key{fieldKey}
        , value{static_cast<double>(number)}
    {
    }

    std::string key; ///< Its name.
    value_type value; ///< Its value.
};

/// \brief \p value as it stands after the '=': quoted and escaped where it must be, always on one line.
auto formatValue(const field::value_type &value) -> std::string;

/// \brief Bounds on repeated events.
struct logger_options
{
    std::string processName; ///< Value of "process" in each line.
    log_level level = log_level::info; ///< Least level that is written.
    std::uint32_t burst = 20; ///< Events of one name that are written in one period.
    core::duration period = std::chrono::seconds{1}; ///< Period of the rate limit.
    /// \brief Takes a finished line; standard output, through easylogging++, if not set.
    std::function<void(log_level, std::string_view)> sink;
    /// \brief Wall time of events; the system clock if not set.
    std::function<core::wall_time()> now;
};

/// \brief Writes events, one line of key=value pairs each.
///
/// Events of one name and level beyond options.burst in a period are dropped; the first one that is written later says
/// how many.
class logger
{
public:
    explicit logger(logger_options options);
    ~logger();
    logger(const logger &) = delete;
    auto operator=(const logger &) -> logger & = delete;

    /// \brief Writes the event \p name with \p fields if \p level is enabled.
    auto log(log_level level, std::string_view name, std::initializer_list<field> fields = {}) -> void;

    /// \brief As log(), for fields that were put together at run time.
    auto logFields(log_level level, std::string_view name, std::span<const field> fields) -> void;

    /// \brief Sets the least level that is written.
    auto setLevel(log_level level) -> void;

    /// \brief Whether events of \p level are written.
    [[nodiscard]] auto isEnabled(log_level level) const -> bool;

    /// \brief Number of events that the rate limit dropped.
    [[nodiscard]] auto droppedCount() const -> std::uint64_t;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};
} // namespace poplarpass::observe
