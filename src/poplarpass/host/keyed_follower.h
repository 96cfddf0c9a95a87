#pragma once

#include <poplarpass/core/lifetime.h>
#include <poplarpass/core/time_source.h>
#include <poplarpass/observe/logger.h>
#include <poplarpass/store/record_store.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

namespace poplarpass::host
{
/// \brief Topic to follow, and its description in the log.
struct followed_topic
{
    store::topic topic; ///< A keyed topic.
    std::string_view name; ///< Name in the log.
    std::string_view outageEffect; ///< Effect on the service while the store does not answer.
    std::chrono::milliseconds wait{0}; ///< Time that a read waits for new records (long poll).
};

/// \brief Callbacks of a follower.
struct follower_hooks
{
    std::function<void()> onRestart; ///< All records are replayed; state derived from earlier ones must be discarded.
    std::function<void(const store::stored_record &)>
        onRecord; ///< The next record; an empty value means that the key was deleted.
    std::function<void(std::string_view)> onUnreadable; ///< The record of a key could not be decoded; may be empty.
    std::function<void()> onCaughtUp; ///< All records that the store returned have been delivered.
    std::function<core::duration()> pause; ///< Delay before the next read.
};

/// \brief Follows a keyed topic: delivers the newest record of each key first, then each new record.
class keyed_follower
{
public:
    keyed_follower(const core::time_source &time, const store::record_store &records, observe::logger &log,
                   followed_topic followed, follower_hooks hooks);

    /// \brief Starts reading.
    auto start() -> void;

    /// \brief Offset after the last record that was read.
    [[nodiscard]] auto offset() const -> std::uint64_t;

    /// \brief Time of the last successful read.
    [[nodiscard]] auto readAt() const -> core::monotonic_time;

    /// \brief Time at which the last read was sent that returned all records; nothing before the first one.
    [[nodiscard]] auto confirmedAt() const -> std::optional<core::monotonic_time>;

private:
    auto readNewest() -> void;
    auto onNewest(const store::newest_result &newest) -> void;
    auto follow() -> void;
    auto onRecords(const store::read_result &result) -> void;
    auto handleCaughtUp() -> void;
    auto handleReadFailure(void (keyed_follower::*retry)()) -> void;

    const core::time_source &m_time;
    const store::record_store &m_store;
    observe::logger &m_log;
    followed_topic m_followed;
    follower_hooks m_hooks;
    std::uint64_t m_offset = 0;
    core::monotonic_time m_readAt{};
    core::monotonic_time m_sentAt{}; ///< When the read in progress was sent.
    std::optional<core::monotonic_time> m_confirmedAt;
    bool m_storeUnavailable = false;
    core::lifetime m_lifetime;
};

/// \brief Logs the records of \p newest that could not be decoded and were left out.
auto logUnreadable(const store::newest_result &newest, std::string_view topic, observe::logger &log) -> void;
} // namespace poplarpass::host
