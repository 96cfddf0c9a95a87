#pragma once

#include <poplarpass/core/lifetime.h>
#include <poplarpass/core/time_source.h>
#include <poplarpass/host/platform_decoders.h>
#include <poplarpass/observe/logger.h>
#include <poplarpass/route/route_table.h>
#include <poplarpass/store/record_store.h>

#include <functional>
#include <map>
#include <memory>
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
    auto readAll() -> void;
    auto onAll(const store::newest_result &newest) -> void;
    auto follow() -> void;
    auto onRecords(const store::read_result &result) -> void;
    auto take(const store::stored_record &record) -> void;
    auto lost() -> void;

    const core::time_source &m_time;
    const store::record_store &m_store;
    observe::logger &m_log;
    operator_decoder m_decoder;
    route::route_table &m_routes;
    std::function<void()> m_onConfig;
    std::map<std::string, std::string> m_otherRecords;
    std::uint64_t m_offset = 0;
    core::monotonic_time m_readAt{};
    bool m_storeLost = false;
    core::lifetime m_life;
};
} // namespace poplarpass::host
