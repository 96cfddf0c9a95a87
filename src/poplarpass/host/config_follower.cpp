#include <poplarpass/host/config_follower.h>
#include <poplarpass/host/constants.h>

#include <utility>

namespace poplarpass::host
{
using observe::log_level;

config_follower::config_follower(const core::time_source &time, const store::record_store &records,
                                 observe::logger &log, operator_decoder decoder, route::route_table &routes,
                                 std::function<void()> onConfig)
    : m_time{time}
    , m_store{records}
    , m_log{log}
    , m_decoder{std::move(decoder)}
    , m_routes{routes}
    , m_onConfig{std::move(onConfig)}
{
}

auto config_follower::start() -> void
{
    readAll();
}

auto config_follower::readAll() -> void
{
    m_store.newest(store::topic::operator_records,
                   m_life.guard([this](const store::newest_result &newest) { onAll(newest); }));
}

auto config_follower::onAll(const store::newest_result &newest) -> void
{
    if (!newest.complete) {
        lost();
        m_time.callAfter(storeRetry, m_life.guard([this] { readAll(); }));
        return;
    }
    m_otherRecords.clear();
    for (const auto &record : newest.records) {
        take(record);
    }
    m_offset = newest.endOffset;
    m_readAt = m_time.now();
    follow();
}

// Until the first configuration the record may come at any moment, so the wait is the same.
auto config_follower::follow() -> void
{
    m_store.read(store::topic::operator_records, m_offset, operatorWait,
                 m_life.guard([this](const store::read_result &result) { onRecords(result); }));
}

auto config_follower::onRecords(const store::read_result &result) -> void
{
    switch (result.outcome) {
    case store::read_outcome::failed:
        lost();
        m_time.callAfter(storeRetry, m_life.guard([this] { follow(); }));
        return;
    case store::read_outcome::expired:
        readAll();
        return;
    case store::read_outcome::read:
        break;
    }
    m_readAt = m_time.now();
    if (std::exchange(m_storeLost, false)) {
        m_log.log(log_level::info, "store_regained", {{"topic", "operator"}, {"offset", m_offset}});
    }
    for (const auto &record : result.records) {
        take(record);
        m_offset = record.offset + 1;
    }
    m_time.callAfter(core::duration{0}, m_life.guard([this] { follow(); }));
}

auto config_follower::take(const store::stored_record &record) -> void
{
    if (record.key != m_decoder.configKey) {
        m_otherRecords[record.key] = record.value;
        return;
    }
    auto config = m_decoder.decodeConfig(record.value);
    if (!config) {
        m_log.log(log_level::error, "config_unreadable",
                  {{"offset", record.offset}, {"detail", config.error().detail}, {"kept", m_routes.config().version}});
        return;
    }
    if (m_routes.update(std::move(*config))) {
        m_log.log(log_level::info, "config_in_force",
                  {{"version", m_routes.config().version},
                   {"offset", record.offset},
                   {"routes", m_routes.config().routes.size()}});
        m_onConfig();
    }
}

auto config_follower::lost() -> void
{
    if (!std::exchange(m_storeLost, true)) {
        m_log.log(log_level::warning, "store_lost",
                  {{"topic", "operator"}, {"effect", "config_kept"}, {"version", m_routes.config().version}});
    }
}

auto config_follower::offset() const -> std::uint64_t
{
    return m_offset;
}

auto config_follower::readAt() const -> core::monotonic_time
{
    return m_readAt;
}

auto config_follower::otherRecords() const -> const std::map<std::string, std::string> &
{
    return m_otherRecords;
}
} // namespace poplarpass::host
