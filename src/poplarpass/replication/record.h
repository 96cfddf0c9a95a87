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
    control, ///< May hold the control role.
};

/// \brief Publishes a revision of the configuration; valid only on top of the revision that it names.
struct config_record
{
    std::uint64_t basedOn = 0; ///< Revision in force when it was written; 0 for the first.
    std::string operatorName; ///< Who published it.
    std::string text; ///< Source text as kept in version control.
    config::fleet_config config; ///< The parsed text.

    auto operator==(const config_record &) const -> bool = default;
};

/// \brief A process joins, or joins again with a new incarnation.
struct member_join_record
{
    core::member_id member; ///< Its configured name.
    member_kind kind = member_kind::entry; ///< Its kind.
    std::uint64_t incarnation = 0; ///< Greater at each start of the same name.
    std::string address; ///< "IP:port" for peers.
    core::region_id region; ///< Its region.
    core::zone_id zone; ///< Its availability zone.
    std::uint64_t atUnixMs = 0; ///< Wall time of the writer, Unix milliseconds.

    auto operator==(const member_join_record &) const -> bool = default;
};

/// \brief A process leaves: by itself at a graceful shutdown, or removed by the holder of the control role.
struct member_leave_record
{
    core::member_id member; ///< Who leaves.
    std::uint64_t incarnation = 0; ///< Which start of it; another one is ignored.
    std::uint64_t controlEpoch = 0; ///< Epoch of the holder that removes it; 0 when it leaves by itself.
    std::uint64_t atUnixMs = 0; ///< Wall time of the writer, Unix milliseconds.
    bool handedOver = false; ///< Whether an entry handed every key that it remembered to others before it left.

    auto operator==(const member_leave_record &) const -> bool = default;
};

/// \brief An entry has put a shorter list of entries in force: the removed ones have stopped acting.
struct removal_settled_record
{
    std::uint64_t epoch = 0; ///< Removals up to this epoch of the list of entries are in force.
    std::uint64_t atUnixMs = 0; ///< Wall time of the writer, Unix milliseconds.

    auto operator==(const removal_settled_record &) const -> bool = default;
};

/// \brief Claims the control role.
struct control_claim_record
{
    core::member_id holder; ///< Who claims.
    std::uint64_t incarnation = 0; ///< Its incarnation.
    std::uint64_t epoch = 0; ///< Valid only when one greater than the epoch in force.
    log_offset lastRenewal = 0; ///< Latest renewal that it has seen; valid only if there is none since.

    auto operator==(const control_claim_record &) const -> bool = default;
};

/// \brief The holder of the control role renews it.
struct control_renew_record
{
    std::uint64_t epoch = 0; ///< Epoch that it holds.

    auto operator==(const control_renew_record &) const -> bool = default;
};

/// \brief What happens to a host.
enum class host_event {
    add, ///< First seen; belongs to its listed pool from here on.
    leave, ///< Starts to move to another pool: no new work.
    drained, ///< The worker confirmed that nothing runs.
    join, ///< Belongs to the new pool from here on.
    drain_start, ///< Maintenance takes it: no new work. Checked against the budget.
    drain_cancel, ///< Back to serving before the reboot.
    reboot_start, ///< The worker confirmed that nothing runs, and is told to reboot.
    returned, ///< Serves again after maintenance.
    down, ///< Lost without a plan.
    up, ///< Back after an unplanned loss.
    remove, ///< Gone for good.
};

/// \brief Something happened to a host, as seen or decided by the holder of the control role.
struct host_record
{
    host_event event = host_event::add; ///< What happened.
    core::host_id host; ///< Which host.
    std::uint64_t controlEpoch = 0; ///< Epoch of the writer; ignored when not the one in force.
    core::pool_id pool; ///< For leave and join: the new pool.
    core::wave_id wave; ///< For maintenance: the wave.
    platform::listed_host description; ///< For add: what the host list says.
    std::uint64_t bootId = 0; ///< Boot of the worker, for add, reboot_start, returned and up.
};

/// \brief What an operator does with a wave.
enum class wave_action {
    start, ///< Starts it.
    pause, ///< Starts no further drains.
    resume, ///< Goes on.
    finish, ///< Written by the holder when the last host is back.
};

/// \brief An operator starts, pauses or resumes a maintenance wave; the holder finishes it.
struct wave_record
{
    wave_action action = wave_action::start; ///< What to do.
    core::wave_id wave; ///< Its name, never used twice.
    std::vector<core::pool_id> pools; ///< For start: pools that it covers; none means all.
    std::string operatorName; ///< Who asked.
    std::uint64_t controlEpoch = 0; ///< For finish: epoch of the writer.

    auto operator==(const wave_record &) const -> bool = default;
};

/// \brief One part of a snapshot of the whole state.
struct snapshot_record
{
    log_offset stateOffset = 0; ///< The state holds every record up to this offset.
    std::uint64_t digest = 0; ///< Digest of the whole state.
    std::uint32_t part = 0; ///< Index of this part.
    std::uint32_t parts = 1; ///< Number of parts.
    std::string bytes; ///< Encoded state, this part of it.

    auto operator==(const snapshot_record &) const -> bool = default;
};

/// \brief Any record of the system's own stream.
using record = std::variant<config_record, member_join_record, member_leave_record, control_claim_record,
                            control_renew_record, host_record, wave_record, snapshot_record, removal_settled_record>;
} // namespace poplarpass::replication
