#pragma once

#include <poplarpass/app/fleet_log.h>
#include <poplarpass/app/process_runtime.h>
#include <poplarpass/control/membership_manager.h>

#include <functional>

namespace poplarpass::app
{
/// \brief Record by which \p process joins as a member of \p kind that peers reach at \p address.
auto ownJoinRecord(const process_runtime &process, replication::member_kind kind, std::string address)
    -> replication::member_join_record;

/// \brief Keeps this process in the agreed member list from its start to its graceful end.
class membership_publisher
{
public:
    /// \param onRemoved called once when the agreed list no longer holds this run of the process
    membership_publisher(process_runtime &process, fleet_log &log, replication::member_kind kind,
                         std::function<void()> onRemoved);

    /// \brief Joins when needed; to be called now and then.
    /// \param address "IP:port" for peers
    auto tick(const std::string &address) -> void;

    /// \brief Leaves the list, then calls \p done; gives up after a bounded time, as with the log down.
    /// \param handedOver whether every remembered key was handed on
    auto leave(bool handedOver, std::function<void()> done) -> void;

    /// \brief Whether the agreed list holds this run of the process.
    [[nodiscard]] auto isMember() const -> bool;

private:
    auto publishJoin(const std::string &address) -> void;

    process_runtime &m_process;
    fleet_log &m_log;
    replication::member_kind m_kind;
    std::function<void()> m_onRemoved;
    bool m_joining = false;
    bool m_wasMember = false;
    bool m_leaving = false;
    std::uint64_t m_attempts = 0;
};
} // namespace poplarpass::app
