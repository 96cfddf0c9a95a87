#pragma once

#include <poplarpass/core/error.h>
#include <poplarpass/observe/logger.h>
#include <poplarpass/route/route_table.h>
#include <poplarpass/store/record_store.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace poplarpass::host
{
/// \brief How the operator's records are told apart and read.
struct operator_decoder
{
    std::string configKey; ///< Key of the configuration.
    std::function<core::result<route::route_config>(std::string_view)> decodeConfig; ///< Reads a configuration.
};

/// \brief Follows the operator's records and keeps the configuration up to date.
class config_follower
{
public:
    /// \param onConfig called after a newer configuration is in force
    config_follower(boost::asio::io_context &loop, const store::record_store &records, observe::logger &log,
                    operator_decoder decoder, route::route_table &routes, std::function<void()> onConfig);
    ~config_follower();
    config_follower(const config_follower &) = delete;
    auto operator=(const config_follower &) -> config_follower & = delete;

    /// \brief Begins to follow.
    auto start() -> void;

    /// \brief Newest record of each key of the operator but the configuration.
    [[nodiscard]] auto otherRecords() const -> const std::map<std::string, std::string> &;

private:
    auto readAll() -> void;
    auto onAll(const store::newest_result &newest) -> void;
    auto follow() -> void;
    auto onRecords(const store::read_result &result) -> void;
    auto take(const store::stored_record &record) -> void;
    auto lost() -> void;
    auto later(core::duration delay, void (config_follower::*step)()) -> void;

    boost::asio::io_context &m_loop;
    const store::record_store &m_store;
    observe::logger &m_log;
    operator_decoder m_decoder;
    route::route_table &m_routes;
    std::function<void()> m_onConfig;
    std::map<std::string, std::string> m_otherRecords;
    std::uint64_t m_offset = 0;
    bool m_storeLost = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};
} // namespace poplarpass::host
