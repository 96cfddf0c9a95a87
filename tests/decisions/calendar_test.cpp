#include "test_seed.h"

#include <poplarpass/config/calendar.h>

#include <catch2/catch.hpp>

#include <random>

namespace config = poplarpass::config;
namespace core = poplarpass::core;
using std::chrono::minutes;

namespace
{
// 2026-11-30 00:00 UTC, a Monday.
constexpr core::wall_time monday{std::chrono::seconds{1795996800}};

auto at(int day, int hour, int minute) -> core::wall_time
{
    return monday + minutes{(day * 24 + hour) * 60 + minute};
}

auto isInWindow(const config::calendar_window &window, long minuteOfWeek) -> bool
{
    for (int day = 0; day < 7; ++day) {
        const long since = (minuteOfWeek - day * 1440L - window.startMinute + 2L * 10080) % 10080;
        if ((window.weekdays >> day & 1) != 0 && since < window.lengthMinutes) {
            return true;
        }
    }
    return false;
}
} // namespace

TEST_CASE("windows past midnight open at the local time of their calendar", "[calendar]")
{
    const config::calendar fiveNights{"nights", -180, {{0b0011111, 21 * 60, 540}}};
    CHECK_FALSE(config::isOpen(fiveNights, at(0, 23, 59)));
    CHECK(config::isOpen(fiveNights, at(1, 0, 0)));
    CHECK(config::isOpen(fiveNights, at(1, 8, 59)));
    CHECK_FALSE(config::isOpen(fiveNights, at(1, 9, 0)));
    CHECK(config::nextOpening(fiveNights, at(5, 12, 0)) == at(8, 0, 0));
    CHECK(config::openFor(fiveNights, at(1, 8, 30)) == minutes{30});
    const config::calendar everyNight{"nights", 60, {{0b1111111, 23 * 60, 360}}};
    CHECK(config::isOpen(everyNight, at(0, 22, 0)));
    CHECK_FALSE(config::isOpen(everyNight, at(0, 4, 0)));
    CHECK(config::nextOpening(everyNight, at(0, 4, 0)) == at(0, 22, 0));
}

TEST_CASE("a calendar without windows never opens, one with whole-day windows is always open", "[calendar]")
{
    const config::calendar never{"never", 0, {}};
    CHECK_FALSE(config::nextOpening(never, monday));
    const config::calendar always{"always", -180, {{127, 0, 1440}}};
    CHECK(config::openFor(always, at(3, 5, 7)) == minutes{10080});
    CHECK(config::isOpen(always, core::wall_time{std::chrono::seconds{-12345}}));
}

TEST_CASE("openings agree with a minute-by-minute search", "[calendar]")
{
    std::mt19937_64 random{tests::baseSeed()};
    for (int round = 0; round < 60; ++round) {
        config::calendar calendar{"c", static_cast<int>(random() % 1681) - 840, {}};
        for (std::size_t index = 0; index < 1 + random() % 2; ++index) {
            calendar.windows.push_back({static_cast<std::uint8_t>(1 + random() % 127),
                                        static_cast<int>(random() % 1440),
                                        static_cast<int>(1 + random() % (round % 5 == 0 ? 10080 : 600))});
        }
        const auto openAt = [&calendar](long minute) {
            const long local = (minute + calendar.utcOffsetMinutes + 10080) % 10080;
            return std::ranges::any_of(calendar.windows, [local](const auto &each) { return isInWindow(each, local); });
        };
        for (int query = 0; query < 20; ++query) {
            const auto start = static_cast<long>(random() % 10080);
            auto next = start;
            while (!openAt(next % 10080)) {
                ++next;
            }
            REQUIRE(config::isOpen(calendar, monday + minutes{start}) == openAt(start));
            REQUIRE(config::nextOpening(calendar, monday + minutes{start}) == monday + minutes{next});
        }
    }
}
