#pragma once

#include <poplarpass/host/keyed_follower.h>
#include <poplarpass/host/platform_decoders.h>
#include <poplarpass/observe/logger.h>
#include <poplarpass/route/route_table.h>
#include <poplarpass/store/record_store.h>

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace poplarpass::host
{
/// \brief Follows the operator's records and applies each newer configuration.
class config_follower
{
public:
    /// \param onConfig called after a newer configuration was applied
    config_follower(const core::time_source &time, const store::record_store &records, observe::logger &log,
                    operator_decoder decoder, route::route_table &routes, std::function<void()> onConfig);

    /// \brief Starts reading.
    auto start() -> void;

    /// \brief Offset after the last of the operator's records that was read.
    [[nodiscard]] auto offset() const -> std::uint64_t;

    /// \brief Time of the last successful read.
    [[nodiscard]] auto readAt() const -> core::monotonic_time;

    /// \brief Time at which the last answered read was sent; nothing before the first one.
    [[nodiscard]] auto confirmedAt() const -> std::optional<core::monotonic_time>;

    /// \brief Returns whether no unreadable configuration follows the one in force.
    [[nodiscard]] auto isReadable() const -> bool;

    /// \brief Newest value of each of the operator's keys, except the configuration.
    [[nodiscard]] auto otherRecords() const -> const std::map<std::string, std::string> &;

private:
    auto makeHooks() -> follower_hooks;
    auto applyRecord(const store::stored_record &record) -> void;
    auto applyConfig(const store::stored_record &record) -> void;

    observe::logger &m_log;
    operator_decoder m_decoder;
    route::route_table &m_routes;
    std::function<void()> m_onConfig;
    std::map<std::string, std::string> m_otherRecords;
    bool m_isReadable = true;
    keyed_follower m_follower;
};
} // namespace poplarpass::host
