#include <poplarpass/observe/logger.h>

#include <easylogging++.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <ctime>
#include <map>
#include <mutex>

INITIALIZE_EASYLOGGINGPP

namespace poplarpass::observe
{
namespace internal
{
constexpr std::array<std::string_view, 5> levelNames{"trace", "debug", "info", "warning", "error"};
constexpr const char *loggerName = "poplarpass";
constexpr std::string_view hexDigits = "0123456789abcdef";

// More event names than this indicate a defect; the limit keeps the table from growing with input.
constexpr std::size_t maxEventNames = 1024;

struct event_window
{
    core::wall_time start;
    std::uint32_t written = 0;
    std::uint64_t dropped = 0;
};

auto needsQuotes(std::string_view text) -> bool
{
    const auto plain = [](char character) {
        return character > ' ' && character < '\x7f' && character != '"' && character != '=' && character != '\\';
    };
    return text.empty() || !std::ranges::all_of(text, plain);
}

auto appendEscaped(std::string &line, char character) -> void
{
    const auto byte = static_cast<unsigned char>(character);
    if (character == '\n') {
        line += "\\n";
    } else if (character == '"' || character == '\\') {
        line += {'\\', character};
    } else if (byte < ' ' || byte == 0x7f) {
        line += {'\\', 'x', hexDigits[byte >> 4U], hexDigits[byte & 15U]};
    } else {
        line += character;
    }
}

auto quoted(std::string_view text) -> std::string
{
    std::string line{'"'};
    for (const char character : text) {
        appendEscaped(line, character);
    }
    return line + '"';
}

auto formatNumber(double number) -> std::string
{
    std::array<char, 32> text{};
    const auto length = std::snprintf(text.data(), text.size(), "%.6g", number);
    return {text.data(), static_cast<std::size_t>(length)};
}

// Keys are set by the program, but a key with a space would still corrupt the line.
auto appendPair(std::string &line, std::string_view key, std::string_view value) -> void
{
    line += ' ';
    for (const char character : key) {
        line += needsQuotes({&character, 1}) ? '_' : character;
    }
    line += '=';
    line += value;
}

auto formatTime(core::wall_time time) -> std::string
{
    const auto milliseconds = core::toUnixMilliseconds(time);
    const std::time_t seconds = milliseconds / 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 64> text{};
    std::snprintf(text.data(), text.size(), "%04d-%02d-%02dT%02d:%02d:%02d.%03dZ", parts.tm_year + 1900,
                  parts.tm_mon + 1, parts.tm_mday, parts.tm_hour, parts.tm_min, parts.tm_sec,
                  static_cast<int>(milliseconds % 1000));
    return text.data();
}

auto systemTime() -> core::wall_time
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return core::wall_time{std::chrono::duration_cast<core::duration>(sinceEpoch)};
}

// The library logs to files by default. Hosts store nothing, so lines go to the standard streams only.
auto configureLibrary() -> el::Logger *
{
    el::Loggers::addFlag(el::LoggingFlag::ImmediateFlush);
    el::Loggers::addFlag(el::LoggingFlag::DisableApplicationAbortOnFatalLog);
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::Format, "%msg");
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    auto *result = el::Loggers::getLogger(loggerName);
    el::Loggers::reconfigureLogger(result, configuration);
    return result;
}

auto writeToLibrary(log_level level, std::string_view line) -> void
{
    static auto *const logger = configureLibrary();
    const std::string text{line};
    switch (level) {
    case log_level::trace:
        logger->trace(text);
        break;
    case log_level::debug:
        logger->debug(text);
        break;
    case log_level::info:
        logger->info(text);
        break;
    case log_level::warning:
        logger->warn(text);
        break;
    case log_level::error:
        logger->error(text);
        break;
    }
}
} // namespace internal

struct logger::implementation
{
    logger_options options;
    // Rate limit for each level and name, so that frequent successes do not suppress failures of the same event.
    std::array<std::map<std::string, internal::event_window, std::less<>>, internal::levelNames.size()> windowsByLevel;
    std::uint64_t dropped = 0;

    // Returns the number of events dropped before this one, or nullopt if this one must be dropped.
    auto admit(log_level level, std::string_view name, core::wall_time now) -> std::optional<std::uint64_t>
    {
        auto &windows = windowsByLevel.at(static_cast<std::size_t>(level));
        auto found = windows.find(name);
        if (found == windows.end()) {
            if (windows.size() >= internal::maxEventNames) {
                windows.clear();
            }
            found = windows.emplace(std::string{name}, internal::event_window{now}).first;
        }
        auto &window = found->second;
        if (now >= window.start + options.period || now < window.start) {
            window.start = now;
            window.written = 0;
        }
        if (window.written >= options.burst) {
            ++window.dropped;
            ++dropped;
            return std::nullopt;
        }
        ++window.written;
        return std::exchange(window.dropped, 0);
    }

    auto write(log_level level, std::string_view line) const -> void
    {
        if (options.sink) {
            options.sink(level, line);
        } else {
            internal::writeToLibrary(level, line);
        }
    }

    auto writeEvent(log_level level, std::string_view name, core::wall_time now, std::span<const field> fields,
                    std::uint64_t droppedBefore) const -> void
    {
        auto line = header(level, name, now);
        for (const auto &pair : fields) {
            internal::appendPair(line, pair.key, formatValue(pair.value));
        }
        if (droppedBefore > 0) {
            internal::appendPair(line, "dropped_before", std::to_string(droppedBefore));
        }
        write(level, line);
    }

    [[nodiscard]] auto header(log_level level, std::string_view name, core::wall_time now) const -> std::string
    {
        auto line = "time=" + internal::formatTime(now);
        internal::appendPair(line, "level", nameOf(level));
        internal::appendPair(line, "process", formatValue(options.processName));
        internal::appendPair(line, "event", formatValue(std::string{name}));
        return line;
    }
};

auto nameOf(log_level level) -> std::string_view
{
    return internal::levelNames.at(static_cast<std::size_t>(level));
}

auto parseLogLevel(std::string_view name) -> std::optional<log_level>
{
    const auto found = std::ranges::find(internal::levelNames, name);
    if (found == internal::levelNames.end()) {
        return std::nullopt;
    }
    return static_cast<log_level>(found - internal::levelNames.begin());
}

auto formatValue(const field::value_type &value) -> std::string
{
    if (const auto *text = std::get_if<std::string>(&value)) {
        return internal::needsQuotes(*text) ? internal::quoted(*text) : *text;
    }
    if (const auto *number = std::get_if<std::int64_t>(&value)) {
        return std::to_string(*number);
    }
    if (const auto *number = std::get_if<double>(&value)) {
        return internal::formatNumber(*number);
    }
    return std::get<bool>(value) ? "true" : "false";
}

logger::logger(logger_options options)
    : m_implementation{std::make_unique<implementation>()}
{
    m_implementation->options = std::move(options);
    if (!m_implementation->options.now) {
        m_implementation->options.now = internal::systemTime;
    }
}

logger::~logger() = default;

auto logger::log(log_level level, std::string_view name, std::initializer_list<field> fields) -> void
{
    logFields(level, name, std::span<const field>{fields.begin(), fields.size()});
}

auto logger::logFields(log_level level, std::string_view name, std::span<const field> fields) -> void
{
    if (!isEnabled(level)) {
        return;
    }
    const auto now = m_implementation->options.now();
    if (const auto droppedBefore = m_implementation->admit(level, name, now)) {
        m_implementation->writeEvent(level, name, now, fields, *droppedBefore);
    }
}

auto logger::logWith(log_level level, std::string_view name, const std::function<std::vector<field>()> &makeFields)
    -> void
{
    if (!isEnabled(level)) {
        return;
    }
    const auto now = m_implementation->options.now();
    if (const auto droppedBefore = m_implementation->admit(level, name, now)) {
        m_implementation->writeEvent(level, name, now, makeFields(), *droppedBefore);
    }
}

auto logger::setLevel(log_level level) -> void
{
    m_implementation->options.level = level;
}

auto logger::isEnabled(log_level level) const -> bool
{
    return level >= m_implementation->options.level;
}

auto logger::droppedCount() const -> std::uint64_t
{
    return m_implementation->dropped;
}
} // namespace poplarpass::observe
