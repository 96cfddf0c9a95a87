#pragma once

#include <poplarpass/core/string_id.h>
#include <poplarpass/core/time.h>

#include <array>
#include <cstddef>
#include <optional>
#include <unordered_map>

namespace poplarpass::request
{
/// \brief Source of a report that a host is leaving.
enum class leaving_source {
    host_list, ///< The platform's list.
    control, ///< An accepted record of the control process.
    worker, ///< The worker's own answer.
};

/// \brief Number of sources.
inline constexpr std::size_t leavingSourceCount = 3;

/// \brief Hosts that at least one source reports as leaving.
class leaving_tracker
{
public:
    /// \brief Records whether \p source reports \p host as leaving.
    auto update(const core::host_id &host, leaving_source source, bool leaving, core::monotonic_time now) -> void;
    /// \brief Removes \p host.
    auto discardHost(const core::host_id &host) -> void;
    /// \brief Returns whether any source reports \p host as leaving.
    [[nodiscard]] auto isLeaving(const core::host_id &host) const -> bool;
    /// \brief Returns the time since which at least one source has reported \p host as leaving without interruption.
    [[nodiscard]] auto leavingSince(const core::host_id &host) const -> std::optional<core::monotonic_time>;
    /// \brief Asserts no_work_when_leaving; call when new work is sent to \p host.
    auto requireMaySend(const core::host_id &host, core::monotonic_time now) const -> void;
    /// \brief Returns the number of hosts that are leaving.
    [[nodiscard]] auto size() const -> std::size_t;

private:
    struct state
    {
        std::array<bool, leavingSourceCount> reports{};
        core::monotonic_time since;
    };

    std::unordered_map<core::host_id, state> m_hosts;
};
} // namespace poplarpass::request
