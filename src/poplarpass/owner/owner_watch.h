#pragma once

#include <poplarpass/core/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Which process owns the pools, as agreed through the store.
namespace poplarpass::owner
{
/// \brief Between two renewals of the owner.
inline constexpr core::duration renewalPeriod = std::chrono::milliseconds{300};
/// \brief An owner that has been silent for this long is replaced, while the store answers quickly.
inline constexpr core::duration shortElectionTimeout = std::chrono::milliseconds{1000};
/// \brief The same while the store is slow.
inline constexpr core::duration longSilence = std::chrono::milliseconds{1800};
/// \brief The store answers quickly when a renewal took no longer than this.
inline constexpr core::duration quickRenewalLimit = std::chrono::milliseconds{60};
/// \brief The owner answers for the state of jobs until this long before others may replace it.
inline constexpr core::duration answerMargin = std::chrono::milliseconds{200};
/// \brief The owner gives orders to workers this long after sending the last renewal that was stored.
inline constexpr core::duration orderTerm = std::chrono::milliseconds{4500};
/// \brief Between the claims of processes with neighbouring ranks.
inline constexpr core::duration claimStagger = std::chrono::milliseconds{25};

/// \brief Kind of a record about ownership.
enum class owner_record_kind : std::uint8_t {
    claim, ///< A process became owner; the epoch is the record's offset + 1.
    renewal, ///< The owner is alive.
    resignation, ///< The owner stops; another may claim at once.
};

/// \brief One record about ownership.
struct owner_record
{
    owner_record_kind kind = owner_record_kind::claim; ///< Its kind.
    std::uint64_t epoch = 0; ///< Epoch of its writer.
    std::string host; ///< Name of its writer.
    std::string address; ///< "IP:port" at which other hosts reach its writer.
    core::duration silence = longSilence; ///< Others may claim when they hear nothing for this long after the record.

    auto operator==(const owner_record &) const -> bool = default;
};

/// \brief Silence to grant in the next renewal when the last one took \p latency.
auto silenceFor(core::duration latency) -> core::duration;

/// \brief \p record as text for the store.
auto encodeOwnerRecord(const owner_record &record) -> std::string;

/// \brief Record that encodeOwnerRecord() wrote, if \p text is one.
auto decodeOwnerRecord(std::string_view text) -> std::optional<owner_record>;

/// \brief What one process knows of the owner, and when it may claim to be the next.
class owner_watch
{
public:
    /// \brief Takes in a record in the order of the store.
    auto onRecord(const owner_record &record, core::monotonic_time now) -> void;

    /// \brief Takes in what an owner announced itself; older news changes nothing.
    /// \returns whether it was news
    auto onAnnouncement(const owner_record &record, core::monotonic_time now) -> bool;

    /// \brief Former owners that may still give orders at \p now, by name; \p epoch is the term that follows them.
    [[nodiscard]] auto formerOwners(std::uint64_t epoch, core::monotonic_time now) const -> std::vector<std::string>;

    /// \brief The store answered a read to its end.
    auto onRead(core::monotonic_time now) -> void;

    /// \brief The store did not answer a read.
    auto onReadFailed() -> void;

    /// \brief Newest claim that was not resigned; empty when nobody owns the pools.
    [[nodiscard]] auto current() const -> const std::optional<owner_record> &;

    /// \brief When a process should claim if it hears nothing until then; nothing while the store cannot be read.
    /// \param host name of the process's host
    /// \param rank position among the processes that may claim, to keep them from claiming at once
    [[nodiscard]] auto claimDue(std::string_view host, unsigned rank) const -> std::optional<core::monotonic_time>;

    /// \brief Whether a process should claim now.
    /// \sa claimDue
    [[nodiscard]] auto shouldClaim(core::monotonic_time now, std::string_view host, unsigned rank) const -> bool;

private:
    /// \brief An owner, and when it was last heard of.
    struct observed_owner
    {
        std::uint64_t epoch = 0;
        std::string host;
        core::monotonic_time lastHeardAt{};
        bool resigned = false;
    };

    auto recordObserved(const owner_record &record, core::monotonic_time now) -> void;

    std::optional<owner_record> m_current;
    std::uint64_t m_newestEpoch = 0;
    bool m_readable = false;
    std::vector<observed_owner> m_observedOwners;
    core::monotonic_time m_electionTimerStart{};
    core::monotonic_time m_vacantSince{};
};

/// \brief One term of ownership, seen by the owner itself.
class owner_term
{
public:
    /// \param epoch greater than that of all owners before
    /// \param claimedAt when the claim was sent
    owner_term(std::uint64_t epoch, core::monotonic_time claimedAt);

    /// \brief A renewal that grants others a claim after \p silence is about to be sent.
    auto onRenewing(core::monotonic_time sentAt, core::duration silence) -> void;

    /// \brief A renewal that was sent at \p sentAt is stored.
    auto onRenewed(core::monotonic_time sentAt, core::duration silence) -> void;

    /// \brief Whether the state of jobs here is surely the newest.
    [[nodiscard]] auto mayAnswer(core::monotonic_time now) const -> bool;

    /// \brief Whether orders may be given to workers.
    [[nodiscard]] auto mayOrder(core::monotonic_time now) const -> bool;

    /// \brief Fencing token of all orders and epoch of all appends.
    [[nodiscard]] auto epoch() const -> std::uint64_t;

private:
    std::uint64_t m_epoch;
    core::monotonic_time m_renewedAt;
    core::monotonic_time m_answerEnd;
};
} // namespace poplarpass::owner
