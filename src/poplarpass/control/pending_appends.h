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
/// \brief What a record is about: a host or a wave.
struct append_subject
{
    core::host_id host; ///< The host, or empty.
    core::wave_id wave; ///< The wave, or empty.

    auto operator<=>(const append_subject &) const = default;
};

/// \brief Records that were asked for and not yet read back: at most one for each subject.
///
/// A record that is still wanted is repeated with its id, so that a lost answer never makes two records of one.
class pending_appends
{
public:
    /// \param idPrefix start of every record id, unique to this run of the process
    explicit pending_appends(std::string idPrefix);

    /// \brief Request to append \p change now; none while one for the subject waits to be read back.
    auto request(const append_subject &subject, const fold::record &change, core::monotonic_time now)
        -> std::optional<append_request>;

    /// \brief Repeat of the record about \p subject, if one waits and its latest sending is long enough ago.
    auto repeat(const append_subject &subject, core::monotonic_time now) -> std::optional<append_request>;

    /// \brief Takes in that the record \p id was read back, accepted or not.
    auto onApplied(const core::record_id &id) -> void;

    /// \brief Record about \p subject that waits to be read back, or null.
    [[nodiscard]] auto pendingRecord(const append_subject &subject) const -> const fold::record *;

    /// \brief Forgets all records; those that still land are judged by the fold alone.
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
