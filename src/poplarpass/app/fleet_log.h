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
/// \brief What the owner of a fleet_log wants to hear.
struct fleet_log_hooks
{
    /// \brief A record was applied.
    replication::apply_observer onApplied;
    /// \brief A snapshot or a peer's state took the place of the state.
    replication::replace_observer onReplaced;
    /// \brief The log was read to its end by a read that was sent at the given time.
    std::function<void(core::monotonic_time)> onReadToEnd;
};

/// \brief Follows the platform's log and publishes records on it.
class fleet_log
{
public:
    /// \param loop event loop
    /// \param service the platform's log; outlives this object
    /// \param secret key of the deployment that records are signed with
    fleet_log(boost::asio::io_context &loop, const platform::log_service &service, std::string_view secret,
              fleet_log_hooks hooks);
    ~fleet_log();
    fleet_log(const fleet_log &) = delete;
    auto operator=(const fleet_log &) -> fleet_log & = delete;

    /// \brief Starts to read.
    auto start() -> void;

    /// \brief Stops reading; publications under way are not answered any more.
    auto stop() -> void;

    /// \brief Publishes \p change under \p id and calls \p done once with what is known in the end.
    auto publish(const core::record_id &id, const replication::record &change, core::duration timeout,
                 std::function<void(replication::publish_outcome)> done) -> void;

    /// \brief Appends once, without a confirmation: the caller watches for the record itself.
    auto append(const core::record_id &id, const replication::record &change,
                std::function<void(core::result<replication::log_offset>)> done) -> void;

    /// \brief The follower, for its state and counts.
    [[nodiscard]] auto follower() -> replication::log_follower &;

    /// \brief The agreed state as far as it was read.
    [[nodiscard]] auto state() const -> const replication::fleet_state &;

private:
    struct publication
    {
        replication::publisher decision;
        std::string bytes;
        std::function<void(replication::publish_outcome)> done;
    };

    auto makeDecoder() -> replication::log_decoder;
    auto read() -> void;
    auto readDone(replication::log_offset from, core::monotonic_time sentAt,
                  const core::result<platform::log_page> &page) -> void;
    auto driveAll() -> void;
    auto drive(const std::shared_ptr<publication> &target) -> void;

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
