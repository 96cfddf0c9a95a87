#pragma once

#include <poplarpass/control/control_action.h>
#include <poplarpass/core/time.h>

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace poplarpass::control
{
/// \brief Subject of a record: a host or a wave.
struct append_subject
{
    core::host_id host; ///< Host, or empty.
    core::wave_id wave; ///< Wave, or empty.

    auto operator<=>(const append_subject &) const = default;
};

/// \brief Records requested but not yet read back from the log, at most one per subject.
///
/// A record that is still wanted is retried with the same id, so that a lost answer never results in two records.
class pending_appends
{
public:
    /// \param idPrefix prefix of every record id, unique to this incarnation of the process
    explicit pending_appends(std::string idPrefix);

    /// \brief Returns a request to append \p change now, or none while another record about the subject is pending.
    ///
    /// A pending record that equals \p change is retried instead; one that differs is dropped after staleAppendTimeout.
    auto request(const append_subject &subject, const replication::record &change, core::monotonic_time now)
        -> std::optional<append_request>;

    /// \brief Returns a retry of the pending record about \p subject, if it was last sent appendRetryInterval or longer
    /// ago.
    auto repeat(const append_subject &subject, core::monotonic_time now) -> std::optional<append_request>;

    /// \brief Handles that the record \p id was read back, accepted or rejected.
    auto onApplied(const core::record_id &id) -> void;

    /// \brief Returns the pending record about \p subject, or null.
    [[nodiscard]] auto pendingRecord(const append_subject &subject) const -> const replication::record *;

    /// \brief Discards all pending records; those appended later are accepted or rejected by the replicated state
    /// alone.
    auto clear() -> void;

private:
    struct pending
    {
        append_request request;
        core::monotonic_time firstSent;
        core::monotonic_time lastSent;
    };

    std::string m_idPrefix;
    std::uint64_t m_sequence = 0;
    std::map<append_subject, pending> m_pending;
    std::map<core::record_id, append_subject> m_subjects;
};
} // namespace poplarpass::control
