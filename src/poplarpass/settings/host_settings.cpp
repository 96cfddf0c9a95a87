#include <poplarpass/settings/host_settings.h>
#include <poplarpass/settings/toml_reader.h>

#include <fstream>
#include <iterator>
#include <tuple>

namespace poplarpass::settings
{
using internal::toml_reader;

namespace
{
constexpr int maxTimeMs = 3'600'000;
constexpr double maxTimeS = 3'600;
constexpr double maxCores = 4096;
constexpr double maxLinkMbps = 1e9;
constexpr int minMemoryMb = 64;
constexpr int maxMemoryMb = 1'000'000;
constexpr int minDescriptors = 256;
constexpr int maxDescriptors = 1'000'000;

auto readTime(toml_reader &in, std::string_view key) -> std::chrono::milliseconds
{
    return std::chrono::milliseconds{in.integer(key, 0, maxTimeMs)};
}

auto readSeconds(toml_reader &in, std::string_view key) -> std::chrono::milliseconds
{
    const auto seconds = std::chrono::duration<double>{in.number(key, 0, maxTimeS)};
    return std::chrono::duration_cast<std::chrono::milliseconds>(seconds);
}

auto readListen(toml_reader &in, host_settings &settings) -> void
{
    settings.callers = in.text("callers");
    settings.readiness = in.text("readiness");
    settings.peers = in.text("peers");
    settings.metrics = in.text("metrics");
}

auto readPlatform(toml_reader &in, host_settings &settings) -> void
{
    settings.store = in.text("store");
    settings.hostService = in.text("host_service");
    for (const auto &address : in.texts("advice")) {
        settings.advice = address;
    }
}

auto readSize(toml_reader &in, host_settings &settings) -> void
{
    settings.cores = in.number("processor_share", 0, maxCores) * in.number("processor_speed", 0, maxCores);
    settings.linkMbps = in.number("link_mbps", 0, maxLinkMbps);
    settings.memoryMb = in.optionalInteger("memory_mb", minMemoryMb, maxMemoryMb);
    settings.maxDescriptors =
        in.optionalInteger("max_descriptors", minDescriptors, maxDescriptors).value_or(settings.maxDescriptors);
}

auto readAccounts(toml_reader &in, host_settings &settings) -> void
{
    settings.keyWithdrawal = std::chrono::milliseconds{in.integer("key_withdrawal_ms", 1, maxTimeMs)};
}

auto readTiming(toml_reader &in, host_settings &settings) -> void
{
    settings.stopGrace = readSeconds(in, "stop_grace_s");
    settings.holderTerm = readTime(in, "holder_term_ms");
}
} // namespace

auto differsInAddresses(const host_settings &first, const host_settings &second) -> bool
{
    const auto addressesOf = [](const host_settings &settings) {
        return std::tie(settings.name, settings.callers, settings.readiness, settings.peers, settings.metrics,
                        settings.store, settings.hostService, settings.advice);
    };
    return addressesOf(first) != addressesOf(second);
}

auto parseHostSettings(std::string_view text, std::string_view file) -> host_settings_result
{
    internal::problem_sink sink{std::string{file}, {}};
    host_settings settings;
    const auto document = internal::parseToml(text, file);
    if (!document) {
        sink.problems.push_back({std::string{file}, document.error().line, "", "TOML", document.error().description});
        return tl::make_unexpected(std::move(sink.problems));
    }
    toml_reader in{*document, "", sink};
    settings.name = in.text("name");
    settings.zone = in.text("zone");
    settings.logLevel = in.text("log_level");
    in.table("listen", [&](toml_reader &table) { readListen(table, settings); });
    in.table("platform", [&](toml_reader &table) { readPlatform(table, settings); });
    in.table("size", [&](toml_reader &table) { readSize(table, settings); });
    in.table("timing", [&](toml_reader &table) { readTiming(table, settings); });
    in.table("accounts", [&](toml_reader &table) { readAccounts(table, settings); });
    in.reportUnknownKeys();
    if (settings.callers.empty() && sink.problems.empty()) {
        sink.problems.push_back({std::string{file}, 1, "listen", "a table", "nothing"});
    }
    if (!sink.problems.empty()) {
        return tl::make_unexpected(std::move(sink.problems));
    }
    return settings;
}

auto loadHostSettings(const std::string &path) -> host_settings_result
{
    std::ifstream file{path};
    if (!file) {
        return tl::make_unexpected(std::vector<toml_problem>{{path, 0, "", "a readable file", "none"}});
    }
    const std::string text{std::istreambuf_iterator<char>{file}, {}};
    return parseHostSettings(text, path);
}
} // namespace poplarpass::settings
