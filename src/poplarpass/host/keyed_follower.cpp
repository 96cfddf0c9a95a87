#include <poplarpass/host/constants.h>
#include <poplarpass/host/keyed_follower.h>

#include <utility>

namespace poplarpass::host
{
using observe::log_level;

keyed_follower::keyed_follower(const core::time_source &time, const store::record_store &records, observe::logger &log,
                               followed_topic followed, follower_hooks hooks)
    : m_time{time}
    , m_store{records}
    , m_log{log}
    , m_followed{followed}
    , m_hooks{std::move(hooks)}
{
}

auto logUnreadable(const store::newest_result &newest, std::string_view topic, observe::logger &log) -> void
{
    for (const auto &key : newest.unreadableKeys) {
        log.log(log_level::error, "stored_record_unreadable", {{"topic", topic}, {"key", key}});
    }
}

auto keyed_follower::start() -> void
{
    readNewest();
}

auto keyed_follower::readNewest() -> void
{
    m_sentAt = m_time.now();
    m_store.newest(m_followed.topic,
                   m_lifetime.guard([this](const store::newest_result &newest) { onNewest(newest); }));
}

auto keyed_follower::onNewest(const store::newest_result &newest) -> void
{
    if (!newest.complete) {
        handleReadFailure(&keyed_follower::readNewest);
        return;
    }
    m_hooks.onRestart();
    logUnreadable(newest, m_followed.name, m_log);
    for (const auto &key : newest.unreadableKeys) {
        if (m_hooks.onUnreadable) {
            m_hooks.onUnreadable(key);
        }
    }
    for (const auto &record : newest.records) {
        m_hooks.onRecord(record);
    }
    m_offset = newest.endOffset;
    m_confirmedAt = m_sentAt;
    handleCaughtUp();
}

auto keyed_follower::follow() -> void
{
    // After a failed read, one that does not wait for records confirms the present ones sooner.
    const auto wait = m_storeUnavailable ? std::chrono::milliseconds{0} : m_followed.wait;
    m_sentAt = m_time.now();
    m_store.read(m_followed.topic, m_offset, wait,
                 m_lifetime.guard([this](const store::read_result &result) { onRecords(result); }));
}

auto keyed_follower::onRecords(const store::read_result &result) -> void
{
    switch (result.outcome) {
    case store::read_outcome::failed:
        handleReadFailure(&keyed_follower::follow);
        return;
    case store::read_outcome::expired:
        readNewest();
        return;
    case store::read_outcome::read:
        break;
    }
    for (const auto &record : result.records) {
        m_hooks.onRecord(record);
        m_offset = record.offset + 1;
    }
    // The time of sending counts: the answer may have waited in the socket of a frozen process.
    if (m_offset >= result.endOffset) {
        m_confirmedAt = m_sentAt;
    }
    handleCaughtUp();
}

auto keyed_follower::handleCaughtUp() -> void
{
    m_readAt = m_time.now();
    if (std::exchange(m_storeUnavailable, false)) {
        m_log.log(log_level::info, "store_regained", {{"topic", m_followed.name}, {"offset", m_offset}});
    }
    const auto alive = m_lifetime.aliveFlag();
    m_hooks.onCaughtUp();
    if (*alive) {
        m_time.callAfter(m_hooks.pause(), m_lifetime.guard([this] { follow(); }));
    }
}

auto keyed_follower::handleReadFailure(void (keyed_follower::*retry)()) -> void
{
    if (!std::exchange(m_storeUnavailable, true)) {
        m_log.log(log_level::warning, "store_lost",
                  {{"topic", m_followed.name}, {"effect", m_followed.outageEffect}, {"offset", m_offset}});
    }
    m_time.callAfter(storeRetryDelay, m_lifetime.guard([this, retry] { (this->*retry)(); }));
}

auto keyed_follower::offset() const -> std::uint64_t
{
    return m_offset;
}

auto keyed_follower::readAt() const -> core::monotonic_time
{
    return m_readAt;
}

auto keyed_follower::confirmedAt() const -> std::optional<core::monotonic_time>
{
    return m_confirmedAt;
}
} // namespace poplarpass::host
