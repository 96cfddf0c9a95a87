#pragma once

#include <poplarpass/app/fleet_log.h>
#include <poplarpass/app/process_runtime.h>
#include <poplarpass/control/membership_manager.h>

#include <functional>

namespace poplarpass::app
{
/// \brief Returns the record with which \p process joins as a member of \p kind; peers reach it at \p address.
auto ownJoinRecord(const process_runtime &process, replication::member_kind kind, std::string address)
    -> replication::member_join_record;

/// \brief Registers this process in the replicated member list at its start and removes it at a graceful stop.
class membership_publisher
{
public:
    /// \param onRemoved called once when the member list no longer contains this incarnation of the process
    membership_publisher(process_runtime &process, fleet_log &log, replication::member_kind kind,
                         std::function<void()> onRemoved);

    /// \brief Publishes the join record if this process is not a member; to be called periodically.
    /// \param address "IP:port" at which peers reach this process
    auto tick(const std::string &address) -> void;

    /// \brief Publishes the leave record, then calls \p done; after a timeout also without confirmation by the log.
    /// \param handedOver whether every remembered key was transferred
    auto leave(bool handedOver, std::function<void()> done) -> void;

    /// \brief Returns whether the member list contains this incarnation of the process.
    [[nodiscard]] auto isMember() const -> bool;

private:
    auto publishJoin(const std::string &address) -> void;

    process_runtime &m_process;
    fleet_log &m_fleetLog;
    replication::member_kind m_kind;
    std::function<void()> m_onRemoved;
    bool m_joining = false;
    bool m_wasMember = false;
    bool m_leaving = false;
    std::uint64_t m_attempts = 0;
};
} // namespace poplarpass::app
