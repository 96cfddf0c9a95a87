#pragma once

#include <poplarpass/host/keyed_follower.h>
#include <poplarpass/host/platform_decoders.h>
#include <poplarpass/observe/logger.h>
#include <poplarpass/route/route_table.h>
#include <poplarpass/store/record_store.h>

#include <functional>
#include <map>
#include <string>

namespace poplarpass::host
{
/// \brief Follows the operator's records and keeps the configuration up to date.
class config_follower
{
public:
    /// \param onConfig called after a newer configuration is in force
    config_follower(const core::time_source &time, const store::record_store &records, observe::logger &log,
                    operator_decoder decoder, route::route_table &routes, std::function<void()> onConfig);

    /// \brief Begins to follow.
    auto start() -> void;

    /// \brief Position up to which the operator's records were read.
    [[nodiscard]] auto offset() const -> std::uint64_t;

    /// \brief When the store last answered.
    [[nodiscard]] auto readAt() const -> core::monotonic_time;

    /// \brief Newest record of each key of the operator but the configuration.
    [[nodiscard]] auto otherRecords() const -> const std::map<std::string, std::string> &;

private:
    auto makeHooks() -> follower_hooks;
    auto take(const store::stored_record &record) -> void;
    auto takeConfig(const store::stored_record &record) -> void;

    observe::logger &m_log;
    operator_decoder m_decoder;
    route::route_table &m_routes;
    std::function<void()> m_onConfig;
    std::map<std::string, std::string> m_otherRecords;
    keyed_follower m_follower;
};
} // namespace poplarpass::host
