#include <poplarpass/config/calendar.h>
#include <poplarpass/settings/fleet_file.h>
#include <poplarpass/settings/toml_reader.h>

#include <algorithm>
#include <array>
#include <optional>

namespace poplarpass::settings
{
using internal::toml_reader;

namespace
{
constexpr int maxCount = 1'000'000;
constexpr double maxRatio = 100.0;
constexpr double maxWeight = 1e9;
constexpr int maxUtcOffsetMinutes = 14 * 60;
constexpr std::array<std::string_view, 7> dayNames{"mon", "tue", "wed", "thu", "fri", "sat", "sun"};

auto isDigit(char character) -> bool
{
    return character >= '0' && character <= '9';
}

auto minuteOfDay(std::string_view text) -> std::optional<int>
{
    const bool isWellFormed = text.size() == 5 && isDigit(text[0]) && isDigit(text[1]) && text[2] == ':'
        && isDigit(text[3]) && isDigit(text[4]);
    if (!isWellFormed) {
        return std::nullopt;
    }
    const int hour = (text[0] - '0') * 10 + (text[1] - '0');
    const int minute = (text[3] - '0') * 10 + (text[4] - '0');
    if (hour >= 24 || minute >= 60) {
        return std::nullopt;
    }
    return hour * 60 + minute;
}

auto readDays(toml_reader &in) -> std::uint8_t
{
    unsigned days = 0;
    for (const auto &name : in.texts("days")) {
        const auto *day = std::ranges::find(dayNames, name);
        if (day == dayNames.end()) {
            in.reportInvalid("days", "mon, tue, wed, thu, fri, sat or sun", name);
        } else {
            days |= 1U << static_cast<unsigned>(day - dayNames.begin());
        }
    }
    return static_cast<std::uint8_t>(days);
}

auto readWindow(toml_reader &in) -> config::calendar_window
{
    config::calendar_window window;
    window.weekdays = readDays(in);
    const auto start = in.text("start");
    const auto minute = minuteOfDay(start);
    if (!minute && !start.empty()) {
        in.reportInvalid("start", "a time such as 22:30", start);
    }
    window.startMinute = minute.value_or(0);
    window.lengthMinutes = in.integer("length_minutes", 1, config::minutesPerWeek);
    return window;
}

auto readCalendar(toml_reader &in) -> config::calendar
{
    config::calendar calendar;
    calendar.name = in.text("name");
    calendar.utcOffsetMinutes = in.integer("utc_offset_minutes", -maxUtcOffsetMinutes, maxUtcOffsetMinutes);
    in.tables("window", [&calendar](toml_reader &nested) { calendar.windows.push_back(readWindow(nested)); });
    return calendar;
}

auto readLossDomain(toml_reader &in) -> config::loss_domain
{
    const auto name = in.text("loss_domain");
    if (name == "rack") {
        return config::loss_domain::rack;
    }
    if (name == "zone") {
        return config::loss_domain::zone;
    }
    if (name != "host" && !name.empty()) {
        in.reportInvalid("loss_domain", "host, rack or zone", name);
    }
    return config::loss_domain::host;
}

auto readProfile(toml_reader &in) -> config::profile
{
    config::profile profile;
    profile.name = core::profile_id{in.text("name")};
    profile.headroom = in.number("headroom", 0.0, maxRatio);
    profile.lossDomain = readLossDomain(in);
    profile.maxLost = in.integer("max_lost", 0, maxCount);
    profile.maxOut = in.integer("max_out", 0, maxCount);
    profile.calendar = in.text("calendar");
    profile.maxLent = in.integer("max_lent", 0, maxCount);
    profile.maxBorrowed = in.integer("max_borrowed", 0, maxCount);
    return profile;
}

auto readPool(toml_reader &in) -> config::pool
{
    config::pool pool;
    pool.name = core::pool_id{in.text("name")};
    pool.profile = core::profile_id{in.text("profile")};
    pool.demandSlots = in.integer("demand_slots", 0, maxCount);
    pool.spare = in.flag("spare", false);
    return pool;
}

auto readService(toml_reader &in) -> config::service
{
    config::service service;
    service.name = core::service_id{in.text("name")};
    service.pool = core::pool_id{in.text("pool")};
    service.profile = core::profile_id{in.text("profile")};
    return service;
}

auto readTeam(toml_reader &in) -> config::team
{
    config::team team;
    team.name = core::team_id{in.text("name")};
    team.quotaSlots = in.integer("quota_slots", 0, maxCount);
    team.weight = in.number("weight", 0.0, maxWeight);
    return team;
}

auto readWeights(toml_reader &in) -> config::planning_weights
{
    config::planning_weights weights;
    weights.bufferCost = in.number("buffer_cost", 0.0, maxWeight);
    weights.moves = in.number("moves", 0.0, maxWeight);
    return weights;
}

auto readFleet(toml_reader &in) -> config::fleet_config
{
    config::fleet_config fleet;
    in.table("weights", [&fleet](toml_reader &nested) { fleet.weights = readWeights(nested); });
    in.tables("calendar", [&fleet](toml_reader &nested) { fleet.calendars.push_back(readCalendar(nested)); });
    in.tables("profile", [&fleet](toml_reader &nested) { fleet.profiles.push_back(readProfile(nested)); });
    in.tables("pool", [&fleet](toml_reader &nested) { fleet.pools.push_back(readPool(nested)); });
    in.tables("service", [&fleet](toml_reader &nested) { fleet.services.push_back(readService(nested)); });
    in.tables("team", [&fleet](toml_reader &nested) { fleet.teams.push_back(readTeam(nested)); });
    in.reportUnknownKeys();
    return fleet;
}

auto sizeProblem(std::string_view text, std::string_view file) -> toml_problem
{
    return {std::string{file}, 1, "", "at most " + std::to_string(maxFleetTextBytes) + " bytes",
            std::to_string(text.size()) + " bytes"};
}
} // namespace

auto parseFleet(std::string_view text, std::string_view file) -> fleet_result
{
    if (text.size() > maxFleetTextBytes) {
        return tl::make_unexpected(std::vector{sizeProblem(text, file)});
    }
    const auto parsed = internal::parseToml(text, file);
    if (!parsed) {
        const auto &problem = parsed.error();
        return tl::make_unexpected(
            std::vector{toml_problem{std::string{file}, problem.line, "", "TOML", problem.description}});
    }
    internal::problem_sink sink{std::string{file}, {}};
    toml_reader in{*parsed, "", sink};
    auto fleet = readFleet(in);
    if (!sink.problems.empty()) {
        std::ranges::stable_sort(sink.problems, {}, &toml_problem::line);
        return tl::make_unexpected(std::move(sink.problems));
    }
    return fleet;
}

auto textOf(std::span<const toml_problem> problems) -> std::string
{
    std::string text;
    for (const auto &problem : problems) {
        text += problem.file + ":" + std::to_string(problem.line) + ": ";
        text += problem.key.empty() ? "" : problem.key + ": ";
        text += "expected " + problem.expected + ", found " + problem.found + "\n";
    }
    return text;
}
} // namespace poplarpass::settings
