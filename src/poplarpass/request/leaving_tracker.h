#pragma once

#include <poplarpass/core/string_id.h>
#include <poplarpass/core/time.h>

#include <array>
#include <cstddef>
#include <optional>
#include <unordered_map>

namespace poplarpass::request
{
/// \brief Who said that a host is leaving.
enum class leaving_source {
    host_list, ///< The platform's list.
    control, ///< An accepted record of control.
    worker, ///< The worker's own answer.
};

/// \brief Number of sources.
inline constexpr std::size_t leavingSourceCount = 3;

/// \brief Which hosts are leaving, by whichever source says so first.
class leaving_tracker
{
public:
    /// \brief Notes what \p source says of \p host at \p now.
    auto note(const core::host_id &host, leaving_source source, bool leaving, core::monotonic_time now) -> void;
    /// \brief Forgets \p host.
    auto forget(const core::host_id &host) -> void;
    /// \brief Whether any source says that \p host is leaving.
    [[nodiscard]] auto isLeaving(const core::host_id &host) const -> bool;
    /// \brief Since when some source without a break said so.
    [[nodiscard]] auto leavingSince(const core::host_id &host) const -> std::optional<core::monotonic_time>;
    /// \brief Call when new work is sent to \p host; asserts no_work_when_leaving.
    auto requireMaySend(const core::host_id &host, core::monotonic_time now) const -> void;
    /// \brief Hosts that are leaving.
    [[nodiscard]] auto size() const -> std::size_t;

private:
    struct state
    {
        std::array<bool, leavingSourceCount> says{};
        core::monotonic_time since;
    };

    std::unordered_map<core::host_id, state> m_hosts;
};
} // namespace poplarpass::request
