#include <poplarpass/app/capacity_report.h>
#include <poplarpass/app/log_lines.h>
#include <poplarpass/core/parse_integer.h>

#include <algorithm>
#include <array>
#include <iomanip>
#include <istream>
#include <ostream>
#include <string_view>
#include <utility>

namespace poplarpass::app
{
namespace
{
constexpr double millisecondsPerSecond = 1000;
/// \brief A moment stands for the time until the next one, at most this long; the log may have a gap after it.
constexpr std::int64_t maxSpanMs = 2000;
/// \brief Lines of one decision cycle are at most this far apart.
constexpr std::int64_t sameMomentMs = 100;
constexpr std::size_t chartWidth = 60;
constexpr int nameWidth = 16;
constexpr int columnWidth = 10;

/// \brief Host-seconds of one pool, or of all.
struct pool_sums
{
    double held = 0;
    double wanted = 0;
    double spread = 0;
    double draining = 0;
    double arriving = 0;
    double maintenance = 0;
    double idle = 0;
    double atWork = 0;
    double least = 0;
    double waiting = 0;
};

using sum_field = double pool_sums::*;

struct sum_column
{
    std::string_view title;
    sum_field field;
};

constexpr std::array<sum_column, 10> columns{{{"held", &pool_sums::held},
                                              {"wanted", &pool_sums::wanted},
                                              {"spread", &pool_sums::spread},
                                              {"draining", &pool_sums::draining},
                                              {"arriving", &pool_sums::arriving},
                                              {"maint", &pool_sums::maintenance},
                                              {"idle", &pool_sums::idle},
                                              {"at_work", &pool_sums::atWork},
                                              {"least", &pool_sums::least},
                                              {"waiting", &pool_sums::waiting}}};

/// \brief Reads the numeric fields of one line; remembers the first that is missing or not a number.
class numeric_fields
{
public:
    explicit numeric_fields(std::string_view line)
        : m_line{line}
    {
    }

    auto read(std::string_view key) -> std::int64_t
    {
        const auto value = core::parseInteger<std::int64_t>(valueOf(m_line, key));
        if (!value && m_badKey.empty()) {
            m_badKey = key;
        }
        return value.value_or(0);
    }

    [[nodiscard]] auto badKey() const -> std::string_view
    {
        return m_badKey;
    }

private:
    std::string_view m_line;
    std::string_view m_badKey;
};

auto readSample(std::string_view line) -> tl::expected<pool_sample, std::string>
{
    numeric_fields fields{line};
    pool_sample sample;
    sample.hosts = fields.read("hosts");
    sample.wanted = fields.read("hosts_wanted");
    sample.spread = fields.read("hosts_spread");
    sample.draining = fields.read("draining");
    sample.arriving = fields.read("arriving");
    sample.maintenance = fields.read("maintenance");
    sample.idle = fields.read("idle");
    sample.standby = fields.read("standby") != 0;
    const auto hostCpu = fields.read("host_cpu");
    const auto placed = fields.read("cpu_placed");
    const auto waiting = fields.read("cpu_waiting");
    if (!fields.badKey().empty()) {
        return tl::unexpected{"pool_load without a number in " + std::string{fields.badKey()}};
    }
    if (hostCpu <= 0) {
        return tl::unexpected{std::string{"pool_load with host_cpu below 1"}};
    }
    sample.atWork = static_cast<double>(placed) / static_cast<double>(hostCpu);
    sample.waiting = static_cast<double>(waiting) / static_cast<double>(hostCpu);
    return sample;
}

auto add(pool_sums &sums, const pool_sample &sample, double seconds) -> void
{
    sums.held += static_cast<double>(sample.hosts) * seconds;
    sums.wanted += static_cast<double>(sample.wanted) * seconds;
    sums.spread += static_cast<double>(sample.spread) * seconds;
    sums.draining += static_cast<double>(sample.draining) * seconds;
    sums.arriving += static_cast<double>(sample.arriving) * seconds;
    sums.maintenance += static_cast<double>(sample.maintenance) * seconds;
    sums.idle += static_cast<double>(sample.idle) * seconds;
    sums.atWork += sample.atWork * seconds;
    sums.least += leastHosts(sample) * seconds;
    sums.waiting += sample.waiting * seconds;
}

auto printSums(std::string_view name, const pool_sums &sums, std::ostream &out) -> void
{
    out << std::left << std::setw(nameWidth) << name << std::right;
    for (const auto &column : columns) {
        out << std::setw(columnWidth) << sums.*column.field;
    }
    out << '\n';
}

/// \brief The pools that are powered on, together.
auto totalOf(const capacity_moment &moment) -> pool_sums
{
    pool_sums total;
    for (const auto &[name, sample] : moment.pools) {
        if (!sample.standby) {
            add(total, sample, 1);
        }
    }
    return total;
}

auto barOf(const pool_sums &total, double most) -> std::string
{
    const auto lengthOf = [most](double hosts) {
        const auto length = most > 0 ? hosts / most * static_cast<double>(chartWidth) : 0;
        return std::min(static_cast<std::size_t>(std::max(length, 0.0)), chartWidth);
    };
    const auto atWork = lengthOf(total.atWork);
    const auto least = std::max(lengthOf(total.least), atWork);
    const auto held = std::max(lengthOf(total.held), least);
    return std::string(atWork, '#') + std::string(least - atWork, '+') + std::string(held - least, '.');
}

auto printChart(const std::vector<capacity_moment> &moments, std::ostream &out) -> void
{
    double most = 0;
    for (const auto &moment : moments) {
        most = std::max(most, totalOf(moment).held);
    }
    out << "\nhosts of powered pools: # at work, + needed by spread tasks, . more than that; waiting in hosts\n";
    const auto begin = moments.front().atMs;
    for (const auto &moment : moments) {
        const auto total = totalOf(moment);
        out << std::setw(columnWidth) << static_cast<double>(moment.atMs - begin) / millisecondsPerSecond << " s "
            << std::left << std::setw(static_cast<int>(chartWidth)) << barOf(total, most) << std::right << " held "
            << total.held << " waiting " << total.waiting << '\n';
    }
}
} // namespace

auto leastHosts(const pool_sample &sample) -> double
{
    return sample.standby ? 0 : std::max(sample.atWork, static_cast<double>(sample.spread));
}

auto readCapacityMoments(std::istream &in) -> tl::expected<std::vector<capacity_moment>, log_line_error>
{
    std::vector<capacity_moment> moments;
    std::size_t number = 0;
    for (std::string line; std::getline(in, line);) {
        ++number;
        if (valueOf(line, "event") != "pool_load") {
            continue;
        }
        const auto time = parseTimeOfDay(line);
        if (!time) {
            return tl::unexpected{log_line_error{number, "pool_load without a readable time"}};
        }
        const auto pool = std::string{valueOf(line, "pool")};
        auto sample = readSample(line);
        if (!sample) {
            return tl::unexpected{log_line_error{number, std::move(sample.error())}};
        }
        const bool isNew = moments.empty() || *time - moments.back().atMs > sameMomentMs || *time < moments.back().atMs
            || moments.back().pools.contains(pool);
        if (isNew) {
            moments.push_back({*time, {}});
        }
        moments.back().pools.emplace(pool, *sample);
    }
    std::ranges::stable_sort(moments, {}, &capacity_moment::atMs);
    return moments;
}

auto printCapacityReport(const std::vector<capacity_moment> &moments, std::ostream &out) -> void
{
    if (moments.empty()) {
        return;
    }
    std::map<std::string, pool_sums> pools;
    pool_sums all;
    for (std::size_t index = 0; index + 1 < moments.size(); ++index) {
        const auto span = std::min(moments[index + 1].atMs - moments[index].atMs, maxSpanMs);
        const auto seconds = static_cast<double>(span) / millisecondsPerSecond;
        for (const auto &[name, sample] : moments[index].pools) {
            add(pools[name], sample, seconds);
            if (!sample.standby) {
                add(all, sample, seconds);
            }
        }
    }
    out << std::fixed << std::setprecision(1) << std::left << std::setw(nameWidth) << "host-seconds" << std::right;
    for (const auto &column : columns) {
        out << std::setw(columnWidth) << column.title;
    }
    out << '\n';
    for (const auto &[name, sums] : pools) {
        printSums(name, sums, out);
    }
    printSums("all powered", all, out);
    printChart(moments, out);
}
} // namespace poplarpass::app
