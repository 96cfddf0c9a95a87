#include <poplarpass/host/config_follower.h>
#include <poplarpass/host/constants.h>

#include <utility>

namespace poplarpass::host
{
using observe::log_level;

config_follower::config_follower(const core::time_source &time, const store::record_store &records,
                                 observe::logger &log, operator_decoder decoder, route::route_table &routes,
                                 std::function<void()> onConfig)
    : m_log{log}
    , m_decoder{std::move(decoder)}
    , m_routes{routes}
    , m_onConfig{std::move(onConfig)}
    , m_follower{time,
                 records,
                 log,
                 {store::topic::operator_records, "operator", "config_kept", operatorReadTimeout},
                 makeHooks()}
{
}

auto config_follower::makeHooks() -> follower_hooks
{
    follower_hooks hooks;
    hooks.onRestart = [this] {
        m_otherRecords.clear();
    };
    hooks.onRecord = [this](const store::stored_record &record) {
        applyRecord(record);
    };
    hooks.onUnreadable = [this](std::string_view key) {
        m_isReadable = m_isReadable && key != m_decoder.configKey;
    };
    hooks.onCaughtUp = [] {
    };
    hooks.pause = [] {
        return core::duration{0};
    };
    return hooks;
}

auto config_follower::start() -> void
{
    m_follower.start();
}

auto config_follower::applyRecord(const store::stored_record &record) -> void
{
    if (record.key == m_decoder.configKey) {
        applyConfig(record);
    } else {
        m_otherRecords[record.key] = record.value;
    }
}

auto config_follower::applyConfig(const store::stored_record &record) -> void
{
    auto config = m_decoder.decodeConfig(record.value);
    if (!config) {
        m_isReadable = false;
        m_log.log(log_level::error, "config_unreadable",
                  {{"offset", record.offset}, {"detail", config.error().detail}, {"kept", m_routes.config().version}});
        return;
    }
    if (m_routes.update(std::move(*config))) {
        m_isReadable = true;
        m_log.log(log_level::info, "config_in_force",
                  {{"version", m_routes.config().version},
                   {"offset", record.offset},
                   {"routes", m_routes.config().routes.size()}});
        m_onConfig();
    }
}

auto config_follower::offset() const -> std::uint64_t
{
    return m_follower.offset();
}

auto config_follower::readAt() const -> core::monotonic_time
{
    return m_follower.readAt();
}

auto config_follower::confirmedAt() const -> std::optional<core::monotonic_time>
{
    return m_follower.confirmedAt();
}

auto config_follower::isReadable() const -> bool
{
    return m_isReadable;
}

auto config_follower::otherRecords() const -> const std::map<std::string, std::string> &
{
    return m_otherRecords;
}
} // namespace poplarpass::host
