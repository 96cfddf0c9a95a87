#pragma once

#include <poplarpass/core/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Election of the process that owns the pools, through records in the store.
namespace poplarpass::owner
{
/// \brief Interval between renewals of the owner.
inline constexpr core::duration renewalPeriod = std::chrono::milliseconds{300};
/// \brief Election timeout while the store answers quickly: an owner without renewals for this long is replaced.
inline constexpr core::duration shortElectionTimeout = std::chrono::milliseconds{1000};
/// \brief Election timeout while the store is slow.
inline constexpr core::duration longElectionTimeout = std::chrono::milliseconds{1800};
/// \brief Longest latency of a renewal at which the store counts as answering quickly.
inline constexpr core::duration quickRenewalLimit = std::chrono::milliseconds{60};
/// \brief The owner stops answering queries about jobs this long before others may replace it.
inline constexpr core::duration answerMargin = std::chrono::milliseconds{200};
/// \brief Time for which the owner may send orders to workers, from sending the last renewal that was stored.
inline constexpr core::duration orderTerm = std::chrono::milliseconds{4500};

/// \brief Kind of a record about ownership.
enum class owner_record_kind : std::uint8_t {
    claim, ///< A process became owner; its epoch is the offset of the record + 1.
    renewal, ///< The owner is still alive.
    resignation, ///< The owner gave up ownership; another may claim at once.
};

/// \brief One record about ownership.
struct owner_record
{
    owner_record_kind kind = owner_record_kind::claim; ///< Kind of the record.
    std::uint64_t epoch = 0; ///< Epoch of its writer.
    std::string host; ///< Name of its writer.
    std::string address; ///< "IP:port" at which other hosts reach its writer.
    core::duration electionTimeout = longElectionTimeout; ///< Election timeout: others may claim this long after the
                                                          ///< record if no further one follows.

    auto operator==(const owner_record &) const -> bool = default;
};

/// \brief Returns the election timeout for the next renewal when the last one took \p latency.
auto electionTimeoutFor(core::duration latency) -> core::duration;

/// \brief Encodes \p record as text for the store.
auto encodeOwnerRecord(const owner_record &record) -> std::string;

/// \brief Decodes a record that encodeOwnerRecord() wrote.
/// \returns nothing when \p text is not valid
auto decodeOwnerRecord(std::string_view text) -> std::optional<owner_record>;

/// \brief Tracks the current owner from its records, and determines when this process may claim ownership.
class owner_monitor
{
public:
    /// \brief Processes a record; called in the order of the store.
    auto onRecord(const owner_record &record, core::monotonic_time now) -> void;

    /// \brief Processes an announcement received from an owner directly; ignores it unless its epoch is newer.
    /// \returns whether the announcement was newer
    auto onAnnouncement(const owner_record &record, core::monotonic_time now) -> bool;

    /// \brief Returns the host names of owners before \p epoch that may still send orders at \p now.
    [[nodiscard]] auto formerOwners(std::uint64_t epoch, core::monotonic_time now) const -> std::vector<std::string>;

    /// \brief Handles a complete answer to a read from the store.
    auto onRead(core::monotonic_time now) -> void;

    /// \brief Handles a read that the store did not answer.
    auto onReadFailed() -> void;

    /// \brief Returns the newest record of the current owner; empty when there is no owner.
    [[nodiscard]] auto current() const -> const std::optional<owner_record> &;

    /// \brief Returns when a process should claim ownership if no record arrives before.
    /// \param host name of the process's host
    /// \param rank rank of the process; delays its claim so that processes do not claim simultaneously
    /// \returns nothing while the store is unreadable
    [[nodiscard]] auto claimDue(std::string_view host, unsigned rank) const -> std::optional<core::monotonic_time>;

    /// \brief Returns whether a process should claim ownership at \p now.
    /// \sa claimDue
    [[nodiscard]] auto shouldClaim(core::monotonic_time now, std::string_view host, unsigned rank) const -> bool;

private:
    /// \brief An owner and the time of its last record or announcement.
    struct observed_owner
    {
        std::uint64_t epoch = 0;
        std::string host;
        core::monotonic_time lastSeenAt{};
        bool resigned = false;
    };

    auto recordObserved(const owner_record &record, core::monotonic_time now) -> void;

    std::optional<owner_record> m_current;
    std::uint64_t m_newestEpoch = 0;
    bool m_readable = false;
    bool m_isStoreSlow = false; ///< Whether the store was slow by the last record of an owner.
    std::vector<observed_owner> m_observedOwners;
    core::monotonic_time m_electionTimerStart{};
    core::monotonic_time m_vacantSince{};
};

/// \brief One term of ownership, from the owner's own point of view.
class owner_term
{
public:
    /// \param epoch epoch of this owner, greater than that of all former ones
    /// \param claimedAt when the claim was sent
    owner_term(std::uint64_t epoch, core::monotonic_time claimedAt);

    /// \brief Called before a renewal with the election timeout \p electionTimeout is sent.
    auto onRenewing(core::monotonic_time sentAt, core::duration electionTimeout) -> void;

    /// \brief Called when the renewal sent at \p sentAt is stored.
    auto onRenewed(core::monotonic_time sentAt, core::duration electionTimeout) -> void;

    /// \brief Returns whether the state of jobs in this process is guaranteed to be the newest.
    [[nodiscard]] auto mayAnswer(core::monotonic_time now) const -> bool;

    /// \brief Returns whether orders may be sent to workers.
    [[nodiscard]] auto mayOrder(core::monotonic_time now) const -> bool;

    /// \brief Returns the epoch: the fencing token of all orders and the epoch of all appends.
    [[nodiscard]] auto epoch() const -> std::uint64_t;

private:
    std::uint64_t m_epoch;
    core::monotonic_time m_renewedAt;
    core::monotonic_time m_answerEnd;
};
} // namespace poplarpass::owner
