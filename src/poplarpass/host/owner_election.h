#pragma once

#include <poplarpass/core/lifetime.h>
#include <poplarpass/core/time_source.h>
#include <poplarpass/observe/logger.h>
#include <poplarpass/owner/owner_watch.h>
#include <poplarpass/store/record_store.h>

#include <functional>
#include <memory>
#include <string>

namespace poplarpass::host
{
/// \brief What the election tells the process.
struct election_hooks
{
    std::function<void(std::uint64_t, core::monotonic_time)> onElected; ///< This process owns the pools: epoch, time.
    std::function<void(core::monotonic_time, core::duration)> onRenewing; ///< A renewal is sent: time, silence granted.
    std::function<void(core::monotonic_time, core::duration)> onRenewed; ///< It is stored: the same.
    std::function<void()> onOwnershipLost; ///< This process does not own the pools any more.
    std::function<unsigned()> rank; ///< Position of this process among those that may claim.
};

/// \brief Follows the records about ownership, claims it when it is vacant, and renews it.
class owner_election
{
public:
    owner_election(const core::time_source &time, const store::record_store &records, observe::logger &log,
                   std::string hostName, std::string address, election_hooks hooks);

    /// \brief Begins to follow.
    auto start() -> void;

    /// \brief Never claims again.
    auto disableClaims() -> void;

    /// \brief Lets another process claim at once; calls \p done when that is stored or failed.
    auto resign(std::function<void()> done) -> void;

    /// \brief This process does not own the pools any more, whatever the store says.
    auto clearOwnership() -> void;

    /// \brief Takes in what another owner announced itself.
    auto onAnnouncement(const owner::owner_record &record) -> void;

    /// \brief Names of former owners that may still give orders.
    [[nodiscard]] auto formerOwners() const -> std::vector<std::string>;

    /// \brief Position up to which the records about ownership were read.
    [[nodiscard]] auto offset() const -> std::uint64_t;

    /// \brief When the store last answered.
    [[nodiscard]] auto readAt() const -> core::monotonic_time;

    /// \brief Owner as far as is known.
    [[nodiscard]] auto current() const -> const std::optional<owner::owner_record> &;

private:
    auto read() -> void;
    auto onRead(const store::read_result &result) -> void;
    auto applyRecord(const store::stored_record &record) -> void;
    auto claimIfDue() -> void;
    auto claim() -> void;
    auto onClaimed(const store::append_result &answer, std::uint64_t epoch, core::monotonic_time sentAt) -> void;
    auto beginTerm(std::uint64_t epoch, core::monotonic_time sentAt) -> void;
    auto renew() -> void;
    auto onRenewed(const store::append_result &answer, core::monotonic_time sentAt, core::duration silence) -> void;
    auto sendResignation() -> void;
    auto stepDown() -> void;
    auto appendOwnerRecord(owner::owner_record_kind kind, core::duration silence,
                           std::function<void(store::append_result)> done) -> void;

    const core::time_source &m_time;
    const store::record_store &m_store;
    observe::logger &m_log;
    std::string m_hostName;
    std::string m_address;
    election_hooks m_hooks;
    owner::owner_watch m_monitor;
    std::uint64_t m_offset = 0;
    core::monotonic_time m_readAt{};
    std::uint64_t m_epoch = 0;
    std::uint64_t m_claimedEpoch = 0;
    core::monotonic_time m_claimedAt{};
    std::uint64_t m_sequence = 0;
    std::function<void()> m_onResigned;
    core::duration m_renewalLatency = owner::longSilence;
    bool m_renewing = false;
    bool m_owner = false;
    bool m_claiming = false;
    bool m_claimsDisabled = false;
    bool m_storeUnavailable = false;
    core::lifetime m_life;
};
} // namespace poplarpass::host
