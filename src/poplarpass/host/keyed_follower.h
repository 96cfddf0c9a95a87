#pragma once

#include <poplarpass/core/lifetime.h>
#include <poplarpass/core/time_source.h>
#include <poplarpass/observe/logger.h>
#include <poplarpass/store/record_store.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string_view>

namespace poplarpass::host
{
/// \brief What is followed, and what the log says of it.
struct followed_topic
{
    store::topic topic; ///< The topic; a keyed one.
    std::string_view name; ///< Its name in the log.
    std::string_view lossEffect; ///< What it means for serving when the store does not answer.
    std::chrono::milliseconds wait{0}; ///< A read waits this long for news.
};

/// \brief What a follower calls.
struct follower_hooks
{
    std::function<void()> onRestart; ///< All records follow anew: what was known of them does not hold.
    std::function<void(const store::stored_record &)> onRecord; ///< A record, in order; without a value it is gone.
    std::function<void()> onCaughtUp; ///< All that the store has was handed over.
    std::function<core::duration()> pause; ///< Time to the next read.
};

/// \brief Follows a keyed topic: the newest record of each key first, then each new one.
class keyed_follower
{
public:
    keyed_follower(const core::time_source &time, const store::record_store &records, observe::logger &log,
                   followed_topic followed, follower_hooks hooks);

    /// \brief Begins to follow.
    auto start() -> void;

    /// \brief Position up to which records were read.
    [[nodiscard]] auto offset() const -> std::uint64_t;

    /// \brief When the store last answered.
    [[nodiscard]] auto readAt() const -> core::monotonic_time;

private:
    auto readAll() -> void;
    auto onAll(const store::newest_result &newest) -> void;
    auto follow() -> void;
    auto onRecords(const store::read_result &result) -> void;
    auto caughtUp() -> void;
    auto lost(void (keyed_follower::*again)()) -> void;

    const core::time_source &m_time;
    const store::record_store &m_store;
    observe::logger &m_log;
    followed_topic m_followed;
    follower_hooks m_hooks;
    std::uint64_t m_offset = 0;
    core::monotonic_time m_readAt{};
    bool m_storeLost = false;
    core::lifetime m_lifetime;
};
} // namespace poplarpass::host
