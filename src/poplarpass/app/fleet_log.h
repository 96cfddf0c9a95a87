#pragma once

#include <poplarpass/app/process_runtime.h>
#include <poplarpass/app/ticker.h>
#include <poplarpass/codec/record_codec.h>
#include <poplarpass/replication.h>

#include <functional>
#include <list>
#include <memory>

namespace poplarpass::app
{
/// \brief Callbacks of a fleet_log.
struct fleet_log_hooks
{
    /// \brief Called after a record was applied.
    replication::apply_observer onApplied;
    /// \brief Called after the state was replaced by a snapshot or by the state of a peer.
    replication::replace_observer onReplaced;
    /// \brief Called after a read reached the end of the log; receives the time at which the read was sent.
    std::function<void(core::monotonic_time)> onReadToEnd;
};

/// \brief Follows the platform's log, applies its records and publishes new ones.
class fleet_log
{
public:
    /// \param loop event loop
    /// \param service the platform's log; must outlive this object
    /// \param secret key of the deployment, with which records are signed
    fleet_log(boost::asio::io_context &loop, const platform::log_service &service, std::string_view secret,
              fleet_log_hooks hooks);
    ~fleet_log();
    fleet_log(const fleet_log &) = delete;
    auto operator=(const fleet_log &) -> fleet_log & = delete;

    /// \brief Starts reading the log.
    auto start() -> void;

    /// \brief Stops reading; the callbacks of pending publications are not called.
    auto stop() -> void;

    /// \brief Publishes \p change under \p id and calls \p done once with the outcome.
    auto publish(const core::record_id &id, const replication::record &change, core::duration timeout,
                 std::function<void(replication::publish_outcome)> done) -> void;

    /// \brief Appends once, without retry: the caller detects the record in the log itself.
    auto append(const core::record_id &id, const replication::record &change,
                std::function<void(core::result<replication::log_offset>)> done) -> void;

    /// \brief Returns the follower that reads and applies the log.
    [[nodiscard]] auto follower() -> replication::log_follower &;

    /// \brief Returns the replicated state at the offset read so far.
    [[nodiscard]] auto state() const -> const replication::fleet_state &;

private:
    struct publication
    {
        replication::publisher publisher;
        std::string bytes;
        std::function<void(replication::publish_outcome)> done;
    };

    auto makeDecoder() -> replication::log_decoder;
    auto read() -> void;
    auto readDone(replication::log_offset from, core::monotonic_time sentAt,
                  const core::result<platform::log_page> &page) -> void;
    auto advanceAll() -> void;
    auto advance(const std::shared_ptr<publication> &target) -> void;

    boost::asio::io_context &m_loop;
    const platform::log_service &m_service;
    codec::record_authenticator m_authenticator;
    fleet_log_hooks m_hooks;
    std::list<std::shared_ptr<publication>> m_publications;
    replication::log_follower m_follower;
    std::unique_ptr<ticker> m_ticker;
    std::shared_ptr<bool> m_alive;
};
} // namespace poplarpass::app
