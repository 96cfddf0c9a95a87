#pragma once

#include <poplarpass/core/error.h>
#include <poplarpass/platform/host_list.h>
#include <poplarpass/platform/worker_service.h>

#include <cstdint>
#include <optional>
#include <span>

namespace poplarpass::control
{
/// \brief Result of one attempt of a member to contact a worker.
struct host_contact
{
    core::host_id host;
    bool reached = false; ///< Whether the worker answered; the fields up to \c generation are set only then.
    std::uint64_t bootId = 0;
    bool draining = false; ///< Whether it rejects new work.
    core::pool_id pool; ///< Pool that it is assigned to.
    std::uint64_t generation = 0; ///< Generation of the assignment.
    core::monotonic_time at; ///< Start of the attempt on this process's clock.
};

/// \brief Outcome of an order_action.
struct order_outcome
{
    core::host_id host;
    platform::order_request request; ///< The order as sent.
    core::result<platform::order_response> answer; ///< The worker's answer; after a failure the effect is unknown.
};

/// \brief Observations since the previous decision step.
struct host_observations
{
    std::optional<std::span<const platform::listed_host>> listed; ///< The host list, if it was fetched.
    std::span<const host_contact> sightings; ///< Contacts made by this process or reported to it by others.
    std::span<const order_outcome> outcomes; ///< Outcomes of orders.
};
} // namespace poplarpass::control
