#pragma once

#include <compare>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace poplarpass::core
{
/// \brief Strongly typed string identifier; identifiers with different tags are not interchangeable.
template <class tag>
class string_id
{
public:
    string_id() = default;

    explicit string_id(std::string value)
        : m_value{std::move(value)}
    {
    }

    [[nodiscard]] auto str() const -> const std::string &
    {
        return m_value;
    }

    /// \brief Returns whether the identifier is unset.
    [[nodiscard]] auto empty() const -> bool
    {
        return m_value.empty();
    }

    auto operator<=>(const string_id &other) const = default;

private:
    std::string m_value;
};

/// \brief Name of a worker host.
using host_id = string_id<struct host_tag>;
/// \brief Name of a pool.
using pool_id = string_id<struct pool_tag>;
/// \brief Name of a capacity profile.
using profile_id = string_id<struct profile_tag>;
/// \brief Name of a service, which maps to a pool.
using service_id = string_id<struct service_tag>;
/// \brief Name of a team with a quota.
using team_id = string_id<struct team_tag>;
/// \brief Name of an availability zone.
using zone_id = string_id<struct zone_tag>;
/// \brief Name of a region.
using region_id = string_id<struct region_tag>;
/// \brief Name of a rack, unique in the fleet.
using rack_id = string_id<struct rack_tag>;
/// \brief Configured name of a process of the system; a replacement process has the same name.
using member_id = string_id<struct member_tag>;
/// \brief Idempotency key of a job, as sent by the caller.
using job_key = string_id<struct job_key_tag>;
/// \brief Kind of work, used to estimate sizes and run times.
using work_kind = string_id<struct work_kind_tag>;
/// \brief Client-chosen identifier of a log record, used to detect duplicates when an answer was lost.
using record_id = string_id<struct record_tag>;
/// \brief Name of a maintenance wave.
using wave_id = string_id<struct wave_tag>;
} // namespace poplarpass::core

template <class tag>
struct std::hash<poplarpass::core::string_id<tag>>
{
    auto operator()(const poplarpass::core::string_id<tag> &id) const noexcept -> std::size_t
    {
        return std::hash<std::string>{}(id.str());
    }
};
