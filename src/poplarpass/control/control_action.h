#pragma once

#include <poplarpass/core/string_id.h>
#include <poplarpass/platform/worker_service.h>
#include <poplarpass/replication/record.h>

#include <string>
#include <string_view>
#include <variant>

namespace poplarpass::control
{
/// \brief One record to append, with the id under which it is recognised when read back.
struct append_request
{
    core::record_id id; ///< Its id; a repeat after a lost answer carries the same one.
    replication::record change; ///< The record.
};

/// \brief One order to give to a worker; its outcome comes back as an order_outcome.
struct order_action
{
    core::host_id host; ///< Which host.
    std::string address; ///< "IP:port" of its endpoint.
    platform::order_request request; ///< The order, with the epoch of the role.
};

/// \brief What the holder tells operators.
enum class report_kind {
    drain_overdue, ///< A drain has not finished in time; it goes on and is never forced.
    reboot_overdue, ///< A host has not come back from its reboot in time.
    loss_not_plausible, ///< So many hosts are silent at once that the holder's own network is suspected.
    unknown_pool, ///< The host list names a pool that the configuration doesn't.
};

/// \brief Wire name of \p kind.
auto nameOf(report_kind kind) -> std::string_view;

/// \brief One report to operators.
struct report_action
{
    report_kind kind = report_kind::drain_overdue; ///< What it is about.
    core::host_id host; ///< Host, if it is about one.
    core::wave_id wave; ///< Wave, if it is about one.
    std::string detail; ///< Evidence for people.
};

/// \brief What the holder of the control role does next.
using control_action = std::variant<append_request, order_action, report_action>;
} // namespace poplarpass::control
