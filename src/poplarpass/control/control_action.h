#pragma once

#include <poplarpass/core/string_id.h>
#include <poplarpass/platform/worker_service.h>
#include <poplarpass/replication/record.h>

#include <string>
#include <string_view>
#include <variant>

namespace poplarpass::control
{
/// \brief Record to append to the log.
struct append_request
{
    core::record_id id; ///< Idempotency key: a retry after a lost answer carries the same id.
    replication::record change;
};

/// \brief Order to send to a worker; its result is passed back as an order_outcome.
struct order_action
{
    core::host_id host;
    std::string address; ///< "IP:port" of its endpoint.
    platform::order_request request; ///< Carries the epoch of the control role as fencing token.
};

/// \brief Kinds of report to operators.
enum class report_kind {
    drain_overdue, ///< A drain has not finished in time; it continues and is never forced.
    reboot_overdue, ///< A host has not returned from its reboot in time.
    loss_not_plausible, ///< So many hosts are unreachable at once that the holder suspects its own network.
    unknown_pool, ///< The host list names a pool that is not configured.
};

/// \brief Returns the wire name of \p kind.
auto nameOf(report_kind kind) -> std::string_view;

/// \brief Report to operators.
struct report_action
{
    report_kind kind = report_kind::drain_overdue;
    core::host_id host; ///< Host concerned, or empty.
    core::wave_id wave; ///< Wave concerned, or empty.
    std::string detail; ///< Evidence as human-readable text.
};

/// \brief Action that the holder of the control role is to carry out.
using control_action = std::variant<append_request, order_action, report_action>;
} // namespace poplarpass::control
