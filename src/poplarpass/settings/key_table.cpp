#include <poplarpass/settings/key_table.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <type_traits>

namespace poplarpass::settings
{
namespace internal
{
// Converts a validated value to the type of the target member.
template <class target_type>
auto assign(target_type &target, const key_value &value) -> void
{
    if constexpr (std::is_same_v<target_type, std::string>) {
        target = std::get<std::string>(value);
    } else if constexpr (std::is_same_v<target_type, peer_kind>) {
        target = std::get<std::string>(value) == nameOf(peer_kind::control) ? peer_kind::control : peer_kind::entry;
    } else if constexpr (std::is_same_v<target_type, std::vector<core::zone_id>>) {
        const auto &names = std::get<std::vector<std::string>>(value);
        target.clear();
        for (const auto &name : names) {
            target.emplace_back(name);
        }
    } else if constexpr (std::is_constructible_v<target_type, std::string>) {
        target = target_type{std::get<std::string>(value)};
    } else if constexpr (std::is_same_v<target_type, std::uint64_t>) {
        target = static_cast<std::uint64_t>(std::get<std::int64_t>(value));
    } else {
        target = target_type{std::get<std::int64_t>(value)};
    }
}

template <auto section, auto member>
auto store(process_settings &settings, const key_value &value) -> void
{
    assign((settings.*section).*member, value);
}

// The reader appends a peer before it stores the peer's keys.
template <auto member>
auto storePeer(process_settings &settings, const key_value &value) -> void
{
    assert(!settings.peers.empty());
    assign(settings.peers.back().*member, value);
}

constexpr auto process = &process_settings::process;
constexpr auto listen = &process_settings::listen;
constexpr auto deployment = &process_settings::deployment;
constexpr auto platform = &process_settings::platform;
constexpr auto limits = &process_settings::limits;
constexpr auto timing = &process_settings::timing;
constexpr auto logging = &process_settings::log;

constexpr bool required = true;
constexpr bool optional = false;

constexpr auto nameKey(std::string_view key, bool isRequired, std::string_view meaning,
                       void (*setter)(process_settings &, const key_value &)) -> key_description
{
    return {key, key_type::name, "", 1, 64, "", isRequired, "", meaning, setter};
}

constexpr auto addressKey(std::string_view key, bool isRequired, std::string_view meaning,
                          void (*setter)(process_settings &, const key_value &)) -> key_description
{
    return {key, key_type::address, "", 0, 0, "", isRequired, "", meaning, setter};
}

constexpr auto textKey(std::string_view key, std::int64_t minimum, std::string_view meaning,
                       void (*setter)(process_settings &, const key_value &)) -> key_description
{
    return {key, key_type::text, "", minimum, 4096, "", optional, "", meaning, setter};
}

constexpr auto choiceKey(std::string_view key, std::string_view choices, std::string_view defaultValue,
                         std::string_view meaning, void (*setter)(process_settings &, const key_value &))
    -> key_description
{
    return {key, key_type::choice, "", 0, 0, choices, defaultValue.empty(), defaultValue, meaning, setter};
}

constexpr auto integerKey(std::string_view key, std::string_view unit, std::int64_t minimum, std::int64_t maximum,
                          std::string_view defaultValue, std::string_view meaning,
                          void (*setter)(process_settings &, const key_value &)) -> key_description
{
    return {key, key_type::integer, unit, minimum, maximum, "", optional, defaultValue, meaning, setter};
}

constexpr std::array keys{
    nameKey("process.name", required, "Name of this process; unchanged when the process is replaced.",
            store<process, &identity_settings::name>),
    nameKey("process.region", required, "Region of its host.", store<process, &identity_settings::region>),
    nameKey("process.zone", required, "Availability zone of its host.", store<process, &identity_settings::zone>),
    addressKey("listen.callers", optional,
               "HTTP for callers' requests; required for an entry process, unused by a control process.",
               store<listen, &listen_settings::callers>),
    addressKey("listen.peers", required, "Links from other processes.", store<listen, &listen_settings::peers>),
    addressKey("listen.admin", required, "Metrics and status.", store<listen, &listen_settings::admin>),
    addressKey("listen.advertise", optional, "Address at which peers reach this process; defaults to `listen.peers`.",
               store<listen, &listen_settings::advertise>),
    nameKey("deployment.name", required, "Name of the deployment.", store<deployment, &deployment_settings::name>),
    key_description{"deployment.zones", key_type::name_list, "", 1, 64, "", required, "",
                    "Availability zones of the deployment's processes.",
                    store<deployment, &deployment_settings::zones>},
    textKey("deployment.secret", minSecretLength,
            "Shared key of peers and operators. Exactly one of `secret` and `secret_file` is given.",
            store<deployment, &deployment_settings::secret>),
    textKey("deployment.secret_file", 1, "File that holds the shared key; trailing white space is ignored.",
            store<deployment, &deployment_settings::secretFile>),
    addressKey("platform.log", required, "Log service.", store<platform, &platform_settings::log>),
    addressKey("platform.host_list", required, "Host list.", store<platform, &platform_settings::hostList>),
    addressKey("platform.collector", optional, "Trace collector (OTLP/HTTP); no traces are sent without it.",
               store<platform, &platform_settings::collector>),
    nameKey("peers[].name", required, "Name of a process of the deployment.", storePeer<&peer_settings::name>),
    addressKey("peers[].address", required, "Address of its link.", storePeer<&peer_settings::address>),
    choiceKey("peers[].kind", "entry|control", "", "Kind of the process.", storePeer<&peer_settings::kind>),
    integerKey("limits.max_body_bytes", "bytes", 1024, 64 << 20, "1048576", "Maximum size of a request body.",
               store<limits, &limit_settings::maxBodyBytes>),
    integerKey("limits.max_queue", "jobs", 1, 1'000'000, "1000", "Maximum number of queued jobs of one pool.",
               store<limits, &limit_settings::maxQueue>),
    integerKey("limits.request_read_timeout_ms", "ms", 100, 60'000, "5000",
               "Timeout for receiving a complete request from a caller.",
               store<limits, &limit_settings::requestReadTimeout>),
    integerKey("limits.max_connections", "connections", 16, 65'535, "4096",
               "Maximum number of open connections from callers.", store<limits, &limit_settings::maxConnections>),
    integerKey("limits.max_remembered_keys", "keys", 1000, 50'000'000, "1000000",
               "Maximum number of idempotency keys in memory; new keys beyond it are rejected.",
               store<limits, &limit_settings::maxRememberedKeys>),
    integerKey("limits.key_retention_s", "s", 60, 86'400, "900", "Retention time of an idempotency key.",
               store<limits, &limit_settings::keyRetention>),
    integerKey("limits.key_clock_skew_s", "s", 0, 300, "30", "Permitted clock skew of a caller.",
               store<limits, &limit_settings::keyClockSkew>),
    integerKey("timing.heartbeat_ms", "ms", 20, 10'000, "500", "Period of heartbeats to peers.",
               store<timing, &timing_settings::heartbeat>),
    integerKey("timing.freshness_ms", "ms", 100, 30'000, "2000", "Time for which a confirmed view remains valid.",
               store<timing, &timing_settings::freshness>),
    integerKey("timing.removal_effect_ms", "ms", 1000, 120'000, "6000",
               "Delay until the removal of a member takes effect.", store<timing, &timing_settings::removalEffect>),
    integerKey("timing.host_list_poll_ms", "ms", 50, 60'000, "1000", "Polling period of the host list.",
               store<timing, &timing_settings::hostListPoll>),
    integerKey("timing.lease_renew_ms", "ms", 50, 10'000, "1000", "Period of renewing the leases of workers.",
               store<timing, &timing_settings::leaseRenew>),
    choiceKey("log.level", "trace|debug|info|warning|error", "info", "Minimum level of logged events.",
              store<logging, &log_settings::level>),
};

auto rangeOf(const key_description &key) -> std::string
{
    const auto unit = key.unit.empty() ? std::string{} : " " + std::string{key.unit};
    return std::to_string(key.minimum) + ".." + std::to_string(key.maximum) + unit;
}

auto joinChoices(std::string_view choices) -> std::string
{
    std::string words;
    for (const char character : choices) {
        words += character == '|' ? std::string{", "} : std::string{character};
    }
    return words;
}

auto defaultText(const key_description &key) -> std::string
{
    if (key.required) {
        return "required";
    }
    return key.defaultValue.empty() ? "none" : "`" + std::string{key.defaultValue} + "`";
}
} // namespace internal

auto nameOf(peer_kind kind) -> std::string_view
{
    return kind == peer_kind::control ? "control" : "entry";
}

auto keyTable() -> std::span<const key_description>
{
    return internal::keys;
}

auto findKey(std::string_view name) -> const key_description *
{
    const auto row = std::ranges::find(internal::keys, name, &key_description::name);
    return row == internal::keys.end() ? nullptr : &*row;
}

auto acceptedValues(const key_description &key) -> std::string
{
    switch (key.type) {
    case key_type::name:
        return "name of letters, digits, '-', '_', '.'";
    case key_type::address:
        return "address IP:port";
    case key_type::text:
        return "text of at least " + std::to_string(key.minimum) + " characters";
    case key_type::choice:
        return "one of " + internal::joinChoices(key.choices);
    case key_type::integer:
        return "integer " + internal::rangeOf(key);
    case key_type::name_list:
        return "array of names";
    }
    return {};
}

auto describeKeys() -> std::string
{
    std::string text = "| key | value | default | meaning |\n|---|---|---|---|\n";
    for (const auto &key : internal::keys) {
        text += "| `" + std::string{key.name} + "` | " + acceptedValues(key) + " | " + internal::defaultText(key)
            + " | " + std::string{key.meaning} + " |\n";
    }
    return text;
}
} // namespace poplarpass::settings
