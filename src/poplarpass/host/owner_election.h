#pragma once

#include <poplarpass/core/lifetime.h>
#include <poplarpass/core/time_source.h>
#include <poplarpass/observe/logger.h>
#include <poplarpass/owner/owner_monitor.h>
#include <poplarpass/store/record_store.h>

#include <functional>
#include <memory>
#include <string>

namespace poplarpass::host
{
/// \brief Callbacks of the election into the process.
struct election_hooks
{
    std::function<void(std::uint64_t, core::monotonic_time)>
        onElected; ///< This process became owner: epoch, time of its claim.
    std::function<void(core::monotonic_time, core::duration)>
        onRenewing; ///< A renewal is about to be sent: time, election timeout.
    std::function<void(core::monotonic_time, core::duration)> onRenewed; ///< The renewal is stored: the same arguments.
    std::function<void(std::uint64_t)> onFencingToken; ///< This owner may use the given fencing token: it is greater
                                                       ///< than its epoch and less than the epoch of any later owner.
    std::function<void()> onOwnershipLost; ///< This process is no longer the owner.
    std::function<unsigned()> rank; ///< Claim rank of this process; the lowest claims first.
};

/// \brief Follows the ownership records in the store, claims ownership when it is vacant, and renews it.
class owner_election
{
public:
    owner_election(const core::time_source &time, const store::record_store &records, observe::logger &log,
                   std::string hostName, std::string address, election_hooks hooks);

    /// \brief Begins to follow the ownership records.
    auto start() -> void;

    /// \brief Prevents any further claim by this process.
    auto disableClaims() -> void;

    /// \brief Stores a resignation, so that another process may claim at once; calls \p done when it is stored or
    /// rejected.
    auto resign(std::function<void()> done) -> void;

    /// \brief Stores a resignation like resign(), after which this process claims again only after \p pause.
    auto yield(core::duration pause, std::function<void()> done) -> void;

    /// \brief Returns how long the last renewal took.
    [[nodiscard]] auto renewalLatency() const -> core::duration;

    /// \brief Marks this process as not being the owner, whatever the store contains.
    auto clearOwnership() -> void;

    /// \brief Applies the announcement of another owner.
    auto onAnnouncement(const owner::owner_record &record) -> void;

    /// \brief Returns the names of former owners that may still send orders.
    [[nodiscard]] auto formerOwners() const -> std::vector<std::string>;

    /// \brief Returns the offset up to which the ownership records were read.
    [[nodiscard]] auto offset() const -> std::uint64_t;

    /// \brief Returns when the store last answered a read.
    [[nodiscard]] auto readAt() const -> core::monotonic_time;

    /// \brief Returns the current owner as far as known.
    [[nodiscard]] auto current() const -> const std::optional<owner::owner_record> &;

private:
    auto read() -> void;
    auto onRead(const store::read_result &result) -> void;
    auto applyRecord(const store::stored_record &record) -> void;
    auto offerFencingToken(const owner::owner_record &record, std::uint64_t offset) -> void;
    auto claimIfDue() -> void;
    auto claim() -> void;
    auto onClaimed(const store::append_result &answer, std::uint64_t epoch, core::monotonic_time sentAt) -> void;
    auto beginTerm(std::uint64_t epoch, core::monotonic_time sentAt) -> void;
    auto renew() -> void;
    auto sendRenewal() -> void;
    auto onRenewed(const store::append_result &answer, std::uint64_t epoch) -> void;
    auto onRenewalStored() -> void;
    auto beginResignation(std::function<void()> done) -> void;
    auto sendResignation() -> void;
    auto stepDown() -> void;
    auto appendOwnerRecord(owner::owner_record_kind kind, core::duration electionTimeout,
                           std::function<void(store::append_result)> done) -> void;

    const core::time_source &m_time;
    const store::record_store &m_store;
    observe::logger &m_log;
    std::string m_hostName;
    std::string m_address;
    election_hooks m_hooks;
    owner::owner_monitor m_monitor;
    std::uint64_t m_offset = 0;
    core::monotonic_time m_readAt{};
    std::uint64_t m_epoch = 0;
    std::uint64_t m_claimedEpoch = 0;
    core::monotonic_time m_claimedAt{}; ///< When the first claim of m_claimedEpoch was sent.
    std::uint64_t m_sequence = 0;
    std::function<void()> m_onResigned;
    core::duration m_renewalLatency = owner::longElectionTimeout;
    core::monotonic_time m_renewalSentAt{}; ///< When the renewal in flight was first sent.
    core::duration m_renewalTimeout = owner::longElectionTimeout; ///< Election timeout in that renewal.
    bool m_renewalRepeated = false; ///< Whether that renewal was sent more than once.
    bool m_renewing = false;
    bool m_owner = false;
    bool m_claiming = false;
    bool m_claimsDisabled = false;
    core::monotonic_time m_noClaimsBefore{};
    bool m_storeUnavailable = false;
    core::lifetime m_lifetime;
};
} // namespace poplarpass::host
