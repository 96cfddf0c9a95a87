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
#include <vector>

/// Event log, metrics and traces.
namespace poplarpass::observe
{
/// \brief Severity of an event.
enum class log_level {
    trace, ///< Individual steps.
    debug, ///< Details for troubleshooting.
    info, ///< Normal operation.
    warning, ///< Failure that the software handles.
    error, ///< Failure that requires an operator.
};

/// \brief Returns the name of \p level in log lines and settings.
auto nameOf(log_level level) -> std::string_view;

/// \brief Returns the level named \p name, if there is one.
auto parseLogLevel(std::string_view name) -> std::optional<log_level>;

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

    std::string key;
    value_type value;
};

/// \brief Formats \p value for a log line: quoted and escaped where necessary, without line breaks.
auto formatValue(const field::value_type &value) -> std::string;

/// \brief Name, level, rate limit and outputs of a logger.
struct logger_options
{
    std::string processName; ///< Value of "process" in each line.
    log_level level = log_level::info; ///< Minimum level that is logged.
    std::uint32_t burst = 20; ///< Events of one name and level that are logged in one period.
    core::duration period = std::chrono::seconds{1}; ///< Period of the rate limit.
    /// \brief Receives each complete line; standard output through easylogging++ if not set.
    std::function<void(log_level, std::string_view)> sink;
    /// \brief Wall time of events; the system clock if not set.
    std::function<core::wall_time()> now;
};

/// \brief Writes events, one line of key=value pairs each.
///
/// Events of one name and level beyond options.burst in a period are dropped; the next one that is written reports
/// their number.
class logger
{
public:
    explicit logger(logger_options options);
    ~logger();
    logger(const logger &) = delete;
    auto operator=(const logger &) -> logger & = delete;

    /// \brief Writes the event \p name with \p fields if \p level is enabled.
    auto log(log_level level, std::string_view name, std::initializer_list<field> fields = {}) -> void;

    /// \brief Same as log(), for fields assembled at run time.
    auto logFields(log_level level, std::string_view name, std::span<const field> fields) -> void;

    /// \brief Same as log(), for fields that are costly to assemble: \p makeFields is called only if the event is
    /// written.
    auto logWith(log_level level, std::string_view name, const std::function<std::vector<field>()> &makeFields) -> void;

    /// \brief Sets the minimum level that is logged.
    auto setLevel(log_level level) -> void;

    /// \brief Returns whether events of \p level are logged.
    [[nodiscard]] auto isEnabled(log_level level) const -> bool;

    /// \brief Returns the number of events dropped by the rate limit.
    [[nodiscard]] auto droppedCount() const -> std::uint64_t;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};
} // namespace poplarpass::observe
