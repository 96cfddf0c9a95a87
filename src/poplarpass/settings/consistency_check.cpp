#include <poplarpass/settings/consistency_check.h>

#include <algorithm>
#include <set>

namespace poplarpass::settings::internal
{
namespace
{
auto millisecondsText(std::chrono::milliseconds value) -> std::string
{
    return std::to_string(value.count()) + " ms";
}

auto checkSecret(const deployment_settings &deployment, problem_list &problems) -> void
{
    const bool hasText = problems.isPresent("deployment.secret");
    const bool hasFile = problems.isPresent("deployment.secret_file");
    if (hasText == hasFile) {
        problems.add("deployment.secret", "exactly one of secret and secret_file", hasText ? "both" : "neither");
    }
    const auto &zones = deployment.zones;
    if (std::set<core::zone_id>{zones.begin(), zones.end()}.size() != zones.size()) {
        problems.add("deployment.zones", "distinct zones", "a repeated zone");
    }
}

auto checkZone(const process_settings &settings, problem_list &problems) -> void
{
    const auto &zones = settings.deployment.zones;
    if (problems.areValid({"process.zone", "deployment.zones"})
        && std::ranges::find(zones, settings.process.zone) == zones.end()) {
        problems.add("process.zone", "one of deployment.zones", settings.process.zone.str());
    }
}

// The reader has set listen.advertise to listen.peers if it was not given.
auto checkOwnAddress(const process_settings &settings, const peer_settings &peer, const std::string &key,
                     problem_list &problems) -> void
{
    const bool keysValid = problems.areValid({"process.name", "listen.peers", "listen.advertise"});
    if (keysValid && peer.name == settings.process.name && peer.address != settings.listen.advertise) {
        problems.add(key, "the advertised address of this process", peer.address);
    }
}

auto checkCallers(const process_settings &settings, problem_list &problems) -> void
{
    const auto own = std::ranges::find(settings.peers, settings.process.name, &peer_settings::name);
    const bool isEntry = own != settings.peers.end() && own->kind == peer_kind::entry;
    if (isEntry && settings.listen.callers.empty()) {
        problems.add("listen.callers", "address IP:port, required for an entry process", "nothing");
    }
}

auto checkListen(const listen_settings &listen, problem_list &problems) -> void
{
    const auto hasFixedPort = [](const std::string &address) {
        return !address.empty() && !address.ends_with(":0");
    };
    if (hasFixedPort(listen.callers) && listen.callers == listen.peers) {
        problems.add("listen.peers", "an address other than listen.callers", listen.peers);
    }
    if (hasFixedPort(listen.admin) && (listen.admin == listen.callers || listen.admin == listen.peers)) {
        problems.add("listen.admin", "an address other than listen.callers and listen.peers", listen.admin);
    }
}

auto checkPeers(const process_settings &settings, problem_list &problems) -> void
{
    std::set<core::member_id> names;
    std::set<std::string> addresses;
    for (std::size_t index = 0; index < settings.peers.size(); ++index) {
        const auto &peer = settings.peers[index];
        const auto prefix = "peers[" + std::to_string(index) + "].";
        if (!peer.name.empty() && !names.insert(peer.name).second) {
            problems.add(prefix + "name", "distinct names", peer.name.str());
            continue;
        }
        if (!peer.address.empty() && !addresses.insert(peer.address).second) {
            problems.add(prefix + "address", "distinct addresses", peer.address);
        }
        checkOwnAddress(settings, peer, prefix + "address", problems);
    }
}

auto checkKeys(const limit_settings &limits, problem_list &problems) -> void
{
    if (problems.areValid({"limits.key_clock_skew_s", "limits.key_retention_s"})
        && 2 * limits.keyClockSkew >= limits.keyRetention) {
        problems.add("limits.key_clock_skew_s", "less than half of key_retention_s",
                     std::to_string(limits.keyClockSkew.count()) + " s");
    }
}

auto checkTiming(const timing_settings &timing, problem_list &problems) -> void
{
    if (problems.areValid({"timing.heartbeat_ms", "timing.freshness_ms"}) && 2 * timing.heartbeat >= timing.freshness) {
        problems.add("timing.heartbeat_ms", "less than half of freshness_ms", millisecondsText(timing.heartbeat));
    }
    const auto minRemovalEffect = timing.freshness + workerLeaseTerm + removalMargin;
    if (problems.areValid({"timing.removal_effect_ms", "timing.freshness_ms"})
        && timing.removalEffect < minRemovalEffect) {
        problems.add("timing.removal_effect_ms", "at least " + millisecondsText(minRemovalEffect),
                     millisecondsText(timing.removalEffect));
    }
    if (2 * timing.leaseRenew >= workerLeaseTerm) {
        problems.add("timing.lease_renew_ms", "less than half of the worker's lease term",
                     millisecondsText(timing.leaseRenew));
    }
}
} // namespace

problem_list::problem_list(std::string_view fileName)
    : m_fileName{fileName}
{
}

auto problem_list::add(int line, std::string_view key, std::string_view expected, std::string_view found) -> void
{
    m_problems.push_back({m_fileName, line, std::string{key}, std::string{expected}, std::string{found}});
}

auto problem_list::add(std::string_view key, std::string_view expected, std::string_view found) -> void
{
    if (hasProblem(key)) {
        return;
    }
    const auto line = m_lines.find(key);
    add(line == m_lines.end() ? 0 : line->second, key, expected, found);
}

auto problem_list::recordLine(const std::string &key, int line) -> void
{
    m_lines.emplace(key, line);
}

auto problem_list::isPresent(const std::string &key) const -> bool
{
    return m_lines.contains(key);
}

auto problem_list::hasProblem(std::string_view key) const -> bool
{
    return std::ranges::any_of(m_problems, [key](const auto &problem) { return problem.key == key; });
}

auto problem_list::areValid(std::initializer_list<std::string_view> keys) const -> bool
{
    return std::ranges::none_of(keys, [this](auto key) { return hasProblem(key); });
}

auto problem_list::toResult(process_settings settings) -> settings_result
{
    if (m_problems.empty()) {
        return settings;
    }
    std::ranges::stable_sort(m_problems, {}, &settings_problem::line);
    return tl::make_unexpected(std::move(m_problems));
}

auto checkConsistency(const process_settings &settings, problem_list &problems) -> void
{
    checkSecret(settings.deployment, problems);
    checkZone(settings, problems);
    checkCallers(settings, problems);
    checkListen(settings.listen, problems);
    checkPeers(settings, problems);
    checkKeys(settings.limits, problems);
    checkTiming(settings.timing, problems);
}
} // namespace poplarpass::settings::internal
