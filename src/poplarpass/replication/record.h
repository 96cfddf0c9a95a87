#pragma once

#include <poplarpass/config/fleet_config.h>
#include <poplarpass/platform/host_list.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace poplarpass::replication
{
/// \brief Position of a record in the log; the first is 1.
using log_offset = std::uint64_t;

/// \brief Kind of one of the system's own processes.
enum class member_kind {
    entry, ///< Serves callers.
    control, ///< Can hold the control role.
};

/// \brief Publishes a revision of the configuration; accepted only if basedOn is the revision in force.
struct config_record
{
    std::uint64_t basedOn = 0; ///< Revision that it was derived from; 0 for the first.
    std::string operatorName; ///< Operator that published it.
    std::string text; ///< Source text as kept in version control.
    config::fleet_config config; ///< The parsed text.

    auto operator==(const config_record &) const -> bool = default;
};

/// \brief A process joins, or rejoins with a new incarnation.
struct member_join_record
{
    core::member_id member; ///< Configured member name.
    member_kind kind = member_kind::entry; ///< Member kind.
    std::uint64_t incarnation = 0; ///< Increases with each start of the same member.
    std::string address; ///< "IP:port" for peers.
    core::region_id region; ///< Region of the process.
    core::zone_id zone; ///< Availability zone of the process.
    std::uint64_t atUnixMs = 0; ///< Wall time of the writer, Unix milliseconds.

    auto operator==(const member_join_record &) const -> bool = default;
};

/// \brief A process leaves at a graceful shutdown, or is removed by the holder of the control role.
struct member_leave_record
{
    core::member_id member; ///< Member that leaves.
    std::uint64_t incarnation = 0; ///< Incarnation that leaves; the record is refused for any other.
    std::uint64_t controlEpoch = 0; ///< Epoch of the holder that removes it; 0 for a graceful shutdown.
    std::uint64_t atUnixMs = 0; ///< Wall time of the writer, Unix milliseconds.
    bool handedOver = false; ///< Whether an entry transferred all its retained keys before it left.

    auto operator==(const member_leave_record &) const -> bool = default;
};

/// \brief An entry reports that removals are in force: the removed entries have stopped processing requests.
struct removal_settled_record
{
    std::uint64_t epoch = 0; ///< Removals up to this epoch of the list of entries are in force.
    std::uint64_t atUnixMs = 0; ///< Wall time of the writer, Unix milliseconds.

    auto operator==(const removal_settled_record &) const -> bool = default;
};

/// \brief Claims the control role.
struct control_claim_record
{
    core::member_id holder; ///< Member that claims the role.
    std::uint64_t incarnation = 0; ///< Incarnation of the member.
    std::uint64_t epoch = 0; ///< Must be the epoch in force plus one.
    log_offset lastRenewal = 0; ///< Offset of the latest renewal read; the claim is refused after a later one.

    auto operator==(const control_claim_record &) const -> bool = default;
};

/// \brief Renews the control role.
struct control_renew_record
{
    std::uint64_t epoch = 0; ///< Epoch of the holder.

    auto operator==(const control_renew_record &) const -> bool = default;
};

/// \brief Event of a host.
enum class host_event {
    add, ///< Added to its listed pool.
    leave, ///< Starts to move to another pool; accepts no new work. Checked against the budget.
    drained, ///< The worker confirmed that it runs no work.
    join, ///< Joins the new pool.
    drain_start, ///< Starts to drain for maintenance; accepts no new work. Checked against the budget.
    drain_cancel, ///< Cancels a drain or move before the reboot; the host serves again.
    reboot_start, ///< The worker confirmed that it runs no work, and is ordered to reboot.
    returned, ///< Serves again after maintenance.
    down, ///< Down outside planned changes.
    up, ///< Up again after an unplanned loss.
    remove, ///< Removed permanently.
};

/// \brief Host event that the holder of the control role observed or decided.
struct host_record
{
    host_event event = host_event::add; ///< Kind of event.
    core::host_id host; ///< Name of the host.
    std::uint64_t controlEpoch = 0; ///< Epoch of the writer; refused unless it is the one in force.
    core::pool_id pool; ///< For leave and join: the new pool.
    core::wave_id wave; ///< For maintenance: the wave; empty if the platform withdraws the host.
    platform::listed_host description; ///< For add: the entry of the host list.
    std::uint64_t bootId = 0; ///< Boot id of the worker, for add, reboot_start, returned and up.
};

/// \brief Action on a wave.
enum class wave_action {
    start, ///< Starts the wave.
    pause, ///< No further drains start.
    resume, ///< Drains may start again.
    finish, ///< Written by the holder of the control role when all hosts are back.
};

/// \brief An operator starts, pauses or resumes a maintenance wave; the holder finishes it.
struct wave_record
{
    wave_action action = wave_action::start; ///< Action.
    core::wave_id wave; ///< Wave name; must not be used again.
    std::vector<core::pool_id> pools; ///< For start: pools covered; empty means all.
    std::string operatorName; ///< Operator that requested it.
    std::uint64_t controlEpoch = 0; ///< For finish: epoch of the writer.

    auto operator==(const wave_record &) const -> bool = default;
};

/// \brief One part of a snapshot of the whole state.
struct snapshot_record
{
    log_offset stateOffset = 0; ///< Offset of the last record that the state includes.
    std::uint64_t digest = 0; ///< Digest of the whole state.
    std::uint32_t part = 0; ///< Index of this part, from 0.
    std::uint32_t parts = 1; ///< Number of parts.
    std::string bytes; ///< This part of the encoded state.

    auto operator==(const snapshot_record &) const -> bool = default;
};

/// \brief Any record of the replicated log.
using record = std::variant<config_record, member_join_record, member_leave_record, control_claim_record,
                            control_renew_record, host_record, wave_record, snapshot_record, removal_settled_record>;
} // namespace poplarpass::replication
